//! The watch duty: asks upstreams for reports and cache events, and the platform for its list.
//!
//! A daemon watches a bounded number of upstreams, chosen by rendezvous, and routes among those;
//! in a small deployment that is all of them.

use crate::announcement_handler;
use crate::context::DaemonContext;
use crate::crash_watch;
use crate::daemon_phase::DaemonPhase;
use crate::events;
use crate::lock::locked;
use guava_log::log_event;
use guava_outside::{CacheEvents, EngineClient, EngineReport};
use guava_policy::LoadReport;
use guava_state::{UpstreamKind, UpstreamSpec};
use guava_types::{Deadline, FastMap, Moment, Offset, TokenCount, UpstreamId};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How often the set of watched upstreams is looked at, and a few upstreams are asked.
const REPORT_EVERY_MS: u64 = 250;
/// With more upstreams than this each is asked less often, so that what a daemon spends on asking
/// stays the same; within the time that a report counts as fresh.
const OFTEN_ASKED: u64 = 6;
const REPORT_AT_LEAST_EVERY_MS: u64 = 1_500;
const REPORT_MS: u64 = 1_000;
/// Cache events are asked for with one report in so many: they are hints, and come late anyway.
const EVENTS_EVERY: u64 = 3;
const LIST_EVERY_MS: u64 = 500;
/// A long list is read less often: so many milliseconds for each entry. Who reads a notice gossips
/// it, so that in a large fleet somebody still reads the list every few milliseconds.
const LIST_ENTRY_MS: u64 = 10;
const LIST_MS: u64 = 2_000;
/// A starting daemon waits so long for its upstreams' first reports and its peers' first entries.
const FIRST_UPDATES_MS: u64 = 3_000;
/// Failed questions in a row after which an upstream is called silent in the log.
const SILENT_AFTER: u32 = 4;

struct EventCursor {
    instance: Box<str>,
    next: u64,
}

/// The upstreams that a daemon watches.
pub fn watched(context: &DaemonContext) -> Vec<(UpstreamId, UpstreamSpec)> {
    let view = context.state.view();
    let limit = usize::try_from(context.settings.watch_limit).unwrap_or(usize::MAX);
    if view.upstreams.len() <= limit {
        return view.upstreams.clone();
    }
    let weight = |id: &UpstreamId| {
        let text = format!("{}/{id}", context.settings.name);
        *blake3::hash(text.as_bytes()).as_bytes()
    };
    let mut upstreams = view.upstreams.clone();
    upstreams.sort_by_cached_key(|(id, _)| weight(id));
    upstreams.truncate(limit);
    upstreams
}

/// Runs the watch until the process ends.
pub async fn run(context: Arc<DaemonContext>) {
    tokio::spawn(watch_list(Arc::clone(&context)));
    let mut watchers: FastMap<UpstreamId, (UpstreamSpec, JoinHandle<()>)> = FastMap::default();
    loop {
        let upstreams: FastMap<UpstreamId, UpstreamSpec> = watched(&context).into_iter().collect();
        watchers.retain(|id, (spec, task)| {
            let is_current = upstreams.get(id).is_some_and(|current| {
                current.address == spec.address && current.kind == spec.kind
            });
            if !is_current {
                task.abort();
            }
            is_current
        });
        let is_known = |id: &UpstreamId| upstreams.contains_key(id);
        locked(&context.loads).retain(is_known);
        locked(&context.reports).retain(is_known);
        let view = context.state.view();
        locked(&context.leaving).retain(|id| view.upstream(id).is_some());
        announcement_handler::sweep(&context);
        for (id, spec) in &upstreams {
            if !watchers.contains_key(id) {
                let watch = watch_upstream(Arc::clone(&context), id.clone(), spec.clone());
                watchers.insert(id.clone(), (spec.clone(), tokio::spawn(watch)));
            }
        }
        serve_once_informed(&context, &upstreams);
        context.metrics.gauge("work.running", context.work.running() as u64);
        sleep(Duration::from_millis(REPORT_EVERY_MS)).await;
    }
}

/// Lets the daemon serve once it has heard of its upstreams and peers, or waited long enough.
///
/// A daemon that hands out its address before it knows a single upstream refuses, for want of any,
/// what its peers would have served; one that has heard no majority yet refuses every change.
fn serve_once_informed(context: &DaemonContext, upstreams: &FastMap<UpstreamId, UpstreamSpec>) {
    let is_restored = context.state.next() > Offset(0) || context.state.log_sight().is_some();
    if context.phase() != DaemonPhase::Starting || !is_restored {
        return;
    }
    let restored = *locked(&context.restored).get_or_insert_with(Moment::now);
    let knows_upstreams = {
        let reports = locked(&context.reports);
        upstreams.keys().all(|id| reports.get(id).is_some())
    };
    if (knows_upstreams && context.reaches_majority())
        || Moment::now().millis_since(restored) > FIRST_UPDATES_MS
    {
        context.enter_phase(DaemonPhase::Serving);
    }
}

fn report_pause(upstreams: usize) -> u64 {
    let scaled = REPORT_EVERY_MS * upstreams as u64 / OFTEN_ASKED;
    scaled.clamp(REPORT_EVERY_MS, REPORT_AT_LEAST_EVERY_MS)
}

async fn watch_upstream(context: Arc<DaemonContext>, upstream: UpstreamId, spec: UpstreamSpec) {
    let client = EngineClient { upstream: upstream.clone(), address: spec.address };
    let mut cursor = EventCursor { instance: "".into(), next: 0 };
    let mut failures = 0;
    let mut round: u64 = 0;
    loop {
        round += 1;
        let asked = Moment::now();
        match client.report(Deadline::in_millis(REPORT_MS)).await {
            Ok(report) => {
                failures = 0;
                note_report(&context, &upstream, &spec, report, asked);
            }
            Err(error) => {
                failures += 1;
                if failures == SILENT_AFTER {
                    log_event!(warn, events::UPSTREAM_SILENT, upstream = upstream, error = error);
                }
            }
        }
        if spec.kind == UpstreamKind::Engine && round.is_multiple_of(EVENTS_EVERY) {
            let events = client.events(cursor.next, Deadline::in_millis(REPORT_MS)).await;
            if let Ok(events) = events {
                note_events(&context, &upstream, &mut cursor, &events);
            }
        }
        sleep(Duration::from_millis(report_pause(watched(&context).len()))).await;
    }
}

fn note_report(
    context: &DaemonContext,
    upstream: &UpstreamId,
    spec: &UpstreamSpec,
    report: EngineReport,
    asked: Moment,
) {
    crash_watch::note_instance(context, upstream, &report.instance);
    locked(&context.leaving).note_report(upstream, &report.instance, report.leaving);
    if spec.kind == UpstreamKind::Engine {
        let now = Moment::now();
        let load = LoadReport {
            measured: asked.minus_millis(report.age_ms),
            queued: TokenCount(report.queued_tokens),
            running: report.running,
            slots: spec.slots,
        };
        let peers = locked(&context.peer_table).upstream_tokens(upstream, now);
        let mut loads = locked(&context.loads);
        loads.note_report(upstream, load);
        loads.note_peers(upstream, peers, now);
    }
    locked(&context.reports).note(upstream, report, asked);
}

/// Cache events are hints. After a gap, or from a new incarnation of the engine, all that was
/// known of its cache may be wrong: an entry that stays would draw requests to an engine that has
/// to recompute them.
fn note_events(
    context: &DaemonContext,
    upstream: &UpstreamId,
    cursor: &mut EventCursor,
    events: &CacheEvents,
) {
    let is_new = cursor.instance != events.instance;
    let expected = events.next.saturating_sub(cursor.next);
    let has_gap = expected != events.events.len() as u64;
    let mut index = locked(&context.index);
    if (is_new && !cursor.instance.is_empty()) || (has_gap && !is_new) {
        log_event!(info, events::EVENTS_GAPPED, upstream = upstream, expected = expected);
        index.forget_upstream(upstream);
    } else {
        events.events.iter().for_each(|event| index.note_eviction(upstream, event));
    }
    cursor.instance = events.instance.clone();
    cursor.next = events.next;
}

async fn watch_list(context: Arc<DaemonContext>) {
    loop {
        let mut pause = LIST_EVERY_MS;
        let listed = context.platform.vm_list.fetch(Deadline::in_millis(LIST_MS)).await;
        if let Ok(vms) = listed {
            pause = pause.max(vms.len() as u64 * LIST_ENTRY_MS);
            let view = context.state.view();
            let leaving = vms.iter().filter(|vm| vm.leaving);
            for vm in leaving {
                let here = view.upstreams.iter().filter(|(_, spec)| spec.address == vm.address);
                here.for_each(|(id, _)| locked(&context.leaving).note_list(id));
            }
        }
        sleep(Duration::from_millis(pause)).await;
    }
}
