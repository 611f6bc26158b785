//! Admission: each customer's share of its limits, a short queue by deadline, and early refusal.
//!
//! A customer's limits hold over all daemons together without a log record for each request. Each
//! daemon grants its share of them, which follows the customer's use as gossiped and is never less
//! than an equal split.
//!
//! Prefill is the scarce resource of the engines. So slots bound the requests that wait for their
//! first token, while a request that is decoding counts only against its customer's concurrency.
//! Requests wait here and not in the engines' queues, which keeps the order fair and allows late
//! requests to be refused early.

use guava_types::{CustomerId, Deadline, FastMap, Moment, RequestRate};
use std::collections::VecDeque;

/// Capacity of the token bucket, in seconds of the rate.
const BURST_SECONDS: f64 = 2.0;
/// Fraction of the limits that is split equally whatever the use, so that a daemon without traffic
/// can start at once.
const EQUAL_FRACTION: f64 = 0.2;

/// How long a refused caller should wait before it tries again, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter(pub u64);

/// A customer's limits and its use of them at the peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerUse {
    /// Limit over all daemons.
    pub rate: RequestRate,
    /// Limit on running requests, over all daemons.
    pub concurrency: u32,
    /// Requests of the customer that run at peers.
    pub peers_running: u32,
    /// Number of daemons that take requests, this one included.
    pub daemons: u32,
}

/// Decision on a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitDecision {
    /// Send it at once.
    Admit,
    /// Queue it for a slot.
    Queue,
    /// Refused: over the customer's rate or concurrency.
    OverLimit(RetryAfter),
    /// Refused: its first token would come after its deadline, or the queue is full.
    TooLate(RetryAfter),
}

/// A request in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Identifies the request to [`FairAdmission::abandon`].
    pub ticket: u64,
    /// The customer whose limits it counts against.
    pub customer: CustomerId,
    /// When its first token is due.
    pub deadline: Deadline,
}

/// Capacity of this daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmitOptions {
    /// Requests of this daemon that may wait for their first token at the same time.
    pub slots: u32,
    /// Longest queue, in requests.
    pub queue: usize,
    /// Expected time to the first token in a slot, in milliseconds.
    pub service_ms: f64,
}

impl AdmitOptions {
    /// Time from a request's start in which its first token comes, with a margin. A request that is
    /// started with less time left often misses its deadline, and its prefill is wasted.
    fn safe_service_ms(&self) -> u64 {
        const MARGIN: f64 = 1.5;
        (self.service_ms * MARGIN) as u64
    }
}

/// What to do with the next queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueAction {
    /// Start it now.
    Start(WaitingRequest),
    /// Refuse it now, before its deadline passes: it can no longer meet it.
    Shed(WaitingRequest),
}

#[derive(Clone, Debug, Default)]
struct CustomerShare {
    running: u32,
    tokens: f64,
    last_refill: Option<Moment>,
    waiting: VecDeque<WaitingRequest>,
    last_served: u64,
}

/// Admission state of one daemon: running and queued requests by customer.
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
    (EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * by_use.max(equal).min(limit)).max(1.0)
}

impl FairAdmission {
    /// Requests of all customers that wait for their first token.
    pub fn starting(&self) -> u32 {
        self.starting
    }

    /// Queued requests of all customers.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Running requests by customer.
    pub fn running_by_customer(&self) -> impl Iterator<Item = (&CustomerId, u32)> {
        self.shares.iter().map(|(customer, share)| (customer, share.running))
    }

    fn refill(share: &mut CustomerShare, rate: f64, now: Moment) {
        let cap = (rate * BURST_SECONDS).max(1.0);
        let last_refill = share.last_refill.replace(now);
        let earned = last_refill.map_or(cap, |then| now.millis_since(then) as f64 * rate / 1_000.0);
        share.tokens = (share.tokens + earned).min(cap);
    }

    fn wait_ms(&self, ahead: usize, options: &AdmitOptions) -> u64 {
        let slots = f64::from(options.slots.max(1));
        ((ahead + 1) as f64 * options.service_ms / slots).ceil() as u64
    }

    /// Decides on a request that arrives at `now`, and counts it as started or queued.
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
        // Customers are served round robin: a request waits for its own customer's queue, once for
        // each customer that has one, and not for the queues of all customers.
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
            let index = share.waiting.partition_point(|other| other.deadline <= request.deadline);
            share.waiting.insert(index, request);
            self.waiting += 1;
        }
    }

    /// Frees the slot of an admitted request, at its first token or when it finishes without one.
    pub fn started(&mut self) {
        self.starting = self.starting.saturating_sub(1);
    }

    /// Records that an admitted request finished, which frees its customer's concurrency.
    pub fn finish(&mut self, customer: &CustomerId) {
        if let Some(share) = self.shares.get_mut(customer) {
            share.running = share.running.saturating_sub(1);
        }
    }

    /// Removes a request from the queue whose caller stopped waiting.
    pub fn abandon(&mut self, customer: &CustomerId, ticket: u64) {
        let Some(share) = self.shares.get_mut(customer) else { return };
        let before = share.waiting.len();
        share.waiting.retain(|request| request.ticket != ticket);
        self.waiting -= before - share.waiting.len();
    }

    /// Takes the next request from the queue if a slot is free: of the customer with the fewest
    /// running requests, or among these the one served longest ago, the request with the earliest
    /// deadline.
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
