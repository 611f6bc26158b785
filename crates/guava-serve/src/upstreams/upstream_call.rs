//! Calls to upstreams beside requests: reports and orders.
//!
//! They reach the upstream as requests do, so they count among what was sent to it, and what it says of
//! itself in their answers is taken in. They are few, and weights wait for them, so no limit holds them
//! back; a rest that was asked for does. It also does at stores of cached parts.

use crate::serve_parts::ServeParts;
use crate::upstreams::http_call::{CallAnswer, CallError, RestingSnafu};
use crate::upstreams::word_watch::{note_send, note_words};
use bytes::Bytes;
use guava_types::{Deadline, Moment, UpstreamId};
use http::Request;
use http_body_util::Full;
use snafu::ensure;
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
    ensure!(parts.words.borrow().rest_until(upstream, sent).is_none(), RestingSnafu);
    note_send(parts, upstream, sent);
    let answer = parts.pool.call(address, request, deadline, idle_ms).await?;
    let marks = (parts.dialect.marks)(answer.status, &answer.headers);
    if !marks.is_unexpected {
        note_words(parts, upstream, &marks.words, sent);
    }
    Ok(answer)
}

/// Makes a call to a store of cached parts; its connection is kept for so many milliseconds.
pub async fn call_store(
    parts: &ServeParts,
    store: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Deadline,
    idle_ms: u64,
) -> Result<CallAnswer, CallError> {
    let rest_until = parts.store_rests.borrow().get(&store).copied();
    ensure!(rest_until.is_none_or(|until| until.passed(Moment::now())), RestingSnafu);
    let answer = parts.pool.call(store, request, deadline, idle_ms).await?;
    let words = (parts.dialect.marks)(answer.status, &answer.headers).words;
    let mut rests = parts.store_rests.borrow_mut();
    match words.rest_until {
        Some(until) => drop(rests.insert(store, until)),
        None => drop(rests.remove(&store)),
    }
    Ok(answer)
}
