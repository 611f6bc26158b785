//! Parts that are about to be freed in a store, as all daemons know them.
//!
//! A store frees a part on order even while it is fetched, so parts are retired first: a daemon that
//! knows of a retirement neither fetches the parts from the store nor saves them there, and says in its
//! summaries of which retirements it knows.

use crate::parts::part_key::PartKey;
use guava_types::{FastMap, Moment};
use std::net::SocketAddr;

/// Most parts in one retirement: their keys take some 200 bytes of a summary.
pub const MAX_RETIRED_PARTS: usize = 24;
/// Time from its begin after which a retirement is forgotten by those who heard of it, in
/// milliseconds; longer than the daemon that began it may take until it has ended it.
const RETENTION_MS: u64 = 60_000;
/// Time from its begin for which daemons tell others' retirements to new peers, in milliseconds. Well
/// within the above, so that no two daemons remind each other for ever.
const RETOLD_MS: u64 = 45_000;
/// Most retirements by which a daemon acts at a time. Of further ones it does not say that it knows
/// them, so they are withdrawn.
const MAX_RETIREMENTS: usize = 64;
/// Most ended retirements that a daemon remembers, of which the oldest is forgotten first.
const MAX_ENDED: usize = 512;

/// Identifies a retirement; drawn at random, so that no two daemons, or starts of one, use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetirementId(pub u64);

/// How far a retirement has come; a later phase replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetirePhase {
    /// The store still holds the parts.
    Retiring,
    /// The store was ordered to free the parts.
    Freed,
    /// It is over: the store may be used for these parts again.
    Ended,
}

/// A retirement, as daemons tell it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetireNotice {
    /// Identifies it.
    pub id: RetirementId,
    /// Address of the store.
    pub store: SocketAddr,
    /// When it began, on this daemon's clock.
    pub begun: Moment,
    /// How far it has come.
    pub phase: RetirePhase,
    /// The parts; none once it has ended.
    pub parts: Vec<PartKey>,
}

impl RetireNotice {
    fn is_younger(&self, millis: u64, now: Moment) -> bool {
        now.millis_since(self.begun) < millis
    }
}

/// The retirements that a daemon knows of, its own and others'.
#[derive(Debug, Default)]
pub struct RetirementTable {
    /// Those by which it acts.
    notices: FastMap<RetirementId, RetireNotice>,
    /// When those began that have ended, so that late messages don't revive them.
    ended: FastMap<RetirementId, Moment>,
}

impl RetirementTable {
    /// Applies a notice; one of an earlier phase than is known has no effect, nor has one of a
    /// retirement that is over. Returns the retirement that it ends, as it was known.
    pub fn note(&mut self, notice: RetireNotice, now: Moment) -> Option<RetireNotice> {
        self.ended.retain(|_, begun| now.millis_since(*begun) < RETENTION_MS);
        if self.is_over(&notice, now) {
            return None;
        }
        if notice.phase == RetirePhase::Ended {
            self.forget_one();
            self.ended.insert(notice.id, notice.begun);
            return self.notices.remove(&notice.id);
        }
        let known = self.notices.get(&notice.id);
        let has_place = known.is_some() || self.has_place(now);
        if has_place && known.is_none_or(|known| known.phase < notice.phase) {
            self.notices.insert(notice.id, notice);
        }
        None
    }

    /// Whether a notice is of a retirement that is over.
    pub fn is_over(&self, notice: &RetireNotice, now: Moment) -> bool {
        self.ended.contains_key(&notice.id) || !notice.is_younger(RETENTION_MS, now)
    }

    /// Ends the retirements that nobody will end any more, and returns them.
    pub fn take_expired(&mut self, now: Moment) -> Vec<RetireNotice> {
        let is_expired =
            |_: &RetirementId, it: &mut RetireNotice| !it.is_younger(RETENTION_MS, now);
        self.notices.extract_if(is_expired).map(|(_, notice)| notice).collect()
    }

    /// Whether this daemon can act by one more.
    pub fn has_place(&self, now: Moment) -> bool {
        self.lasting(now).count() < MAX_RETIREMENTS
    }

    /// Forgets the oldest of those that ended, if there are too many.
    fn forget_one(&mut self) {
        if self.ended.len() < MAX_ENDED {
            return;
        }
        if let Some(id) = self.ended.iter().min_by_key(|(_, begun)| **begun).map(|(id, _)| *id) {
            self.ended.remove(&id);
        }
    }

    fn lasting(&self, now: Moment) -> impl Iterator<Item = &RetireNotice> {
        self.notices.values().filter(move |notice| notice.is_younger(RETENTION_MS, now))
    }

    /// Whether a part is retired from a store. That holds until the retirement is known to be over.
    pub fn retires(&self, store: SocketAddr, part: PartKey) -> bool {
        let is_retired = |it: &RetireNotice| it.store == store && it.parts.contains(&part);
        self.notices.values().any(is_retired)
    }

    /// The retirements that this daemon knows and acts by.
    pub fn heard(&self, now: Moment) -> Vec<RetirementId> {
        self.lasting(now).map(|notice| notice.id).collect()
    }

    /// The retirements to tell a new peer, whoever began them.
    pub fn retold(&self, now: Moment) -> Vec<RetireNotice> {
        self.lasting(now).filter(|notice| notice.is_younger(RETOLD_MS, now)).cloned().collect()
    }
}
