//! The queue of one service: requests that wait in the daemon until an upstream has a place for them.
//!
//! An upstream that is sent more than it has room for serves all of it worse: engines evict the
//! prompt parts of waiting prompts and preempt runs, instances turn requests away. In the daemon a
//! request uses no room while it waits, and can be refused without having started.
//!
//! The order is by rank, then by the customer with the least recent use, then by arrival. A
//! customer's requests count as used in turn, so that its tenth one stands behind the first one of a
//! customer that has used no more. A customer that asks for more than its share thus waits behind
//! itself, and uses what the others leave.
//!
//! Whether a request fits is known only to who plans its send. So the first few requests are asked in
//! turn, in rounds; one that fits starts although those before it did not. One that was passed often
//! holds the queue for a limited time, in which places are kept free for it.

use crate::customer_ledger::CustomerLedger;
use crate::drain_rate::DrainRate;
use crate::return_schedule::{ReturnSchedule, unscheduled_return_ms};
use crate::yield_rule::WaitingUse;
use guava_types::{CustomerId, Deadline, FastMap, Moment};

/// Most requests that wait in one queue.
pub const MAX_QUEUED: usize = 512;
/// Requests that are asked in a round whether they fit.
pub const MAX_ASKED: usize = 8;
/// Starts that may pass a request that does not fit before it holds the queue.
pub const MAX_PASSES: u32 = 8;
/// Longest time for which one request holds the queue, in milliseconds: places are kept free until
/// some runs have finished. What it does not get by then other daemons have taken.
pub const MAX_HOLD_MS: u64 = 100;
/// Time after which a new round begins though no place is known to be free, in milliseconds.
pub const ROUND_MS: u64 = 20;
/// Fraction of the time left that the expected wait of a request may take when it joins: one that is
/// refused only after it has waited returns later than those that were refused at once.
const JOIN_MARGIN: f64 = 0.9;
/// Time from which a waiting request counts for other daemons, in milliseconds: it has been passed by
/// in a few rounds.
const LATE_MS: u64 = 3 * ROUND_MS;
/// Factor by which the expected wait of a waiting request must exceed the time that it has left
/// before it is refused: the measured rate varies, and a wrong refusal costs what it waited.
const REFUSE_MARGIN: f64 = 1.5;

/// Identifies a request in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(u64);

/// A request that is to wait.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry {
    /// The customer that it is charged to, if any.
    pub customer: Option<CustomerId>,
    /// Rank among all requests; 0 goes first.
    pub rank: u8,
    /// When the first attempt of its caller arrived.
    pub first_arrived: Moment,
    /// When it must have started.
    pub start_by: Deadline,
    /// What it uses: tokens of memory for a prompt, milliseconds of service for a call. Equal units
    /// within a queue.
    pub cost: f64,
}

/// Where a request stands in a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuePlace {
    /// Number of requests before it.
    pub ahead: usize,
    /// Time until these have started, in milliseconds; `None` if the queue's rate is not known.
    pub wait_ms: Option<u64>,
}

/// What a waiting request is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueVerdict {
    /// It is its turn: start it if it fits, else note that it does not.
    Ask,
    /// Wait on.
    Wait,
    /// Refuse it: it can't start in time, or has lost its place to another.
    Refuse,
}

#[derive(Clone, Debug)]
struct WaitingEntry {
    ticket: QueueTicket,
    entry: QueueEntry,
    joined: Moment,
    /// The last round in which it did not fit.
    asked_in: Option<u64>,
    /// Use of its customer before it starts, with that of the customer's requests before it.
    prior_use: f64,
    /// Whether it has been told to wait.
    has_waited: bool,
    /// Starts that passed it since it last held the queue.
    passes: u32,
    /// Until when it holds the queue, if it does.
    holds_until: Deadline,
}

/// The requests that wait for one service in one daemon.
#[derive(Clone, Debug, Default)]
pub struct ServiceQueue {
    /// In the order in which they are asked, as of the last round.
    waiting: Vec<WaitingEntry>,
    next_ticket: u64,
    round: u64,
    round_began: Moment,
    drain: DrainRate,
    returns: ReturnSchedule,
}

impl ServiceQueue {
    /// Adds a request at its place in the order. If the queue is full, the last in the order gets no
    /// place or loses it.
    pub fn join(&mut self, entry: QueueEntry, ledger: &CustomerLedger, now: Moment) -> QueueTicket {
        let ticket = QueueTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(WaitingEntry {
            ticket,
            entry,
            joined: now,
            asked_in: None,
            prior_use: 0.0,
            has_waited: false,
            passes: 0,
            holds_until: Deadline::default(),
        });
        self.drain.note_waiting(now);
        self.sort(ledger, now);
        self.waiting.truncate(MAX_QUEUED);
        self.skip_round(ticket);
        ticket
    }

    /// Leaves a request that joined out of this round if the one before it was already asked: a place
    /// that became free since is for those that wait.
    fn skip_round(&mut self, ticket: QueueTicket) {
        let Some(index) = self.index_of(ticket) else { return };
        let before = index.checked_sub(1).and_then(|before| self.waiting.get(before));
        if before.is_some_and(|before| before.asked_in == Some(self.round)) {
            self.note_misfit(ticket);
        }
    }

    /// Removes a request that starts elsewhere, is refused or was abandoned.
    pub fn leave(&mut self, ticket: QueueTicket, now: Moment) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.note_removed(now);
    }

    /// Removes a request that starts. The requests before it have been passed.
    pub fn start(&mut self, ticket: QueueTicket, now: Moment) {
        let Some(index) = self.index_of(ticket) else { return };
        let started = self.waiting.remove(index);
        for passed in &mut self.waiting[..index] {
            passed.passes += 1;
            if passed.passes >= MAX_PASSES {
                passed.passes = 0;
                passed.holds_until = Deadline::after(now, MAX_HOLD_MS);
            }
        }
        self.drain.note_start(started.entry.cost, now);
        self.note_removed(now);
    }

    /// Begins a round: a place may have become free, and customers' use has changed.
    pub fn begin_round(&mut self, ledger: &CustomerLedger, now: Moment) {
        self.round += 1;
        self.round_began = now;
        self.sort(ledger, now);
    }

    /// Begins a round if the last one is old. Places also become free without a request's end here:
    /// through other daemons, or when an upstream opens.
    pub fn refresh(&mut self, ledger: &CustomerLedger, now: Moment) {
        if now.millis_since(self.round_began) >= ROUND_MS {
            self.begin_round(ledger, now);
        }
    }

    /// The request that is asked next in this round, if any.
    pub fn turn(&self, now: Moment) -> Option<QueueTicket> {
        for waiting in self.waiting.iter().take(MAX_ASKED) {
            if waiting.asked_in != Some(self.round) {
                return Some(waiting.ticket);
            }
            if !waiting.holds_until.passed(now) {
                return None;
            }
        }
        None
    }

    /// Records that a request does not fit in this round.
    pub fn note_misfit(&mut self, ticket: QueueTicket) {
        if let Some(index) = self.index_of(ticket) {
            self.waiting[index].asked_in = Some(self.round);
        }
    }

    /// Records that a request yields, in this round, to those that wait elsewhere. They don't pass it.
    pub fn note_yield(&mut self, ticket: QueueTicket) {
        self.note_misfit(ticket);
        if let Some(index) = self.index_of(ticket) {
            self.waiting[index].passes = 0;
        }
    }

    /// Who waits here, as other daemons are told; `None` if nobody does. Requests that have just come
    /// don't count, as most of them start before a peer hears of them, nor do those of no customer.
    pub fn waiting_use(&self, now: Moment) -> Option<WaitingUse> {
        let is_told = |it: &&WaitingEntry| {
            it.entry.customer.is_some() && now.millis_since(it.joined) >= LATE_MS
        };
        let first = self.waiting.iter().find(is_told)?;
        Some(WaitingUse { rank: first.entry.rank, lowest: first.prior_use })
    }

    /// What a request is to do now.
    ///
    /// A request that has just joined is refused by its expected wait alone; one that has waited
    /// only if that exceeds the time left by far.
    pub fn verdict(&mut self, ticket: QueueTicket, now: Moment) -> QueueVerdict {
        let Some(index) = self.index_of(ticket) else { return QueueVerdict::Refuse };
        let waiting = &self.waiting[index];
        let is_over = waiting.entry.start_by.passed(now);
        let is_turn = self.turn(now) == Some(ticket);
        if is_turn && (!is_over || waiting.asked_in.is_none()) {
            return QueueVerdict::Ask;
        }
        let margin = if waiting.has_waited { REFUSE_MARGIN } else { JOIN_MARGIN };
        let left_ms = waiting.entry.start_by.millis_left(now) as f64 * margin;
        if is_over {
            return QueueVerdict::Refuse;
        }
        // Among the first it is asked within a round or two, and may fit where those before it do not.
        let is_new = now.millis_since(waiting.joined) < 2 * ROUND_MS;
        if index < MAX_ASKED && waiting.asked_in.is_none() && is_new {
            return QueueVerdict::Wait;
        }
        if self.wait_before(index, now).is_some_and(|wait_ms| wait_ms > left_ms) {
            return QueueVerdict::Refuse;
        }
        self.waiting[index].has_waited = true;
        QueueVerdict::Wait
    }

    /// Where a request stands; `None` if it has no place.
    pub fn place(&self, ticket: QueueTicket, now: Moment) -> Option<QueuePlace> {
        let ahead = self.index_of(ticket)?;
        let wait_ms = self.wait_before(ahead, now).map(|wait_ms| wait_ms as u64);
        Some(QueuePlace { ahead, wait_ms })
    }

    /// Removes a request that is refused. Returns the milliseconds until its caller should return:
    /// when the queue will have room for it, after those that were refused before. `draw` is a random
    /// number.
    pub fn refuse(&mut self, ticket: QueueTicket, draw: u64, now: Moment) -> u64 {
        let rate = self.drain.per_ms(now).filter(|rate| *rate > 0.0);
        let index = self.index_of(ticket);
        let Some((rate, index)) = rate.zip(index) else {
            self.leave(ticket, now);
            return unscheduled_return_ms(draw);
        };
        let wait_ms = self.cost_before(index + 1) / rate;
        let entry = self.waiting.remove(index).entry;
        self.note_removed(now);
        // Half of what it would wait is left to be drained, so that the queue does not run empty if
        // it returns late.
        let patience_ms = entry.start_by.millis_left(now) as f64;
        let room_ms = wait_ms - wait_ms.min(patience_ms) / 2.0;
        self.returns.book(entry.first_arrived, room_ms, entry.cost / rate, now)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Arrival of the first attempt of the request that has waited longest, if one waits.
    pub fn oldest(&self) -> Option<Moment> {
        self.waiting.iter().map(|waiting| waiting.entry.first_arrived).min()
    }

    fn index_of(&self, ticket: QueueTicket) -> Option<usize> {
        self.waiting.iter().position(|waiting| waiting.ticket == ticket)
    }

    fn cost_before(&self, index: usize) -> f64 {
        self.waiting.iter().take(index).map(|waiting| waiting.entry.cost).sum()
    }

    /// Expected time until all before an index have started, in milliseconds.
    fn wait_before(&self, index: usize, now: Moment) -> Option<f64> {
        let cost = self.cost_before(index);
        if cost <= 0.0 {
            return Some(0.0);
        }
        self.drain.per_ms(now).map(|rate| cost / rate)
    }

    fn note_removed(&mut self, now: Moment) {
        if self.waiting.is_empty() {
            self.drain.note_empty(now);
        }
    }

    fn sort(&mut self, ledger: &CustomerLedger, now: Moment) {
        self.waiting.sort_by_key(|it| (it.entry.rank, it.entry.first_arrived, it.ticket));
        let mut uses: FastMap<Option<&CustomerId>, f64> = FastMap::default();
        let mut prior_uses = Vec::with_capacity(self.waiting.len());
        for waiting in &self.waiting {
            let customer = waiting.entry.customer.as_ref();
            let used = uses.entry(customer).or_insert_with(|| ledger.used(customer, now));
            prior_uses.push(*used);
            *used += waiting.entry.cost;
        }
        for (waiting, prior_use) in self.waiting.iter_mut().zip(prior_uses) {
            waiting.prior_use = prior_use;
        }
        self.waiting.sort_by(|one, other| {
            let by_rank = one.entry.rank.cmp(&other.entry.rank);
            by_rank.then(one.prior_use.total_cmp(&other.prior_use))
        });
    }
}
