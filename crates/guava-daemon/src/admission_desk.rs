//! The door: limits and queue of this daemon, and those who wait in it.

use crate::context::{DaemonContext, locked};
use guava_policy::{AdmitDecision, AdmitOptions, CustomerUse, FairAdmission, WaitingRequest};
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
/// Requests sent to the engines beyond their slots, so that none idles for a round trip.
const OVERCOMMIT: f64 = 1.25;

#[derive(Default)]
struct DeskState {
    fair: FairAdmission,
    waiting: FastMap<u64, oneshot::Sender<()>>,
    next_ticket: u64,
    service_ms: Option<f64>,
    slots: u32,
}

/// The desk.
#[derive(Default)]
pub struct AdmissionDesk {
    state: Mutex<DeskState>,
}

/// A place among the running, given back when dropped.
pub struct AdmitGuard {
    context: Arc<DaemonContext>,
    customer: CustomerId,
    started: Moment,
}

fn options(state: &DeskState) -> AdmitOptions {
    AdmitOptions {
        slots: state.slots.max(1),
        queue: QUEUE_LEN,
        service_ms: state.service_ms.unwrap_or(FIRST_SERVICE_MS),
    }
}

/// Slots for this daemon: what all engines together run, less what the peers have running there;
/// at least an equal share, at most all.
pub fn daemon_slots(total: u32, peers_running: u32, daemons: u32) -> u32 {
    let total = (f64::from(total) * OVERCOMMIT).ceil();
    let equal = total / f64::from(daemons.max(1));
    let left = total - f64::from(peers_running);
    left.max(equal).max(1.0) as u32
}

impl AdmissionDesk {
    /// Requests running, by customer.
    pub fn running_by_customer(&self) -> Vec<(CustomerId, u32)> {
        let state = locked(&self.state);
        let running = state.fair.running_by_customer().filter(|(_, running)| *running > 0);
        running.map(|(customer, running)| (customer.clone(), running)).collect()
    }

    fn wake(state: &mut DeskState) {
        let options = options(state);
        while let Some(request) = state.fair.next(&options) {
            let woken = state.waiting.remove(&request.ticket).map(|sender| sender.send(()));
            if woken != Some(Ok(())) {
                state.fair.finish(&request.customer);
            }
        }
    }

    fn leave(&self, customer: &CustomerId, started: Moment) {
        let mut state = locked(&self.state);
        state.fair.finish(customer);
        let took = Moment::now().millis_since(started) as f64;
        let known = state.service_ms.unwrap_or(took.max(1.0));
        state.service_ms = Some(known + (took - known) / SERVICE_SMOOTHING);
        Self::wake(&mut state);
    }

    fn abandon(&self, customer: &CustomerId, ticket: u64) {
        let mut state = locked(&self.state);
        state.waiting.remove(&ticket);
        state.fair.abandon(customer, ticket);
    }
}

impl Drop for AdmitGuard {
    fn drop(&mut self) {
        self.context.admission.leave(&self.customer, self.started);
    }
}

fn usage(context: &DaemonContext, customer: &CustomerId, spec: &CustomerSpec) -> CustomerUse {
    let now = Moment::now();
    let book = locked(&context.book);
    CustomerUse {
        rate: spec.rate,
        concurrency: spec.concurrency,
        peers_running: book.customer_running(customer, now),
        daemons: u32::try_from(book.alive(now).count() + 1).unwrap_or(u32::MAX),
    }
}

/// Asks for a place among the running; waits in the queue if need be. The error is the decision
/// that refuses, with when to come back.
pub async fn admit(
    context: &Arc<DaemonContext>,
    customer: &CustomerId,
    spec: &CustomerSpec,
    total_slots: u32,
    deadline: Deadline,
) -> Result<AdmitGuard, AdmitDecision> {
    let now = Moment::now();
    let usage = usage(context, customer, spec);
    let peers_running = locked(&context.book).all_running(now);
    let guard = || AdmitGuard {
        context: Arc::clone(context),
        customer: customer.clone(),
        started: Moment::now(),
    };
    let (ticket, turn) = {
        let mut state = locked(&context.admission.state);
        state.slots = daemon_slots(total_slots, peers_running, usage.daemons);
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
    let woken = timeout(deadline.time_left(), turn).await;
    if let Ok(Ok(())) = woken {
        place.is_left = true;
        return Ok(guard());
    }
    Err(AdmitDecision::TooLate(guava_policy::ReturnAfter(FIRST_SERVICE_MS as u64)))
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
