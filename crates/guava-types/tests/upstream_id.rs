//! Ids of upstreams: a name, and which start of it.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_types::UpstreamId;
use yare::parameterized;

fn id(text: &str) -> UpstreamId {
    text.parse().unwrap()
}

#[test]
fn id_tells_name_and_start() {
    let plain = id("i-7f3a91c2");

    let started = plain.started_at(1_764_710_000_000);

    assert_eq!(started.as_str(), "i-7f3a91c2@1764710000000");
    assert_eq!((started.name(), started.start_ms()), ("i-7f3a91c2", Some(1_764_710_000_000)));
    assert_eq!((plain.name(), plain.start_ms()), ("i-7f3a91c2", None));
    assert_eq!(started.to_string().parse(), Ok(started));
}

#[parameterized(
    earlier = { "a@1", "a@2", true },
    the_same = { "a@2", "a@2", false },
    later = { "a@3", "a@2", false },
    by_number_not_by_letters = { "a@9", "a@10", true },
    untold = { "a", "a@1", true },
    another_name = { "b@1", "a@2", false },
)]
fn starts_of_one_name_are_in_order(one: &str, other: &str, expected: bool) {
    assert_eq!(id(one).is_before(&id(other)), expected);
}

#[parameterized(
    no_name = { "@1" },
    no_start = { "a@" },
    no_number = { "a@x" },
    two_writings_of_one_start = { "a@01" },
    plus_sign = { "a@+1" },
    two_marks = { "a@1@2" },
    too_large = { "a@99999999999999999999999" },
)]
fn what_is_no_id_is_refused(text: &str) {
    assert!(text.parse::<UpstreamId>().is_err());
}
