//! How often a store that fails is asked again.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{MemberDescriptor, RetryPause, STANDBYS, is_read_urgent};
use guava_types::Moment;
use support::{address, serve_context};

/// Calls that a daemon makes while the store refuses all of them for so long.
fn calls_in(millis: u64, is_urgent: bool) -> u64 {
    let mut retry = RetryPause::default();
    let mut at_ms = 0;
    let mut calls = 0;
    while at_ms < millis {
        calls += 1;
        at_ms += u64::try_from(retry.after_failure(is_urgent, 0.5).as_millis()).unwrap();
    }
    calls
}

#[test]
fn store_that_refuses_for_long_is_asked_ever_more_rarely() {
    // Symptom: eight seconds in which the store refuses cost more calls than the rest of the day.
    // Sequence: each word grows old, and each of some hundred daemons reads four times a second.
    // Cause: the pause after a failed call was always the same.
    let urgent = calls_in(8_000, true);
    let other = calls_in(8_000, false);

    assert!((14..=18).contains(&urgent), "{urgent}");
    assert!(other <= 6, "{other}");
}

#[test]
fn one_lost_answer_is_made_up_for_at_once() {
    let mut retry = RetryPause::default();
    for _ in 0..5 {
        retry.after_failure(true, 0.0);
    }

    retry.reset();

    assert_eq!(retry.after_failure(true, 0.0).as_millis(), 250);
}

#[test]
fn daemons_that_lost_the_store_together_come_back_apart() {
    let pause = |draw| RetryPause::default().after_failure(false, draw).as_millis();

    assert!(pause(0.9) > pause(0.1));
}

#[test]
fn daemon_without_a_configuration_asks_often_whatever_its_turn() {
    let context = serve_context("d1");
    for place in 0..100 {
        let note = MemberDescriptor {
            name: format!("other{place}").parse().unwrap(),
            data_centre: "east".parse().unwrap(),
            peer_address: address(place),
            caller_address: address(place),
            is_ready: true,
        };
        context.members.borrow_mut().note_from_peer(note, Moment::now());
    }
    context.members.borrow_mut().note_listed();
    let name = &context.identity.name;
    assert!(context.members.borrow().reader_rank(name, Moment::now()) > STANDBYS);

    assert!(is_read_urgent(&context));
}
