//! Holds requests while the upstream list or the configuration is stale and about to be read.
//!
//! A daemon that was suspended for a while resumes with requests in its sockets and with outdated
//! upstreams and configuration. Its reads are due and take some milliseconds. Requests served before
//! them would go to upstreams that have left, or by removed keys and routes, so requests wait for these
//! reads for a bounded time, and are not sent if the list is still stale then. They don't wait while the
//! platform's store is unavailable to all daemons: then none can learn of a change. That this daemon's
//! own reads fail does not show it.

use crate::members::shared_reads::ReadTracker;
use crate::serve_context::ServeContext;
use guava_types::{Deadline, Moment};
use std::time::Duration;
use tokio::time::sleep;

/// Longest time for which a request is held, in milliseconds. When the store falls silent, this
/// daemon's read has failed by then, which shows that it is away.
const MAX_HOLD_MS: u64 = 650;
/// Longest wait for the next read of the list by any daemon, in milliseconds: longer than the interval
/// between two of them, and shorter than callers wait for an event.
const MAX_CONFIRM_MS: u64 = 1_500;
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

/// Whether the list of upstreams may miss that one is leaving.
pub fn is_list_stale(context: &ServeContext) -> bool {
    let (limit_ms, now) = (context.bounds.leave_limit_ms, Moment::now());
    let list = &context.reads.borrow().list;
    // While no daemon can read the list it does not change, so it must have been fresh at the last read.
    let last_read = list.freshest().filter(|_| is_list_away(context, list, limit_ms, now));
    is_stale(list, limit_ms, last_read.unwrap_or(now))
}

/// Whether no daemon can read the list, as far as is known here.
fn is_list_away(context: &ServeContext, list: &ReadTracker, limit_ms: u64, now: Moment) -> bool {
    let is_recent = |read: Moment| now.millis_since(read) <= limit_ms;
    context.upstreams.borrow().is_unavailable() && !list.freshest().is_some_and(is_recent)
}

fn is_config_stale(context: &ServeContext) -> bool {
    let limit_ms = context.bounds.config_limit_ms;
    let is_stale = is_stale(&context.reads.borrow().operator, limit_ms, Moment::now());
    is_stale && !context.is_operator_unavailable.get()
}

/// Waits until the list of upstreams is fresh enough for a send, at most `MAX_HOLD_MS`; returns whether
/// it is.
pub async fn await_fresh_list(context: &ServeContext) -> bool {
    hold_while(|| is_list_stale(context)).await
}

/// Waits until the configuration is fresh enough for admission, at most `MAX_HOLD_MS`.
pub async fn await_fresh_config(context: &ServeContext) {
    hold_while(|| is_config_stale(context)).await;
}

/// Waits until the list of upstreams is known to contain all that had been listed at a moment, at most
/// `MAX_CONFIRM_MS` and until the deadline; returns whether it is.
pub async fn await_list_since(context: &ServeContext, moment: Moment, deadline: Deadline) -> bool {
    let is_older = || context.reads.borrow().list.confirmed() < Some(moment);
    hold_until(Deadline::in_millis(MAX_CONFIRM_MS).earlier(deadline), is_older).await
}

async fn hold_while(is_stale: impl Fn() -> bool) -> bool {
    hold_until(Deadline::in_millis(MAX_HOLD_MS), is_stale).await
}

async fn hold_until(deadline: Deadline, is_stale: impl Fn() -> bool) -> bool {
    while is_stale() {
        if deadline.passed(Moment::now()) {
            return false;
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    true
}
