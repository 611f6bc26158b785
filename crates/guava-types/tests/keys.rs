//! Text forms of keys, names and units.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_types::{
    ByteCount, CallKey, CallerKey, CustomerId, Incarnation, LinkRate, Moment, PinnedKey,
};
use yare::parameterized;

const LOGGED: &str = "018f4e3c-8a70-7c3e-9a64-0242ac120002";

#[test]
fn logged_key_tells_its_window() {
    let key: CallerKey = LOGGED.parse().unwrap();

    let issued = key.issued_wall().unwrap();
    let end = key.window_end_wall().unwrap();

    assert_eq!(issued.0, 0x018f_4e3c_8a70);
    assert_eq!(end.0 - issued.0, 3_600_000);
}

#[test]
fn pinned_key_reads_back() {
    let pinned = PinnedKey { incarnation: Incarnation(7), issued: Moment(1_234), nonce: 99 };
    let key = CallerKey::Pinned(pinned);

    let back: CallerKey = key.to_string().parse().unwrap();

    assert_eq!(back, key);
}

#[test]
fn call_key_reads_back() {
    let text = format!("acme/{LOGGED}");

    let key: CallKey = text.parse().unwrap();

    assert_eq!(key.to_string(), text);
}

#[parameterized(
    empty = { "" },
    any_text = { "order-17" },
    version_4 = { "7e2f2b3a-3f0e-4a55-9c1e-0d3c2f1b4a5d" },
    pinned_without_parts = { "pin-00000000000000000000000000000007" },
    pinned_with_more = { "pin-00000000000000000000000000000007-1-2-3" },
)]
fn other_text_is_no_key(text: &str) {
    assert!(text.parse::<CallerKey>().is_err());
}

#[parameterized(
    empty = { "" },
    capital = { "Acme" },
    slash = { "a/b" },
    leading_dash = { "-a" },
    accent = { "smíchov" },
    long = { "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" },
)]
fn other_text_is_no_name(text: &str) {
    assert!(text.parse::<CustomerId>().is_err());
}

#[test]
fn units_read_back_and_refuse_others() {
    assert_eq!("17 B".parse::<ByteCount>(), Ok(ByteCount(17)));
    assert_eq!(LinkRate(5).to_string(), "5 B/s");
    assert!("17 kB".parse::<ByteCount>().is_err());
    assert!("17".parse::<ByteCount>().is_err());
}
