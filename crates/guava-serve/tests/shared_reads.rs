//! Who reads the platform's store when, and whose word counts.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_serve::{ReadMark, ReadPace, ReadTracker, STANDBYS, SharedReads, read_as_of};
use guava_types::Moment;
use yare::parameterized;

const PACE: ReadPace =
    ReadPace { pause_ms: 800, wait_ms: 500, standby_ms: 1_100, expiry_ms: 1_300 };
/// Turns: the reader's, the last standby's, and one behind it.
const READER: usize = 0;
const STANDBY: usize = STANDBYS;
const OTHER: usize = STANDBYS + 1;

/// A daemon that read state 5 at 10 s.
fn keeper() -> ReadTracker {
    let mut keeper = ReadTracker::default();
    keeper.note_own(5, Moment(10_000));
    keeper
}

fn heard(state: u64, as_of: u64) -> ReadMark {
    ReadMark { state, as_of: Moment(as_of) }
}

#[test]
fn daemon_that_knows_nothing_reads() {
    assert!(ReadTracker::default().is_due(OTHER, PACE, Moment(1)));
}

#[parameterized(
    reader_soon = { READER, 10_700, false },
    reader_after_its_pause = { READER, 10_800, true },
    standby_soon = { STANDBY, 11_000, false },
    standby_before_the_others = { STANDBY, 11_100, true },
    other_soon = { OTHER, 11_200, false },
    other_after_the_words_expiry = { OTHER, 11_300, true },
)]
fn readers_read_in_turn_and_others_when_words_are_old(turn: usize, now: u64, expected: bool) {
    assert_eq!(keeper().is_due(turn, PACE, Moment(now)), expected);
}

#[test]
fn word_of_the_same_state_spares_a_read() {
    let mut keeper = keeper();

    keeper.note_from_peer(heard(5, 11_000));

    assert_eq!(keeper.confirmed(), Some(Moment(11_000)));
    assert!(!keeper.is_due(OTHER, PACE, Moment(12_200)));
    assert!(keeper.is_due(OTHER, PACE, Moment(12_300)));
}

#[test]
fn word_of_another_state_asks_for_a_read_at_once() {
    let mut keeper = keeper();

    keeper.note_from_peer(heard(6, 10_100));

    assert!(keeper.is_due(OTHER, PACE, Moment(10_150)));
}

#[test]
fn word_from_before_the_own_read_means_nothing() {
    let mut keeper = keeper();

    keeper.note_from_peer(heard(4, 9_900));

    assert!(!keeper.is_due(OTHER, PACE, Moment(10_150)));
    assert_eq!(keeper.confirmed(), Some(Moment(10_000)));
}

#[test]
fn readers_that_are_all_gone_are_noticed_in_time() {
    // Symptom: a daemon sends work to an upstream that left seconds ago.
    // Sequence: all daemons that read the list are lost in one moment; an upstream leaves.
    // Cause: no news was taken for good news.
    let pace = ReadPace::within(2_000);
    let mut keeper = keeper();
    keeper.note_from_peer(heard(5, 10_900));

    let due = (11_000..).find(|now| keeper.is_due(OTHER, pace, Moment(*now))).unwrap();

    assert!(due <= 10_900 + 2_000 * 3 / 4, "{due}");
}

#[parameterized(small = { 2_000, 250 }, grown = { 3_000, 500 }, large = { 4_000, 500 })]
fn others_do_not_read_while_a_reader_waits_for_changes(limit_ms: u64, message_ms: u64) {
    // Symptom: all daemons read the operator's records all the time, though one reads for all.
    // Sequence: the reader's call waits for the next change; its word is as old as the call, and the
    // next word comes only when the next call has ended.
    // Cause: the wait was as long as a pause, and with the pause between two words that is older
    // than words may be.
    let pace = ReadPace::within(limit_ms);

    let oldest = pace.wait_ms.max(pace.pause_ms) + message_ms;

    assert!(oldest + 10 <= pace.standby_ms, "{oldest} of {}", pace.standby_ms);
    assert!(pace.standby_ms < pace.expiry_ms);
}

#[parameterized(
    nothing_after_the_whole_wait = { true, 10_500, 10_500 },
    nothing_and_too_soon = { true, 10_300, 10_000 },
    a_change = { false, 10_700, 10_000 },
)]
fn read_that_waited_in_vain_is_right_as_of_its_end(is_empty: bool, answered: u64, expected: u64) {
    let as_of = read_as_of(Moment(10_000), 500, is_empty, Moment(answered));

    assert_eq!(as_of, Moment(expected));
}

#[test]
fn standby_reads_for_all_when_the_reader_is_cut_off_from_the_store() {
    // Symptom: a daemon is cut off from the store alone, and 295 daemons read at the same moment.
    // Sequence: it is the one that reads for all; its word grows old at all others together.
    // Cause: nobody was next in turn.
    let pace = ReadPace::within(4_000);
    let (mut standby, mut other) = (keeper(), keeper());
    let taken_over = (10_000..).find(|now| standby.is_due(STANDBY, pace, Moment(*now))).unwrap();
    let read = taken_over + 150;

    assert!(standby.is_urgent(5, Moment(read), pace));
    standby.note_own(5, Moment(read));
    other.note_from_peer(standby.own().unwrap());

    assert!(!(10_000..read).any(|now| other.is_due(OTHER, pace, Moment(now))));
    assert!(!other.is_due(OTHER, pace, Moment(read + pace.expiry_ms - 1)));
}

#[test]
fn news_is_told_at_once_and_the_rest_now_and_then() {
    let keeper = keeper();

    assert!(keeper.is_urgent(6, Moment(10_100), PACE));
    assert!(!keeper.is_urgent(5, Moment(10_100), PACE));
}

#[parameterized(
    first_publication = { None, 1, true, Some(12) },
    further_publication = { Some(9), 2, true, Some(9) },
    nothing_new = { Some(9), 0, true, Some(9) },
    nothing_ever = { None, 0, true, None },
    configuration = { Some(9), 1, false, None },
)]
fn others_are_spared_what_only_publishes_weights(
    before: Option<u64>,
    count: usize,
    only_publications: bool,
    expected: Option<u64>,
) {
    let mut announcements = SharedReads { published_since: before, ..SharedReads::default() };

    announcements.note_records(12, count, only_publications);

    assert_eq!(announcements.published_since, expected);
}
