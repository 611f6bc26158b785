//! Delays between the retries of failed calls to the platform's store.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{MemberDescriptor, RetryPause, STANDBYS, is_read_urgent};
use guava_types::{CoreShare, Moment};
use support::{address, serve_context};

/// Number of calls that a daemon makes in `millis` while the store refuses all of them.
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
fn retry_delay_grows_while_the_store_refuses_calls() {
    // Guards against a constant retry delay: the read marks become stale, and each of some hundred
    // daemons reads four times a second, so that eight seconds of refusals cost more calls than the
    // rest of the day.
    let urgent = calls_in(8_000, true);
    let other = calls_in(8_000, false);

    assert!((14..=18).contains(&urgent), "{urgent}");
    assert!(other <= 6, "{other}");
}

#[test]
fn success_resets_the_retry_delay() {
    let mut retry = RetryPause::default();
    for _ in 0..5 {
        retry.after_failure(true, 0.0);
    }

    retry.reset();

    assert_eq!(retry.after_failure(true, 0.0).as_millis(), 250);
}

#[test]
fn retry_delays_of_daemons_that_fail_together_differ() {
    let delay = |draw| RetryPause::default().after_failure(false, draw).as_millis();

    assert!(delay(0.9) > delay(0.1));
}

#[test]
fn reads_of_a_daemon_without_a_configuration_are_urgent_at_any_rank() {
    let context = serve_context("d1");
    for number in 0..100 {
        let member = MemberDescriptor {
            name: format!("other{number}").parse().unwrap(),
            data_centre: "east".parse().unwrap(),
            peer_address: address(number),
            caller_address: address(number),
            is_ready: true,
            capacity: CoreShare(250),
        };
        context.members.borrow_mut().note_from_peer(member, Moment::now());
    }
    context.members.borrow_mut().note_listed();
    let name = &context.identity.name;
    assert!(context.members.borrow().reader_rank(name, Moment::now()) > STANDBYS);

    assert!(is_read_urgent(&context));
}
