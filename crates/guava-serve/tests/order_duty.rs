//! Orders to engines, with scripted calls in place of engines and of the lease.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    EnginePort, EngineReport, LeasePort, LeaseUpdate, LoadOrder, OrderTask, UpstreamEntry,
    VersionRollout, WeightVersion,
};
use guava_state::LeaseEntry;
use guava_types::{FastMap, Incarnation, Moment, Offset};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use support::{engine, id, model, serve_context};
use tokio::time::sleep;

/// A lease that whoever asks for it gets.
fn free_lease() -> LeasePort {
    let written = Rc::new(RefCell::new(LeaseUpdate::default()));
    let read = Rc::clone(&written);
    LeasePort {
        read: Rc::new(move |_, _| {
            let news = read.borrow().clone();
            Box::pin(async move { Ok(news) })
        }),
        request: Rc::new(move |entry, only_at| {
            *written.borrow_mut() = LeaseUpdate { newest: Some(entry), next: only_at + 1 };
            Box::pin(async { Ok(()) })
        }),
    }
}

/// Engines that report this, and orders that they were given.
fn engines(report: EngineReport) -> (EnginePort, Rc<RefCell<Vec<LoadOrder>>>) {
    let orders = Rc::new(RefCell::new(Vec::new()));
    let taken = Rc::clone(&orders);
    let port = EnginePort {
        report: Rc::new(move |_, _| {
            let report = report.clone();
            Box::pin(async move { Ok(report) })
        }),
        order: Rc::new(move |order| {
            taken.borrow_mut().push(order);
            Box::pin(async { Ok(()) })
        }),
    };
    (port, orders)
}

#[tokio::test(flavor = "current_thread")]
async fn engine_that_started_again_is_not_ordered_by_what_it_was_before() {
    // Symptom: an order takes effect at an engine that it was not meant for.
    // Sequence: weights are published; the engine crashes and starts again under its name; its
    // report, which nobody expected to be of another start, comes before its entry.
    // Cause: the report was taken for one of the engine known here.
    let context = Rc::new(serve_context("d1"));
    let listed = engine("e", 1);
    let before = UpstreamEntry { id: listed.id.started_at(100), ..listed.clone() };
    let after = UpstreamEntry { id: listed.id.started_at(200), ..listed };
    context.upstreams.borrow_mut().note_entry(before.clone());
    context.targets.borrow_mut().offer(&model(), WeightVersion(2), Moment::now());
    let versions: FastMap<_, _> = [(model(), WeightVersion(1))].into_iter().collect();
    let (port, orders) =
        engines(EngineReport { versions, start_ms: Some(200), ..EngineReport::default() });
    let rollout = Rc::new(RefCell::new(VersionRollout::default()));
    let duty = OrderTask::new(Rc::clone(&context), (free_lease(), port), 0, rollout);

    let run = async {
        while context.upstreams.borrow().may_send(&before.id) {
            sleep(Duration::from_millis(5)).await;
        }
        let was_ordered = !orders.borrow().is_empty();
        context.upstreams.borrow_mut().note_entry(after.clone());
        while orders.borrow().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        was_ordered
    };
    let was_ordered = tokio::select! {
        was_ordered = run => was_ordered,
        () = duty.run() => unreachable!("the duty goes on for ever"),
        () = sleep(Duration::from_secs(20)) => panic!("no order came"),
    };

    assert!(!was_ordered);
    assert_eq!(orders.borrow()[0].engine, id("e@200"));
}

#[tokio::test(flavor = "current_thread")]
async fn daemon_that_watches_the_lease_learns_of_each_renewal_as_it_is_written() {
    // Symptom: weights published twice within four seconds are rolled out half a second later, and
    // prompts are late for as long.
    // Sequence: the holder is cut off from the store; the others look at its lease every 0.7 s, and
    // count its end from when they saw the last renewal.
    // Cause: their reads did not wait for the next renewal.
    let context = Rc::new(serve_context("d1"));
    context.upstreams.borrow_mut().note_entry(engine("e", 1));
    context.targets.borrow_mut().offer(&model(), WeightVersion(2), Moment::now());
    let waits = Rc::new(RefCell::new(Vec::new()));
    let asked = Rc::clone(&waits);
    let held =
        LeaseEntry { holder: Incarnation(9), token: Offset(1), renewed: Offset(1), term_ms: 4_200 };
    let lease = LeasePort {
        read: Rc::new(move |_, wait_ms| {
            asked.borrow_mut().push(wait_ms);
            let news = LeaseUpdate { newest: Some(held.clone()), next: 1 };
            Box::pin(async move { Ok(news) })
        }),
        request: Rc::new(|_, _| Box::pin(async { Ok(()) })),
    };
    let (port, _) = engines(EngineReport::default());
    let duty = OrderTask::new(context, (lease, port), 0, Rc::default());

    let watched = async {
        while waits.borrow().len() < 3 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = watched => {}
        () = duty.run() => unreachable!("the duty goes on for ever"),
        () = sleep(Duration::from_secs(20)) => panic!("the lease is not read"),
    }

    let waits = waits.borrow();
    assert_eq!(waits[0], 0, "what holds now is not waited for");
    assert!(waits[1..].iter().all(|wait_ms| *wait_ms > 0), "{waits:?}");
}
