//! How reports of load age, and when they are not believed.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{KnownRequests, LoadEstimate, LoadNotice, ReportTable, request_bound};
use guava_types::{Moment, UpstreamId};
use yare::parameterized;

const NOW: Moment = Moment(10_000);
const SLOTS: u32 = 6;

fn upstream() -> UpstreamId {
    "u@1".parse().unwrap()
}

fn after(millis: u64) -> Moment {
    Moment(NOW.0 + millis)
}

/// A table with one report, received at `NOW`.
fn reported(load: &str) -> ReportTable {
    let mut table = ReportTable::default();
    table.note(&upstream(), load.parse().unwrap(), NOW);
    table
}

fn estimate(table: &ReportTable, known: KnownRequests, now: Moment) -> Option<LoadEstimate> {
    table.estimate(&upstream(), SLOTS, known, 0.0, now)
}

#[test]
fn report_counts_less_with_age_and_not_at_all_after_seconds() {
    let table = reported("6,2,6,250");

    let at = |millis| estimate(&table, KnownRequests::default(), after(millis));

    let [fresh, old] = [0, 1_000].map(|millis| at(millis).unwrap());
    assert!(fresh.is_full && fresh.requests == 8.0 && fresh.pace == 2.5, "{fresh:?}");
    assert!(!old.is_full && old.was_full && old.requests < 0.1, "{old:?}");
    assert!(old.pace < 1.1, "{old:?}");
    assert_eq!(at(3_000), None);
}

#[test]
fn sends_since_a_report_are_added_to_it() {
    let table = reported("6,0,6");
    let known = KnownRequests { own: 2, own_since: 2, total: 2 };

    let estimate = estimate(&table, known, NOW).unwrap();

    assert_eq!(estimate.requests, 8.0);
    assert!(estimate.is_full);
}

#[parameterized(
    many = { 6, 8 },
    few = { 2, 3 },
    one = { 1, 2 },
    unknown = { 0, 2 },
)]
fn bound_keeps_all_slots_busy_while_a_request_travels(slots: u32, expected: u32) {
    assert_eq!(request_bound(slots), expected);
}

#[test]
fn answers_that_are_faster_than_reports_permit_take_their_weight() {
    // Guards against an upstream that is left out because it states a load which it doesn't have.
    let mut table = reported("6,900,6,10000");

    for number in 1..=3 {
        table.note(&upstream(), "6,900,6,10000".parse().unwrap(), after(number * 100));
        table.note_answer(&upstream(), 30, after(number * 100));
    }

    let at = after(300);
    let estimate = estimate(&table, KnownRequests::default(), at).unwrap();
    assert!(!estimate.is_full && !estimate.was_full && estimate.pace == 1.0, "{estimate:?}");
    assert_eq!(table.report(&upstream(), at), None);
}

#[test]
fn slow_engine_that_reads_as_slowly_as_it_states_is_believed() {
    let mut table = reported("1,0,6,250");

    for number in 1..=5 {
        table.note(&upstream(), "1,0,6,250".parse().unwrap(), after(number * 100));
        assert!(table.note_read(&upstream(), 500, 200.0, after(number * 100)));
    }

    assert_eq!(table.pace(&upstream(), after(500)), 2.5);
}

#[test]
fn upstream_that_turns_requests_away_gets_none_for_longer_each_time() {
    // Guards against retries at an upstream that states room and takes nothing.
    let mut table = reported("0,0,6");
    let pause_ms = |table: &ReportTable| {
        let is_full = |millis: &u64| {
            estimate(table, KnownRequests::default(), after(*millis)).unwrap().is_full
        };
        (0..1_000).find(|millis| !is_full(millis)).unwrap()
    };

    let pauses = [(); 6].map(|()| {
        assert!(table.note_refused(&upstream(), NOW));
        pause_ms(&table)
    });

    assert_eq!(pauses, [25, 50, 100, 200, 400, 500]);
    table.note_answer(&upstream(), 25, NOW);
    assert_eq!(pause_ms(&table), 0);
}

#[test]
fn peers_are_told_of_changes_of_the_pace_only() {
    let mut table = ReportTable::default();
    let mut told = |load: &str| {
        table.note(&upstream(), load.parse().unwrap(), NOW);
        table.take_due().len()
    };

    let counts = ["1,0,6", "1,0,6,110", "1,0,6,250", "2,0,6,260", "2,0,6,100"].map(&mut told);

    assert_eq!(counts, [0, 0, 1, 0, 1]);
}

#[test]
fn message_to_peers_is_bounded_however_many_paces_change() {
    let mut table = ReportTable::default();
    for number in 0..600 {
        let engine = format!("e{number}@1").parse().unwrap();
        table.note(&engine, "1,0,6,250".parse().unwrap(), NOW);
    }

    assert_eq!(table.take_due().len(), 32);
}

#[test]
fn late_report_of_a_peer_does_not_replace_a_later_one() {
    let mut table = reported("1,0,6,100");
    let load = "6,2,6,250".parse().unwrap();
    let notice = |received| LoadNotice {
        upstream: upstream(),
        observation: guava_policy::LoadObservation { load, received },
    };

    table.apply_notice(&notice(Moment(NOW.0 - 1)));
    let before = table.pace(&upstream(), NOW);
    table.apply_notice(&notice(after(1)));

    assert_eq!(before, 1.0);
    assert_eq!(table.pace(&upstream(), after(1)), 2.5);
}

#[test]
fn only_first_of_several_unreadable_reports_is_news() {
    let mut table = ReportTable::default();

    let news = [(); 3].map(|()| table.note_unreadable(&upstream()));
    table.note(&upstream(), "1,0,6".parse().unwrap(), NOW);

    assert_eq!(news, [true, false, false]);
    assert!(table.note_unreadable(&upstream()));
}

#[test]
fn upstreams_that_are_no_longer_known_are_dropped() {
    let mut table = reported("1,0,6");

    table.retain(|_| false);

    assert_eq!(table.reported(&upstream(), NOW), None);
}
