//! Every connection that goes silent is found and replaced, on each kind of link.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_standins::deployment::wait_until;
use guava_standins::fault_proxy::LinkFault;
use std::time::{Duration, Instant};
use support::{call, deploy_default, fresh_key, object, stream, submission};
use yare::parameterized;

/// The stated time within which a silent connection is replaced, on a machine that is not busy.
const REPLACED_WITHIN: Duration = Duration::from_secs(6);
/// What a busy machine may add before the test fails.
const SLACK: Duration = Duration::from_secs(20);

#[parameterized(
    log = { "log" },
    list = { "list" },
    engine = { "engine-0" },
    service = { "board-0" },
    store = { "store-0" },
    peer = { "entry-1" },
)]
fn open_connections_are_forgotten(link: &str) {
    // Symptom: one link stands still for good while new connections over it work.
    // Sequence: something between the two ends forgets all open connections; no end is told.
    // Cause: whoever waits on an old connection waits for ever.
    let deployment = deploy_default();
    let started = Instant::now();

    deployment.proxies[link].set(LinkFault::Forget);

    wait_until("everything works over new connections", || {
        let answer = stream(deployment.daemons[0].callers, &support::long_prompt(link, 300), 2);
        let submitted = call(deployment.daemons[1].callers, &submission(&fresh_key(), Some(1)));
        answer.done && submitted.outcome == "done"
    });
    let change = ["weights", "--first-token", "4", "--recompute", "4", "--link", "4"];
    let line = deployment.operate_ok(0, &change).unwrap()["change"][0].clone();
    assert_eq!(line["missing"], serde_json::json!([]), "{line}");
    assert!(
        (0..3).all(|index| object(&deployment, index, "profile/measures").1.ends_with("link=4"))
    );
    assert!(started.elapsed() < REPLACED_WITHIN + SLACK, "{:?}", started.elapsed());
}
