//! Calls to upstreams beside requests: reports and orders.
//!
//! They reach the upstream as requests do, so they count among what was sent to it, and what it says of
//! itself in their answers is taken in. They are few, and weights wait for them, so no limit holds them
//! back.

use crate::serve_parts::ServeParts;
use crate::upstreams::http_call::{CallAnswer, CallError};
use crate::upstreams::word_watch::note_words;
use bytes::Bytes;
use guava_types::{Deadline, Moment, UpstreamId};
use http::Request;
use http_body_util::Full;
use std::net::SocketAddr;

/// Makes a call to an upstream; its connection is kept for so many milliseconds.
pub async fn call_upstream(
    parts: &ServeParts,
    upstream: &UpstreamId,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Deadline,
    idle_ms: u64,
) -> Result<CallAnswer, CallError> {
    let sent = Moment::now();
    parts.sends.borrow_mut().note(upstream, sent);
    let answer = parts.pool.call(address, request, deadline, idle_ms).await?;
    let marks = (parts.dialect.marks)(answer.status, &answer.headers);
    if !marks.is_unexpected {
        note_words(parts, upstream, &marks.words, sent);
    }
    Ok(answer)
}
