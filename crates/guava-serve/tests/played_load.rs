//! What callers get of a load that binds at the links of stores, played without a network.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::StoreTraits;
use std::rc::Rc;
use support::played::{PlayedLoad, play, share_in_time};
use support::store;

const OBJECTIVE_MS: u64 = 1_200;

fn store_at(name: &str, port: u16, centre: &str, bytes_per_s: u64) -> Rc<StoreTraits> {
    let data_centre = centre.parse().unwrap();
    Rc::new(StoreTraits { data_centre, bytes_per_s, ..(*store(name, port)).clone() })
}

/// Ten long prompts a second for six engines and two stores in the other data centre.
fn load() -> PlayedLoad {
    PlayedLoad {
        stores: vec![
            store_at("s1", 1, "west", 3_500_000_000),
            store_at("s2", 2, "west", 3_500_000_000),
        ],
        engines: vec![
            ("e1", "east"),
            ("e2", "east"),
            ("e3", "east"),
            ("w1", "west"),
            ("w2", "west"),
            ("w3", "west"),
        ],
        pause_ms: 100,
        slow: (0, 0, 1.0),
        is_watched: true,
        end_ms: 31_000,
    }
}

#[test]
fn prompts_stay_in_time_while_a_link_is_eight_times_slower() {
    // Symptom: for seven seconds a third of the prompts is late.
    // Sequence: one store's link turns eight times slower for eight seconds; its queue grows to two.
    // Cause: it was reckoned with at its configured rate. In time meanwhile: 0.29 before, 0.91 now.
    let slow = (10_000, 18_000, 8.0);

    let watched = play(&PlayedLoad { slow, ..load() });
    let blind = play(&PlayedLoad { slow, is_watched: false, ..load() });

    let during = share_in_time(&watched, 10_000, 18_000, OBJECTIVE_MS);
    let before = share_in_time(&blind, 10_000, 18_000, OBJECTIVE_MS);
    let after = share_in_time(&watched, 21_000, 31_000, OBJECTIVE_MS);
    assert!(during > 0.85 && before < 0.5, "in time: {during}, {before} without a watch");
    assert!(after > 0.99, "in time afterwards: {after}");
}

#[test]
fn links_of_stores_carry_more_where_engines_beside_them_fetch() {
    // Symptom: most of what lies in stores is read again, since their links are busy.
    // Sequence: 25 long prompts a second return; all stores stand in the other data centre.
    // Cause: transfers were reckoned for the daemon's data centre, and went across, which takes a link
    // twice as long. Read again: 0.135 of the shared tokens before, none now.
    let answers = play(&PlayedLoad { pause_ms: 40, ..load() });

    let again: u64 = answers.iter().map(|answer| answer.read_again).sum();
    let share = again as f64 / (answers.len() as f64 * 9_000.0);
    let in_time = share_in_time(&answers, 1_000, 31_000, OBJECTIVE_MS);
    assert!(share < 0.05, "read again: {share}");
    assert!(in_time > 0.95, "in time: {in_time}");
}
