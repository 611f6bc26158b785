//! The framing that an answer's head states.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};

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

/// Whether a status is that of an answer: three digits from 200 to 599. Interim statuses precede an
/// answer, 101 ends HTTP on a connection that asked for nothing else, and all others are undefined.
pub fn is_answer_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
