//! Limits and queue of this daemon, and the requests that wait in it.

use crate::lock::locked;
use guava_policy::{
    AdmitDecision, AdmitOptions, CustomerUse, FairAdmission, QueueAction, RetryAfter,
    WaitingRequest,
};
use guava_types::{CustomerId, Deadline, FastMap, Moment};
use std::sync::Mutex;
use tokio::sync::oneshot;

/// Requests that may wait at one daemon.
const QUEUE_LEN: usize = 512;
/// Weight of a new observation of the time in a slot, as one over this.
const SERVICE_SMOOTHING: f64 = 8.0;
const FIRST_SERVICE_MS: f64 = 300.0;
/// Requests at each engine that wait for their first token: one in its prefill and one behind it,
/// so that no engine idles for a round trip.
const STARTING_PER_ENGINE: u32 = 2;

#[derive(Default)]
struct QueueState {
    fair: FairAdmission,
    waiting: FastMap<u64, oneshot::Sender<bool>>,
    next_ticket: u64,
    service_ms: Option<f64>,
    slots: u32,
}

/// The queue, with the limits before it.
#[derive(Default)]
pub struct AdmissionQueue {
    state: Mutex<QueueState>,
}

/// What becomes of a request that arrives.
pub(crate) enum QueueArrival {
    /// It may start.
    Admitted,
    /// It waits.
    Queued {
        /// Its place.
        ticket: u64,
        /// Tells whether it may start.
        turn: oneshot::Receiver<bool>,
    },
    /// It may not start.
    Refused(AdmitDecision),
}

fn options(state: &QueueState) -> AdmitOptions {
    AdmitOptions {
        slots: state.slots.max(1),
        queue: QUEUE_LEN,
        service_ms: state.service_ms.unwrap_or(FIRST_SERVICE_MS),
    }
}

/// Slots for this daemon: what all engines together may have starting, less what the peers have;
/// at least an equal share, at most twice that, since what is known of the peers is late.
pub fn daemon_slots(engines: u32, peers_starting: u32, daemons: u32) -> u32 {
    let total = engines * STARTING_PER_ENGINE;
    let equal = total.div_ceil(daemons.max(1));
    total.saturating_sub(peers_starting).clamp(equal, 2 * equal).max(1)
}

impl AdmissionQueue {
    /// Requests running, by customer.
    pub fn running_by_customer(&self) -> Vec<(CustomerId, u32)> {
        let state = locked(&self.state);
        let running = state.fair.running_by_customer().filter(|(_, running)| *running > 0);
        running.map(|(customer, running)| (customer.clone(), running)).collect()
    }

    /// Requests of this daemon's that wait for their first token.
    pub fn starting(&self) -> u32 {
        locked(&self.state).fair.starting()
    }

    fn wake(state: &mut QueueState) {
        let options = options(state);
        while let Some(turn) = state.fair.next(&options, Moment::now()) {
            match turn {
                QueueAction::Start(request) => {
                    let woken = state.waiting.remove(&request.ticket).map(|s| s.send(true));
                    if woken != Some(Ok(())) {
                        state.fair.started();
                        state.fair.finish(&request.customer);
                    }
                }
                QueueAction::Shed(request) => {
                    // A caller that is gone already needs no refusal.
                    state.waiting.remove(&request.ticket).map(|s| s.send(false));
                }
            }
        }
    }

    /// Notes the first token of a request that was admitted at a moment: its slot is free.
    pub(crate) fn first_token(&self, admitted: Moment) {
        let mut state = locked(&self.state);
        state.fair.started();
        let took = Moment::now().millis_since(admitted) as f64;
        let known = state.service_ms.unwrap_or(took.max(1.0));
        state.service_ms = Some(known + (took - known) / SERVICE_SMOOTHING);
        Self::wake(&mut state);
    }

    /// Notes that a request of a customer is over.
    pub(crate) fn leave(&self, customer: &CustomerId) {
        let mut state = locked(&self.state);
        state.fair.finish(customer);
        Self::wake(&mut state);
    }

    /// When whoever is refused now should come back.
    pub(crate) fn return_after(&self) -> RetryAfter {
        let state = locked(&self.state);
        let options = options(&state);
        let waiting = state.fair.waiting() as f64 + 1.0;
        let wait = waiting * options.service_ms / f64::from(options.slots);
        RetryAfter(wait.ceil() as u64)
    }

    /// Gives a place in the queue up.
    pub(crate) fn abandon(&self, customer: &CustomerId, ticket: u64) {
        let mut state = locked(&self.state);
        state.waiting.remove(&ticket);
        state.fair.abandon(customer, ticket);
    }

    /// Takes a request in: admits it, gives it a place in the queue, or refuses it.
    pub(crate) fn arrive(
        &self,
        customer: &CustomerId,
        deadline: Deadline,
        usage: &CustomerUse,
        slots: u32,
        now: Moment,
    ) -> QueueArrival {
        let mut state = locked(&self.state);
        state.slots = slots;
        state.next_ticket += 1;
        let ticket = state.next_ticket;
        let request = WaitingRequest { ticket, customer: customer.clone(), deadline };
        let options = options(&state);
        match state.fair.arrive(request, usage, &options, now) {
            AdmitDecision::Admit => QueueArrival::Admitted,
            AdmitDecision::Queue => {
                let (sender, turn) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                QueueArrival::Queued { ticket, turn }
            }
            refused => QueueArrival::Refused(refused),
        }
    }
}
