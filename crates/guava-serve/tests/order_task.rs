//! Orders to engines, with scripted ports in place of the engines and of the lease's store.

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
use support::{engine, id, model, published, serve_context};
use tokio::time::sleep;

/// A lease that is granted to each daemon that requests it.
fn granted_lease() -> LeasePort {
    let written = Rc::new(RefCell::new(LeaseUpdate::default()));
    let read = Rc::clone(&written);
    LeasePort {
        read: Rc::new(move |_, _| {
            let update = read.borrow().clone();
            Box::pin(async move { Ok(update) })
        }),
        request: Rc::new(move |entry, expected_next| {
            *written.borrow_mut() = LeaseUpdate { newest: Some(entry), next: expected_next + 1 };
            Box::pin(async { Ok(()) })
        }),
    }
}

/// Engines that all answer with this report, and the orders that they received.
fn engines(report: EngineReport) -> (EnginePort, Rc<RefCell<Vec<LoadOrder>>>) {
    let orders = Rc::new(RefCell::new(Vec::new()));
    let received = Rc::clone(&orders);
    let port = EnginePort {
        report: Rc::new(move |_, _| {
            let report = report.clone();
            Box::pin(async move { Ok(report) })
        }),
        order: Rc::new(move |order| {
            received.borrow_mut().push(order);
            Box::pin(async { Ok(()) })
        }),
    };
    (port, orders)
}

#[tokio::test(flavor = "current_thread")]
async fn restarted_engine_is_not_ordered_by_its_former_state() {
    // Guards against an order that takes effect at an engine for which it was not meant. After a
    // publication the engine crashes and restarts under its name. Its report arrives before its new
    // entry in the VM list, and was taken for that of the former engine.
    let context = Rc::new(serve_context("d1"));
    let listed = engine("e", 1);
    let before = UpstreamEntry { id: listed.id.started_at(100), ..listed.clone() };
    let after = UpstreamEntry { id: listed.id.started_at(200), ..listed };
    context.upstreams.borrow_mut().note_entry(before.clone());
    context.targets.borrow_mut().offer(&model(), published(2, Moment::now()));
    let versions: FastMap<_, _> = [(model(), WeightVersion(1))].into_iter().collect();
    let (port, orders) =
        engines(EngineReport { versions, start_ms: Some(200), ..EngineReport::default() });
    let rollout = Rc::new(RefCell::new(VersionRollout::default()));
    let task = OrderTask::new(Rc::clone(&context), (granted_lease(), port), 0, rollout);

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
        () = task.run() => unreachable!("the order task never returns"),
        () = sleep(Duration::from_secs(20)) => panic!("no order was sent within 20 s"),
    };

    assert!(!was_ordered);
    assert_eq!(orders.borrow()[0].engine, id("e@200"));
}

#[tokio::test(flavor = "current_thread")]
async fn standby_learns_of_each_lease_renewal_as_it_is_written() {
    // Guards against weights published twice within four seconds being rolled out half a second
    // late, which delays prompts by as much. The holder is cut off from the store. The standbys
    // read the lease every 0.7 s without waiting for its next renewal, and count its term from the
    // read that showed them the last one.
    let context = Rc::new(serve_context("d1"));
    context.upstreams.borrow_mut().note_entry(engine("e", 1));
    context.targets.borrow_mut().offer(&model(), published(2, Moment::now()));
    let waits = Rc::new(RefCell::new(Vec::new()));
    let recorded_waits = Rc::clone(&waits);
    let held =
        LeaseEntry { holder: Incarnation(9), token: Offset(1), renewed: Offset(1), term_ms: 4_200 };
    let lease = LeasePort {
        read: Rc::new(move |_, wait_ms| {
            recorded_waits.borrow_mut().push(wait_ms);
            let update = LeaseUpdate { newest: Some(held.clone()), next: 1 };
            Box::pin(async move { Ok(update) })
        }),
        request: Rc::new(|_, _| Box::pin(async { Ok(()) })),
    };
    let (port, _) = engines(EngineReport::default());
    let task = OrderTask::new(context, (lease, port), 0, Rc::default());

    let three_reads = async {
        while waits.borrow().len() < 3 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = three_reads => {}
        () = task.run() => unreachable!("the order task never returns"),
        () = sleep(Duration::from_secs(20)) => panic!("the lease was read fewer than 3 times"),
    }

    let waits = waits.borrow();
    assert_eq!(waits[0], 0, "the first read does not wait for a renewal");
    assert!(waits[1..].iter().all(|wait_ms| *wait_ms > 0), "waits of reads in ms: {waits:?}");
}
