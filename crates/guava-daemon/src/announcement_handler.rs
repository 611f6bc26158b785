//! What upstreams say of themselves in their answers, and the work that they may get by it.
//!
//! The table and its decisions are those of the request path on the platform (`guava_policy`). An
//! upstream's start is told by the instance that it last reported. Limits are gossiped; leaving goes
//! into the table of leaving upstreams, which reports and the list feed as well; rest is asked of one
//! daemon. Reports and cache events are asked for all the same: they are no work, and tell what an
//! upstream bears.

use crate::context::DaemonContext;
use crate::crash_watch::start_of;
use crate::events;
use crate::lock::locked;
use guava_log::log_event;
use guava_policy::{
    AnnouncementChange, CloseReason, ClosedUpstream, LimitNotice, SendShare, UpstreamAnnouncements,
    announcement_gate, jitter_backoff, limit_share,
};
use guava_schema::peers::{GossipEntry, UpstreamLimit};
use guava_types::{FastSet, Incarnation, LimitRate, Moment, UpstreamId};
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};

/// Limits that one gossip entry holds at most.
const GOSSIPED_LIMITS: usize = 32;

/// The start of an upstream that runs, as far as is known.
fn current_start(context: &DaemonContext, upstream: &UpstreamId) -> UpstreamId {
    let reports = locked(&context.reports);
    let instance = reports.get(upstream).map(|heard| &heard.report.instance);
    instance.map_or_else(|| upstream.clone(), |instance| start_of(upstream, instance))
}

/// This daemon's share of a limit, by its place among all that the log's roster has.
fn own_share(context: &DaemonContext, upstream: &UpstreamId, limit: LimitRate) -> SendShare {
    let view = context.state.view();
    if !view.roster.contains(&context.me) {
        return SendShare::default();
    }
    let weight = |member: &Incarnation| {
        let mut hasher = FxHasher::default();
        (upstream.name(), member).hash(&mut hasher);
        hasher.finish()
    };
    let own = weight(&context.me);
    let place = view.roster.iter().filter(|member| weight(member) > own).count();
    limit_share(limit, view.roster.len(), place)
}

/// What closes an upstream to work, if anything does.
pub fn closed(context: &DaemonContext, upstream: &UpstreamId) -> Option<ClosedUpstream> {
    let start = current_start(context, upstream);
    let announcements = locked(&context.announcements);
    let share = |limit| own_share(context, upstream, limit);
    announcement_gate(&announcements.table, &announcements.sends, &start, share, Moment::now())
}

/// Whether work may be sent to an upstream right now; notes it as sent.
pub fn pass(context: &DaemonContext, upstream: &UpstreamId) -> bool {
    if locked(&context.leaving).is_leaving(upstream) {
        return false;
    }
    let start = current_start(context, upstream);
    let now = Moment::now();
    // Judged and noted under one lock: of two requests at the same moment one may be too many.
    let mut announcements = locked(&context.announcements);
    let share = |limit| own_share(context, upstream, limit);
    let is_open =
        announcement_gate(&announcements.table, &announcements.sends, &start, share, now).is_none();
    if is_open {
        announcements.sends.note(&start, now);
        announcements.table.note_send(&start);
    }
    is_open
}

/// Whether an upstream asked for rest and wants no orders or exports either.
pub fn is_backing_off(context: &DaemonContext, upstream: &UpstreamId) -> bool {
    closed(context, upstream).is_some_and(|closed| closed.reason == CloseReason::BackOff)
}

/// Milliseconds until the first of some upstreams may get work again, if all are closed and that is
/// known.
pub fn reopens_in_ms<'a>(
    context: &DaemonContext,
    upstreams: impl Iterator<Item = &'a UpstreamId>,
) -> Option<u64> {
    let mut first: Option<Moment> = None;
    for upstream in upstreams {
        let closed = closed(context, upstream)?;
        first = first.into_iter().chain(closed.until).min();
    }
    first.map(|first| first.millis_since(Moment::now()))
}

/// Takes in what an answer says of its upstream, to a request that was sent at some moment.
pub fn note_announcements(
    context: &DaemonContext,
    upstream: &UpstreamId,
    announcements: &UpstreamAnnouncements,
    sent: Moment,
) {
    if announcements.is_leaving {
        locked(&context.leaving).note_answer(upstream);
    }
    let now = Moment::now();
    let backoff_until =
        announcements.backoff_until.map(|until| jitter_backoff(until, now, rand::random()));
    let announcements =
        UpstreamAnnouncements { is_leaving: false, backoff_until, ..announcements.clone() };
    let start = current_start(context, upstream);
    let news = locked(&context.announcements).table.note_answer(&start, &announcements, sent, now);
    news.iter().for_each(|news| log_announcement(&start, news, "answer", now));
}

fn log_announcement(upstream: &UpstreamId, news: &AnnouncementChange, source: &str, now: Moment) {
    log_event!(
        info,
        events::UPSTREAM_WORD,
        upstream = upstream,
        word = news.kind(),
        value = news.value(now),
        source = source
    );
}

/// Adds the limits that this daemon knows to its gossip entry.
pub fn fill_entry(context: &DaemonContext, entry: &mut GossipEntry) {
    let now = Moment::now();
    let limit = |notice: LimitNotice| UpstreamLimit {
        upstream: notice.upstream.to_string(),
        thousandths: notice.rate.map(LimitRate::thousandths),
        age_ms: now.millis_since(notice.as_of),
    };
    let announcements = locked(&context.announcements);
    entry.limits =
        announcements.table.limit_notices(now).take(GOSSIPED_LIMITS).map(limit).collect();
}

/// Takes in the limits of a peer's entry.
pub fn learn(context: &DaemonContext, entry: &GossipEntry) {
    let now = Moment::now();
    for limit in &entry.limits {
        let Ok(upstream) = limit.upstream.parse::<UpstreamId>() else { continue };
        let rate = limit.thousandths.map(LimitRate::from_thousandths);
        let as_of = now.minus_millis(limit.age_ms);
        let notice = LimitNotice { upstream, rate, as_of };
        let news = locked(&context.announcements).table.apply_limit_notice(&notice, now);
        news.iter().for_each(|news| log_announcement(&notice.upstream, news, "peer", now));
    }
}

/// Forgets upstreams that are gone.
pub fn sweep(context: &DaemonContext) {
    let view = context.state.view();
    let names: FastSet<&str> = view.upstreams.iter().map(|(id, _)| id.as_str()).collect();
    let now = Moment::now();
    locked(&context.announcements).table.sweep(now, |start| names.contains(start.name()));
}
