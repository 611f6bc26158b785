//! Which requests are stopped for upstreams that ended, and which are not.

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

/// When the upstream of this number ended: each by itself, all of them a while ago.
fn apart(number: usize) -> Moment {
    Moment(NOW.0 - 60_000 + 1_000 * number as u64)
}

/// A ledger of ends, one at each upstream and each by itself, with what was under way there.
fn ledger(ends: &[&[RequestDigest]]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for (number, requests) in ends.iter().enumerate() {
        ledger.note_crash(&id(number), requests, apart(number), NOW);
    }
    ledger
}

fn is_stopped(ledger: &CrashLedger, request: RequestDigest) -> bool {
    ledger.quarantined_until(request, NOW).is_some()
}

/// Requests that were nowhere else.
fn strangers(from: u128) -> Vec<RequestDigest> {
    (from..from + 20).map(RequestDigest).collect()
}

#[test]
fn request_at_three_ends_is_stopped_and_those_beside_it_are_not() {
    let mut ledger = CrashLedger::default();
    let mut stopped = Vec::new();
    for number in 0..CRASHES_TO_QUARANTINE {
        let mut requests = strangers(100 * (number as u128 + 1));
        requests.push(CRASHING);
        stopped.push(ledger.note_crash(&id(number), &requests, apart(number), NOW).quarantined);
    }

    assert_eq!(stopped, [vec![], vec![], vec![CRASHING]]);
    assert!(!is_stopped(&ledger, RequestDigest(100)));
}

#[test]
fn one_end_told_by_many_counts_once() {
    let mut ledger = CrashLedger::default();

    for _ in 0..10 {
        ledger.note_crash(&id(0), &[CRASHING], apart(0), NOW);
    }

    assert!(!is_stopped(&ledger, CRASHING));
}

#[test]
fn request_that_was_always_beside_is_told_from_it_at_the_next_end() {
    // Symptom: a request that did no harm is refused.
    // Sequence: its second and third try go where those of the guilty one go.
    // Cause: who was there was taken for who did it.
    let both: &[RequestDigest] = &[CRASHING, CONCURRENT];
    let undecided = ledger(&[both, both, both]);
    let decided = ledger(&[both, both, both, &[CRASHING]]);

    assert!(!is_stopped(&undecided, CRASHING) && !is_stopped(&undecided, CONCURRENT));
    assert!(is_stopped(&decided, CRASHING) && !is_stopped(&decided, CONCURRENT));
}

#[test]
fn requests_that_stay_together_are_stopped_together_in_the_end() {
    let both: &[RequestDigest] = &[CRASHING, CONCURRENT];

    let ledger = ledger(&[both; 5]);

    assert!(is_stopped(&ledger, CRASHING) && is_stopped(&ledger, CONCURRENT));
}

#[test]
fn two_guilty_requests_are_both_stopped_and_who_met_both_is_not() {
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

    assert!(is_stopped(&ledger, CRASHING) && is_stopped(&ledger, other));
    assert!(!is_stopped(&ledger, CONCURRENT));
}

#[test]
fn request_that_turns_out_to_be_explained_is_let_go() {
    // Symptom: a request is refused for ten minutes, though it does no harm.
    // Sequence: it meets three ends of two guilty requests before either is at three; these come
    // again.
    // Cause: a verdict on half of the evidence was kept when the rest was in.
    let other = RequestDigest(3);
    let mut ledger =
        ledger(&[&[CRASHING, CONCURRENT], &[other, CONCURRENT], &[CRASHING, CONCURRENT]]);
    let at_first = is_stopped(&ledger, CONCURRENT);

    let news: Vec<LedgerChange> = (3..6)
        .map(|number| ledger.note_crash(&id(number), &[CRASHING], apart(number), NOW))
        .collect();

    assert!(at_first && !is_stopped(&ledger, CONCURRENT) && is_stopped(&ledger, CRASHING));
    assert!(news.iter().any(|news| news.released == [CONCURRENT]), "{news:?}");
}

#[test]
fn answer_clears_a_request() {
    let mut ledger = ledger(&[&[CONCURRENT], &[CONCURRENT]]);

    let was_known = ledger.note_answer(CONCURRENT, NOW);
    ledger.note_crash(&id(7), &[CONCURRENT], later(1_000), later(2_000));
    ledger.note_crash(&id(8), &[CONCURRENT], later(2_000), later(2_000));

    assert!(was_known && !is_stopped(&ledger, CONCURRENT));
    assert!(!ledger.note_answer(RequestDigest(9), NOW));
}

#[test]
fn answer_that_a_peer_saw_clears_a_request_here_and_is_not_passed_on() {
    let mut ledger = ledger(&[&[CONCURRENT], &[CONCURRENT]]);

    ledger.note_cleared(ClearNotice { request: CONCURRENT, at: NOW }, NOW);

    assert!(ledger.is_empty());
    assert_eq!(ledger.cleared().count(), 0);
}

#[test]
fn end_told_again_after_an_answer_does_not_count_anew() {
    // Symptom: a request that comes again and again is refused, though each time it is answered in
    // the end.
    // Sequence: an upstream ends while it runs there; it is answered elsewhere, which clears it; a
    // peer's summary repeats the end.
    // Cause: what was repeated was taken for new.
    let mut ledger = ledger(&[&[CONCURRENT], &[CONCURRENT]]);
    ledger.note_cleared(ClearNotice { request: CONCURRENT, at: later(10) }, later(10));

    ledger.note_crash(&id(0), &[CONCURRENT], apart(0), later(20));
    ledger.note_crash(&id(1), &[CONCURRENT], apart(1), later(20));
    ledger.note_crash(&id(2), &[CONCURRENT], later(30), later(30));

    assert!(ledger.quarantined_until(CONCURRENT, later(30)).is_none());
}

#[test]
fn ends_that_come_together_count_as_one() {
    // Symptom: a request that did no harm is refused for ten minutes.
    // Sequence: all upstreams of a service end at once; the request ran at one, was tried at the
    // next, and its caller's second attempt ran at the third, all within some milliseconds.
    // Cause: three ends of one cause were held against it as three.
    let mut ledger = CrashLedger::default();
    for (number, millis) in [0, 8, 14].into_iter().enumerate() {
        ledger.note_crash(&id(number), &[CONCURRENT], later(millis), later(14));
    }
    let after_one = ledger.quarantined_until(CONCURRENT, later(14)).is_some();

    for number in 3..9 {
        let at = later(10_000 * (number as u64 / 3) + 5 * number as u64);
        ledger.note_crash(&id(number), &[CONCURRENT], at, at);
    }

    assert!(!after_one);
    assert!(
        ledger.quarantined_until(CONCURRENT, later(20_040)).is_some(),
        "three times is no chance"
    );
}

#[test]
fn ends_one_after_the_other_are_no_chance_however_fast_they_come() {
    // A caller that repeats its request at once, two upstreams an attempt.
    let mut ledger = CrashLedger::default();

    let stopped_at = (0..100).find(|number| {
        let at = later(8 * *number as u64);
        ledger.note_crash(&id(*number), &[CRASHING], at, at).quarantined == [CRASHING]
    });

    assert!(stopped_at.is_some_and(|number| number < 20), "{stopped_at:?}");
}

#[test]
fn ends_told_late_count_by_when_they_were() {
    let mut ledger = CrashLedger::default();

    for number in 0..CRASHES_TO_QUARANTINE {
        ledger.note_crash(&id(number), &[CRASHING], apart(number), NOW);
    }

    assert!(is_stopped(&ledger, CRASHING));
}

#[test]
fn request_is_let_go_when_its_ends_turn_out_to_have_come_together() {
    let mut ledger = CrashLedger::default();
    for (number, millis) in [0, 10, 1_000].into_iter().enumerate() {
        ledger.note_crash(&id(number), &[CONCURRENT], later(millis), later(1_000));
    }
    let at_first = ledger.quarantined_until(CONCURRENT, later(1_000)).is_some();

    // A peer tells of a third end in the same moment as the first two.
    let news = ledger.note_crash(&id(3), &[CONCURRENT, CRASHING], later(12), later(1_010));

    assert!(at_first);
    assert_eq!(news.released, [CONCURRENT]);
}

#[test]
fn request_that_is_cleared_again_and_again_is_not_stopped() {
    // Symptom: a request that comes again and again is refused, though each time it is answered in
    // the end.
    // Sequence: it meets an end and is answered, at one daemon and then at another, all within the
    // seconds in which daemons repeat that it was cleared.
    // Cause: a second clearing was taken for the first one told again, and its end was kept.
    let mut ledger = CrashLedger::default();
    for number in 0..6 {
        let at = later(700 * number as u64);
        ledger.note_crash(&id(number), &[CONCURRENT], at, at);
        let notice = ClearNotice { request: CONCURRENT, at: Moment(at.0 + 300) };
        ledger.note_cleared(notice, notice.at);
        // Repeated, it takes nothing away that came after it.
        ledger.note_cleared(notice, Moment(at.0 + 650));
    }

    assert!(ledger.quarantined_until(CONCURRENT, later(5_000)).is_none());
}

#[test]
fn clearing_that_is_repeated_leaves_later_ends() {
    let mut ledger = CrashLedger::default();
    let notice = ClearNotice { request: CRASHING, at: later(0) };
    ledger.note_cleared(notice, later(0));
    for number in 0..2 {
        ledger.note_crash(&id(number), &[CRASHING], later(100 + 300 * number as u64), later(500));
    }

    ledger.note_cleared(notice, later(600));
    let news = ledger.note_crash(&id(2), &[CRASHING], later(900), later(900));

    assert_eq!(news.quarantined, [CRASHING]);
}

#[test]
fn stop_that_a_peer_tells_explains_ends_here() {
    let mut ledger = ledger(&[&[CRASHING, CONCURRENT], &[CRASHING, CONCURRENT]]);

    let is_change = ledger
        .note_from_peer(QuarantineNotice { request: CRASHING, left_ms: 5_000, times: 1 }, NOW);
    // At more ends known here than the guilty one, whose others a peer knows.
    ledger.note_crash(&id(5), &[CONCURRENT], apart(5), NOW);

    assert!(is_change && is_stopped(&ledger, CRASHING) && !is_stopped(&ledger, CONCURRENT));
}

#[test]
fn stop_told_again_and_again_does_not_grow() {
    let mut ledger = CrashLedger::default();
    let told = QuarantineNotice { request: CRASHING, left_ms: 5_000, times: 1 };
    ledger.note_from_peer(told, NOW);

    let is_change = ledger.note_from_peer(told, later(4_000));

    assert!(!is_change && ledger.quarantined_until(CRASHING, later(5_001)).is_none());
}

#[test]
fn stopped_request_has_another_chance_and_is_stopped_for_longer_if_it_uses_it_ill() {
    let mut ledger = ledger(&[&[CRASHING], &[CRASHING], &[CRASHING]]);
    let chance = later(FIRST_QUARANTINE_MS + 1);
    ledger.sweep(chance);
    let has_chance = ledger.quarantined_until(CRASHING, chance).is_none();

    let mut beside = strangers(100);
    beside.push(CRASHING);
    let news = ledger.note_crash(&id(9), &beside, chance, chance);

    assert!(has_chance);
    assert_eq!(news.quarantined, [CRASHING]);
    let left = ledger.quarantined_until(CRASHING, chance).unwrap().millis_left(chance);
    assert_eq!(left, 2 * FIRST_QUARANTINE_MS);
}

#[test]
fn ends_long_ago_do_not_count() {
    let mut ledger = ledger(&[&[CONCURRENT], &[CONCURRENT]]);

    ledger.sweep(later(700_000));
    ledger.note_crash(&id(5), &[CONCURRENT], later(700_000), later(700_000));

    assert!(ledger.quarantined_until(CONCURRENT, later(700_000)).is_none());
}

#[test]
fn request_stopped_before_a_start_is_stopped_after_it() {
    let mut ledger = CrashLedger::default();

    ledger.note_record(CRASHING, 2, NOW);

    let stops: Vec<QuarantineNotice> = ledger.quarantines(NOW).collect();
    assert_eq!(
        stops,
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
