//! Calls to upstreams beside requests: reports and orders.
//!
//! They reach the upstream as requests do, so they count among what was sent to it, and what it says of
//! itself in their answers is taken in. They are few, and weights wait for them, so no limit holds them
//! back; a rest that was asked for does. It also does at stores of cached parts.

use crate::serve_context::ServeContext;
use crate::upstreams::announcement_watch::{note_announcements, note_send};
use crate::upstreams::http_call::{BackingOffSnafu, CallAnswer, CallError};
use bytes::Bytes;
use guava_types::{Deadline, Moment, UpstreamId};
use http::Request;
use http_body_util::Full;
use snafu::ensure;
use std::net::SocketAddr;

/// Makes a call to an upstream; its connection is kept for so many milliseconds.
pub async fn call_upstream(
    context: &ServeContext,
    upstream: &UpstreamId,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Deadline,
    idle_ms: u64,
) -> Result<CallAnswer, CallError> {
    let sent = Moment::now();
    ensure!(
        context.announcements.borrow().backoff_until(upstream, sent).is_none(),
        BackingOffSnafu
    );
    note_send(context, upstream, sent);
    let answer = context.pool.call(address, request, deadline, idle_ms).await?;
    let marks = (context.dialect.marks)(answer.status, &answer.headers);
    if !marks.is_unexpected {
        note_announcements(context, upstream, &marks.announcements, sent);
    }
    Ok(answer)
}

/// Makes a call to a store of cached parts; its connection is kept for so many milliseconds.
pub async fn call_store(
    context: &ServeContext,
    store: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Deadline,
    idle_ms: u64,
) -> Result<CallAnswer, CallError> {
    let backoff_until = context.store_backoffs.borrow().get(&store).copied();
    ensure!(backoff_until.is_none_or(|until| until.passed(Moment::now())), BackingOffSnafu);
    let answer = context.pool.call(store, request, deadline, idle_ms).await?;
    let announcements = (context.dialect.marks)(answer.status, &answer.headers).announcements;
    let mut rests = context.store_backoffs.borrow_mut();
    match announcements.backoff_until {
        Some(until) => drop(rests.insert(store, until)),
        None => drop(rests.remove(&store)),
    }
    Ok(answer)
}
