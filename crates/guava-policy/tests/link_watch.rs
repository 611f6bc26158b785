//! Estimates of a link's slowness from the fetches over it.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{AwaitedFetch, LinkWatch};
use guava_types::Moment;

/// A fetch of 50 ms at the configured rate, sent at a moment.
fn fetch(sent: u64, slowness: f64) -> AwaitedFetch {
    AwaitedFetch { sent: Moment(sent), other_ms: 40.0, expected_ms: 50.0 * slowness, slowness }
}

/// A link whose fetches, one sent every 100 ms, had their first tokens after these times.
fn watch(taken_ms: &[u64]) -> LinkWatch {
    let mut watch = LinkWatch::default();
    for (ticket, taken_ms) in (0..).zip(taken_ms) {
        let sent = 1_000 + ticket * 100;
        watch.begin(ticket, fetch(sent, 1.0));
        watch.arrived(ticket, Moment(sent + taken_ms));
    }
    watch
}

#[test]
fn link_is_slow_when_all_recent_fetches_were() {
    let slow = watch(&[90, 90, 440, 440, 440]);

    let slowness = slow.slowness(Moment(2_000)).unwrap();

    assert!((slowness - 8.0).abs() < 0.1, "{slowness}");
}

#[test]
fn single_late_fetch_does_not_make_a_link_slow() {
    // Symptom: a store with a healthy link is not fetched from for seconds.
    // Sequence: an engine stalls with a fetch in flight, between fetches that are in time.
    // Cause: the delay was attributed to the link alone.
    let healthy = watch(&[90, 2_000, 90]);

    assert!(healthy.slowness(Moment(3_200)).unwrap() < 1.01);
}

#[test]
fn overdue_fetches_count_before_they_finish() {
    // Symptom: prompts fetch over a slow link until the first late fetch finishes, two seconds
    // later.
    // Sequence: a link turns slow while fetches are awaited.
    // Cause: only finished fetches counted.
    let mut watch = LinkWatch::default();
    watch.begin(1, fetch(1_000, 1.0));
    watch.begin(2, fetch(1_050, 1.0));

    let early = watch.slowness(Moment(1_120));
    let late = watch.slowness(Moment(1_290)).unwrap();

    assert_eq!(early, None);
    assert!((late - 4.0).abs() < 0.1, "{late}");
}

#[test]
fn abandoned_fetch_counts_if_it_was_overdue() {
    let mut watch = LinkWatch::default();
    for ticket in 0..2 {
        watch.begin(ticket, fetch(1_000, 1.0));
        watch.dropped(ticket, Moment(1_440));
    }

    assert!(watch.slowness(Moment(1_500)).unwrap() > 7.0);
}

#[test]
fn recovery_of_a_link_shows_at_the_first_fetch_in_time() {
    let mut watch = watch(&[440, 440, 440]);
    watch.begin(9, fetch(2_000, 8.0));

    watch.arrived(9, Moment(2_090));

    assert!(watch.slowness(Moment(2_100)).unwrap() < 1.1);
}

#[test]
fn slow_link_without_fetches_is_used_again_after_the_expiry() {
    let slow = watch(&[440, 440, 440]);

    assert!(slow.slowness(Moment(2_500)).unwrap() > 7.0);
    assert_eq!(slow.slowness(Moment(4_000)), None);
}
