//! Upstreams that end under requests, and the requests that are stopped for it.
//!
//! Who has ended what is judged by the ledger of ends (`guava_policy::CrashLedger`), alike at all
//! daemons: ends, stopped requests and cleared ones travel with the gossip. Stopped requests also
//! stand in the shared state, so that they are known when all daemons were lost at once.
//!
//! A connection that breaks off may have been cut on the way. An upstream has ended if nobody listens
//! at its address any more, or if its next report comes from another instance.

use crate::append_commit::own_record;
use crate::context::DaemonContext;
use crate::crash_table::BrokenSend;
use crate::events;
use crate::lock::locked;
use crate::outcome::{Refusal, RefusalKind};
use guava_log::log_event;
use guava_outside::is_listening;
use guava_policy::{ClearNotice, LedgerChange, QuarantineNotice};
use guava_schema::peers::{ClearedRequest, EndedUpstream, GossipEntry, StoppedRequest};
use guava_state::RecordBody;
use guava_types::{Deadline, Moment, RequestDigest, UpstreamId};
use std::sync::Arc;

/// How long a send that broke off waits for a sign that its upstream ended, in milliseconds: an
/// upstream that ended is back within seconds, and is asked for its report every second or more often.
const SIGN_MS: u64 = 10_000;
/// How long a look at an upstream's address may take, in milliseconds.
const LOOK_MS: u64 = 300;
/// For how long ends are gossiped, in milliseconds: some twenty exchanges.
const GOSSIPED_MS: u64 = 10_000;
/// Ends and requests of each that one entry holds at most.
const GOSSIPED_ENDS: usize = 16;
const GOSSIPED_REQUESTS: usize = 24;
const GOSSIPED_STOPS: usize = 32;
/// Time for a record's append, in milliseconds; what was not appended is tried again.
const APPEND_MS: u64 = 5_000;

/// One start of an upstream, by the instance that it reports.
pub fn start_of(upstream: &UpstreamId, instance: &str) -> UpstreamId {
    let mut start = [0; 8];
    start.copy_from_slice(&blake3::hash(instance.as_bytes()).as_bytes()[..8]);
    upstream.started_at(u64::from_le_bytes(start))
}

/// Why a request is not sent, if upstreams end under it.
pub fn stop_refusal(context: &DaemonContext, request: RequestDigest) -> Option<Refusal> {
    let now = Moment::now();
    let until = locked(&context.crashes.ledger).quarantined_until(request, now)?;
    let reason = "upstreams ended under this request";
    Some(Refusal::later(RefusalKind::STOPPED, reason, until.millis_left(now)))
}

/// Takes in that a request was answered whole.
pub fn note_answer(context: &DaemonContext, request: RequestDigest) {
    if locked(&context.crashes.ledger).note_answer(request, Moment::now()) {
        log_event!(info, events::REQUEST_CLEARED, digest = request, reason = "answered");
        unstop(context, request);
    }
}

/// Takes in that a send broke off after its upstream may have begun to run the request.
pub fn note_interrupted(
    context: &Arc<DaemonContext>,
    upstream: &UpstreamId,
    request: RequestDigest,
) {
    let instance =
        locked(&context.reports).get(upstream).map(|heard| heard.report.instance.clone());
    let at = Moment::now();
    let until = Deadline::after(at, SIGN_MS);
    let send = BrokenSend { request, instance: instance.unwrap_or_default(), at, until };
    let is_first = {
        let mut broken = locked(&context.crashes.broken);
        let sends = broken.entry(upstream.clone()).or_default();
        sends.push(send);
        sends.len() == 1
    };
    if is_first {
        tokio::spawn(look(Arc::clone(context), upstream.clone()));
    }
}

async fn look(context: Arc<DaemonContext>, upstream: UpstreamId) {
    let Some(spec) = context.state.view().upstream(&upstream).cloned() else { return };
    if is_listening(spec.address, Deadline::in_millis(LOOK_MS)).await == Some(false) {
        note_crashed(&context, &upstream, |_| true);
    }
}

/// Takes in from which instance an upstream's report comes.
pub fn note_instance(context: &DaemonContext, upstream: &UpstreamId, instance: &str) {
    note_crashed(context, upstream, |send| {
        !send.instance.is_empty() && *send.instance != *instance
    });
}

/// Takes in that the instances at which some sends broke off have ended.
fn note_crashed(
    context: &DaemonContext,
    upstream: &UpstreamId,
    has_ended: impl Fn(&BrokenSend) -> bool,
) {
    let now = Moment::now();
    let ended: Vec<BrokenSend> = {
        let mut broken = locked(&context.crashes.broken);
        let Some(sends) = broken.get_mut(upstream) else { return };
        sends.retain(|send| !send.until.passed(now));
        let (ended, waiting) = sends.drain(..).partition(|send| has_ended(send));
        *sends = waiting;
        if sends.is_empty() {
            broken.remove(upstream);
        }
        ended
    };
    // One that leaves ends as it had announced: no request is to blame.
    if ended.is_empty() || locked(&context.leaving).is_leaving(upstream) {
        return;
    }
    log_event!(info, events::UPSTREAM_CRASHED, upstream = upstream, under = ended.len());
    for send in ended {
        let start = start_of(upstream, &send.instance);
        let news =
            locked(&context.crashes.ledger).note_crash(&start, &[send.request], send.at, now);
        take_news(context, &news);
        for request in news.quarantined {
            let times = locked(&context.crashes.ledger).quarantine_count(request);
            times.iter().for_each(|times| record_stop(context, request, *times));
        }
    }
}

fn take_news(context: &DaemonContext, news: &LedgerChange) {
    for request in &news.quarantined {
        log_event!(warn, events::REQUEST_QUARANTINED, digest = request, source = "evidence");
    }
    for request in &news.released {
        log_event!(info, events::REQUEST_CLEARED, digest = request, reason = "explained");
        unstop(context, *request);
    }
}

fn record_stop(context: &DaemonContext, request: RequestDigest, times: u32) {
    let body = own_record(context, RecordBody::Stop { request, times });
    context.appends.append_later(body, Deadline::in_millis(APPEND_MS));
}

fn unstop(context: &DaemonContext, request: RequestDigest) {
    if context.state.read(|state| state.stops().contains_key(&request)) {
        let body = own_record(context, RecordBody::Unstop { request });
        context.appends.append_later(body, Deadline::in_millis(APPEND_MS));
    }
}

/// Brings ledger and shared state together; called every half second.
///
/// A stopped request that the state lacks is appended again by some daemon of the fleet, each time by
/// another one: who found it may have ended, or the log was away.
pub fn reconcile_ledger(context: &DaemonContext, fleet: usize) {
    let now = Moment::now();
    let stops = context.state.read(|state| state.stops().clone());
    {
        let mut taken = locked(&context.crashes.taken);
        taken.retain(|(request, _)| stops.contains_key(request));
        let mut ledger = locked(&context.crashes.ledger);
        for (request, times) in &stops {
            let is_new = taken.insert((*request, *times));
            if is_new && ledger.note_record(*request, *times, now) {
                log_event!(warn, events::REQUEST_QUARANTINED, digest = request, source = "log");
            }
        }
    }
    let is_turn = (rand::random::<u32>() as usize).is_multiple_of(fleet.max(1));
    let over = locked(&context.crashes.ledger).sweep(now);
    over.into_iter().for_each(|request| unstop(context, request));
    if is_turn {
        let remembered: Vec<(RequestDigest, u32)> =
            locked(&context.crashes.ledger).retained_quarantines().collect();
        let is_missing = |(request, times): &&(RequestDigest, u32)| {
            stops.get(request).is_none_or(|known| known < times)
        };
        let missing = remembered.iter().filter(is_missing);
        missing.for_each(|(request, times)| record_stop(context, *request, *times));
    }
}

/// Adds what is known to this daemon's own entry.
pub fn fill_entry(context: &DaemonContext, entry: &mut GossipEntry) {
    let now = Moment::now();
    let ledger = locked(&context.crashes.ledger);
    let recent = ledger.crashes_since(now.minus_millis(GOSSIPED_MS)).take(GOSSIPED_ENDS);
    entry.ended = recent
        .map(|(upstream, at, requests)| EndedUpstream {
            upstream: upstream.to_string(),
            age_ms: now.millis_since(at),
            requests: requests.take(GOSSIPED_REQUESTS).map(|digest| digest.to_bytes()).collect(),
        })
        .collect();
    let stops = ledger.quarantines(now).take(GOSSIPED_STOPS);
    entry.stopped = stops
        .map(|stop| StoppedRequest {
            request: stop.request.to_bytes(),
            left_ms: stop.left_ms,
            times: stop.times,
        })
        .collect();
    entry.cleared = ledger
        .cleared()
        .map(|cleared| ClearedRequest {
            request: cleared.request.to_bytes(),
            age_ms: now.millis_since(cleared.at),
        })
        .collect();
}

/// Takes in what a peer's own entry tells.
pub fn learn(context: &DaemonContext, entry: &GossipEntry) {
    let now = Moment::now();
    let digest = |bytes: &Vec<u8>| RequestDigest::from_bytes(bytes);
    for ended in &entry.ended {
        let Ok(upstream) = ended.upstream.parse::<UpstreamId>() else { continue };
        let requests: Vec<RequestDigest> = ended.requests.iter().filter_map(digest).collect();
        let at = now.minus_millis(ended.age_ms);
        let news = locked(&context.crashes.ledger).note_crash(&upstream, &requests, at, now);
        take_news(context, &news);
    }
    for cleared in &entry.cleared {
        let Some(request) = digest(&cleared.request) else { continue };
        let notice = ClearNotice { request, at: now.minus_millis(cleared.age_ms) };
        locked(&context.crashes.ledger).note_cleared(notice, now);
    }
    for stop in &entry.stopped {
        let Some(request) = digest(&stop.request) else { continue };
        let notice = QuarantineNotice { request, left_ms: stop.left_ms, times: stop.times };
        if locked(&context.crashes.ledger).note_from_peer(notice, now) {
            log_event!(warn, events::REQUEST_QUARANTINED, digest = request, source = "peer");
        }
    }
}
