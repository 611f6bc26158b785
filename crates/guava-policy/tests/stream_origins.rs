//! Where streams began: what daemons remember, whom they tell, and what answers of peers mean.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{
    ASKED_HOMES, MAX_ORIGINS, ORIGIN_COPIES, OriginNotice, OriginQuery, OriginRecord, OriginTable,
    QueryState, StreamOrigin, first_homes,
};
use guava_types::{Deadline, Moment, StreamKey};
use std::net::SocketAddr;
use yare::parameterized;

const NOW: Moment = Moment(100_000);

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin { service: "llm".parse().unwrap(), software: software.parse().unwrap() }
}

fn notice(stream: u128, software: &str, left_ms: u64) -> OriginNotice {
    let until = Deadline::after(NOW, left_ms);
    OriginNotice { stream: StreamKey(stream), origin: origin(software), until }
}

fn after(millis: u64) -> Moment {
    Moment(NOW.0 + millis)
}

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Daemons `0..count`, each with a weight that differs by stream.
fn daemons(count: u64, stream: u64) -> Vec<(u64, f64)> {
    let weight = |daemon: u64| {
        let mixed = (daemon + 1).wrapping_mul(stream + 7).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        (mixed >> 11) as f64
    };
    (0..count).map(|daemon| (daemon, weight(daemon))).collect()
}

/// The homes that the daemon tells which begins a stream.
fn told(daemons: &[(u64, f64)], beginner: u64) -> Vec<u64> {
    let homes = first_homes(daemons.to_vec(), ORIGIN_COPIES + 1);
    homes.filter(|home| *home != beginner).take(ORIGIN_COPIES).collect()
}

#[test]
fn stream_is_known_until_its_caller_s_time_is_over() {
    let mut table = OriginTable::default();
    table.note(notice(1, "v1", 5_000), NOW);

    assert_eq!(table.find(StreamKey(1), after(4_999)), OriginRecord::Known(origin("v1")));
    assert_eq!(table.find(StreamKey(1), after(5_000)), OriginRecord::Unknown);
    assert_eq!(table.find(StreamKey(2), NOW), OriginRecord::Unknown);

    table.sweep(after(5_000));
    assert_eq!(table.count(), 0);
}

#[test]
fn stream_that_was_begun_at_two_versions_belongs_to_neither() {
    // Guards against a request that ran at two peers, of which one answer was lost.
    let mut table = OriginTable::default();
    table.note(notice(1, "v1", 5_000), NOW);
    table.note(notice(1, "v1", 5_000), NOW);
    assert_eq!(table.find(StreamKey(1), NOW), OriginRecord::Known(origin("v1")));

    table.note(notice(1, "v2", 5_000), NOW);
    table.note(notice(1, "v1", 5_000), NOW);

    assert_eq!(table.find(StreamKey(1), NOW), OriginRecord::Ambiguous);
}

#[test]
fn full_table_forgets_the_streams_that_expire_first() {
    let mut table = OriginTable::default();
    for stream in 0..MAX_ORIGINS as u64 {
        table.note(notice(stream.into(), "v1", 10_000 + stream), NOW);
    }

    table.note(notice(u128::MAX, "v1", 5_000), NOW);

    assert!(table.count() <= MAX_ORIGINS);
    assert_eq!(table.find(StreamKey(0), NOW), OriginRecord::Unknown);
    let last = StreamKey(MAX_ORIGINS as u128 - 1);
    assert_eq!(table.find(last, NOW), OriginRecord::Known(origin("v1")));
    assert_eq!(table.find(StreamKey(u128::MAX), NOW), OriginRecord::Known(origin("v1")));
}

#[test]
fn stream_whose_caller_states_endless_time_is_forgotten() {
    let mut table = OriginTable::default();
    table.note(notice(1, "v1", u64::MAX / 2), NOW);

    table.sweep(after(60_000));

    assert_eq!(table.count(), 0);
}

#[parameterized(
    nobody_yet = { &[], QueryState::Open },
    some_do_not_know = { &[(1, None), (1, None)], QueryState::Open },
    none_knows = { &[(1, None), (2, None)], QueryState::Unknown },
    one_knows = { &[(1, None), (2, Some("v1"))], QueryState::Found(origin("v1")) },
    they_agree = { &[(1, Some("v1")), (2, Some("v1"))], QueryState::Found(origin("v1")) },
    they_disagree = { &[(1, Some("v1")), (2, Some("v2"))], QueryState::Unknown },
)]
fn answers_of_two_peers(answers: &[(u16, Option<&str>)], expected: QueryState) {
    let mut query = OriginQuery::new(Some(2));

    for (port, software) in answers {
        let record =
            software.map_or(OriginRecord::Unknown, |version| OriginRecord::Known(origin(version)));
        query.note(peer(*port), record);
    }

    assert_eq!(query.state(), expected);
    assert_eq!(query.is_answered(), !answers.is_empty());
}

#[test]
fn stream_that_a_peer_knows_to_be_begun_twice_is_unknown() {
    let mut query = OriginQuery::new(Some(3));
    query.note(peer(1), OriginRecord::Known(origin("v1")));
    query.note(peer(2), OriginRecord::Ambiguous);

    assert_eq!(query.state(), QueryState::Unknown);
}

#[test]
fn query_without_a_known_number_of_answers_stays_open_until_one_knows() {
    let mut query = OriginQuery::new(None);
    (1..9).for_each(|port| query.note(peer(port), OriginRecord::Unknown));
    assert_eq!(query.state(), QueryState::Open);

    query.note(peer(9), OriginRecord::Known(origin("v1")));

    assert_eq!(query.state(), QueryState::Found(origin("v1")));
}

#[parameterized(small = { 6, 4 }, two_centres = { 8, 2 }, large = { 700, 12 })]
fn loss_of_a_data_centre_leaves_homes_of_most_streams(count: u64, centres: u64) {
    let is_left = |stream: &u64| {
        let beginner = stream % count;
        let homes = told(&daemons(count, *stream), beginner);
        assert_eq!(homes.len(), ORIGIN_COPIES);
        assert!(!homes.contains(&beginner));
        homes.iter().any(|home| home % centres != beginner % centres)
    };

    let left = (0..400).filter(is_left).count();

    assert!(left >= 300, "{left} of 400");
}

#[test]
fn each_home_is_asked_whichever_daemon_is_missed_or_back() {
    // Guards against streams that are refused since the daemons' views differ by one.
    let all = |stream| daemons(8, stream);
    for stream in 0..200 {
        for missing in 0..8 {
            let without: Vec<_> =
                all(stream).into_iter().filter(|(daemon, ..)| *daemon != missing).collect();
            let beginner = (missing + 1) % 8;
            let views = [(all(stream), without.clone()), (without, all(stream))];
            for (beginning, asking) in views {
                let asked: Vec<u64> = first_homes(asking, ASKED_HOMES).collect();
                let told = told(&beginning, beginner);
                let lost = told.iter().filter(|it| **it != missing && !asked.contains(it));
                assert_eq!(lost.count(), 0, "{told:?} {asked:?} without {missing}");
            }
        }
    }
}

#[test]
fn streams_are_spread_evenly_over_the_daemons() {
    let mut counts = [0_u32; 8];
    for stream in 0..4_000 {
        for home in told(&daemons(8, stream), stream % 8) {
            counts[home as usize] += 1;
        }
    }

    let mean = 4_000 * ORIGIN_COPIES as u32 / 8;
    assert!(counts.iter().all(|count| (mean / 2..mean * 2).contains(count)), "{counts:?}");
}
