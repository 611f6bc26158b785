//! The retirements that this daemon began, from the announcement until the parts may be saved again.
//!
//! Parts are freed only when every known daemon has said that it knows of the retirement, and all
//! fetches that any of them began before have ended. Otherwise the retirement is withdrawn. Once the
//! order is sent, the parts count as gone whatever its answer, until all daemons know what the store
//! says of them.

use crate::parts::part_index::RESTART_SETTLE_MS;
use crate::parts::part_key::PartKey;
use crate::parts::retirement::{RetireNotice, RetirePhase, RetirementId};
use guava_types::{Deadline, FastMap, MemberName, Moment};
use std::fmt;
use std::net::SocketAddr;

/// Most stores from which this daemon retires parts at a time: each takes some 250 bytes of every
/// summary.
const MAX_BATCHES: usize = 4;
/// Time after which a retirement that can't be carried out is withdrawn, in milliseconds. Much shorter
/// than daemons keep to it.
const MAX_RETIRING_MS: u64 = 20_000;
/// Time for which the end of a retirement is told, in milliseconds: some summaries, also to other data
/// centres.
const ENDED_TOLD_MS: u64 = 4_000;
/// Time after a withdrawal in which no parts are retired from the same store, in milliseconds.
const WITHDRAWN_PAUSE_MS: u64 = 10_000;

/// Why a retirement was withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithdrawReason {
    /// Another daemon decides for this store now.
    Replaced,
    /// The store restarted.
    StoreRestarted,
    /// There are daemons that can't be asked.
    Attached,
    /// A daemon did not confirm it, or the store did not report.
    Unconfirmed,
}

impl fmt::Display for WithdrawReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Replaced => "replaced",
            Self::StoreRestarted => "store-restarted",
            Self::Attached => "attached-daemons",
            Self::Unconfirmed => "unconfirmed",
        })
    }
}

/// What the next step of a retirement depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetireInput {
    /// Whether this daemon decides for the store.
    pub is_decider: bool,
    /// The store's epoch by a fresh report; `None` without one.
    pub epoch: Option<u64>,
    /// All daemons that may fetch from the store, without this one.
    pub members: Vec<MemberName>,
    /// Whether there are daemons that this one does not know by name.
    pub has_attached: bool,
}

/// What to do with a store's retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireStep {
    /// Nothing now.
    Wait,
    /// Order the store, in this epoch, to free the parts.
    Free(u64),
    /// Nothing more: it was withdrawn.
    Withdrawn {
        /// Why.
        reason: WithdrawReason,
        /// Number of parts.
        parts: usize,
    },
}

#[derive(Debug)]
struct RetireBatch {
    notice: RetireNotice,
    epoch: u64,
    /// Since when each daemon is known to act by it.
    confirmed: FastMap<MemberName, Moment>,
    /// Until when the parts are neither fetched nor saved; set once the order is sent.
    settled_at: Option<Deadline>,
}

impl RetireBatch {
    /// Since when all of these daemons are known to act by it; `None` if one is not.
    fn confirmed_by(&self, members: &[MemberName]) -> Option<Moment> {
        let confirmed = members.iter().map(|member| self.confirmed.get(member).copied());
        confirmed
            .chain([Some(self.notice.begun)])
            .try_fold(Moment::default(), |latest, moment| Some(latest.max(moment?)))
    }

    fn withdrawal(&self, input: &RetireInput, now: Moment) -> Option<WithdrawReason> {
        if !input.is_decider {
            Some(WithdrawReason::Replaced)
        } else if input.epoch.is_some_and(|epoch| epoch != self.epoch) {
            Some(WithdrawReason::StoreRestarted)
        } else if input.has_attached {
            Some(WithdrawReason::Attached)
        } else {
            let is_late = now.millis_since(self.notice.begun) >= MAX_RETIRING_MS;
            is_late.then_some(WithdrawReason::Unconfirmed)
        }
    }
}

/// This daemon's own retirements, at most one for each store.
#[derive(Debug, Default)]
pub struct RetirementLedger {
    batches: FastMap<SocketAddr, RetireBatch>,
    /// Those that ended lately, with the time until which that is told.
    ended: Vec<(RetireNotice, Deadline)>,
    /// Stores whose last retirement was withdrawn, until parts may be retired again.
    paused: FastMap<SocketAddr, Deadline>,
}

impl RetirementLedger {
    /// Whether parts may be retired from a store now.
    pub fn may_begin(&self, store: SocketAddr, now: Moment) -> bool {
        let is_paused = self.paused.get(&store).is_some_and(|until| !until.passed(now));
        !is_paused && !self.batches.contains_key(&store) && self.batches.len() < MAX_BATCHES
    }

    /// Begins to retire parts from a store in this epoch; returns the notice.
    pub fn begin(
        &mut self,
        id: RetirementId,
        store: SocketAddr,
        epoch: u64,
        parts: Vec<PartKey>,
        now: Moment,
    ) -> RetireNotice {
        let notice = RetireNotice { id, store, begun: now, phase: RetirePhase::Retiring, parts };
        let batch = RetireBatch {
            notice: notice.clone(),
            epoch,
            confirmed: FastMap::default(),
            settled_at: None,
        };
        self.batches.insert(store, batch);
        notice
    }

    /// Applies a daemon's word of all retirements that it knows. A daemon that no longer names one has
    /// restarted, and has to confirm it again.
    pub fn note_heard(&mut self, member: &MemberName, heard: &[RetirementId], now: Moment) {
        for batch in self.batches.values_mut() {
            if heard.contains(&batch.notice.id) {
                batch.confirmed.entry(member.clone()).or_insert(now);
            } else {
                batch.confirmed.remove(member);
            }
        }
    }

    /// The next step of a store's retirement.
    pub fn step(&mut self, store: SocketAddr, input: &RetireInput, now: Moment) -> RetireStep {
        let Some(batch) = self.batches.get(&store) else { return RetireStep::Wait };
        if let Some(settled_at) = batch.settled_at {
            if settled_at.passed(now) {
                self.end(store, now);
            }
            return RetireStep::Wait;
        }
        if let Some(reason) = batch.withdrawal(input, now) {
            self.paused.retain(|_, until| !until.passed(now));
            self.paused.insert(store, Deadline::after(now, WITHDRAWN_PAUSE_MS));
            let parts = batch.notice.parts.len();
            self.end(store, now);
            return RetireStep::Withdrawn { reason, parts };
        }
        let confirmed = batch.confirmed_by(&input.members);
        let is_settled =
            confirmed.is_some_and(|since| now.millis_since(since) >= RESTART_SETTLE_MS);
        if is_settled && input.epoch.is_some() {
            RetireStep::Free(batch.epoch)
        } else {
            RetireStep::Wait
        }
    }

    /// Notes that the store is ordered to free the parts, until a time after which the order has no
    /// effect; returns the parts.
    pub fn note_ordered(&mut self, store: SocketAddr, until: Deadline) -> Vec<PartKey> {
        let Some(batch) = self.batches.get_mut(&store) else { return Vec::new() };
        batch.notice.phase = RetirePhase::Freed;
        batch.settled_at = Some(Deadline::after(until.0, RESTART_SETTLE_MS));
        batch.notice.parts.clone()
    }

    /// The stores with a retirement.
    pub fn stores(&self) -> Vec<SocketAddr> {
        self.batches.keys().copied().collect()
    }

    /// What to tell all daemons in each summary.
    pub fn notices(&self, now: Moment) -> Vec<RetireNotice> {
        let told = self.ended.iter().filter(|(_, until)| !until.passed(now));
        let ended = told.map(|(notice, _)| notice.clone());
        self.batches.values().map(|batch| batch.notice.clone()).chain(ended).collect()
    }

    fn end(&mut self, store: SocketAddr, now: Moment) {
        let Some(batch) = self.batches.remove(&store) else { return };
        self.ended.retain(|(_, until)| !until.passed(now));
        let ended = RetireNotice { phase: RetirePhase::Ended, parts: Vec::new(), ..batch.notice };
        self.ended.push((ended, Deadline::after(now, ENDED_TOLD_MS)));
    }
}
