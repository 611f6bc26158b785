//! Which requests are quarantined after crashes of upstreams, and which are not.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{
    CRASHES_TO_QUARANTINE, ClearNotice, CrashLedger, FIRST_QUARANTINE_MS, LedgerChange,
    QuarantineNotice,
};
use guava_types::{Moment, RequestDigest, UpstreamId};

const NOW: Moment = Moment(1_000_000);
const CRASHING: RequestDigest = RequestDigest(1);
const CONCURRENT: RequestDigest = RequestDigest(2);

fn id(number: usize) -> UpstreamId {
    format!("e{number}").parse().unwrap()
}

fn later(millis: u64) -> Moment {
    Moment(NOW.0 + millis)
}

/// When the upstream of this number crashed: none simultaneous with another, all a while ago.
fn separate_moment(number: usize) -> Moment {
    Moment(NOW.0 - 60_000 + 1_000 * number as u64)
}

/// A ledger of crashes, one at each upstream and none simultaneous, with the requests in flight
/// there.
fn ledger(crashes: &[&[RequestDigest]]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for (number, requests) in crashes.iter().enumerate() {
        ledger.note_crash(&id(number), requests, separate_moment(number), NOW);
    }
    ledger
}

fn is_quarantined(ledger: &CrashLedger, request: RequestDigest) -> bool {
    ledger.quarantined_until(request, NOW).is_some()
}

/// Requests that were in flight at no other crash.
fn unrelated_requests(from: u128) -> Vec<RequestDigest> {
    (from..from + 20).map(RequestDigest).collect()
}

#[test]
fn request_at_three_crashes_is_quarantined_and_concurrent_ones_are_not() {
    let mut ledger = CrashLedger::default();
    let mut quarantined = Vec::new();
    for number in 0..CRASHES_TO_QUARANTINE {
        let mut requests = unrelated_requests(100 * (number as u128 + 1));
        requests.push(CRASHING);
        quarantined.push(
            ledger.note_crash(&id(number), &requests, separate_moment(number), NOW).quarantined,
        );
    }

    assert_eq!(quarantined, [vec![], vec![], vec![CRASHING]]);
    assert!(!is_quarantined(&ledger, RequestDigest(100)));
}

#[test]
fn crash_reported_by_many_peers_counts_once() {
    let mut ledger = CrashLedger::default();

    for _ in 0..10 {
        ledger.note_crash(&id(0), &[CRASHING], separate_moment(0), NOW);
    }

    assert!(!is_quarantined(&ledger, CRASHING));
}

#[test]
fn concurrent_request_at_every_crash_is_told_apart_at_the_next_crash() {
    // Symptom: a request that causes no crash is refused.
    // Sequence: its second and third attempt go to the same upstreams as those of the
    // crash-inducing one.
    // Cause: every request in flight at a crash was taken for its cause.
    let both: &[RequestDigest] = &[CRASHING, CONCURRENT];
    let undecided = ledger(&[both, both, both]);
    let decided = ledger(&[both, both, both, &[CRASHING]]);

    assert!(!is_quarantined(&undecided, CRASHING) && !is_quarantined(&undecided, CONCURRENT));
    assert!(is_quarantined(&decided, CRASHING) && !is_quarantined(&decided, CONCURRENT));
}

#[test]
fn requests_that_stay_tied_are_quarantined_together() {
    let both: &[RequestDigest] = &[CRASHING, CONCURRENT];

    let ledger = ledger(&[both; 5]);

    assert!(is_quarantined(&ledger, CRASHING) && is_quarantined(&ledger, CONCURRENT));
}

#[test]
fn two_crash_inducing_requests_are_quarantined_and_one_concurrent_with_both_is_not() {
    let other = RequestDigest(3);
    let ledger = ledger(&[
        &[CRASHING, CONCURRENT],
        &[other, CONCURRENT],
        &[CRASHING],
        &[other],
        &[CRASHING, CONCURRENT],
        &[other],
        &[CRASHING],
        &[other],
    ]);

    assert!(is_quarantined(&ledger, CRASHING) && is_quarantined(&ledger, other));
    assert!(!is_quarantined(&ledger, CONCURRENT));
}

#[test]
fn request_whose_crashes_turn_out_to_be_explained_is_released() {
    // Symptom: a request that causes no crash is refused for ten minutes.
    // Sequence: it is in flight at three crashes of two crash-inducing requests before either of
    // them is at three; these are then repeated.
    // Cause: a decision on incomplete evidence was kept when the remaining evidence arrived.
    let other = RequestDigest(3);
    let mut ledger =
        ledger(&[&[CRASHING, CONCURRENT], &[other, CONCURRENT], &[CRASHING, CONCURRENT]]);
    let was_quarantined = is_quarantined(&ledger, CONCURRENT);

    let change: Vec<LedgerChange> = (3..6)
        .map(|number| ledger.note_crash(&id(number), &[CRASHING], separate_moment(number), NOW))
        .collect();

    assert!(
        was_quarantined
            && !is_quarantined(&ledger, CONCURRENT)
            && is_quarantined(&ledger, CRASHING)
    );
    assert!(change.iter().any(|change| change.released == [CONCURRENT]), "{change:?}");
}

#[test]
fn answer_clears_a_request() {
    let mut ledger = ledger(&[&[CONCURRENT], &[CONCURRENT]]);

    let was_known = ledger.note_answer(CONCURRENT, NOW);
    ledger.note_crash(&id(7), &[CONCURRENT], later(1_000), later(2_000));
    ledger.note_crash(&id(8), &[CONCURRENT], later(2_000), later(2_000));

    assert!(was_known && !is_quarantined(&ledger, CONCURRENT));
    assert!(!ledger.note_answer(RequestDigest(9), NOW));
}

#[test]
fn clearing_reported_by_a_peer_applies_here_and_is_not_reported_again() {
    let mut ledger = ledger(&[&[CONCURRENT], &[CONCURRENT]]);

    ledger.note_cleared(ClearNotice { request: CONCURRENT, at: NOW }, NOW);

    assert!(ledger.is_empty());
    assert_eq!(ledger.cleared().count(), 0);
}

#[test]
fn crash_repeated_after_an_answer_does_not_count_again() {
    // Symptom: a request that is repeated regularly is refused, though each time it is answered in
    // the end.
    // Sequence: an upstream crashes while the request is in flight there; it is answered at
    // another, which clears it; a peer's summary repeats the crash.
    // Cause: a repeated report was taken for a new crash.
    let mut ledger = ledger(&[&[CONCURRENT], &[CONCURRENT]]);
    ledger.note_cleared(ClearNotice { request: CONCURRENT, at: later(10) }, later(10));

    ledger.note_crash(&id(0), &[CONCURRENT], separate_moment(0), later(20));
    ledger.note_crash(&id(1), &[CONCURRENT], separate_moment(1), later(20));
    ledger.note_crash(&id(2), &[CONCURRENT], later(30), later(30));

    assert!(ledger.quarantined_until(CONCURRENT, later(30)).is_none());
}

#[test]
fn simultaneous_crashes_count_as_one() {
    // Symptom: a request that causes no crash is refused for ten minutes.
    // Sequence: all upstreams of a service crash at once; the request was in flight at one, was
    // retried at the next, and its caller's second attempt was in flight at the third, all within
    // some milliseconds.
    // Cause: three crashes with one cause counted as three.
    let mut ledger = CrashLedger::default();
    for (number, millis) in [0, 8, 14].into_iter().enumerate() {
        ledger.note_crash(&id(number), &[CONCURRENT], later(millis), later(14));
    }
    let is_quarantined_after_one = ledger.quarantined_until(CONCURRENT, later(14)).is_some();

    for number in 3..9 {
        let at = later(10_000 * (number as u64 / 3) + 5 * number as u64);
        ledger.note_crash(&id(number), &[CONCURRENT], at, at);
    }

    assert!(!is_quarantined_after_one);
    assert!(
        ledger.quarantined_until(CONCURRENT, later(20_040)).is_some(),
        "three separate incidents are enough for a quarantine"
    );
}

#[test]
fn crashes_in_rapid_succession_lead_to_a_quarantine() {
    // A caller that repeats its request at once; each attempt runs at two upstreams.
    let mut ledger = CrashLedger::default();

    let quarantined_at = (0..100).find(|number| {
        let at = later(8 * *number as u64);
        ledger.note_crash(&id(*number), &[CRASHING], at, at).quarantined == [CRASHING]
    });

    assert!(quarantined_at.is_some_and(|number| number < 20), "{quarantined_at:?}");
}

#[test]
fn crashes_reported_late_count_by_their_own_moment() {
    let mut ledger = CrashLedger::default();

    for number in 0..CRASHES_TO_QUARANTINE {
        ledger.note_crash(&id(number), &[CRASHING], separate_moment(number), NOW);
    }

    assert!(is_quarantined(&ledger, CRASHING));
}

#[test]
fn request_is_released_when_its_crashes_turn_out_to_be_simultaneous() {
    let mut ledger = CrashLedger::default();
    for (number, millis) in [0, 10, 1_000].into_iter().enumerate() {
        ledger.note_crash(&id(number), &[CONCURRENT], later(millis), later(1_000));
    }
    let was_quarantined = ledger.quarantined_until(CONCURRENT, later(1_000)).is_some();

    // A peer reports a third crash, simultaneous with the first two.
    let change = ledger.note_crash(&id(3), &[CONCURRENT, CRASHING], later(12), later(1_010));

    assert!(was_quarantined);
    assert_eq!(change.released, [CONCURRENT]);
}

#[test]
fn repeatedly_cleared_request_is_not_quarantined() {
    // Symptom: a request that is repeated regularly is refused, though each time it is answered in
    // the end.
    // Sequence: it is in flight at a crash and is answered, at one daemon and then at another, all
    // within the seconds in which daemons repeat that it was cleared.
    // Cause: a second clearing was taken for a repeat of the first, and the crash before it was
    // kept.
    let mut ledger = CrashLedger::default();
    for number in 0..6 {
        let at = later(700 * number as u64);
        ledger.note_crash(&id(number), &[CONCURRENT], at, at);
        let notice = ClearNotice { request: CONCURRENT, at: Moment(at.0 + 300) };
        ledger.note_cleared(notice, notice.at);
        // A repeated clearing removes no evidence that is newer than it.
        ledger.note_cleared(notice, Moment(at.0 + 650));
    }

    assert!(ledger.quarantined_until(CONCURRENT, later(5_000)).is_none());
}

#[test]
fn repeated_clearing_keeps_later_crashes() {
    let mut ledger = CrashLedger::default();
    let notice = ClearNotice { request: CRASHING, at: later(0) };
    ledger.note_cleared(notice, later(0));
    for number in 0..2 {
        ledger.note_crash(&id(number), &[CRASHING], later(100 + 300 * number as u64), later(500));
    }

    ledger.note_cleared(notice, later(600));
    let change = ledger.note_crash(&id(2), &[CRASHING], later(900), later(900));

    assert_eq!(change.quarantined, [CRASHING]);
}

#[test]
fn quarantine_reported_by_a_peer_explains_crashes_here() {
    let mut ledger = ledger(&[&[CRASHING, CONCURRENT], &[CRASHING, CONCURRENT]]);

    let is_change = ledger
        .note_from_peer(QuarantineNotice { request: CRASHING, left_ms: 5_000, times: 1 }, NOW);
    // More crashes of this request are known here than of the crash-inducing one; a peer knows the
    // other crashes of that one.
    ledger.note_crash(&id(5), &[CONCURRENT], separate_moment(5), NOW);

    assert!(is_change && is_quarantined(&ledger, CRASHING) && !is_quarantined(&ledger, CONCURRENT));
}

#[test]
fn repeated_quarantine_report_does_not_extend_it() {
    let mut ledger = CrashLedger::default();
    let reported = QuarantineNotice { request: CRASHING, left_ms: 5_000, times: 1 };
    ledger.note_from_peer(reported, NOW);

    let is_change = ledger.note_from_peer(reported, later(4_000));

    assert!(!is_change && ledger.quarantined_until(CRASHING, later(5_001)).is_none());
}

#[test]
fn quarantined_request_may_be_retried_and_a_further_crash_doubles_the_quarantine() {
    let mut ledger = ledger(&[&[CRASHING], &[CRASHING], &[CRASHING]]);
    let retry_at = later(FIRST_QUARANTINE_MS + 1);
    ledger.sweep(retry_at);
    let is_retry_possible = ledger.quarantined_until(CRASHING, retry_at).is_none();

    let mut concurrent = unrelated_requests(100);
    concurrent.push(CRASHING);
    let change = ledger.note_crash(&id(9), &concurrent, retry_at, retry_at);

    assert!(is_retry_possible);
    assert_eq!(change.quarantined, [CRASHING]);
    let left = ledger.quarantined_until(CRASHING, retry_at).unwrap().millis_left(retry_at);
    assert_eq!(left, 2 * FIRST_QUARANTINE_MS);
}

#[test]
fn crashes_past_their_retention_do_not_count() {
    let mut ledger = ledger(&[&[CONCURRENT], &[CONCURRENT]]);

    ledger.sweep(later(700_000));
    ledger.note_crash(&id(5), &[CONCURRENT], later(700_000), later(700_000));

    assert!(ledger.quarantined_until(CONCURRENT, later(700_000)).is_none());
}

#[test]
fn recorded_quarantine_survives_a_restart() {
    let mut ledger = CrashLedger::default();

    ledger.note_record(CRASHING, 2, NOW);

    let quarantines: Vec<QuarantineNotice> = ledger.quarantines(NOW).collect();
    assert_eq!(
        quarantines,
        [QuarantineNotice { request: CRASHING, left_ms: 2 * FIRST_QUARANTINE_MS, times: 2 }]
    );
}

#[test]
fn memory_is_bounded() {
    let mut ledger = CrashLedger::default();

    for number in 0..2_000 {
        let requests: Vec<RequestDigest> = (0..1_000)
            .map(|request| RequestDigest(number as u128 * 1_000 + request + 10))
            .collect();
        let at = later(100 * number as u64);
        ledger.note_crash(&id(number), &requests, at, at);
        ledger.note_record(RequestDigest(1 << 100 | number as u128), 1, NOW);
    }

    assert!(ledger.crash_count() <= 512);
    assert!(ledger.quarantines(NOW).count() <= 128);
}
