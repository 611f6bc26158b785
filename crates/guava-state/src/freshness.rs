//! The freshness rule: whether this daemon's configuration is recent enough to take new work.
//!
//! A daemon that reads the log to its end is fresh. One that can't read the log is fresh if it has
//! applied everything up to an end that a peer observed recently, directly or through other
//! daemons. If no reachable daemon can read the log but a majority of the roster is reachable, the
//! log is considered unavailable: an operator's change is accepted only by a daemon that reaches a
//! majority itself, so none can be accepted without this majority while the partition lasts. In
//! every other case the daemon is stale.

use guava_types::{Incarnation, Moment, Offset};

/// Greatest age at which an observation of the log or of a peer counts as recent, in milliseconds.
pub const FRESHNESS_LIMIT_MS: u64 = 5_000;

/// The end of the log as a daemon read it at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogObservation {
    /// The end: the first offset not yet written.
    pub end: Offset,
    /// When it was read, on the clock of the daemon that holds this value.
    pub seen: Moment,
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerObservation {
    /// Identity of the peer's process.
    pub incarnation: Incarnation,
    /// When it was last known to be running.
    pub last_contact: Moment,
    /// Its last observation of the log's end.
    pub log: Option<LogObservation>,
}

/// What the freshness rule decides by.
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
    /// It is kept because a peer's newer observation replaces its older one: without it, a daemon
    /// that follows the log through its peers would be stale from each new record until it has
    /// fetched it.
    pub confirmed: Option<Moment>,
    /// This daemon's own observation of the log.
    pub own: Option<LogObservation>,
    /// Peers, on the roster or not; only those on it count towards a majority.
    pub peers: &'a [PeerObservation],
    /// The daemons that the log counts as members.
    pub roster: &'a [Incarnation],
}

/// The result of the freshness rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessVerdict {
    /// Everything up to a recent end of the log is applied.
    LogSeen,
    /// The log is unavailable to a majority of the roster, which this daemon reaches.
    MajorityReachable,
    /// Newer configuration may be in force at other daemons.
    Stale,
}

impl FreshnessVerdict {
    /// Whether this daemon may take new work.
    pub fn is_fresh(self) -> bool {
        self != Self::Stale
    }
}

impl FreshnessInput<'_> {
    fn is_recent(&self, moment: Moment) -> bool {
        self.now.millis_since(moment) <= FRESHNESS_LIMIT_MS
    }

    /// The latest moment at which the log is known to have held nothing that is not applied here;
    /// the `confirmed` of the next input.
    pub fn confirm(&self) -> Option<Moment> {
        let peers = self.peers.iter().filter_map(|peer| peer.log.as_ref());
        let applied =
            peers.chain(self.own.as_ref()).filter(|observation| observation.end <= self.next);
        applied.map(|observation| observation.seen).max().max(self.confirmed)
    }

    fn has_recent_log_end(&self) -> bool {
        self.confirm().is_some_and(|moment| self.is_recent(moment))
    }

    /// Members of the roster that are reachable, this daemon included.
    fn reachable_members(&self) -> usize {
        let is_reachable = |member: &&Incarnation| {
            **member == self.me
                || self
                    .peers
                    .iter()
                    .any(|peer| peer.incarnation == **member && self.is_recent(peer.last_contact))
        };
        self.roster.iter().filter(is_reachable).count()
    }

    /// Whether more than half of the roster is reachable; false while the roster is empty.
    pub fn reaches_majority(&self) -> bool {
        !self.roster.is_empty() && self.reachable_members() * 2 > self.roster.len()
    }

    fn knows_newer_records(&self) -> bool {
        let peers = self.peers.iter().filter_map(|peer| peer.log.as_ref());
        peers.chain(self.own.as_ref()).any(|observation| observation.end > self.next)
    }

    /// Applies the freshness rule.
    pub fn judge(&self) -> FreshnessVerdict {
        if self.has_recent_log_end() {
            FreshnessVerdict::LogSeen
        } else if self.reaches_majority() && !self.knows_newer_records() {
            FreshnessVerdict::MajorityReachable
        } else {
            FreshnessVerdict::Stale
        }
    }
}
