//! Holds requests while the upstream list or the configuration is stale and about to be read.
//!
//! A daemon that was suspended for a while resumes with requests in its sockets and with outdated
//! upstreams and configuration. Its reads are due and take some milliseconds. Requests served before
//! them would go to upstreams that have left, or by removed keys and routes, so requests wait for these
//! reads for a bounded time. They don't wait while the platform's store is known to be unavailable: then
//! no daemon can learn of a change.

use crate::members::shared_reads::ReadTracker;
use crate::serve_context::ServeContext;
use guava_types::{Deadline, Moment};
use std::time::Duration;
use tokio::time::sleep;

/// Longest time for which a request is held, in milliseconds.
const MAX_HOLD_MS: u64 = 400;
/// Interval between two checks for fresh data, in milliseconds.
const POLL_INTERVAL_MS: u64 = 4;
/// Fraction of the time limit of a change after which data counts as stale. The remainder is for the
/// send to the upstream.
const STALE_FRACTION: f64 = 0.95;

/// Whether the last read may miss a change that must be in force by now, `limit_ms` after it was made.
///
/// `false` if nothing was ever read.
pub fn is_stale(tracker: &ReadTracker, limit_ms: u64, now: Moment) -> bool {
    let stale_ms = (limit_ms as f64 * STALE_FRACTION) as u64;
    tracker.confirmed().is_some_and(|confirmed| now.millis_since(confirmed) > stale_ms)
}

fn is_list_stale(context: &ServeContext) -> bool {
    let is_stale =
        is_stale(&context.reads.borrow().list, context.bounds.leave_limit_ms, Moment::now());
    is_stale && !context.upstreams.borrow().is_unavailable()
}

fn is_config_stale(context: &ServeContext) -> bool {
    let limit_ms = context.bounds.config_limit_ms;
    let is_stale = is_stale(&context.reads.borrow().operator, limit_ms, Moment::now());
    is_stale && !context.is_operator_unavailable.get()
}

/// Waits until the list of upstreams is fresh enough for a send, at most `MAX_HOLD_MS`.
pub async fn await_fresh_list(context: &ServeContext) {
    hold_while(|| is_list_stale(context)).await;
}

/// Waits until the configuration is fresh enough for admission, at most `MAX_HOLD_MS`.
pub async fn await_fresh_config(context: &ServeContext) {
    hold_while(|| is_config_stale(context)).await;
}

async fn hold_while(is_stale: impl Fn() -> bool) {
    if !is_stale() {
        return;
    }
    let deadline = Deadline::in_millis(MAX_HOLD_MS);
    while is_stale() && !deadline.passed(Moment::now()) {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
