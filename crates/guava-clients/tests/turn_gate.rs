//! Requests begin a few at a time, in the order of their arrival.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_clients::TurnGate;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::task::{LocalSet, spawn_local, yield_now};

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, future)
}

#[test]
fn all_requests_that_wait_at_once_begin_in_their_order() {
    // Guards against requests that wait for a turn which nobody begins.
    let begun = run(async {
        let gate = TurnGate::default();
        let begun = Rc::new(RefCell::new(Vec::new()));
        let requests: Vec<_> = (0..1_000)
            .map(|number| {
                let (gate, begun) = (gate.clone(), Rc::clone(&begun));
                spawn_local(async move {
                    gate.enter().await;
                    begun.borrow_mut().push(number);
                })
            })
            .collect();
        for request in requests {
            request.await.unwrap();
        }
        begun.take()
    });

    assert_eq!(begun, (0..1_000).collect::<Vec<_>>());
}

#[test]
fn request_that_is_given_up_while_it_begins_a_turn_holds_up_no_other() {
    let has_begun = run(async {
        let gate = TurnGate::default();
        for _ in 0..32 {
            gate.enter().await;
        }
        let given_up = gate.clone();
        let turning = spawn_local(async move { given_up.enter().await });
        yield_now().await;
        turning.abort();
        gate.enter().await;
        true
    });

    assert!(has_begun);
}

#[test]
fn other_tasks_have_their_turn_between_requests() {
    // Guards against a lease or messages that wait until all requests that are ready have begun.
    let most_between = run(async {
        let gate = TurnGate::default();
        let begun = Rc::new(Cell::new(0_usize));
        // As of connections whose clients send many requests ahead.
        for _ in 0..50 {
            let (gate, begun) = (gate.clone(), Rc::clone(&begun));
            spawn_local(async move {
                for _ in 0..100 {
                    gate.enter().await;
                    begun.set(begun.get() + 1);
                }
            });
        }
        let mut most = 0;
        while begun.get() < 5_000 {
            let before = begun.get();
            yield_now().await;
            most = most.max(begun.get() - before);
        }
        most
    });

    assert!(most_between <= 256, "{most_between}");
}
