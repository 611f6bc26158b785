//! Applies upstream announcements from answers and from peers, and selects those to send to peers.

use crate::events;
use crate::serve_context::ServeContext;
use guava_log::log_event;
use guava_policy::{
    AnnouncementChange, BrittleNotice, LimitNotice, UpstreamAnnouncements, jitter_backoff,
};
use guava_types::{MemberName, Moment, UpstreamId};
use std::fmt::Display;

/// Largest number of limits in one message, and likewise of leaving upstreams; each takes about
/// thirty bytes.
const MAX_NOTICES_PER_MESSAGE: usize = 48;

/// Applies the announcements in an upstream's answer to a request that was sent at `sent`. Urgent
/// changes are scheduled for an immediate message to the peers.
pub fn note_announcements(
    context: &ServeContext,
    upstream: &UpstreamId,
    announcements: &UpstreamAnnouncements,
    sent: Moment,
) {
    let now = Moment::now();
    let jitter = |until| jitter_backoff(until, now, rand::random());
    let backoff_until = announcements.backoff_until.map(jitter);
    let announcements = UpstreamAnnouncements { backoff_until, ..announcements.clone() };
    let changes =
        context.announcements.borrow_mut().note_answer(upstream, &announcements, sent, now);
    for change in &changes {
        log_announcement(context, upstream, change, &"answer", now, now);
        if change.is_urgent() {
            context.announcements_due.borrow_mut().push(upstream.clone());
            context.message_due.notify_one();
        }
    }
}

/// Notes a send to an upstream; the first one after a back-off is logged as its end.
pub fn note_send(context: &ServeContext, upstream: &UpstreamId, now: Moment) {
    context.sends.borrow_mut().note(upstream, now);
    note_backoff_end(context, upstream);
}

/// Notes a call to an upstream, in the same way.
pub fn note_call(context: &ServeContext, upstream: &UpstreamId, now: Moment) {
    context.sends.borrow_mut().note_call(upstream, now);
    note_backoff_end(context, upstream);
}

fn note_backoff_end(context: &ServeContext, upstream: &UpstreamId) {
    if context.announcements.borrow_mut().note_send(upstream) {
        log_kind(context, upstream, "rest-over", "", &"clock", 0);
    }
}

/// Applies an upstream's limit that a peer reported.
pub fn apply_limit(context: &ServeContext, notice: &LimitNotice, source: &MemberName, now: Moment) {
    let changes = context.announcements.borrow_mut().apply_limit_notice(notice, now);
    changes.iter().for_each(|change| {
        log_announcement(context, &notice.upstream, change, source, notice.as_of, now)
    });
}

/// Applies that an upstream is leaving, as a peer reported.
pub fn apply_leaving(
    context: &ServeContext,
    upstream: &UpstreamId,
    source: &MemberName,
    now: Moment,
) {
    let changes = context.announcements.borrow_mut().note_leaving(upstream, now);
    changes.iter().for_each(|change| log_announcement(context, upstream, change, source, now, now));
}

/// Applies whether an upstream is brittle, as a peer reported.
pub fn apply_brittle(
    context: &ServeContext,
    notice: &BrittleNotice,
    source: &MemberName,
    now: Moment,
) {
    let changes = context.announcements.borrow_mut().apply_brittle_notice(notice, now);
    changes.iter().for_each(|change| {
        log_announcement(context, &notice.upstream, change, source, notice.as_of, now)
    });
}

/// Upstream announcements in one message to the peers.
#[derive(Clone, Debug, Default)]
pub struct AnnouncementBatch {
    /// Limits that hold, and limits that were withdrawn.
    pub limits: Vec<LimitNotice>,
    /// Upstreams that are leaving.
    pub leaving: Vec<UpstreamId>,
    /// Upstreams that are brittle, and that no longer are.
    pub brittle: Vec<BrittleNotice>,
}

/// Takes the urgent announcements since the last call, for an immediate message. If they waited for
/// the next summary, peers would go on sending to an overloaded upstream until then.
pub fn urgent_announcements(context: &ServeContext) -> AnnouncementBatch {
    let due = std::mem::take(&mut *context.announcements_due.borrow_mut());
    let announcements = context.announcements.borrow();
    AnnouncementBatch {
        limits: due.iter().filter_map(|upstream| announcements.limit_notice(upstream)).collect(),
        leaving: due.into_iter().filter(|upstream| announcements.is_leaving(upstream)).collect(),
        brittle: Vec::new(),
    }
}

/// Announcements that a summary repeats; nearly always none.
pub fn summary_announcements(context: &ServeContext, now: Moment) -> AnnouncementBatch {
    let announcements = context.announcements.borrow();
    AnnouncementBatch {
        limits: message_section(announcements.limit_notices(now).collect()),
        leaving: message_section(announcements.recently_leaving(now).cloned().collect()),
        brittle: message_section(announcements.brittle_notices(now).collect()),
    }
}

/// As many items as fit in one message; if there are more, a section that begins at random.
fn message_section<T>(mut items: Vec<T>) -> Vec<T> {
    if items.len() > MAX_NOTICES_PER_MESSAGE {
        let from = rand::random::<u64>() as usize % items.len();
        items.rotate_left(from);
        items.truncate(MAX_NOTICES_PER_MESSAGE);
    }
    items
}

/// Logs that the load which an upstream reports can't be read.
pub fn log_unreadable(context: &ServeContext, upstream: &UpstreamId, reason: &str) {
    log_kind(context, upstream, "unreadable-load", reason, &"answer", 0);
}

fn log_announcement(
    context: &ServeContext,
    upstream: &UpstreamId,
    change: &AnnouncementChange,
    source: &impl Display,
    as_of: Moment,
    now: Moment,
) {
    let age_ms = now.millis_since(as_of);
    log_kind(context, upstream, change.kind(), &change.value(now), source, age_ms);
}

fn log_kind(
    context: &ServeContext,
    upstream: &UpstreamId,
    kind: &'static str,
    value: &str,
    source: &impl Display,
    age_ms: u64,
) {
    context.metrics.count_announcement(kind);
    log_event!(
        info,
        events::ANNOUNCEMENT_CHANGED,
        upstream = upstream,
        word = kind,
        value = value,
        source = source,
        age_ms = age_ms
    );
}
