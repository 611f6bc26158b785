//! What upstreams have said of themselves.
//!
//! **Limits.** A limit holds for as long as the upstream's answers name it. Answers overtake each
//! other, so each word has a moment: an answer that names a limit counts as of its arrival, one that
//! names none as of its request's sending, the earliest moment at which it can have been true. A limit
//! ends with an answer to a request that was sent after the last answer that named it; silence ends
//! nothing. Words of other daemons count as of the same moments, on this daemon's clock.
//!
//! **Leaving** is final for an id: neither another answer nor the platform's list, which may be late by
//! many seconds, takes it back.
//!
//! **Rest** is asked of one daemon, and other daemons are not told. A later word may make it longer, not
//! shorter: answers overtake each other, and whoever sent the longer one still counts on it.
//!
//! An id is one start of an upstream, so that what an earlier start has said is not held against the
//! next.

use crate::upstream_announcements::{AnnouncedLimit, UpstreamAnnouncements};
use guava_types::{Deadline, FastMap, LimitRate, Moment, UpstreamId};

/// How long the words of an upstream that is not listed are kept, in milliseconds: entries that
/// lapsed while the list was away come back under the same id.
const KEPT_MS: u64 = 600_000;
/// How long the end of a limit is told, and that an upstream leaves, in milliseconds: many summaries,
/// so that a daemon that was suspended or cut off meanwhile hears it.
const TOLD_MS: u64 = 20_000;
/// Upstreams whose words are kept at most, against messages that name ever new ones.
const MOST_KEPT: usize = 4_096;

/// Part of the limit before, in percent, from below which a new one is told at once.
const URGENT_PERCENT: u64 = 75;

/// An upstream's limit as daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitNotice {
    /// Which start of which upstream.
    pub upstream: UpstreamId,
    /// Requests a second from all daemons together; nothing if it names no limit any more.
    pub rate: Option<LimitRate>,
    /// When that was known.
    pub as_of: Moment,
}

/// What a word changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnnouncementChange {
    /// The upstream has another limit than before.
    Limited {
        /// Which.
        rate: LimitRate,
        /// The one before, if it had one.
        before: Option<LimitRate>,
    },
    /// It has no limit any more.
    Unlimited,
    /// It leaves.
    Leaving,
    /// It gets nothing from this daemon until then.
    BackingOff(Deadline),
    /// It says something that can't be read.
    Unread(Box<str>),
}

impl AnnouncementChange {
    /// What is said, in a word.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Limited { .. } => "limit",
            Self::Unlimited => "no-limit",
            Self::Leaving => "leaving",
            Self::BackingOff(_) => "rest",
            Self::Unread(_) => "unreadable",
        }
    }

    /// How much, as text for logs; empty where there is nothing to add.
    pub fn value(&self, now: Moment) -> String {
        match self {
            Self::Limited { rate, .. } => rate.to_string(),
            Self::BackingOff(until) => format!("{} ms", until.millis_left(now)),
            Self::Unread(value) => value.to_string(),
            Self::Unlimited | Self::Leaving => String::new(),
        }
    }

    /// Whether other daemons should know at once, rather than with the next summary: some upstreams
    /// name another limit in each answer.
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::Limited { rate, before: Some(before) } => {
                rate.thousandths() < before.thousandths() * URGENT_PERCENT / 100
            }
            Self::Limited { before: None, .. } | Self::Leaving => true,
            Self::Unlimited | Self::BackingOff(_) | Self::Unread(_) => false,
        }
    }
}

/// What one upstream has said.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownAnnouncements {
    /// Its limit, if it has one.
    pub(crate) limit: Option<LimitRate>,
    /// As of when that is known.
    limit_as_of: Moment,
    /// When the last limit was found to be over, if there is none now.
    limit_over: Option<Moment>,
    /// Since when it is known to leave, if it does.
    leaving_since: Option<Moment>,
    /// Until when it wants nothing from this daemon.
    backoff_until: Option<Deadline>,
    unread: Option<Box<str>>,
    noted: Moment,
}

impl KnownAnnouncements {
    /// Whether it has said that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Until when it wants nothing from this daemon, if that is not over.
    pub(crate) fn backoff_until(&self, now: Moment) -> Option<Deadline> {
        self.backoff_until.filter(|until| !until.passed(now))
    }
}

/// The words of all upstreams that said any.
#[derive(Clone, Debug, Default)]
pub struct AnnouncementTable {
    upstreams: FastMap<UpstreamId, KnownAnnouncements>,
}

impl AnnouncementTable {
    /// Takes in an answer to a request that was sent at some moment; what is news.
    pub fn note_answer(
        &mut self,
        upstream: &UpstreamId,
        announcements: &UpstreamAnnouncements,
        sent: Moment,
        now: Moment,
    ) -> Vec<AnnouncementChange> {
        let mut news = Vec::new();
        news.extend(match announcements.limit {
            AnnouncedLimit::None => self.note_limit(upstream, None, sent, now),
            AnnouncedLimit::Named(rate) => self.note_limit(upstream, Some(rate), now, now),
            AnnouncedLimit::Unread => None,
        });
        if announcements.is_leaving {
            news.extend(self.note_leaving(upstream, now));
        }
        news.extend(
            announcements.backoff_until.and_then(|until| self.note_backoff(upstream, until, now)),
        );
        news.extend(self.note_unread(upstream, announcements, now));
        news
    }

    /// Takes in what another daemon knows of a limit; what is news.
    pub fn apply_limit_notice(
        &mut self,
        notice: &LimitNotice,
        now: Moment,
    ) -> Option<AnnouncementChange> {
        self.note_limit(&notice.upstream, notice.rate, notice.as_of, now)
    }

    /// Takes in that an upstream leaves, by its own word or another daemon's; whether that is news.
    pub fn note_leaving(
        &mut self,
        upstream: &UpstreamId,
        now: Moment,
    ) -> Option<AnnouncementChange> {
        let known = self.entry(upstream, now)?;
        let is_known = known.leaving_since.is_some();
        known.leaving_since.get_or_insert(now);
        (!is_known).then_some(AnnouncementChange::Leaving)
    }

    fn note_backoff(
        &mut self,
        upstream: &UpstreamId,
        until: Deadline,
        now: Moment,
    ) -> Option<AnnouncementChange> {
        let known = self.entry(upstream, now)?;
        let before = known.backoff_until.unwrap_or_default();
        known.backoff_until = Some(until.max(before));
        (until > before).then_some(AnnouncementChange::BackingOff(until))
    }

    /// Notes that an upstream gets a request; whether that ends a rest.
    pub fn note_send(&mut self, upstream: &UpstreamId) -> bool {
        self.upstreams
            .get_mut(upstream)
            .is_some_and(|announcements| announcements.backoff_until.take().is_some())
    }

    fn note_limit(
        &mut self,
        upstream: &UpstreamId,
        rate: Option<LimitRate>,
        as_of: Moment,
        now: Moment,
    ) -> Option<AnnouncementChange> {
        if rate.is_none() && !self.upstreams.contains_key(upstream) {
            return None;
        }
        let known = self.entry(upstream, now)?;
        let is_old = as_of < known.limit_as_of || (rate.is_none() && as_of == known.limit_as_of);
        if is_old {
            return None;
        }
        known.limit_as_of = as_of;
        let before = std::mem::replace(&mut known.limit, rate);
        match rate {
            Some(rate) => {
                known.limit_over = None;
                (before != Some(rate)).then_some(AnnouncementChange::Limited { rate, before })
            }
            None if before.is_some() => {
                known.limit_over = Some(now);
                Some(AnnouncementChange::Unlimited)
            }
            None => None,
        }
    }

    fn note_unread(
        &mut self,
        upstream: &UpstreamId,
        announcements: &UpstreamAnnouncements,
        now: Moment,
    ) -> Option<AnnouncementChange> {
        let unread = announcements.unread.as_ref()?;
        let known = self.entry(upstream, now)?;
        let is_same = known.unread.replace(unread.clone()).as_ref() == Some(unread);
        (!is_same).then(|| AnnouncementChange::Unread(unread.clone()))
    }

    /// An upstream's words; nothing if there is no room for another's.
    fn entry(&mut self, upstream: &UpstreamId, now: Moment) -> Option<&mut KnownAnnouncements> {
        if !self.upstreams.contains_key(upstream) {
            if self.upstreams.len() >= MOST_KEPT {
                return None;
            }
            self.upstreams.insert(upstream.clone(), KnownAnnouncements::default());
        }
        let known = self.upstreams.get_mut(upstream)?;
        known.noted = now;
        Some(known)
    }

    /// What an upstream has said, if it said anything.
    pub(crate) fn announcements(&self, upstream: &UpstreamId) -> Option<&KnownAnnouncements> {
        self.upstreams.get(upstream)
    }

    /// An upstream's limit, if it has one.
    pub fn limit(&self, upstream: &UpstreamId) -> Option<LimitRate> {
        self.announcements(upstream)?.limit
    }

    /// An upstream's limit for other daemons, or that it has none any more.
    pub fn limit_notice(&self, upstream: &UpstreamId) -> Option<LimitNotice> {
        let announcements = self.upstreams.get(upstream)?;
        let is_known = announcements.limit.is_some() || announcements.limit_over.is_some();
        is_known.then(|| LimitNotice {
            upstream: upstream.clone(),
            rate: announcements.limit,
            as_of: announcements.limit_as_of,
        })
    }

    /// All limits and ends of limits for other daemons; of ends those that are recent.
    pub fn limit_notices(&self, now: Moment) -> impl Iterator<Item = LimitNotice> {
        let is_recent = move |over: Moment| !Deadline::after(over, TOLD_MS).passed(now);
        let is_told = move |announcements: &KnownAnnouncements| {
            announcements.limit.is_some() || announcements.limit_over.is_some_and(is_recent)
        };
        let told = self.upstreams.iter().filter(move |(_, announcements)| is_told(announcements));
        told.filter_map(|(id, _)| self.limit_notice(id))
    }

    /// Whether an upstream has said that it leaves.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        self.announcements(upstream).is_some_and(KnownAnnouncements::is_leaving)
    }

    /// Until when an upstream wants nothing from this daemon, if that is not over.
    pub fn backoff_until(&self, upstream: &UpstreamId, now: Moment) -> Option<Deadline> {
        self.announcements(upstream)?.backoff_until(now)
    }

    /// Upstreams that are lately known to leave, for other daemons.
    pub fn recently_leaving(&self, now: Moment) -> impl Iterator<Item = &UpstreamId> {
        let is_told = move |since: Moment| !Deadline::after(since, TOLD_MS).passed(now);
        let leaving = self.upstreams.iter();
        let leaving = leaving
            .filter(move |(_, announcements)| announcements.leaving_since.is_some_and(is_told));
        leaving.map(|(id, _)| id)
    }

    /// Forgets upstreams that are not listed and have said nothing for long.
    pub fn sweep(&mut self, now: Moment, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, announcements| {
            is_listed(id) || !Deadline::after(announcements.noted, KEPT_MS).passed(now)
        });
    }
}
