//! Leaving is the union of all sources and final for one incarnation.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_daemon::LeavingTable;
use guava_types::UpstreamId;

fn engine() -> UpstreamId {
    "engine-0".parse().unwrap()
}

#[test]
fn notice_ends_only_with_another_incarnation() {
    let mut table = LeavingTable::default();
    table.note_report(&engine(), "first", false);
    table.note_list(&engine());

    table.note_report(&engine(), "first", false);
    let same = table.is_leaving(&engine());
    table.note_report(&engine(), "second", false);

    assert!(same);
    assert!(!table.is_leaving(&engine()));
}

#[test]
fn peers_notice_of_an_older_incarnation_is_not_taken() {
    // Symptom: a replaced engine gets no work.
    // Sequence: a peer that has not heard of the replacement gossips its notice on.
    // Cause: the notice names the server, not its incarnation.
    let mut table = LeavingTable::default();
    table.note_report(&engine(), "second", false);

    table.note_peer(&engine(), "first");

    assert!(!table.is_leaving(&engine()));
}

#[test]
fn notices_of_peers_are_not_passed_on_as_own() {
    let mut table = LeavingTable::default();
    table.note_peer(&engine(), "first");

    assert!(table.is_leaving(&engine()));
    assert_eq!(table.own_notices().count(), 0);
}
