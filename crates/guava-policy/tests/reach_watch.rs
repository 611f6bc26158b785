//! When a daemon has lost its links to all upstreams.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{ReachChange, ReachWatch};
use guava_types::{Moment, UpstreamId};

const START: Moment = Moment(100_000);

fn id(number: usize) -> UpstreamId {
    format!("u{number}").parse().unwrap()
}

fn after(millis: u64) -> Moment {
    Moment(START.0 + millis)
}

/// A watch that noted failures of so many upstreams, 100 ms apart.
fn failed(upstreams: usize) -> ReachWatch {
    let mut watch = ReachWatch::default();
    (0..upstreams).for_each(|number| watch.note_failure(&id(number), after(number as u64 * 100)));
    watch
}

#[test]
fn failures_of_several_upstreams_make_the_own_links_suspect() {
    let watch = failed(3);

    assert!(watch.is_suspected(18, after(300)));
    assert!(!watch.is_lost());
}

#[test]
fn failures_of_one_upstream_say_nothing_of_the_own_links() {
    let mut watch = failed(1);
    (0..20).for_each(|number| watch.note_failure(&id(0), after(number)));

    assert!(!watch.is_suspected(18, after(300)));
}

#[test]
fn failures_of_all_of_a_few_upstreams_make_the_own_links_suspect() {
    let watch = failed(2);

    assert!(watch.is_suspected(2, after(300)));
    assert!(!watch.is_suspected(3, after(300)));
}

#[test]
fn contact_between_failures_refutes_the_suspicion() {
    let mut watch = failed(2);
    watch.note_contact(after(250));
    watch.note_failure(&id(2), after(300));

    assert!(!watch.is_suspected(18, after(310)));
    assert!(watch.has_contact_since(after(200)));
    assert!(!watch.has_contact_since(after(250)));
}

#[test]
fn old_failures_do_not_count() {
    let mut watch = failed(2);
    watch.note_failure(&id(2), after(5_000));

    assert!(!watch.is_suspected(18, after(5_000)));
    assert!(!failed(3).is_suspected(18, after(5_000)));
}

#[test]
fn links_are_lost_once_a_sample_fails_until_the_next_contact() {
    let mut watch = failed(3);

    let lost = watch.note_unreached_sample(after(500));
    let again = watch.note_unreached_sample(after(700));
    let was_lost = watch.is_lost();
    let regained = watch.note_contact(after(1_500));

    assert_eq!((lost, again, was_lost), (Some(ReachChange::Lost), None, true));
    assert_eq!(regained, Some(ReachChange::Regained(1_000)));
    assert!(!watch.is_lost());
    assert!(!watch.is_suspected(18, after(1_500)));
}
