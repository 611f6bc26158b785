//! A request's way through the limits and the queue.

use crate::admission_queue::{QueueArrival, daemon_slots};
use crate::context::DaemonContext;
use crate::lock::locked;
use guava_policy::{AdmitDecision, CustomerUse};
use guava_state::CustomerSpec;
use guava_types::{CustomerId, Deadline, Moment};
use std::sync::Arc;
use tokio::time::timeout;

/// A place among the running, given back when dropped; its slot is free from the first token on.
pub struct AdmitGuard {
    context: Arc<DaemonContext>,
    customer: CustomerId,
    admitted: Moment,
    is_starting: bool,
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
    let slots = daemon_slots(engines, peers_starting, usage.daemons);
    let arrival = context.admission.arrive(customer, deadline, &usage, slots, now);
    let (ticket, turn) = match arrival {
        QueueArrival::Admitted => return Ok(guard()),
        QueueArrival::Queued { ticket, turn } => (ticket, turn),
        QueueArrival::Refused(refused) => return Err(refused),
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
