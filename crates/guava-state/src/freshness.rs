//! The freshness rule: whether this daemon may take new work, as far as configuration goes.
//!
//! A daemon that reads the log to its end is fresh. One that is cut from the log is fresh if it
//! has applied everything up to an end that some peer saw lately, directly or through others. If
//! nobody within reach sees the log but a majority of the roster is within reach, the log is taken
//! to be out: an operator's change is accepted only by a daemon that reaches a majority itself, so
//! none can be accepted behind this majority's back while the cut lasts. Everything else is stale.

use guava_types::{Incarnation, Moment, Offset};

/// How old a sight of the log or of a peer may be, in milliseconds.
pub const FRESHNESS_LIMIT_MS: u64 = 5_000;

/// Somebody read the log to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogObservation {
    /// The end: the first offset not yet written.
    pub end: Offset,
    /// When, on the clock of the daemon that holds this value.
    pub seen: Moment,
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerObservation {
    /// Which.
    pub incarnation: Incarnation,
    /// When it was last known to be alive.
    pub last_contact: Moment,
    /// Its last sight of the log's end.
    pub log: Option<LogObservation>,
}

/// What the rule judges by.
#[derive(Clone, Debug)]
pub struct FreshnessInput<'a> {
    /// The current moment.
    pub now: Moment,
    /// This daemon.
    pub me: Incarnation,
    /// The first offset not yet applied here.
    pub next: Offset,
    /// The latest moment at which the log was known to hold nothing that is not applied here.
    ///
    /// Kept, since a peer's newer sight replaces its older one: a daemon that follows through its
    /// peers would else be stale from each new record until it has fetched it.
    pub confirmed: Option<Moment>,
    /// This daemon's own sight of the log.
    pub own: Option<LogObservation>,
    /// Peers, on the roster or not.
    pub peers: &'a [PeerObservation],
    /// The daemons that the log counts as members.
    pub roster: &'a [Incarnation],
}

/// The rule's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessVerdict {
    /// Everything up to a recent end of the log is applied.
    LogSeen,
    /// The log is out for a majority, which this daemon is in touch with.
    MajorityReachable,
    /// Newer configuration may be in force elsewhere.
    Stale,
}

impl FreshnessVerdict {
    /// Whether new work may be taken.
    pub fn is_fresh(self) -> bool {
        self != Self::Stale
    }
}

impl FreshnessInput<'_> {
    fn is_recent(&self, moment: Moment) -> bool {
        self.now.millis_since(moment) <= FRESHNESS_LIMIT_MS
    }

    /// The latest moment at which the log is now known to have held nothing more than is applied.
    pub fn confirm(&self) -> Option<Moment> {
        let peers = self.peers.iter().filter_map(|peer| peer.log.as_ref());
        let applied = peers.chain(self.own.as_ref()).filter(|sight| sight.end <= self.next);
        applied.map(|sight| sight.seen).max().max(self.confirmed)
    }

    fn sees_log(&self) -> bool {
        self.confirm().is_some_and(|moment| self.is_recent(moment))
    }

    /// Members of the roster heard lately, this daemon included.
    pub fn reachable_members(&self) -> usize {
        let heard = |member: &&Incarnation| {
            **member == self.me
                || self
                    .peers
                    .iter()
                    .any(|peer| peer.incarnation == **member && self.is_recent(peer.last_contact))
        };
        self.roster.iter().filter(heard).count()
    }

    /// Whether more than half of the roster was heard lately.
    pub fn reaches_majority(&self) -> bool {
        !self.roster.is_empty() && self.reachable_members() * 2 > self.roster.len()
    }

    fn newer_is_known(&self) -> bool {
        let peers = self.peers.iter().filter_map(|peer| peer.log.as_ref());
        peers.chain(self.own.as_ref()).any(|sight| sight.end > self.next)
    }

    /// Applies the rule.
    pub fn judge(&self) -> FreshnessVerdict {
        if self.sees_log() {
            FreshnessVerdict::LogSeen
        } else if self.reaches_majority() && !self.newer_is_known() {
            FreshnessVerdict::MajorityReachable
        } else {
            FreshnessVerdict::Stale
        }
    }
}
