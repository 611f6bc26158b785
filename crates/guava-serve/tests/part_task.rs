//! The task that follows part stores, with scripted calls in place of the stores.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{PartList, PartPort, PartReport, ServeConfig, apply_config, follow_stores};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::{config_parts, serve_context, store};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// A port to stores that are empty and report no events.
fn empty_stores() -> PartPort {
    PartPort {
        events: Rc::new(|_, _, wait_ms| {
            Box::pin(async move {
                sleep(Duration::from_millis(wait_ms)).await;
                let events = Vec::new();
                Ok(PartReport { epoch: 1, next: 0, is_gapped: false, events, clock_ms: Some(5) })
            })
        }),
        list: Rc::new(|_| Box::pin(async { Ok(PartList { epoch: 1, ..PartList::default() }) })),
        free: Rc::new(|_| Box::pin(async { Ok(()) })),
    }
}

#[tokio::test(flavor = "current_thread")]
async fn started_daemon_follows_stores_soon_after_it_has_a_configuration() {
    // Symptom: after all daemons start together, every prompt of the next second is prefilled without
    // cached parts.
    // Sequence: a daemon starts, reads the configuration some milliseconds later, and accepts
    // prompts.
    // Cause: it checked for stores once, without a configuration, and then half a second later.
    let context = Rc::new(serve_context("d1"));
    let followed = Rc::new(RefCell::new(Vec::new()));
    let follow_task =
        follow_stores(Rc::clone(&context), Rc::new(empty_stores()), Rc::clone(&followed));

    let waited = LocalSet::new()
        .run_until(async {
            tokio::task::spawn_local(follow_task);
            sleep(Duration::from_millis(10)).await;
            let stores = vec![(*store("s1", 1)).clone()];
            apply_config(
                &context,
                ServeConfig::new(guava_serve::ConfigParts { stores, ..config_parts(1) }),
            );
            let known = Instant::now();
            while followed.borrow().is_empty() {
                sleep(Duration::from_millis(1)).await;
            }
            known.elapsed()
        })
        .await;

    assert!(waited < Duration::from_millis(200), "{waited:?}");
}
