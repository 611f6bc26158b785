//! The framing that an answer's headers state.

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// Whether the headers of an answer tell the end of its body from the end of its connection.
///
/// A transfer coding overrides a length, and only `chunked` as the last one frames the body.
pub fn is_framed(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(TRANSFER_ENCODING);
    match codings.iter().next_back() {
        Some(last) => last
            .to_str()
            .ok()
            .and_then(|codings| codings.rsplit(',').next())
            .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")),
        None => headers.contains_key(CONTENT_LENGTH),
    }
}

/// Removes an answer's transfer codings before it is passed on, and a length that they override.
pub fn strip_codings(headers: &mut HeaderMap) {
    if headers.remove(TRANSFER_ENCODING).is_some() {
        headers.remove(CONTENT_LENGTH);
    }
}
