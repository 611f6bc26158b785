//! A request in the queue of its service, from the moment when it finds no room to its start or its
//! refusal. The queue decides; this module waits for it.

use crate::request::answer_timeout::accepted_return_ms;
use crate::request::outcome::QueueRefusal;
use crate::serve_context::ServeContext;
use guava_policy::{
    CustomerLedger, MAX_ASKED, QueueEntry, QueuePlace, QueueTicket, QueueVerdict, ROUND_MS,
    ServiceQueue, TurnStep,
};
use guava_types::{Deadline, Moment, ServiceName};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Interval between checks of a request that is not among the next ones, in milliseconds. It is woken
/// when it is its turn, so it only checks whether it can still start in time.
const BACK_CHECK_INTERVAL_MS: u64 = 200;

/// A request in a queue; leaves it when dropped.
pub struct QueuedRequest {
    context: Rc<ServeContext>,
    service: ServiceName,
    ticket: QueueTicket,
    start_by: Deadline,
    turn: Rc<Notify>,
}

impl QueuedRequest {
    /// Adds a request to the queue of a service.
    pub fn join(context: &Rc<ServeContext>, service: &ServiceName, entry: QueueEntry) -> Self {
        let start_by = entry.start_by;
        let join = |queue: &mut ServiceQueue, ledger: &CustomerLedger| {
            queue.join(entry, ledger, Moment::now())
        };
        let ticket = with_queue(context, service, join);
        let turn = Rc::new(Notify::new());
        context.queues.borrow_mut().note_waker(service, ticket, Rc::clone(&turn));
        Self { context: Rc::clone(context), service: service.clone(), ticket, start_by, turn }
    }

    /// What the request is to do now.
    pub fn verdict(&self) -> QueueVerdict {
        self.context.queues.borrow_mut().queue(&self.service).verdict(self.ticket, Moment::now())
    }

    /// Where it stands; the default if it has lost its place.
    pub fn place(&self) -> QueuePlace {
        let mut queues = self.context.queues.borrow_mut();
        queues.queue(&self.service).place(self.ticket, Moment::now()).unwrap_or_default()
    }

    /// Passes the turn on, as no upstream has room for the request.
    pub fn note_misfit(&self) {
        let mut queues = self.context.queues.borrow_mut();
        queues.queue(&self.service).note_misfit(self.ticket);
        queues.wake_next(&self.service, Moment::now());
    }

    /// What the request does now that it is its turn.
    pub fn judge(&self, must_yield: bool, has_room: bool) -> TurnStep {
        let mut queues = self.context.queues.borrow_mut();
        queues.timer(&self.service).judge(must_yield, has_room, Moment::now())
    }

    /// Passes the turn on, as the request leaves its room to others.
    pub fn note_yield(&self) {
        let mut queues = self.context.queues.borrow_mut();
        queues.queue(&self.service).note_yield(self.ticket);
        queues.wake_next(&self.service, Moment::now());
    }

    /// Starts the request.
    pub fn start(self) {
        self.context.queues.borrow_mut().queue(&self.service).start(self.ticket, Moment::now());
    }

    /// Refuses the request, whose caller stops waiting at the deadline.
    pub fn refuse(self, deadline: Deadline) -> QueueRefusal {
        let place = self.place();
        let now = Moment::now();
        let mut queues = self.context.queues.borrow_mut();
        let room_ms = queues.queue(&self.service).refuse(self.ticket, rand::random(), now);
        let return_after_ms = accepted_return_ms(room_ms, deadline.millis_left(now));
        QueueRefusal { place, return_after_ms }
    }

    /// Waits until it may be the request's turn, or it must be judged again.
    pub async fn wait(&self) {
        let is_next = self.place().ahead < MAX_ASKED;
        let interval_ms = if is_next { ROUND_MS } else { BACK_CHECK_INTERVAL_MS };
        // Daemons that wait for the same upstreams must not find them free at the same moment.
        let spread_ms = rand::random::<u64>() % (ROUND_MS / 2);
        let check = Deadline::in_millis(interval_ms + spread_ms).earlier(self.start_by);
        drop(timeout(check.time_left(), self.turn.notified()).await);
        with_queue(&self.context, &self.service, |queue, ledger| {
            queue.refresh(ledger, Moment::now());
        });
        self.context.queues.borrow().wake_next(&self.service, Moment::now());
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.context.queues.borrow_mut().leave(&self.service, self.ticket, Moment::now());
    }
}

/// Begins a round of a service's queue, if requests wait, when a request has ended there.
pub fn note_room(context: &ServeContext, service: &ServiceName) {
    if context.queues.borrow().is_empty(service) {
        return;
    }
    let mut ledgers = context.customer_ledgers.borrow_mut();
    let ledger = ledgers.entry(service.clone()).or_default();
    context.queues.borrow_mut().note_room(service, ledger, Moment::now());
}

fn with_queue<T>(
    context: &ServeContext,
    service: &ServiceName,
    act: impl FnOnce(&mut ServiceQueue, &CustomerLedger) -> T,
) -> T {
    let mut ledgers = context.customer_ledgers.borrow_mut();
    let ledger = ledgers.entry(service.clone()).or_default();
    act(context.queues.borrow_mut().queue(service), ledger)
}
