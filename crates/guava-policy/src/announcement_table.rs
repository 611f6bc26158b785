//! What upstreams have announced of themselves.
//!
//! **Limits.** A limit holds for as long as the upstream's answers name it. Answers can overtake
//! each other, so each announcement has a moment: an answer that names a limit counts as of its
//! arrival; one that names none counts as of the send of its request, the earliest moment at which
//! it can have been true. A limit ends with an answer to a request that was sent after the last
//! answer that named it; it does not expire without answers. Limits reported by other daemons count
//! as of the same moments, on this daemon's clock.
//!
//! **Leaving** is final for an id. Neither another answer nor the platform's list, which may be
//! many seconds late, revokes it.
//!
//! **Brittle** upstreams crash if they have to turn away many requests. That holds and ends like a
//! limit, and daemons tell each other: with many daemons, most have no recent answer of an upstream.
//!
//! **Back-off** applies to one daemon and is not sent to other daemons. A later answer can extend
//! it but not shorten it: answers can overtake each other, and the upstream that sent the longer
//! back-off still relies on it.
//!
//! An id names one start of an upstream, so announcements of an earlier start do not apply to the
//! next.

use crate::upstream_announcements::{AnnouncedLimit, UpstreamAnnouncements};
use guava_types::{Deadline, FastMap, LimitRate, Moment, UpstreamId};

/// Retention of the announcements of an upstream that is not listed, in milliseconds: entries that
/// lapsed while the list was unavailable come back under the same id.
const UNLISTED_RETENTION_MS: u64 = 600_000;
/// How long summaries report that a limit ended or that an upstream is leaving, in milliseconds. It
/// covers many summaries, so that a daemon that was suspended or cut off meanwhile receives one.
const GOSSIP_RETENTION_MS: u64 = 20_000;
/// Upper bound on the upstreams in the table, against messages that name ever more of them.
const MAX_UPSTREAMS: usize = 4_096;

/// Percentage of the previous limit below which a new limit is sent to other daemons at once.
const URGENT_PERCENT: u64 = 75;

/// An upstream's limit, as daemons send it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitNotice {
    /// Id of the upstream, which names one start of it.
    pub upstream: UpstreamId,
    /// Limit on the requests of all daemons together; `None` if the upstream no longer names one.
    pub rate: Option<LimitRate>,
    /// Moment as of which this is known, on this daemon's clock.
    pub as_of: Moment,
}

/// Whether an upstream is brittle, as daemons send it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrittleNotice {
    /// Id of the upstream, which names one start of it.
    pub upstream: UpstreamId,
    /// Requests that it can turn away in a second; `None` if it is no longer brittle.
    pub refusals: Option<u32>,
    /// Moment as of which this is known, on this daemon's clock.
    pub as_of: Moment,
}

/// What an announcement changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnnouncementChange {
    /// The upstream's limit differs from the known one.
    Limited {
        /// The limit now in force.
        rate: LimitRate,
        /// The previous limit, if there was one.
        before: Option<LimitRate>,
    },
    /// The upstream no longer has a limit.
    Unlimited,
    /// The upstream is leaving.
    Leaving,
    /// The upstream is brittle: it crashes if it turns away more requests than that in a second.
    Brittle(u32),
    /// The upstream is no longer brittle.
    Sturdy,
    /// This daemon sends it no requests until then.
    BackingOff(Deadline),
    /// An announcement can't be parsed; holds its text, cut to a bounded length.
    Unreadable(Box<str>),
}

impl AnnouncementChange {
    /// Kind of announcement, as a label for logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Limited { .. } => "limit",
            Self::Unlimited => "no-limit",
            Self::Leaving => "leaving",
            Self::Brittle(_) => "brittle",
            Self::Sturdy => "sturdy",
            Self::BackingOff(_) => "rest",
            Self::Unreadable(_) => "unreadable",
        }
    }

    /// Its value as text for logs; empty for a change that has none.
    pub fn value(&self, now: Moment) -> String {
        match self {
            Self::Limited { rate, .. } => rate.to_string(),
            Self::BackingOff(until) => format!("{} ms", until.millis_left(now)),
            Self::Unreadable(value) => value.to_string(),
            Self::Brittle(refusals) => refusals.to_string(),
            Self::Unlimited | Self::Leaving | Self::Sturdy => String::new(),
        }
    }

    /// Whether the change is sent to other daemons at once rather than with the next summary.
    ///
    /// A limit that is raised or only a little lower is not urgent: some upstreams name another
    /// limit in each answer.
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::Limited { rate, before: Some(before) } => {
                rate.thousandths() < before.thousandths() * URGENT_PERCENT / 100
            }
            Self::Limited { before: None, .. } | Self::Leaving => true,
            Self::Unlimited
            | Self::Brittle(_)
            | Self::Sturdy
            | Self::BackingOff(_)
            | Self::Unreadable(_) => false,
        }
    }
}

/// An announcement that holds for as long as answers repeat it.
#[derive(Clone, Copy, Debug, Default)]
struct RepeatedAnnouncement<T> {
    /// What is announced; `None` while nothing is.
    value: Option<T>,
    /// Moment as of which the value, or its absence, is known.
    as_of: Moment,
    /// When the last value was found to have ended, if there is none now.
    ended: Option<Moment>,
}

impl<T: Copy> RepeatedAnnouncement<T> {
    /// Applies a value, or its absence, as of a moment; returns the previous value, unless a later
    /// one is known.
    fn note(&mut self, value: Option<T>, as_of: Moment, now: Moment) -> Option<Option<T>> {
        if as_of < self.as_of || (value.is_none() && as_of == self.as_of) {
            return None;
        }
        self.as_of = as_of;
        let before = std::mem::replace(&mut self.value, value);
        if value.is_some() {
            self.ended = None;
        } else if before.is_some() {
            self.ended = Some(now);
        }
        Some(before)
    }

    /// Whether it was ever announced.
    fn is_known(&self) -> bool {
        self.value.is_some() || self.ended.is_some()
    }

    /// Whether summaries report it.
    fn is_reported(&self, now: Moment) -> bool {
        let is_recent = |ended| !Deadline::after(ended, GOSSIP_RETENTION_MS).passed(now);
        self.value.is_some() || self.ended.is_some_and(is_recent)
    }
}

/// What one upstream has announced.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownAnnouncements {
    limit: RepeatedAnnouncement<LimitRate>,
    /// When it was first known to be leaving, if it is.
    leaving_since: Option<Moment>,
    /// Requests that it can turn away in a second.
    brittle: RepeatedAnnouncement<u32>,
    /// End of its back-off for this daemon; may have passed.
    backoff_until: Option<Deadline>,
    unreadable: Option<Box<str>>,
    /// When an announcement of it was last recorded.
    updated: Moment,
}

impl KnownAnnouncements {
    /// Its limit, if it has one.
    pub(crate) fn limit(&self) -> Option<LimitRate> {
        self.limit.value
    }

    /// Whether it has announced that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// End of its back-off for this daemon, if that has not passed.
    pub(crate) fn backoff_until(&self, now: Moment) -> Option<Deadline> {
        self.backoff_until.filter(|until| !until.passed(now))
    }
}

/// Announcements of all upstreams that have made any.
#[derive(Clone, Debug, Default)]
pub struct AnnouncementTable {
    upstreams: FastMap<UpstreamId, KnownAnnouncements>,
}

impl AnnouncementTable {
    /// Records the announcements in an answer to a request sent at `sent`; returns what they
    /// change.
    pub fn note_answer(
        &mut self,
        upstream: &UpstreamId,
        announcements: &UpstreamAnnouncements,
        sent: Moment,
        now: Moment,
    ) -> Vec<AnnouncementChange> {
        let mut changes = Vec::new();
        changes.extend(match announcements.limit {
            AnnouncedLimit::None => self.note_limit(upstream, None, sent, now),
            AnnouncedLimit::Named(rate) => self.note_limit(upstream, Some(rate), now, now),
            AnnouncedLimit::Unreadable => None,
        });
        if announcements.is_leaving {
            changes.extend(self.note_leaving(upstream, now));
        }
        changes.extend(self.note_brittle(upstream, announcements.brittle, sent, now));
        changes.extend(
            announcements.backoff_until.and_then(|until| self.note_backoff(upstream, until, now)),
        );
        changes.extend(self.note_unreadable(upstream, announcements, now));
        changes
    }

    /// Applies a limit reported by another daemon; returns the change, if it makes one.
    pub fn apply_limit_notice(
        &mut self,
        notice: &LimitNotice,
        now: Moment,
    ) -> Option<AnnouncementChange> {
        self.note_limit(&notice.upstream, notice.rate, notice.as_of, now)
    }

    /// Records that an upstream is leaving, as announced by itself or reported by another daemon;
    /// returns the change if that was not known.
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

    /// An answer that does not say so shows the state at which its request was sent.
    fn note_brittle(
        &mut self,
        upstream: &UpstreamId,
        brittle: Option<u32>,
        sent: Moment,
        now: Moment,
    ) -> Option<AnnouncementChange> {
        if brittle.is_none() && !self.upstreams.contains_key(upstream) {
            return None;
        }
        let as_of = if brittle.is_some() { now } else { sent };
        self.note_brittle_as_of(upstream, brittle, as_of, now)
    }

    fn note_brittle_as_of(
        &mut self,
        upstream: &UpstreamId,
        brittle: Option<u32>,
        as_of: Moment,
        now: Moment,
    ) -> Option<AnnouncementChange> {
        let before = self.entry(upstream, now)?.brittle.note(brittle, as_of, now)?;
        let change = brittle.map_or(AnnouncementChange::Sturdy, AnnouncementChange::Brittle);
        (before != brittle).then_some(change)
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

    /// Records that an upstream gets a request; returns whether that ends a back-off.
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
        let before = self.entry(upstream, now)?.limit.note(rate, as_of, now)?;
        let change = match rate {
            Some(rate) => AnnouncementChange::Limited { rate, before },
            None => AnnouncementChange::Unlimited,
        };
        (before != rate).then_some(change)
    }

    fn note_unreadable(
        &mut self,
        upstream: &UpstreamId,
        announcements: &UpstreamAnnouncements,
        now: Moment,
    ) -> Option<AnnouncementChange> {
        let unreadable = announcements.unreadable.as_ref()?;
        let known = self.entry(upstream, now)?;
        let is_same = known.unreadable.replace(unreadable.clone()).as_ref() == Some(unreadable);
        (!is_same).then(|| AnnouncementChange::Unreadable(unreadable.clone()))
    }

    /// The entry of an upstream, created if missing; `None` if the table is full.
    fn entry(&mut self, upstream: &UpstreamId, now: Moment) -> Option<&mut KnownAnnouncements> {
        if !self.upstreams.contains_key(upstream) {
            if self.upstreams.len() >= MAX_UPSTREAMS {
                return None;
            }
            self.upstreams.insert(upstream.clone(), KnownAnnouncements::default());
        }
        let known = self.upstreams.get_mut(upstream)?;
        known.updated = now;
        Some(known)
    }

    /// What an upstream has announced, if anything.
    pub(crate) fn announcements(&self, upstream: &UpstreamId) -> Option<&KnownAnnouncements> {
        self.upstreams.get(upstream)
    }

    /// An upstream's limit, if it has one.
    pub fn limit(&self, upstream: &UpstreamId) -> Option<LimitRate> {
        self.announcements(upstream)?.limit()
    }

    /// Whether an upstream is brittle.
    pub fn is_brittle(&self, upstream: &UpstreamId) -> bool {
        self.announcements(upstream).is_some_and(|known| known.brittle.value.is_some())
    }

    /// An upstream's limit, or that it has none any more, to be sent to other daemons; `None` if it
    /// never had one.
    pub fn limit_notice(&self, upstream: &UpstreamId) -> Option<LimitNotice> {
        let limit = self.upstreams.get(upstream)?.limit;
        limit.is_known().then(|| LimitNotice {
            upstream: upstream.clone(),
            rate: limit.value,
            as_of: limit.as_of,
        })
    }

    /// All limits in force, and the limits that ended recently, to be sent to other daemons.
    pub fn limit_notices(&self, now: Moment) -> impl Iterator<Item = LimitNotice> {
        let reported = self.upstreams.iter().filter(move |(_, known)| known.limit.is_reported(now));
        reported.filter_map(|(id, _)| self.limit_notice(id))
    }

    /// Upstreams that are brittle, or were recently, to be sent to other daemons.
    pub fn brittle_notices(&self, now: Moment) -> impl Iterator<Item = BrittleNotice> {
        let reported =
            self.upstreams.iter().filter(move |(_, known)| known.brittle.is_reported(now));
        reported.map(|(id, known)| BrittleNotice {
            upstream: id.clone(),
            refusals: known.brittle.value,
            as_of: known.brittle.as_of,
        })
    }

    /// Applies whether an upstream is brittle, as another daemon reported; returns the change, if it
    /// makes one.
    pub fn apply_brittle_notice(
        &mut self,
        notice: &BrittleNotice,
        now: Moment,
    ) -> Option<AnnouncementChange> {
        if notice.refusals.is_none() && !self.upstreams.contains_key(&notice.upstream) {
            return None;
        }
        self.note_brittle_as_of(&notice.upstream, notice.refusals, notice.as_of, now)
    }

    /// Whether an upstream is known to be leaving.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        self.announcements(upstream).is_some_and(KnownAnnouncements::is_leaving)
    }

    /// End of an upstream's back-off for this daemon, if that has not passed.
    pub fn backoff_until(&self, upstream: &UpstreamId, now: Moment) -> Option<Deadline> {
        self.announcements(upstream)?.backoff_until(now)
    }

    /// Upstreams that were recently found to be leaving, to be sent to other daemons.
    pub fn recently_leaving(&self, now: Moment) -> impl Iterator<Item = &UpstreamId> {
        let is_reported =
            move |since: Moment| !Deadline::after(since, GOSSIP_RETENTION_MS).passed(now);
        let leaving = self.upstreams.iter();
        let leaving = leaving
            .filter(move |(_, announcements)| announcements.leaving_since.is_some_and(is_reported));
        leaving.map(|(id, _)| id)
    }

    /// Removes upstreams that are not listed and whose retention has passed since their last
    /// announcement.
    pub fn sweep(&mut self, now: Moment, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, announcements| {
            is_listed(id)
                || !Deadline::after(announcements.updated, UNLISTED_RETENTION_MS).passed(now)
        });
    }
}
