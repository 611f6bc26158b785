//! Customers' use of a service, as all daemons together see it.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{CustomerLedger, WaitingUse};
use guava_types::{CustomerId, Deadline, Moment};

const NOW: Moment = Moment(10_000);

fn customer(name: &str) -> CustomerId {
    name.parse().unwrap()
}

#[test]
fn use_at_peers_counts_until_the_peer_is_silent() {
    let mut ledger = CustomerLedger::default();
    ledger.charge(Some(&customer("a")), 4.0, NOW);

    let report = vec![(customer("a"), 6.0), (customer("b"), 1.0)];
    let silent_at = Deadline::after(NOW, 500);
    ledger.note_peer(&"d2".parse().unwrap(), report, silent_at, NOW);

    assert_eq!(ledger.used(Some(&customer("a")), NOW), 10.0);
    assert_eq!(ledger.used(Some(&customer("b")), NOW), 1.0);
    assert_eq!(ledger.used(Some(&customer("b")), Moment(NOW.0 + 500)), 0.0);
}

#[test]
fn use_halves_in_two_seconds() {
    let mut ledger = CustomerLedger::default();
    ledger.charge(None, 8.0, NOW);

    let later = ledger.used(None, Moment(NOW.0 + 2_000));

    assert!((later - 4.0).abs() < 1e-9, "{later}");
}

#[test]
fn later_report_of_a_peer_replaces_its_earlier_one() {
    let mut ledger = CustomerLedger::default();
    let peer = "d2".parse().unwrap();
    let silent_at = Deadline::after(NOW, 1_500);
    ledger.note_peer(&peer, vec![(customer("a"), 6.0), (customer("b"), 3.0)], silent_at, NOW);

    ledger.note_peer(&peer, vec![(customer("a"), 2.0)], silent_at, NOW);

    let uses = ["a", "b"].map(|name| ledger.used(Some(&customer(name)), NOW));
    assert_eq!(uses, [2.0, 0.0]);
}

#[test]
fn swept_ledger_keeps_only_what_still_counts() {
    // Guards against memory that grows with all customers and daemons that there ever were.
    let mut ledger = CustomerLedger::default();
    ledger.charge(Some(&customer("a")), 8.0, NOW);
    let (lost, current) = ("d2".parse().unwrap(), "d3".parse().unwrap());
    ledger.note_peer(&lost, vec![(customer("a"), 1e9)], Deadline::after(NOW, 500), NOW);
    ledger.note_peer(&current, vec![(customer("a"), 4.0)], Deadline::after(NOW, 60_000), NOW);

    let later = Moment(NOW.0 + 2_000);
    ledger.sweep(later);
    let kept = ledger.used(Some(&customer("a")), later);
    ledger.sweep(Moment(NOW.0 + 50_000));

    assert!((kept - 6.0).abs() < 1e-6, "{kept}");
    assert!(ledger.is_empty());
}

#[yare::parameterized(
    far_ahead_of_the_waiting = { Some("a"), 1, 4.0, true },
    a_little_ahead = { Some("a"), 1, 9.0, false },
    of_better_rank = { Some("a"), 0, 4.0, false },
    of_no_customer = { None, 1, 4.0, false },
)]
fn request_yields_to_those_that_wait_elsewhere_for_a_limited_time(
    name: Option<&str>,
    rank: u8,
    lowest: f64,
    must_yield: bool,
) {
    let mut ledger = CustomerLedger::default();
    let name = name.map(customer);
    ledger.charge(name.as_ref(), 10.0, NOW);
    let waiting = WaitingUse { rank: 1, lowest };
    ledger.note_peer_waiting(&"d2".parse().unwrap(), Some(waiting), Deadline::after(NOW, 500));

    assert_eq!(ledger.must_yield(name.as_ref(), rank, NOW), must_yield);
    assert!(!ledger.must_yield(name.as_ref(), rank, Moment(NOW.0 + 500)));
}
