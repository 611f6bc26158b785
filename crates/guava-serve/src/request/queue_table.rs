//! The queues of this daemon by service, and whom to wake when a place may be free.

use guava_policy::{CustomerLedger, QueueTicket, ServiceQueue, WaitingUse, YieldTimer};
use guava_types::{FastMap, Moment, ServiceName};
use std::rc::Rc;
use tokio::sync::Notify;

/// Length and age of a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueLevel {
    /// The service that its requests wait for.
    pub service: ServiceName,
    /// Number of waiting requests.
    pub depth: usize,
    /// Milliseconds since the first attempt of the one that came first; 0 if none waits.
    pub oldest_ms: u64,
}

#[derive(Debug, Default)]
struct WaitingLine {
    queue: ServiceQueue,
    wakers: FastMap<QueueTicket, Rc<Notify>>,
    timer: YieldTimer,
}

/// The queues of all services that a request has had to wait for.
#[derive(Debug, Default)]
pub struct QueueTable {
    lines: FastMap<ServiceName, WaitingLine>,
}

impl QueueTable {
    /// The queue of a service.
    pub fn queue(&mut self, service: &ServiceName) -> &mut ServiceQueue {
        &mut self.lines.entry(service.clone()).or_default().queue
    }

    /// How long the yielding requests of a service have found room.
    pub fn timer(&mut self, service: &ServiceName) -> &mut YieldTimer {
        &mut self.lines.entry(service.clone()).or_default().timer
    }

    /// Who waits in each queue, as peers are told.
    pub fn waiting_uses(&self, now: Moment) -> Vec<(ServiceName, WaitingUse)> {
        let waiting = |(service, line): (&ServiceName, &WaitingLine)| {
            Some((service.clone(), line.queue.waiting_use(now)?))
        };
        self.lines.iter().filter_map(waiting).collect()
    }

    /// Whether no request waits for a service.
    pub fn is_empty(&self, service: &ServiceName) -> bool {
        self.lines.get(service).is_none_or(|line| line.queue.is_empty())
    }

    /// Registers whom to wake when it is a request's turn.
    pub fn note_waker(&mut self, service: &ServiceName, ticket: QueueTicket, waker: Rc<Notify>) {
        self.lines.entry(service.clone()).or_default().wakers.insert(ticket, waker);
    }

    /// Removes a request that starts, is refused or was abandoned, and wakes the next one.
    pub fn leave(&mut self, service: &ServiceName, ticket: QueueTicket, now: Moment) {
        let Some(line) = self.lines.get_mut(service) else { return };
        line.queue.leave(ticket, now);
        line.wakers.remove(&ticket);
        self.wake_next(service, now);
    }

    /// Begins a round of a service's queue if requests wait: a place may have become free.
    pub fn note_room(&mut self, service: &ServiceName, ledger: &CustomerLedger, now: Moment) {
        let Some(line) = self.lines.get_mut(service) else { return };
        if !line.queue.is_empty() {
            line.queue.begin_round(ledger, now);
            self.wake_next(service, now);
        }
    }

    /// Wakes the request whose turn it is.
    pub fn wake_next(&self, service: &ServiceName, now: Moment) {
        let Some(line) = self.lines.get(service) else { return };
        let waker = line.queue.turn(now).and_then(|ticket| line.wakers.get(&ticket));
        waker.iter().for_each(|waker| waker.notify_one());
    }

    /// Length and age of each queue.
    pub fn levels(&self, now: Moment) -> Vec<QueueLevel> {
        let level = |(service, line): (&ServiceName, &WaitingLine)| QueueLevel {
            service: service.clone(),
            depth: line.queue.len(),
            oldest_ms: line.queue.oldest().map_or(0, |oldest| now.millis_since(oldest)),
        };
        self.lines.iter().map(level).collect()
    }

    /// Forgets services that are no longer configured and for which no request waits.
    pub fn retain(&mut self, is_configured: impl Fn(&ServiceName) -> bool) {
        self.lines.retain(|service, line| is_configured(service) || !line.queue.is_empty());
    }
}
