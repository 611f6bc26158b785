//! Calls to upstreams that are not requests, namely reports and orders, and calls to stores of
//! prompt parts.
//!
//! Calls use up an upstream's rate limit as requests do, so they are counted as sends, and have a share
//! of their own in each limit: the loading of weights depends on them. Announcements in their answers
//! are applied, but what an answer to a call leaves out may hold for requests. A back-off is respected,
//! at stores too.

use crate::serve_context::ServeContext;
use crate::upstreams::announcement_watch::{note_announcements, note_call};
use crate::upstreams::connection_pool::ExchangeError;
use crate::upstreams::http_call::{BackingOffSnafu, CallAnswer, CallError, LimitedSnafu};
use crate::upstreams::reach_task::note_connect_failure;
use bytes::Bytes;
use guava_types::{Deadline, Moment, UpstreamId};
use http::Request;
use http_body_util::Full;
use snafu::ensure;
use std::net::SocketAddr;

/// Makes a call to an upstream; fails at once while it wants no requests, or the calls of its limit are
/// used up. `idle_ms` is the idle limit of the connection, which is kept for reuse.
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
    let is_limited = context.announcements.borrow().limit(upstream).is_some();
    ensure!(!is_limited || context.sends.borrow().has_call_capacity(upstream, sent), LimitedSnafu);
    note_call(context, upstream, sent);
    let called = context.pool.call(address, request, deadline, idle_ms).await;
    if let Err(CallError::NoAnswer { source: ExchangeError::NotSent { .. } }) = &called {
        note_connect_failure(context, upstream);
    }
    let answer = called?;
    let marks = (context.dialect.marks)(answer.status, &answer.headers);
    if !marks.is_unexpected {
        // Dated so early, what the answer leaves out ends nothing.
        let as_of = Moment::default();
        note_announcements(context, upstream, &marks.announcements, as_of);
    }
    Ok(answer)
}

/// Makes a call to a store of prompt parts; fails at once while it wants no requests. `idle_ms` is
/// the idle limit of the connection, which is kept for reuse.
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
    let mut backoffs = context.store_backoffs.borrow_mut();
    match announcements.backoff_until {
        Some(until) => drop(backoffs.insert(store, until)),
        None => drop(backoffs.remove(&store)),
    }
    Ok(answer)
}
