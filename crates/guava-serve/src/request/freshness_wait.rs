//! Holds requests while this daemon is about to learn what it missed.
//!
//! A daemon that did not run for a while wakes with requests in its sockets, and knows upstreams and
//! configuration as they were before. Its reads are due and take some milliseconds; requests served
//! meanwhile would go to upstreams that have left, or by keys and routes that are gone. So they wait
//! for these reads, for a bounded time, and not at all while the platform's store is known to be
//! away: then nothing changes that anybody could know of.

use crate::members::shared_reads::ReadTracker;
use crate::serve_context::ServeContext;
use guava_types::{Deadline, Moment};
use std::time::Duration;
use tokio::time::sleep;

/// Longest time that a request is held for this, in milliseconds.
const LONGEST_HOLD_MS: u64 = 400;
/// Pause between two looks, in milliseconds.
const LOOK_MS: u64 = 4;
/// Part of the time in which a change must be in force after which what is known counts as stale; the
/// rest is for the way to the upstream.
const STALE_PART: f64 = 0.95;

/// Whether what was read may miss a change that must be in force by now.
pub fn is_stale(tracker: &ReadTracker, limit_ms: u64, now: Moment) -> bool {
    let stale_ms = (limit_ms as f64 * STALE_PART) as u64;
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

/// Waits until the list of upstreams is fresh enough to send by.
pub async fn await_fresh_list(context: &ServeContext) {
    hold_while(|| is_list_stale(context)).await;
}

/// Waits until the configuration is fresh enough to admit by.
pub async fn await_fresh_config(context: &ServeContext) {
    hold_while(|| is_config_stale(context)).await;
}

async fn hold_while(is_stale: impl Fn() -> bool) {
    if !is_stale() {
        return;
    }
    let until = Deadline::in_millis(LONGEST_HOLD_MS);
    while is_stale() && !until.passed(Moment::now()) {
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
}
