//! Watches whether this daemon reaches any upstream, and finds out when it does again.

use crate::events;
use crate::serve_context::ServeContext;
use crate::upstreams::service_rings::RingPosition;
use futures_util::stream::{FuturesUnordered, StreamExt};
use guava_log::log_event;
use guava_policy::ReachChange;
use guava_types::{Moment, UpstreamId};
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Upstreams that are checked before this daemon's own links count as lost.
const SAMPLE_SIZE: usize = 8;
/// Upstreams that are checked at a time while the links are lost, or to confirm a crash.
const SMALL_SAMPLE_SIZE: usize = 3;
/// Interval between two checks while the links are lost, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;

/// Task that checks this daemon's links when they are suspected, and while they are lost; never
/// returns.
pub async fn watch_reach(context: Rc<ServeContext>) {
    loop {
        if context.reach.borrow().is_lost() {
            if !is_any_reachable(&context, SMALL_SAMPLE_SIZE).await {
                sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            }
            continue;
        }
        context.reach_due.notified().await;
        let upstreams = context.upstreams.borrow().count();
        let is_suspected = context.reach.borrow().is_suspected(upstreams, Moment::now());
        if is_suspected && !is_any_reachable(&context, SAMPLE_SIZE).await {
            let change = context.reach.borrow_mut().note_unreached_sample(Moment::now());
            apply_reach_change(&context, change);
        }
    }
}

/// Notes that no connection to an upstream could be opened, or that a new one broke without an
/// answer.
pub fn note_connect_failure(context: &ServeContext, upstream: &UpstreamId) {
    context.reach.borrow_mut().note_failure(upstream, Moment::now());
    context.reach_due.notify_one();
}

/// Notes contact to an upstream over a new connection.
pub fn note_contact(context: &ServeContext) {
    let change = context.reach.borrow_mut().note_contact(Moment::now());
    apply_reach_change(context, change);
}

/// Whether this daemon reached any upstream after a moment; checks a few if that is not known.
pub async fn confirm_reach(context: &ServeContext, since: Moment) -> bool {
    let is_known = context.reach.borrow().has_contact_since(since);
    is_known || is_any_reachable(context, SMALL_SAMPLE_SIZE).await
}

/// Checks a sample of upstreams at once; returns whether any of them can be reached.
async fn is_any_reachable(context: &ServeContext, size: usize) -> bool {
    let checks = sample(context, size).into_iter().map(|address| context.pool.is_alive(address));
    let mut checks: FuturesUnordered<_> = checks.collect();
    while let Some(is_alive) = checks.next().await {
        if is_alive {
            note_contact(context);
            return true;
        }
    }
    false
}

/// Addresses of a few upstreams of any service, in a random order; those that count as crashed are
/// taken last.
fn sample(context: &ServeContext, size: usize) -> Vec<SocketAddr> {
    let now = Moment::now();
    let upstreams = context.upstreams.borrow();
    let mut addresses: Vec<(bool, SocketAddr)> = upstreams
        .sample(RingPosition(rand::random()), size)
        .map(|entry| (upstreams.has_crashed(&entry.id, now), entry.address))
        .collect();
    addresses.shuffle(&mut rand::rng());
    addresses.sort_by_key(|(has_crashed, _)| *has_crashed);
    addresses.into_iter().take(size).map(|(_, address)| address).collect()
}

fn apply_reach_change(context: &ServeContext, change: Option<ReachChange>) {
    match change {
        Some(ReachChange::Lost) => {
            let upstreams = context.upstreams.borrow().count();
            log_event!(warn, events::REACH_LOST, upstreams = upstreams);
            // They may be silent though they look open.
            context.pool.close_all_idle();
        }
        Some(ReachChange::Regained(lost_ms)) => {
            log_event!(info, events::REACH_REGAINED, lost_ms = lost_ms);
            // Those that refused may have been the lost links.
            context.upstreams.borrow_mut().forget_crashes();
        }
        None => return,
    }
    let is_lost = change == Some(ReachChange::Lost);
    context.members.borrow_mut().note_cut_off(is_lost);
    context.metrics.note_reach(!is_lost);
}
