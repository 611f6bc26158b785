//! Detection of upstreams that crash, and the evidence against requests in flight there.
//!
//! A crash is detected by a refused connection. The upstream is then not used for a time, and the
//! requests in flight are recorded in the crash ledger, which quarantines those that were in flight
//! at several crashes. They are recorded only if other upstreams are still reached: where this
//! daemon's own links are reset, all upstreams look crashed, and the requests have done nothing.

use crate::events;
use crate::request::accepted_request::AcceptedRequest;
use crate::serve_context::ServeContext;
use crate::upstreams::broken_send_table::InterruptedSends;
use crate::upstreams::crash_notice::CrashNotice;
use crate::upstreams::reach_task::confirm_reach;
use guava_log::log_event;
use guava_policy::{ClearNotice, LedgerChange, QuarantineNotice};
use guava_types::{Deadline, Moment, RequestDigest, UpstreamId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Delay before the check whether an upstream still listens, in milliseconds. A process that exits
/// closes its sockets one after the other, and its listener may be the last.
const LISTENER_CHECK_DELAY_MS: u64 = 5;
/// For how long an upstream counts as crashed, in milliseconds. Its entry lapses after three missed
/// heartbeats, and the removal is read within a second of that. An upstream that was considered
/// crashed by mistake is used again after this time.
const CRASH_RETENTION_MS: u64 = 4_500;
/// Largest number of request digests in one log line.
const MAX_LOGGED_DIGESTS: usize = 12;

/// Notes an interrupted send: the connection broke after the upstream may have begun to run the
/// request. The first one at an upstream starts a check whether that upstream crashed.
pub fn note_interrupted(
    context: &Rc<ServeContext>,
    upstream: &UpstreamId,
    request: &AcceptedRequest,
) {
    let now = Moment::now();
    if context.upstreams.borrow().has_crashed(upstream, now) {
        let mut sends = InterruptedSends::none(now);
        sends.push(request);
        let (context, upstream) = (Rc::clone(context), upstream.clone());
        drop(tokio::task::spawn_local(note_confirmed_crash(context, upstream, sends)));
    } else if context.broken_sends.borrow_mut().note_interrupted(upstream, request, now) {
        drop(tokio::task::spawn_local(check_listener(Rc::clone(context), upstream.clone())));
    }
}

async fn check_listener(context: Rc<ServeContext>, upstream: UpstreamId) {
    sleep(Duration::from_millis(LISTENER_CHECK_DELAY_MS)).await;
    let address = context.upstreams.borrow().entry(&upstream).map(|entry| entry.address);
    let is_listening = match address {
        Some(address) => context.pool.is_listening(address).await,
        None => None,
    };
    if is_listening == Some(false) {
        note_refused(&context, &upstream);
    } else {
        // It is running, or that is unknown: the interrupted sends are no evidence.
        context.broken_sends.borrow_mut().take(&upstream);
    }
}

/// Notes that an upstream's address refuses connections: it crashed, or this daemon's links are lost.
pub fn note_refused(context: &Rc<ServeContext>, upstream: &UpstreamId) {
    let now = Moment::now();
    let sends = context.broken_sends.borrow_mut().take(upstream);
    let is_known = context.upstreams.borrow().has_crashed(upstream, now);
    mark_crashed(context, upstream, now);
    let sends = sends.unwrap_or(InterruptedSends::none(now));
    if !is_known || !sends.requests.is_empty() {
        let (context, upstream) = (Rc::clone(context), upstream.clone());
        drop(tokio::task::spawn_local(note_confirmed_crash(context, upstream, sends)));
    }
}

/// Notes a crash, unless no other upstream is reached since the first send was interrupted.
async fn note_confirmed_crash(
    context: Rc<ServeContext>,
    upstream: UpstreamId,
    sends: InterruptedSends,
) {
    if confirm_reach(&context, sends.since).await {
        let InterruptedSends { since, requests, mut parts } = sends;
        let now = Moment::now();
        parts.retain(|part| !context.answered_parts.borrow().is_answered(part.digest, now));
        note_upstream_crash(&context, CrashNotice { upstream, at: since, requests, parts });
    }
}

/// Notes that an upstream crashed, with this daemon's requests that were in flight there, and
/// gossips these requests to the peers.
///
/// Peers use the notice as evidence against the requests only and go on using the upstream, which
/// they may reach even if this daemon can't. Otherwise one daemon behind a network partition that
/// refuses connections would make every upstream unavailable to all.
pub fn note_upstream_crash(context: &ServeContext, mut notice: CrashNotice) {
    let now = Moment::now();
    if context.is_leaving(&notice.upstream) {
        // It exited as announced: that is no evidence against any request.
        notice.requests.clear();
        notice.parts.clear();
    }
    mark_crashed(context, &notice.upstream, now);
    log_event!(
        info,
        events::UPSTREAM_CRASHED,
        upstream = notice.upstream,
        under = notice.requests.len(),
        digests = digest_list(notice.requests.iter()),
        parts = digest_list(notice.parts.iter().map(|part| &part.digest))
    );
    // Even without requests, it shows that the requests are not the cause of other crashes at the
    // same moment.
    let is_change = apply_crash(context, &notice, now);
    if is_change && !(notice.requests.is_empty() && notice.parts.is_empty()) {
        context.crash_gossip.borrow_mut().note_crash(notice, now);
        context.message_due.notify_one();
    }
}

fn digest_list<'a>(digests: impl Iterator<Item = &'a RequestDigest>) -> String {
    digests.take(MAX_LOGGED_DIGESTS).map(RequestDigest::to_string).collect::<Vec<_>>().join(" ")
}

/// Marks an upstream as crashed and closes the idle connections to it.
fn mark_crashed(context: &ServeContext, upstream: &UpstreamId, now: Moment) {
    let mut upstreams = context.upstreams.borrow_mut();
    let Some(address) = upstreams.entry(upstream).map(|entry| entry.address) else { return };
    upstreams.note_crashed(upstream, Deadline::after(now, CRASH_RETENTION_MS));
    context.pool.close_idle(address);
}

/// Applies a crash that was detected here or reported by a peer to the crash ledger; returns
/// whether it changed anything. The upstream need not be listed here.
pub fn apply_crash(context: &ServeContext, notice: &CrashNotice, now: Moment) -> bool {
    let mut ledger = context.ledger.borrow_mut();
    let CrashNotice { upstream, at, requests, parts } = notice;
    let change = ledger.note_crash_with_parts(upstream, requests, parts, *at, now);
    drop(ledger);
    log_quarantine_changes(context, &change);
    change.is_change
}

fn log_quarantine_changes(context: &ServeContext, change: &LedgerChange) {
    for request in &change.quarantined {
        context.metrics.count_request("stopped");
        log_event!(warn, events::REQUEST_QUARANTINED, digest = request, source = "evidence");
    }
    for request in &change.released {
        log_event!(info, events::REQUEST_CLEARED, digest = request, reason = "explained");
    }
    if !change.quarantined.is_empty() || !change.released.is_empty() {
        schedule_quarantine_gossip(context);
    }
}

/// Schedules quarantines and clearances that were just decided here for the peers and the store.
fn schedule_quarantine_gossip(context: &ServeContext) {
    context.verdicts_due.set(true);
    context.message_due.notify_one();
    context.quarantines_due.notify_one();
}

/// Applies a quarantine that a peer reported.
pub fn apply_quarantine(context: &ServeContext, quarantine: QuarantineNotice, now: Moment) {
    if context.ledger.borrow_mut().note_from_peer(quarantine, now) {
        log_event!(warn, events::REQUEST_QUARANTINED, digest = quarantine.request, source = "peer");
        context.quarantines_due.notify_one();
    }
}

/// Notes that an upstream completed a request successfully, which clears the request and the parts of
/// its prompt.
pub fn note_answer(context: &ServeContext, request: &AcceptedRequest) {
    let now = Moment::now();
    let parts = request.shared_parts();
    for part in &parts {
        context.answered_parts.borrow_mut().note(part.digest, now);
    }
    // The ledger is nearly always empty, so the request's digest is rarely needed.
    if context.ledger.borrow().is_empty() {
        return;
    }
    note_request_answered(context, request.digest());
    parts.iter().for_each(|part| note_request_answered(context, part.digest));
}

/// Notes that the request with this digest, or one with this part, was completed successfully, which
/// clears it.
pub fn note_request_answered(context: &ServeContext, request: RequestDigest) {
    clear(context, request, "answered");
}

/// Notes that an operator dropped the record of a quarantined request, which clears it at all
/// daemons as an answer does.
pub fn note_record_dropped(context: &ServeContext, request: RequestDigest) {
    clear(context, request, "dropped");
}

fn clear(context: &ServeContext, request: RequestDigest, reason: &str) {
    let now = Moment::now();
    if context.ledger.borrow_mut().note_answer(request, now) {
        context.crash_gossip.borrow_mut().remove_cleared(ClearNotice { request, at: now });
        log_event!(info, events::REQUEST_CLEARED, digest = request, reason = reason);
        schedule_quarantine_gossip(context);
    }
}

/// Applies a clearance that a peer reported: evidence up to its moment is dropped.
pub fn apply_cleared(context: &ServeContext, notice: ClearNotice, now: Moment) {
    context.ledger.borrow_mut().note_cleared(notice, now);
    context.crash_gossip.borrow_mut().remove_cleared(notice);
}

/// End of a request's quarantine, or of that of a part of its prompt; `None` if none is quarantined.
pub fn quarantined_until(context: &ServeContext, request: &AcceptedRequest) -> Option<Deadline> {
    let ledger = context.ledger.borrow();
    if ledger.is_empty() {
        return None;
    }
    let now = Moment::now();
    let parts = request.shared_parts().into_iter().map(|part| part.digest);
    let suspects = parts.chain([request.digest()]);
    suspects.filter_map(|suspect| ledger.quarantined_until(suspect, now)).max()
}
