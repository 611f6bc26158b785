//! Places of refused callers that return.

use guava_policy::{MAX_RETURNS, ReturnLedger, ReturnNotice, ReturnPlace};
use guava_types::{Deadline, Moment, RequestDigest};
use yare::parameterized;

const NOW: Moment = Moment(100_000);
const FIRST: Moment = Moment(99_000);

/// A ledger with a caller that was told to return in a second.
fn ledger() -> ReturnLedger {
    let mut ledger = ReturnLedger::default();
    assert!(ledger.note(notice(1, FIRST, 1_000), NOW));
    ledger
}

fn notice(request: u128, first: Moment, due_ms: u64) -> ReturnNotice {
    ReturnNotice { request: RequestDigest(request), first, due: Deadline::after(NOW, due_ms) }
}

#[parameterized(
    at_once = { 0, ReturnPlace::Early },
    too_early = { 899, ReturnPlace::Early },
    as_told = { 900, ReturnPlace::Returned(FIRST) },
    a_little_late = { 2_999, ReturnPlace::Returned(FIRST) },
    too_late = { 3_000, ReturnPlace::New },
)]
fn only_a_caller_that_returns_as_told_keeps_its_place(after_ms: u64, place: ReturnPlace) {
    let mut ledger = ledger();

    assert_eq!(ledger.claim(RequestDigest(1), Moment(NOW.0 + after_ms)), place);
    assert_eq!(ledger.claim(RequestDigest(2), Moment(NOW.0 + after_ms)), ReturnPlace::New);
}

#[test]
fn equal_requests_of_a_customer_take_one_place_each() {
    let mut ledger = ledger();
    ledger.note(notice(1, Moment(99_500), 1_200), NOW);
    let due = Moment(NOW.0 + 1_200);

    let places = [(); 3].map(|()| ledger.claim(RequestDigest(1), due));

    let [first, second] = [FIRST, Moment(99_500)].map(ReturnPlace::Returned);
    assert_eq!(places, [first, second, ReturnPlace::New]);
    assert!(ledger.is_empty());
}

#[parameterized(
    due_long_ago = { notice(7, FIRST, 0), 2_000 },
    due_in_an_hour = { notice(7, FIRST, 3_600_000), 0 },
    first_attempt_after_it_is_due = { notice(7, Moment(200_000), 1_000), 0 },
)]
fn notice_that_can_not_be_is_ignored(bad: ReturnNotice, after_ms: u64) {
    let mut ledger = ReturnLedger::default();

    assert!(!ledger.note(bad, Moment(NOW.0 + after_ms)));
    assert!(ledger.is_empty());
}

#[test]
fn full_ledger_ignores_notices_until_others_are_over() {
    // Guards against memory that grows with the number of refusals.
    let mut ledger = ReturnLedger::default();
    for request in 0..MAX_RETURNS as u128 {
        assert!(ledger.note(notice(request, FIRST, 1_000), NOW));
    }

    assert!(!ledger.note(notice(MAX_RETURNS as u128, FIRST, 1_000), NOW));
    assert!(ledger.note(notice(9, FIRST, 4_000), Moment(NOW.0 + 3_000)));
}
