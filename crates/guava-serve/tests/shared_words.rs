//! Who reads the platform's store when, and whose word counts.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_serve::{ReadPace, SharedWord, WordKeeper};
use guava_types::Moment;
use yare::parameterized;

const PACE: ReadPace = ReadPace { pause_ms: 800, wait_ms: 500, expiry_ms: 1_300 };

/// A daemon that read state 5 at 10 s.
fn keeper() -> WordKeeper {
    let mut keeper = WordKeeper::default();
    keeper.note_own(5, Moment(10_000));
    keeper
}

fn heard(state: u64, as_of: u64) -> SharedWord {
    SharedWord { state, as_of: Moment(as_of) }
}

#[test]
fn daemon_that_knows_nothing_reads() {
    assert!(WordKeeper::default().is_due(false, PACE, Moment(1)));
}

#[parameterized(
    reader_soon = { true, 10_700, false },
    reader_after_its_pause = { true, 10_800, true },
    other_soon = { false, 11_200, false },
    other_after_the_words_expiry = { false, 11_300, true },
)]
fn readers_read_in_turn_and_others_when_words_are_old(is_reader: bool, now: u64, expected: bool) {
    assert_eq!(keeper().is_due(is_reader, PACE, Moment(now)), expected);
}

#[test]
fn word_of_the_same_state_spares_a_read() {
    let mut keeper = keeper();

    keeper.note_heard(heard(5, 11_000));

    assert_eq!(keeper.confirmed(), Some(Moment(11_000)));
    assert!(!keeper.is_due(false, PACE, Moment(12_200)));
    assert!(keeper.is_due(false, PACE, Moment(12_300)));
}

#[test]
fn word_of_another_state_asks_for_a_read_at_once() {
    let mut keeper = keeper();

    keeper.note_heard(heard(6, 10_100));

    assert!(keeper.is_due(false, PACE, Moment(10_150)));
}

#[test]
fn word_from_before_the_own_read_means_nothing() {
    let mut keeper = keeper();

    keeper.note_heard(heard(4, 9_900));

    assert!(!keeper.is_due(false, PACE, Moment(10_150)));
    assert_eq!(keeper.confirmed(), Some(Moment(10_000)));
}

#[test]
fn readers_that_are_all_gone_are_noticed_in_time() {
    // Symptom: a daemon sends work to an upstream that left seconds ago.
    // Sequence: all daemons that read the list are lost in one moment; an upstream leaves.
    // Cause: no news was taken for good news.
    let pace = ReadPace::within(2_000);
    let mut keeper = keeper();
    keeper.note_heard(heard(5, 10_900));

    let due = (11_000..).find(|now| keeper.is_due(false, pace, Moment(*now))).unwrap();

    assert!(due <= 10_900 + 2_000 * 3 / 4, "{due}");
}

#[test]
fn others_do_not_read_while_a_reader_waits_for_changes() {
    // Symptom: all daemons read the operator's records all the time, though one reads for all.
    // Sequence: a reader's call waits for the next change; its word is as old as the call, and the
    // next word comes only when the next call has ended.
    // Cause: the wait was as long as a pause, and twice that is older than words may be.
    let pace = ReadPace::within(2_000);
    let message_ms = 250;

    let oldest = 2 * pace.wait_ms + message_ms;

    assert!(oldest + 10 <= pace.expiry_ms, "{oldest} of {}", pace.expiry_ms);
}
