//! Whom the queues wake, and what their metrics tell.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use futures_util::FutureExt;
use guava_policy::{CustomerLedger, QueueEntry, QueueTicket};
use guava_serve::{QueueLevel, QueueTable, ServeMetrics};
use guava_types::{Deadline, Moment, ServiceName};
use std::rc::Rc;
use tokio::sync::Notify;

const NOW: Moment = Moment(10_000);

fn service() -> ServiceName {
    "app".parse().unwrap()
}

/// A table with requests that arrived a second ago and did not fit, and their wakers.
fn asked_table<const N: usize>() -> (QueueTable, [(QueueTicket, Rc<Notify>); N]) {
    let mut table = QueueTable::default();
    let joined = [(); N].map(|()| {
        let entry = QueueEntry {
            customer: None,
            rank: 1,
            first_arrived: NOW.minus_millis(1_000),
            start_by: Deadline::after(NOW, 1_000),
            cost: 25.0,
        };
        let ticket = table.queue(&service()).join(entry, &CustomerLedger::default(), NOW);
        table.queue(&service()).note_misfit(ticket);
        let waker = Rc::new(Notify::new());
        table.note_waker(&service(), ticket, Rc::clone(&waker));
        (ticket, waker)
    });
    (table, joined)
}

fn is_woken(waker: &Notify) -> bool {
    waker.notified().now_or_never().is_some()
}

#[test]
fn free_place_wakes_the_first_request_and_its_departure_the_next() {
    let (mut table, [first, second]) = asked_table();

    table.note_room(&service(), &CustomerLedger::default(), NOW);

    assert_eq!((is_woken(&first.1), is_woken(&second.1)), (true, false));
    table.leave(&service(), first.0, NOW);
    assert!(is_woken(&second.1));
}

#[test]
fn levels_tell_depth_and_age_until_the_service_is_no_longer_configured() {
    let (mut table, [one, other]) = asked_table();
    let metrics = ServeMetrics::default();

    let levels = table.levels(NOW);
    metrics.note_queues(&levels);

    assert_eq!(levels, [QueueLevel { service: service(), depth: 2, oldest_ms: 1_000 }]);
    assert!(metrics.text().contains("guavatiller_queue_depth{service=\"app\"} 2.0"));
    [one, other].iter().for_each(|(ticket, _)| table.leave(&service(), *ticket, NOW));
    table.retain(|_| false);
    metrics.note_queues(&table.levels(NOW));
    assert!(!metrics.text().contains("guavatiller_queue_depth{"));
}
