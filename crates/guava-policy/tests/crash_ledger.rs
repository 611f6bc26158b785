//! Which requests are stopped for upstreams that ended, and which are not.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{CrashLedger, ENDS_TO_STOP, FIRST_STOP_MS, LedgerNews, StopNotice};
use guava_types::{Moment, RequestDigest, UpstreamId};

const NOW: Moment = Moment(1_000_000);
const POISON: RequestDigest = RequestDigest(1);
const BESIDE: RequestDigest = RequestDigest(2);

fn id(number: usize) -> UpstreamId {
    format!("e{number}").parse().unwrap()
}

fn later(millis: u64) -> Moment {
    Moment(NOW.0 + millis)
}

/// A ledger of ends, one at each upstream, with what was under way there.
fn ledger(ends: &[&[RequestDigest]]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for (number, requests) in ends.iter().enumerate() {
        ledger.note_end(&id(number), requests, NOW);
    }
    ledger
}

fn is_stopped(ledger: &CrashLedger, request: RequestDigest) -> bool {
    ledger.stopped_until(request, NOW).is_some()
}

/// Requests that were nowhere else.
fn strangers(from: u128) -> Vec<RequestDigest> {
    (from..from + 20).map(RequestDigest).collect()
}

#[test]
fn request_at_three_ends_is_stopped_and_those_beside_it_are_not() {
    let mut ledger = CrashLedger::default();
    let mut stopped = Vec::new();
    for number in 0..ENDS_TO_STOP {
        let mut requests = strangers(100 * (number as u128 + 1));
        requests.push(POISON);
        stopped.push(ledger.note_end(&id(number), &requests, NOW).stopped);
    }

    assert_eq!(stopped, [vec![], vec![], vec![POISON]]);
    assert!(!is_stopped(&ledger, RequestDigest(100)));
}

#[test]
fn one_end_told_by_many_counts_once() {
    let mut ledger = CrashLedger::default();

    for _ in 0..10 {
        ledger.note_end(&id(0), &[POISON], NOW);
    }

    assert!(!is_stopped(&ledger, POISON));
}

#[test]
fn request_that_was_always_beside_is_told_from_it_at_the_next_end() {
    // Symptom: a request that did no harm is refused.
    // Sequence: its second and third try go where those of the guilty one go.
    // Cause: who was there was taken for who did it.
    let both: &[RequestDigest] = &[POISON, BESIDE];
    let undecided = ledger(&[both, both, both]);
    let decided = ledger(&[both, both, both, &[POISON]]);

    assert!(!is_stopped(&undecided, POISON) && !is_stopped(&undecided, BESIDE));
    assert!(is_stopped(&decided, POISON) && !is_stopped(&decided, BESIDE));
}

#[test]
fn requests_that_stay_together_are_stopped_together_in_the_end() {
    let both: &[RequestDigest] = &[POISON, BESIDE];

    let ledger = ledger(&[both; 5]);

    assert!(is_stopped(&ledger, POISON) && is_stopped(&ledger, BESIDE));
}

#[test]
fn two_guilty_requests_are_both_stopped_and_who_met_both_is_not() {
    let other = RequestDigest(3);
    let ledger = ledger(&[
        &[POISON, BESIDE],
        &[other, BESIDE],
        &[POISON],
        &[other],
        &[POISON, BESIDE],
        &[other],
        &[POISON],
        &[other],
    ]);

    assert!(is_stopped(&ledger, POISON) && is_stopped(&ledger, other));
    assert!(!is_stopped(&ledger, BESIDE));
}

#[test]
fn request_that_turns_out_to_be_explained_is_let_go() {
    // Symptom: a request is refused for ten minutes, though it does no harm.
    // Sequence: it meets three ends of two guilty requests before either is at three; these come
    // again.
    // Cause: a verdict on half of the evidence was kept when the rest was in.
    let other = RequestDigest(3);
    let mut ledger = ledger(&[&[POISON, BESIDE], &[other, BESIDE], &[POISON, BESIDE]]);
    let at_first = is_stopped(&ledger, BESIDE);

    let news: Vec<LedgerNews> =
        (3..6).map(|number| ledger.note_end(&id(number), &[POISON], NOW)).collect();

    assert!(at_first && !is_stopped(&ledger, BESIDE) && is_stopped(&ledger, POISON));
    assert!(news.iter().any(|news| news.lifted == [BESIDE]), "{news:?}");
}

#[test]
fn answer_clears_a_request() {
    let mut ledger = ledger(&[&[BESIDE], &[BESIDE]]);

    let was_known = ledger.note_answer(BESIDE, NOW);
    ledger.note_end(&id(7), &[BESIDE], NOW);
    ledger.note_end(&id(8), &[BESIDE], NOW);

    assert!(was_known && !is_stopped(&ledger, BESIDE));
    assert!(!ledger.note_answer(RequestDigest(9), NOW));
}

#[test]
fn answer_that_a_peer_saw_clears_a_request_here_and_is_not_passed_on() {
    let mut ledger = ledger(&[&[BESIDE], &[BESIDE]]);

    ledger.note_cleared(BESIDE, NOW);

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
    let mut ledger = ledger(&[&[BESIDE], &[BESIDE]]);
    ledger.note_cleared(BESIDE, later(10));

    ledger.note_end(&id(0), &[BESIDE], later(20));
    ledger.note_end(&id(1), &[BESIDE], later(20));
    ledger.note_end(&id(2), &[BESIDE], later(30));

    assert!(ledger.stopped_until(BESIDE, later(30)).is_none());
}

#[test]
fn stop_that_a_peer_tells_explains_ends_here() {
    let mut ledger = ledger(&[&[POISON, BESIDE], &[POISON, BESIDE]]);

    let is_news = ledger.note_told(StopNotice { request: POISON, left_ms: 5_000, times: 1 }, NOW);
    // At more ends known here than the guilty one, whose others a peer knows.
    ledger.note_end(&id(5), &[BESIDE], NOW);

    assert!(is_news && is_stopped(&ledger, POISON) && !is_stopped(&ledger, BESIDE));
}

#[test]
fn stop_told_again_and_again_does_not_grow() {
    let mut ledger = CrashLedger::default();
    let told = StopNotice { request: POISON, left_ms: 5_000, times: 1 };
    ledger.note_told(told, NOW);

    let is_news = ledger.note_told(told, later(4_000));

    assert!(!is_news && ledger.stopped_until(POISON, later(5_001)).is_none());
}

#[test]
fn stopped_request_has_another_chance_and_is_stopped_for_longer_if_it_uses_it_ill() {
    let mut ledger = ledger(&[&[POISON], &[POISON], &[POISON]]);
    let chance = later(FIRST_STOP_MS + 1);
    ledger.sweep(chance);
    let has_chance = ledger.stopped_until(POISON, chance).is_none();

    let mut beside = strangers(100);
    beside.push(POISON);
    let news = ledger.note_end(&id(9), &beside, chance);

    assert!(has_chance);
    assert_eq!(news.stopped, [POISON]);
    let left = ledger.stopped_until(POISON, chance).unwrap().millis_left(chance);
    assert_eq!(left, 2 * FIRST_STOP_MS);
}

#[test]
fn ends_long_ago_do_not_count() {
    let mut ledger = ledger(&[&[BESIDE], &[BESIDE]]);

    ledger.sweep(later(700_000));
    ledger.note_end(&id(5), &[BESIDE], later(700_000));

    assert!(ledger.stopped_until(BESIDE, later(700_000)).is_none());
}

#[test]
fn request_stopped_before_a_start_is_stopped_after_it() {
    let mut ledger = CrashLedger::default();

    ledger.note_record(POISON, 2, NOW);

    let stops: Vec<StopNotice> = ledger.stops(NOW).collect();
    assert_eq!(stops, [StopNotice { request: POISON, left_ms: 2 * FIRST_STOP_MS, times: 2 }]);
}

#[test]
fn memory_is_bounded() {
    let mut ledger = CrashLedger::default();

    for number in 0..2_000 {
        let requests: Vec<RequestDigest> = (0..1_000)
            .map(|request| RequestDigest(number as u128 * 1_000 + request + 10))
            .collect();
        ledger.note_end(&id(number), &requests, later(number as u64));
        ledger.note_record(RequestDigest(1 << 100 | number as u128), 1, NOW);
    }

    assert!(ledger.count_of_ends() <= 512);
    assert!(ledger.stops(NOW).count() <= 128);
}
