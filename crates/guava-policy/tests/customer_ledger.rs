//! Customers' use of a service, as all daemons together see it.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::CustomerLedger;
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
