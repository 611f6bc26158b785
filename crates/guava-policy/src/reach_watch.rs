//! Decides whether this daemon has lost its links to all upstreams.
//!
//! A connection that can't be opened does not tell whose fault it is. Several upstreams that fail
//! one after the other, with no contact to any in between, make this daemon suspect its own links.
//! The suspicion is then checked at a sample of upstreams: contact to one of them refutes it, and
//! only if all of them fail are the links lost. They are back with the first contact.
//!
//! Contact is an answer on a connection that was opened for it. Answers on older connections prove
//! nothing: these may live on while no new one can be opened.

use guava_types::{FastMap, Moment, UpstreamId};

/// Upstreams that must fail before this daemon suspects its own links, if it knows as many.
const SUSPICIOUS_FAILURES: usize = 3;
/// How long a failure counts, in milliseconds: a few times as long as a connection may take.
const FAILURE_RETENTION_MS: u64 = 2_000;

/// A change of whether this daemon reaches upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// No upstream can be reached from here.
    Lost,
    /// Upstreams can be reached again; holds how long they could not, in milliseconds.
    Regained(u64),
}

/// Failed and successful connections of this daemon to upstreams.
#[derive(Clone, Debug, Default)]
pub struct ReachWatch {
    /// The last failure at each upstream since the last contact to any.
    failures: FastMap<UpstreamId, Moment>,
    last_contact: Option<Moment>,
    lost_since: Option<Moment>,
}

impl ReachWatch {
    /// Notes that no connection to an upstream could be opened, or that a new one broke without an
    /// answer.
    pub fn note_failure(&mut self, upstream: &UpstreamId, now: Moment) {
        self.failures.retain(|_, at| now.millis_since(*at) <= FAILURE_RETENTION_MS);
        self.failures.insert(upstream.clone(), now);
    }

    /// Notes contact to an upstream over a new connection.
    pub fn note_contact(&mut self, now: Moment) -> Option<ReachChange> {
        self.failures.clear();
        self.last_contact = Some(now);
        self.lost_since.take().map(|since| ReachChange::Regained(now.millis_since(since)))
    }

    /// Notes that a sample of upstreams was checked, and that none of them could be reached.
    pub fn note_unreached_sample(&mut self, now: Moment) -> Option<ReachChange> {
        let is_change = self.lost_since.is_none();
        self.lost_since.get_or_insert(now);
        is_change.then_some(ReachChange::Lost)
    }

    /// Whether this daemon must check its own links, where it knows so many upstreams.
    pub fn is_suspected(&self, upstreams: usize, now: Moment) -> bool {
        let is_recent = |at: &&Moment| now.millis_since(**at) <= FAILURE_RETENTION_MS;
        let failed = self.failures.values().filter(is_recent).count();
        failed > 0 && failed >= SUSPICIOUS_FAILURES.min(upstreams)
    }

    /// Whether no upstream can be reached from here.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Whether there was contact to any upstream after a moment.
    pub fn has_contact_since(&self, moment: Moment) -> bool {
        self.last_contact.is_some_and(|contact| contact > moment)
    }
}
