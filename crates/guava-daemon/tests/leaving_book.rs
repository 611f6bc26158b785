//! Leaving is the union of all sources and final for one incarnation.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_daemon::LeavingBook;
use guava_types::UpstreamId;

fn engine() -> UpstreamId {
    "engine-0".parse().unwrap()
}

#[test]
fn notice_ends_only_with_another_incarnation() {
    let mut book = LeavingBook::default();
    book.note_report(&engine(), "first", false);
    book.note_list(&engine());

    book.note_report(&engine(), "first", false);
    let same = book.is_leaving(&engine());
    book.note_report(&engine(), "second", false);

    assert!(same);
    assert!(!book.is_leaving(&engine()));
}

#[test]
fn peers_notice_of_an_older_incarnation_is_not_taken() {
    // Symptom: a replaced engine gets no work.
    // Sequence: a peer that has not heard of the replacement gossips its notice on.
    // Cause: the notice names the server, not its incarnation.
    let mut book = LeavingBook::default();
    book.note_report(&engine(), "second", false);

    book.note_peer(&engine(), "first");

    assert!(!book.is_leaving(&engine()));
}

#[test]
fn notices_of_peers_are_not_passed_on_as_own() {
    let mut book = LeavingBook::default();
    book.note_peer(&engine(), "first");

    assert!(book.is_leaving(&engine()));
    assert_eq!(book.own_notices().count(), 0);
}
