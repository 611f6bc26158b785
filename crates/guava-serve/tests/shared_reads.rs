//! When the reader, its standbys and the other daemons read the platform's store.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_serve::{ReadMark, ReadPace, ReadTracker, STANDBYS, SharedReads, read_as_of};
use guava_types::Moment;
use yare::parameterized;

const PACE: ReadPace =
    ReadPace { interval_ms: 800, wait_ms: 500, standby_ms: 1_100, expiry_ms: 1_300 };
/// Ranks of the reader, of the last standby and of the daemon behind it.
const READER: usize = 0;
const STANDBY: usize = STANDBYS;
const OTHER: usize = STANDBYS + 1;

/// A daemon that read state 5 at 10 s.
fn tracker() -> ReadTracker {
    let mut tracker = ReadTracker::default();
    tracker.note_own(5, Moment(10_000));
    tracker
}

fn peer_mark(state: u64, as_of: u64) -> ReadMark {
    ReadMark { state, as_of: Moment(as_of) }
}

#[test]
fn daemon_without_a_read_is_due() {
    assert!(ReadTracker::default().is_due(OTHER, PACE, Moment(1)));
}

#[parameterized(
    reader_soon = { READER, 10_700, false },
    reader_after_its_interval = { READER, 10_800, true },
    standby_soon = { STANDBY, 11_000, false },
    standby_before_the_others = { STANDBY, 11_100, true },
    other_soon = { OTHER, 11_200, false },
    other_after_the_marks_expiry = { OTHER, 11_300, true },
)]
fn standbys_read_after_the_reader_and_others_when_marks_expire(
    rank: usize,
    now: u64,
    expected: bool,
) {
    assert_eq!(tracker().is_due(rank, PACE, Moment(now)), expected);
}

#[test]
fn mark_of_the_same_state_postpones_a_read() {
    let mut tracker = tracker();

    tracker.note_from_peer(peer_mark(5, 11_000));

    assert_eq!(tracker.confirmed(), Some(Moment(11_000)));
    assert!(!tracker.is_due(OTHER, PACE, Moment(12_200)));
    assert!(tracker.is_due(OTHER, PACE, Moment(12_300)));
}

#[test]
fn mark_of_another_state_makes_a_read_due_at_once() {
    let mut tracker = tracker();

    tracker.note_from_peer(peer_mark(6, 10_100));

    assert!(tracker.is_due(OTHER, PACE, Moment(10_150)));
}

#[test]
fn mark_older_than_the_own_read_is_ignored() {
    let mut tracker = tracker();

    tracker.note_from_peer(peer_mark(4, 9_900));

    assert!(!tracker.is_due(OTHER, PACE, Moment(10_150)));
    assert_eq!(tracker.confirmed(), Some(Moment(10_000)));
}

#[test]
fn loss_of_all_readers_is_detected_before_the_limit() {
    // Symptom: a daemon sends requests to an upstream that left seconds ago.
    // Sequence: the reader and all standbys are lost at the same moment; an upstream leaves.
    // Cause: the absence of new marks was taken to mean that nothing had changed.
    let pace = ReadPace::within(2_000);
    let mut tracker = tracker();
    tracker.note_from_peer(peer_mark(5, 10_900));

    let due = (11_000..).find(|now| tracker.is_due(OTHER, pace, Moment(*now))).unwrap();

    assert!(due <= 10_900 + 2_000 * 3 / 4, "{due}");
}

#[parameterized(small = { 2_000, 250 }, grown = { 3_000, 500 }, large = { 4_000, 500 })]
fn others_do_not_read_while_the_reader_waits_for_changes(limit_ms: u64, message_ms: u64) {
    // Symptom: all daemons read the operator's records all the time, although one reads for all.
    // Sequence: the reader's call waits for the next change; its mark is as old as the call, and the
    // next mark is sent only when the next call has returned.
    // Cause: the wait was as long as the read interval; together with the interval between two marks
    // that exceeded the age at which the standbys read.
    let pace = ReadPace::within(limit_ms);

    let oldest = pace.wait_ms.max(pace.interval_ms) + message_ms;

    assert!(oldest + 10 <= pace.standby_ms, "{oldest} of {}", pace.standby_ms);
    assert!(pace.standby_ms < pace.expiry_ms);
}

#[parameterized(
    no_change_after_the_complete_wait = { true, 10_500, 10_500 },
    no_change_before_the_end_of_the_wait = { true, 10_300, 10_000 },
    change_found = { false, 10_700, 10_000 },
)]
fn read_without_changes_is_dated_at_the_end_of_its_wait(
    is_empty: bool,
    answered: u64,
    expected: u64,
) {
    let as_of = read_as_of(Moment(10_000), 500, is_empty, Moment(answered));

    assert_eq!(as_of, Moment(expected));
}

#[test]
fn standby_reads_for_all_when_the_reader_is_cut_off_from_the_store() {
    // Symptom: a daemon is cut off from the store only, and 295 daemons read at the same moment.
    // Sequence: it is the reader; its last mark becomes stale at all other daemons together.
    // Cause: the reader had no standbys.
    let pace = ReadPace::within(4_000);
    let (mut standby, mut other) = (tracker(), tracker());
    let takeover = (10_000..).find(|now| standby.is_due(STANDBY, pace, Moment(*now))).unwrap();
    let read = takeover + 150;

    assert!(standby.is_urgent(5, Moment(read), pace));
    standby.note_own(5, Moment(read));
    other.note_from_peer(standby.own().unwrap());

    assert!(!(10_000..read).any(|now| other.is_due(OTHER, pace, Moment(now))));
    assert!(!other.is_due(OTHER, pace, Moment(read + pace.expiry_ms - 1)));
}

#[test]
fn changed_state_is_urgent_and_unchanged_state_is_not() {
    let tracker = tracker();

    assert!(tracker.is_urgent(6, Moment(10_100), PACE));
    assert!(!tracker.is_urgent(5, Moment(10_100), PACE));
}

#[parameterized(
    first_publication = { None, 1, true, Some(12) },
    further_publication = { Some(9), 2, true, Some(9) },
    no_new_records = { Some(9), 0, true, Some(9) },
    no_records_yet = { None, 0, true, None },
    configuration = { Some(9), 1, false, None },
)]
fn records_that_only_publish_weights_need_not_be_read_by_peers(
    before: Option<u64>,
    count: usize,
    only_publications: bool,
    expected: Option<u64>,
) {
    let mut reads = SharedReads { published_since: before, ..SharedReads::default() };

    reads.note_records(12, count, only_publications);

    assert_eq!(reads.published_since, expected);
}

#[test]
fn change_is_dated_at_the_last_read_without_it() {
    // Guards against a change that looks as recent as the late read that found it.
    let mut tracker = ReadTracker::default();
    assert_eq!(tracker.changed_since(Moment(5_000)), Moment(5_000));

    tracker.note_own(7, Moment(1_000));
    tracker.note_from_peer(peer_mark(7, 1_400));
    tracker.note_from_peer(peer_mark(8, 1_900));

    assert_eq!(tracker.changed_since(Moment(5_000)), Moment(1_400));
}

#[test]
fn state_stays_confirmed_by_a_peers_read_when_the_next_read_finds_a_change() {
    // Guards against requests held or refused for a list that was right a moment ago.
    let mut tracker = tracker();
    tracker.note_from_peer(peer_mark(5, 19_500));

    tracker.note_from_peer(peer_mark(6, 20_000));
    let told = tracker.confirmed();
    tracker.note_state(7);
    let changed = tracker.confirmed();
    tracker.note_replaced(9, Moment(18_000));

    assert_eq!((told, changed), (Some(Moment(19_500)), Some(Moment(19_500))));
    assert_eq!(tracker.confirmed(), Some(Moment(18_000)), "a whole list may be older");
}

#[parameterized(
    read_by_others_meanwhile = { &[11_000, 12_000, 13_000], 1_200, true },
    read_by_nobody_for_long = { &[11_000, 13_500], 1_200, false },
    read_by_nobody = { &[], 1_200, false },
    renewals_unknown = { &[11_000, 12_000, 13_000], 0, false },
)]
fn reads_are_unbroken_while_others_read_it_often_enough_for_renewals(
    reads: &[u64],
    renewal_ms: u64,
    expected: bool,
) {
    // Guards against work for upstreams that left, at a daemon that alone can't read the store.
    let mut tracker = ReadTracker::default();
    tracker.note_available(Some(Moment(10_000)), renewal_ms);
    tracker.note_own(5, Moment(10_000));

    for read in reads {
        tracker.note_from_peer(peer_mark(5, *read));
        tracker.note_available(None, renewal_ms);
    }
    tracker.note_available(Some(Moment(14_000)), renewal_ms);

    assert_eq!(tracker.is_unbroken(), expected);
}
