//! Takes in what upstreams say of themselves, and has the other daemons told.

use crate::events;
use crate::serve_context::ServeContext;
use guava_log::log_event;
use guava_policy::{AnnouncementChange, LimitNotice, UpstreamAnnouncements, jitter_backoff};
use guava_types::{MemberName, Moment, UpstreamId};
use std::fmt::Display;

/// Limits, and leaving upstreams, told in one message at most, of some thirty bytes each.
const MOST_TOLD: usize = 48;

/// Takes in what an answer says of its upstream, to a request that was sent at some moment.
pub fn note_announcements(
    context: &ServeContext,
    upstream: &UpstreamId,
    announcements: &UpstreamAnnouncements,
    sent: Moment,
) {
    let now = Moment::now();
    let spread = |until| jitter_backoff(until, now, rand::random());
    let backoff_until = announcements.backoff_until.map(spread);
    let announcements = UpstreamAnnouncements { backoff_until, ..announcements.clone() };
    let news = context.announcements.borrow_mut().note_answer(upstream, &announcements, sent, now);
    for news in &news {
        log_announcement(context, upstream, news, &"answer", now, now);
        if news.is_urgent() {
            context.announcements_due.borrow_mut().push(upstream.clone());
            context.message_due.notify_one();
        }
    }
}

/// Notes that an upstream gets a request, after a rest if it had asked for one.
pub fn note_send(context: &ServeContext, upstream: &UpstreamId, now: Moment) {
    context.sends.borrow_mut().note(upstream, now);
    if context.announcements.borrow_mut().note_send(upstream) {
        log_word(context, upstream, "rest-over", "", &"clock", 0);
    }
}

/// Takes in what another daemon knows of an upstream's limit.
pub fn apply_limit(context: &ServeContext, notice: &LimitNotice, source: &MemberName, now: Moment) {
    let news = context.announcements.borrow_mut().apply_limit_notice(notice, now);
    news.iter().for_each(|news| {
        log_announcement(context, &notice.upstream, news, source, notice.as_of, now)
    });
}

/// Takes in that an upstream leaves, as another daemon knows.
pub fn apply_leaving(
    context: &ServeContext,
    upstream: &UpstreamId,
    source: &MemberName,
    now: Moment,
) {
    let news = context.announcements.borrow_mut().note_leaving(upstream, now);
    news.iter().for_each(|news| log_announcement(context, upstream, news, source, now, now));
}

/// What other daemons are told of upstreams' words.
#[derive(Clone, Debug, Default)]
pub struct AnnouncementBatch {
    /// Limits, and ends of limits.
    pub limits: Vec<LimitNotice>,
    /// Upstreams that leave.
    pub leaving: Vec<UpstreamId>,
}

/// What upstreams have just said, for other daemons at once; told with the next summary only, sends to
/// an upstream in need would go on until then.
pub fn urgent_announcements(context: &ServeContext) -> AnnouncementBatch {
    let due = std::mem::take(&mut *context.announcements_due.borrow_mut());
    let announcements = context.announcements.borrow();
    AnnouncementBatch {
        limits: due.iter().filter_map(|upstream| announcements.limit_notice(upstream)).collect(),
        leaving: due.into_iter().filter(|upstream| announcements.is_leaving(upstream)).collect(),
    }
}

/// The words that a summary tells: nearly always none.
pub fn summary_announcements(context: &ServeContext, now: Moment) -> AnnouncementBatch {
    let announcements = context.announcements.borrow();
    AnnouncementBatch {
        limits: some_of(announcements.limit_notices(now).collect()),
        leaving: some_of(announcements.recently_leaving(now).cloned().collect()),
    }
}

/// As many as one message takes; where there are more, others each time.
fn some_of<T>(mut items: Vec<T>) -> Vec<T> {
    if items.len() > MOST_TOLD {
        let from = rand::random::<u64>() as usize % items.len();
        items.rotate_left(from);
        items.truncate(MOST_TOLD);
    }
    items
}

fn log_announcement(
    context: &ServeContext,
    upstream: &UpstreamId,
    news: &AnnouncementChange,
    source: &impl Display,
    as_of: Moment,
    now: Moment,
) {
    let age_ms = now.millis_since(as_of);
    log_word(context, upstream, news.kind(), &news.value(now), source, age_ms);
}

fn log_word(
    context: &ServeContext,
    upstream: &UpstreamId,
    word: &'static str,
    value: &str,
    source: &impl Display,
    age_ms: u64,
) {
    context.metrics.count_announcement(word);
    log_event!(
        info,
        events::ANNOUNCEMENT_CHANGED,
        upstream = upstream,
        word = word,
        value = value,
        source = source,
        age_ms = age_ms
    );
}
