//! Upstreams that end under requests: found out, no more used, and held against the requests.

use crate::events;
use crate::serve_context::ServeContext;
use crate::upstreams::crash_notice::CrashNotice;
use guava_log::log_event;
use guava_policy::{ClearNotice, LedgerChange, QuarantineNotice};
use guava_types::{Deadline, Moment, RequestDigest, UpstreamId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause before the look whether an upstream has ended, in milliseconds: a process that ends closes
/// its connections one after the other, and its listener may come last.
const LOOK_MS: u64 = 5;
/// For how long an upstream counts as ended, in milliseconds: its entry lapses after three of its
/// heartbeats, and is read within a second of that. One that was taken for ended by mistake is used
/// again after that time.
const ENDED_MS: u64 = 4_500;
/// Digests in one log line at most.
const LOGGED_DIGESTS: usize = 12;

/// Takes in that a send broke off after its upstream may have begun to run the request.
pub fn note_interrupted(context: &Rc<ServeContext>, upstream: &UpstreamId, request: RequestDigest) {
    let now = Moment::now();
    if context.upstreams.borrow().has_crashed(upstream, now) {
        note_upstream_crash(context, upstream, vec![request], now);
    } else if context.broken_sends.borrow_mut().note_interrupted(upstream, request, now) {
        drop(tokio::task::spawn_local(look(Rc::clone(context), upstream.clone())));
    }
}

async fn look(context: Rc<ServeContext>, upstream: UpstreamId) {
    sleep(Duration::from_millis(LOOK_MS)).await;
    let address = context.upstreams.borrow().entry(&upstream).map(|entry| entry.address);
    let is_listening = match address {
        Some(address) => context.pool.is_listening(address).await,
        None => None,
    };
    if is_listening == Some(false) {
        note_refused(&context, &upstream);
    } else {
        // It lives, or that can't be told: what broke off there is nobody's fault.
        context.broken_sends.borrow_mut().take(&upstream);
    }
}

/// Takes in that nobody listens at an upstream's address.
pub fn note_refused(context: &ServeContext, upstream: &UpstreamId) {
    let now = Moment::now();
    let sends = context.broken_sends.borrow_mut().take(upstream);
    let is_known = context.upstreams.borrow().has_crashed(upstream, now);
    match sends {
        Some(sends) => note_upstream_crash(context, upstream, sends.requests, sends.since),
        None if !is_known => note_upstream_crash(context, upstream, Vec::new(), now),
        None => {}
    }
}

/// Takes in that an upstream has ended at some moment, with the requests of this daemon's that broke off there, and
/// has the others told of these.
///
/// That it ended is not told: what this daemon can't reach others may. Believed by all, one daemon
/// behind a cut that refuses connections would take every upstream from everybody.
pub fn note_upstream_crash(
    context: &ServeContext,
    upstream: &UpstreamId,
    mut requests: Vec<RequestDigest>,
    at: Moment,
) {
    let now = Moment::now();
    if context.is_leaving(upstream) {
        // It ended as it had announced: no request is to blame.
        requests.clear();
    }
    take_off(context, upstream, now);
    let list: Vec<String> =
        requests.iter().take(LOGGED_DIGESTS).map(RequestDigest::to_string).collect();
    log_event!(
        info,
        events::UPSTREAM_CRASHED,
        upstream = upstream,
        under = requests.len(),
        digests = list.join(" ")
    );
    let notice = CrashNotice { upstream: upstream.clone(), at, requests };
    // Without any request it still shows that others at the same moment had a cause of their own.
    let is_change = apply_crash(context, &notice, now);
    if is_change && !notice.requests.is_empty() {
        context.crash_gossip.borrow_mut().note_crash(notice, now);
        context.message_due.notify_one();
    }
}

/// Sends an upstream no more work.
fn take_off(context: &ServeContext, upstream: &UpstreamId, now: Moment) {
    let mut upstreams = context.upstreams.borrow_mut();
    let Some(address) = upstreams.entry(upstream).map(|entry| entry.address) else { return };
    upstreams.note_crashed(upstream, Deadline::after(now, ENDED_MS));
    context.pool.close_idle(address);
}

/// Takes in under which requests an upstream ended, as seen here or told by a peer; whether it is
/// news. Also of an upstream that is not, or no more, listed here.
pub fn apply_crash(context: &ServeContext, notice: &CrashNotice, now: Moment) -> bool {
    let mut ledger = context.ledger.borrow_mut();
    let news = ledger.note_crash(&notice.upstream, &notice.requests, notice.at, now);
    drop(ledger);
    log_verdicts(context, &news);
    news.is_change
}

fn log_verdicts(context: &ServeContext, news: &LedgerChange) {
    for request in &news.stopped {
        context.metrics.count_request("stopped");
        log_event!(warn, events::REQUEST_QUARANTINED, digest = request, source = "evidence");
    }
    for request in &news.lifted {
        log_event!(info, events::REQUEST_CLEARED, digest = request, reason = "explained");
    }
    if !news.stopped.is_empty() || !news.lifted.is_empty() {
        note_verdicts(context);
    }
}

/// Has peers and the store told of verdicts that were just found here.
fn note_verdicts(context: &ServeContext) {
    context.verdicts_due.set(true);
    context.message_due.notify_one();
    context.quarantines_due.notify_one();
}

/// Takes in that a peer has stopped a request.
pub fn apply_quarantine(context: &ServeContext, stop: QuarantineNotice, now: Moment) {
    if context.ledger.borrow_mut().note_from_peer(stop, now) {
        log_event!(warn, events::REQUEST_QUARANTINED, digest = stop.request, source = "peer");
        context.quarantines_due.notify_one();
    }
}

/// Takes in that a request was answered whole by an upstream.
pub fn note_answer(context: &ServeContext, digest: impl FnOnce() -> RequestDigest) {
    // Nearly always nothing is known of any request, and none need be looked up.
    if context.ledger.borrow().is_empty() {
        return;
    }
    note_request_answered(context, digest());
}

/// The same of a request whose digest is known.
pub fn note_request_answered(context: &ServeContext, request: RequestDigest) {
    let now = Moment::now();
    if context.ledger.borrow_mut().note_answer(request, now) {
        context.crash_gossip.borrow_mut().forget(ClearNotice { request, at: now });
        log_event!(info, events::REQUEST_CLEARED, digest = request, reason = "answered");
        note_verdicts(context);
    }
}

/// Takes in that a peer has nothing against a request up to some moment.
pub fn apply_cleared(context: &ServeContext, notice: ClearNotice, now: Moment) {
    context.ledger.borrow_mut().note_cleared(notice, now);
    context.crash_gossip.borrow_mut().forget(notice);
}

/// Until when a request is stopped, if it is.
pub fn quarantined_until(
    context: &ServeContext,
    digest: impl FnOnce() -> RequestDigest,
) -> Option<Deadline> {
    let ledger = context.ledger.borrow();
    if ledger.is_empty() { None } else { ledger.quarantined_until(digest(), Moment::now()) }
}
