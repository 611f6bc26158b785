//! Limits and queue of this daemon, and the requests that wait in it.

use crate::context::{DaemonContext, locked};
use guava_policy::{
    AdmitDecision, AdmitOptions, AdmitTurn, CustomerUse, FairAdmission, ReturnAfter, WaitingRequest,
};
use guava_state::CustomerSpec;
use guava_types::{CustomerId, Deadline, FastMap, Moment};
use std::sync::{Arc, Mutex};
use tokio::sync::oneshot;
use tokio::time::timeout;

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

/// A place among the running, given back when dropped; its slot is free from the first token on.
pub struct AdmitGuard {
    context: Arc<DaemonContext>,
    customer: CustomerId,
    admitted: Moment,
    is_starting: bool,
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
                AdmitTurn::Start(request) => {
                    let woken = state.waiting.remove(&request.ticket).map(|s| s.send(true));
                    if woken != Some(Ok(())) {
                        state.fair.started();
                        state.fair.finish(&request.customer);
                    }
                }
                AdmitTurn::Shed(request) => {
                    // A caller that is gone already needs no refusal.
                    state.waiting.remove(&request.ticket).map(|s| s.send(false));
                }
            }
        }
    }

    fn first_token(&self, admitted: Moment) {
        let mut state = locked(&self.state);
        state.fair.started();
        let took = Moment::now().millis_since(admitted) as f64;
        let known = state.service_ms.unwrap_or(took.max(1.0));
        state.service_ms = Some(known + (took - known) / SERVICE_SMOOTHING);
        Self::wake(&mut state);
    }

    fn leave(&self, customer: &CustomerId) {
        let mut state = locked(&self.state);
        state.fair.finish(customer);
        Self::wake(&mut state);
    }

    fn return_after(&self) -> ReturnAfter {
        let state = locked(&self.state);
        let options = options(&state);
        let waiting = state.fair.waiting() as f64 + 1.0;
        let wait = waiting * options.service_ms / f64::from(options.slots);
        ReturnAfter(wait.ceil() as u64)
    }

    fn abandon(&self, customer: &CustomerId, ticket: u64) {
        let mut state = locked(&self.state);
        state.waiting.remove(&ticket);
        state.fair.abandon(customer, ticket);
    }
}

impl AdmitGuard {
    /// Frees the slot: the first token is there.
    pub fn first_token(&mut self) {
        if std::mem::replace(&mut self.is_starting, false) {
            self.context.admission.first_token(self.admitted);
        }
    }
}

impl Drop for AdmitGuard {
    fn drop(&mut self) {
        self.first_token();
        self.context.admission.leave(&self.customer);
    }
}

fn usage(context: &DaemonContext, customer: &CustomerId, spec: &CustomerSpec) -> CustomerUse {
    let now = Moment::now();
    let peers = locked(&context.peer_table);
    CustomerUse {
        rate: spec.rate,
        concurrency: spec.concurrency,
        peers_running: peers.customer_running(customer, now),
        daemons: u32::try_from(peers.alive(now).count() + 1).unwrap_or(u32::MAX),
    }
}

/// Asks for a place among the running; waits in the queue if need be. The error is the decision
/// that refuses, with when to come back.
pub async fn admit(
    context: &Arc<DaemonContext>,
    customer: &CustomerId,
    spec: &CustomerSpec,
    engines: u32,
    deadline: Deadline,
) -> Result<AdmitGuard, AdmitDecision> {
    let now = Moment::now();
    let usage = usage(context, customer, spec);
    let peers_starting = locked(&context.peer_table).all_starting(now);
    let guard = || AdmitGuard {
        context: Arc::clone(context),
        customer: customer.clone(),
        admitted: Moment::now(),
        is_starting: true,
    };
    let (ticket, turn) = {
        let mut state = locked(&context.admission.state);
        state.slots = daemon_slots(engines, peers_starting, usage.daemons);
        state.next_ticket += 1;
        let ticket = state.next_ticket;
        let request = WaitingRequest { ticket, customer: customer.clone(), deadline };
        let options = options(&state);
        match state.fair.arrive(request, &usage, &options, now) {
            AdmitDecision::Admit => return Ok(guard()),
            AdmitDecision::Queue => {}
            refused => return Err(refused),
        }
        let (sender, turn) = oneshot::channel();
        state.waiting.insert(ticket, sender);
        (ticket, turn)
    };
    let mut place = QueuePlace { context, customer, ticket, is_left: false };
    match timeout(deadline.time_left(), turn).await {
        Ok(Ok(true)) => {
            place.is_left = true;
            Ok(guard())
        }
        _ => Err(AdmitDecision::TooLate(context.admission.return_after())),
    }
}

/// A place in the queue, left also when the caller's connection goes and the wait is dropped.
struct QueuePlace<'a> {
    context: &'a Arc<DaemonContext>,
    customer: &'a CustomerId,
    ticket: u64,
    is_left: bool,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if !self.is_left {
            self.context.admission.abandon(self.customer, self.ticket);
        }
    }
}
