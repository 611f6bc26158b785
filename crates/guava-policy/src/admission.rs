//! Admission: each customer's share, a short queue by deadline, and early refusal.
//!
//! A customer's limits hold over all daemons without a log record a request: each daemon grants
//! its share, which follows the customer's use as gossiped, and never less than an equal part.
//!
//! What is scarce at the engines is prefill. So slots bound the requests that wait for their first
//! token; a run that is decoding counts against its customer's concurrency only. Waiting here and
//! not in the engines' queues keeps the order fair and lets late requests be refused early.

use guava_types::{CustomerId, Deadline, FastMap, Moment, RequestRate};
use std::collections::VecDeque;

/// Seconds' worth of rate that can be saved up.
const BURST_SECONDS: f64 = 2.0;
/// Part of the limits that is divided equally whatever the use, so that a daemon without traffic
/// can start at once.
const EQUAL_PART: f64 = 0.2;

/// When a refused caller should come back, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter(pub u64);

/// Limits of a customer and how it uses them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerUse {
    /// Limit over all daemons.
    pub rate: RequestRate,
    /// Limit over all daemons.
    pub concurrency: u32,
    /// Requests that peers have running for it.
    pub peers_running: u32,
    /// Daemons that take requests, this one included.
    pub daemons: u32,
}

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitDecision {
    /// Go on at once.
    Admit,
    /// Wait in the queue for a slot.
    Queue,
    /// Refused: over the customer's rate or concurrency.
    OverLimit(RetryAfter),
    /// Refused: would not start before its deadline.
    TooLate(RetryAfter),
}

/// A request in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Its ticket.
    pub ticket: u64,
    /// Whose.
    pub customer: CustomerId,
    /// When its first token is due.
    pub deadline: Deadline,
}

/// Capacity of this daemon's view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmitOptions {
    /// Requests of this daemon's that may wait for their first token at one time.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: usize,
    /// Expected time to the first token in a slot, in milliseconds.
    pub service_ms: f64,
}

impl AdmitOptions {
    /// Time that a request needs from its start to make its first token in time with some margin.
    /// One that is started with less often misses its deadline, and its prefill is wasted.
    fn safe_service_ms(&self) -> u64 {
        const MARGIN: f64 = 1.5;
        (self.service_ms * MARGIN) as u64
    }
}

/// What becomes of the next request in line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueAction {
    /// It starts now.
    Start(WaitingRequest),
    /// It can't make its deadline any more: refused now rather than when the deadline passes.
    Shed(WaitingRequest),
}

#[derive(Clone, Debug, Default)]
struct CustomerShare {
    running: u32,
    tokens: f64,
    filled: Option<Moment>,
    waiting: VecDeque<WaitingRequest>,
    last_served: u64,
}

/// Admission of one daemon.
#[derive(Clone, Debug, Default)]
pub struct FairAdmission {
    shares: FastMap<CustomerId, CustomerShare>,
    starting: u32,
    waiting: usize,
    served: u64,
}

fn share_of(limit: f64, own: u32, usage: &CustomerUse) -> f64 {
    let daemons = f64::from(usage.daemons.max(1));
    let equal = limit / daemons;
    let total = f64::from(own) + f64::from(usage.peers_running);
    let by_use = if total < 1.0 { equal } else { limit * f64::from(own.max(1)) / total.max(1.0) };
    (EQUAL_PART * equal + (1.0 - EQUAL_PART) * by_use.max(equal).min(limit)).max(1.0)
}

impl FairAdmission {
    /// Requests waiting for their first token, of all customers.
    pub fn starting(&self) -> u32 {
        self.starting
    }

    /// Requests waiting, of all customers.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Requests running, by customer.
    pub fn running_by_customer(&self) -> impl Iterator<Item = (&CustomerId, u32)> {
        self.shares.iter().map(|(customer, share)| (customer, share.running))
    }

    fn refill(share: &mut CustomerShare, rate: f64, now: Moment) {
        let cap = (rate * BURST_SECONDS).max(1.0);
        let filled = share.filled.replace(now);
        let earned = filled.map_or(cap, |then| now.millis_since(then) as f64 * rate / 1_000.0);
        share.tokens = (share.tokens + earned).min(cap);
    }

    fn wait_ms(&self, ahead: usize, options: &AdmitOptions) -> u64 {
        let slots = f64::from(options.slots.max(1));
        ((ahead + 1) as f64 * options.service_ms / slots).ceil() as u64
    }

    /// Decides on a request that arrives now.
    pub fn arrive(
        &mut self,
        request: WaitingRequest,
        usage: &CustomerUse,
        options: &AdmitOptions,
        now: Moment,
    ) -> AdmitDecision {
        let share = self.shares.entry(request.customer.clone()).or_default();
        let own = share.running;
        let rate = share_of(usage.rate.0 as f64, own, usage);
        Self::refill(share, rate, now);
        if share.tokens < 1.0 {
            let missing = (1.0 - share.tokens) * 1_000.0 / rate;
            return AdmitDecision::OverLimit(RetryAfter(missing.ceil() as u64));
        }
        let concurrency = share_of(f64::from(usage.concurrency), own, usage);
        let queued = share.waiting.len();
        if own as f64 + queued as f64 >= concurrency {
            let after = options.service_ms.ceil() as u64;
            return AdmitDecision::OverLimit(RetryAfter(after));
        }
        if self.starting < options.slots && self.waiting == 0 {
            self.start(&request.customer);
            return AdmitDecision::Admit;
        }
        let active = self.shares.values().filter(|share| !share.waiting.is_empty()).count();
        // Customers take turns, so a request waits behind its own customer's queue once for every
        // customer in line, not behind everybody's whole queue.
        let ahead = (queued * active.max(1)).min(self.waiting);
        let wait = self.wait_ms(ahead, options);
        let first_token = wait + options.safe_service_ms();
        let too_late = Deadline::after(now, first_token) > request.deadline;
        if too_late || self.waiting >= options.queue {
            return AdmitDecision::TooLate(RetryAfter(wait.max(1)));
        }
        self.enqueue(request);
        AdmitDecision::Queue
    }

    fn start(&mut self, customer: &CustomerId) {
        self.served += 1;
        let served = self.served;
        if let Some(share) = self.shares.get_mut(customer) {
            share.running += 1;
            share.tokens -= 1.0;
            share.last_served = served;
        }
        self.starting += 1;
    }

    fn enqueue(&mut self, request: WaitingRequest) {
        if let Some(share) = self.shares.get_mut(&request.customer) {
            let place = share.waiting.partition_point(|other| other.deadline <= request.deadline);
            share.waiting.insert(place, request);
            self.waiting += 1;
        }
    }

    /// Notes the first token of an admitted request, or that it will have none: its slot is free.
    pub fn started(&mut self) {
        self.starting = self.starting.saturating_sub(1);
    }

    /// Notes that an admitted request is over.
    pub fn finish(&mut self, customer: &CustomerId) {
        if let Some(share) = self.shares.get_mut(customer) {
            share.running = share.running.saturating_sub(1);
        }
    }

    /// Takes a request out of the queue that its caller gave up.
    pub fn abandon(&mut self, customer: &CustomerId, ticket: u64) {
        let Some(share) = self.shares.get_mut(customer) else { return };
        let before = share.waiting.len();
        share.waiting.retain(|request| request.ticket != ticket);
        self.waiting -= before - share.waiting.len();
    }

    /// The next request in line if a slot is free: the customer with the fewest running goes
    /// first, then the one served longest ago; within a customer the earliest deadline.
    pub fn next(&mut self, options: &AdmitOptions, now: Moment) -> Option<QueueAction> {
        if self.starting >= options.slots {
            return None;
        }
        let customer = self
            .shares
            .iter()
            .filter(|(_, share)| !share.waiting.is_empty())
            .min_by_key(|(_, share)| (share.running, share.last_served))
            .map(|(customer, _)| customer.clone())?;
        let request = self.shares.get_mut(&customer)?.waiting.pop_front()?;
        self.waiting -= 1;
        if Deadline::after(now, options.safe_service_ms()) > request.deadline {
            return Some(QueueAction::Shed(request));
        }
        self.start(&customer);
        Some(QueueAction::Start(request))
    }
}
