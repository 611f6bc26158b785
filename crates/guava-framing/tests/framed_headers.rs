//! Which headers of an answer state where its body ends.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_framing::is_framed;
use http::{HeaderMap, HeaderName};
use yare::parameterized;

fn headers(list: &[(&'static str, &str)]) -> HeaderMap {
    let pair = |(name, value): &(&'static str, &str)| {
        (HeaderName::from_static(name), value.parse().unwrap())
    };
    list.iter().map(pair).collect()
}

#[parameterized(
    nothing = { &[], false },
    length = { &[("content-length", "3")], true },
    chunks = { &[("transfer-encoding", "chunked")], true },
    letter_case = { &[("transfer-encoding", "Chunked")], true },
    chunked_last = { &[("transfer-encoding", "gzip, chunked")], true },
    chunked_last_of_two_lines = { &[("transfer-encoding", "gzip"), ("transfer-encoding", "chunked")], true },
    chunked_not_last = { &[("transfer-encoding", "chunked, gzip")], false },
    chunked_not_last_of_two_lines = { &[("transfer-encoding", "chunked"), ("transfer-encoding", "gzip")], false },
    other_coding = { &[("transfer-encoding", "identity")], false },
    other_coding_and_length = { &[("transfer-encoding", "identity"), ("content-length", "3")], false },
    chunks_and_length = { &[("transfer-encoding", "chunked"), ("content-length", "3")], true },
    no_coding = { &[("transfer-encoding", "")], false },
)]
fn only_a_length_or_chunks_frame_a_body(list: &[(&'static str, &str)], expected: bool) {
    assert_eq!(is_framed(&headers(list)), expected);
}
