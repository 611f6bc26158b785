//! Each caller receives the whole answer to its own request, also when chunks arrive late, twice
//! or out of order, and when connections go silent.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_standins::caller::Caller;
use guava_standins::deployment::{Deployment, DeploymentPlan, EnginePlan, block_on, wait_until};
use guava_standins::fault_proxy::LinkFault;
use serde_json::json;
use support::{deploy, deploy_default, engine_stats, expected_text, set_faults, stream};

const TOKENS: u32 = 40;

fn one_engine() -> DeploymentPlan {
    let engine = EnginePlan { decode_ms: 30, ..EnginePlan::default() };
    DeploymentPlan { engines: vec![engine], ..DeploymentPlan::default() }
}

fn total_runs(deployment: &Deployment) -> u64 {
    engine_stats(deployment).iter().map(|stats| stats.runs).sum()
}

#[test]
fn chunks_come_twice_and_out_of_order() {
    // Symptom: a garbled answer.
    // Sequence: the engine's chunks arrive in another order, some twice.
    // Cause: chunks are passed on as they come.
    let deployment = deploy_default();
    set_faults(&deployment, "engine-", &json!({ "shuffle": true }));

    let answers =
        [0, 1, 2].map(|index| stream(deployment.daemons[index].callers, "a packet", TOKENS));

    for answer in answers {
        assert!(answer.done, "{answer:?}");
        assert_eq!(answer.text(), expected_text("v1", "a packet", TOKENS));
    }
}

#[test]
fn stream_ends_early_without_its_end_marker() {
    // Symptom: half an answer that looks whole.
    // Sequence: the connection to the engine is closed cleanly in mid-stream.
    // Cause: the end of the transport is taken for the end of the answer.
    let deployment = deploy_default();
    set_faults(&deployment, "engine-", &json!({ "close_after": 5 }));

    let answer = stream(deployment.daemons[0].callers, "a packet", TOKENS);

    assert!(answer.done, "{answer:?}");
    assert_eq!(answer.text(), expected_text("v1", "a packet", TOKENS));
    assert_eq!(total_runs(&deployment), 1);
}

#[test]
fn engine_falls_silent_in_mid_stream() {
    // Symptom: an answer stands still for good.
    // Sequence: the engine's stream stays open and says nothing more.
    // Cause: nobody notices a silent connection.
    let deployment = deploy_default();
    set_faults(&deployment, "engine-", &json!({ "stall_after": 5 }));

    let answer = stream(deployment.daemons[0].callers, "a packet", TOKENS);

    assert!(answer.done, "{answer:?}");
    assert_eq!(answer.text(), expected_text("v1", "a packet", TOKENS));
    assert_eq!(total_runs(&deployment), 1);
}

#[test]
fn middlebox_forgets_the_connection_to_the_engine() {
    // Symptom: an answer stands still though new connections work.
    // Sequence: what lies between daemon and engine loses track of the open connection.
    // Cause: the daemon waits on the old connection instead of reading on over a new one.
    let deployment = deploy(one_engine());
    let proxy = deployment.proxies["engine-0"].clone();
    let address = deployment.daemons[0].callers;
    let caller = std::thread::spawn(move || stream(address, "a packet", TOKENS));
    wait_until("the run has started", || total_runs(&deployment) == 1);

    proxy.set(LinkFault::Forget);
    let answer = caller.join().unwrap();

    assert!(answer.done, "{answer:?}");
    assert_eq!(answer.text(), expected_text("v1", "a packet", TOKENS));
    assert_eq!(total_runs(&deployment), 1);
}

#[test]
fn caller_reads_on_at_another_daemon() {
    // Symptom: an answer is lost with the daemon that streamed it.
    // Sequence: a daemon dies in mid-stream; the caller goes to another one with the last event id.
    // Cause: only the dead daemon knew the run.
    let mut deployment = deploy(one_engine());
    let caller = Caller::of("acme");
    let first = caller.stream(deployment.daemons[0].callers, "a packet", TOKENS, 7);
    let first = block_on(first).unwrap().unwrap();
    deployment.kill("entry-0");

    let rest = caller.resume(deployment.daemons[1].callers, &first.last_id);
    let rest = block_on(rest).unwrap().unwrap();

    assert!(rest.done, "{rest:?}");
    let whole = first.text() + &rest.text();
    assert_eq!(whole, expected_text("v1", "a packet", TOKENS));
    assert_eq!(total_runs(&deployment), 1);
}

#[test]
fn caller_reads_on_again_and_again() {
    // Symptom: chunks are missing or doubled after a resume.
    // Sequence: a caller loses its connection after every few chunks and resumes at the next
    // daemon each time.
    // Cause: the place in the stream is off by one, or kept at one daemon.
    let deployment = deploy(one_engine());
    let caller = Caller::of("acme");
    let first = caller.stream(deployment.daemons[0].callers, "a packet", TOKENS, 3);
    let first = block_on(first).unwrap().unwrap();
    let mut text = first.text();
    let mut last_id = first.last_id;

    let rest = caller.resume(deployment.daemons[1].callers, &last_id);
    let part = block_on(rest).unwrap().unwrap();
    text.push_str(&part.text());
    last_id = part.last_id;
    let empty = block_on(caller.resume(deployment.daemons[2].callers, &last_id)).unwrap().unwrap();

    assert_eq!(text, expected_text("v1", "a packet", TOKENS));
    assert!(empty.done && empty.texts.is_empty(), "{empty:?}");
}

#[test]
fn engine_dies_before_the_first_token() {
    // Symptom: a request fails though other engines are idle.
    // Sequence: the engine that got the request dies in its prefill.
    // Cause: nothing routes the request again.
    let engines = vec![EnginePlan { prefill: 500, ..EnginePlan::default() }; 2];
    let mut deployment = deploy(DeploymentPlan { engines, ..DeploymentPlan::default() });
    let address = deployment.daemons[0].callers;
    let prompt = support::long_prompt("x", 700);
    let asked = prompt.clone();
    let caller = std::thread::spawn(move || stream(address, &asked, 4));
    wait_until("the run has started", || total_runs(&deployment) == 1);
    let busy = (0..2).find(|index| {
        let stats = guava_standins::deployment::ask::<serde_json::Value>(
            support::server(&deployment, &format!("engine-{index}")),
            "/stats",
        );
        stats.unwrap()["runs"] == 1
    });

    deployment.kill(&format!("engine-{}", busy.unwrap()));
    let answer = caller.join().unwrap();

    assert!(answer.done, "{answer:?}");
    assert_eq!(answer.text(), expected_text("v1", &prompt, 4));
}

#[test]
fn engine_dies_in_mid_stream() {
    // Symptom: an answer that mixes two runs, or a short one that looks whole.
    // Sequence: the engine dies after some chunks have gone to the caller.
    // Cause: another run's chunks are put after the first one's.
    let mut deployment = deploy(one_engine());
    let address = deployment.daemons[0].callers;
    let caller = std::thread::spawn(move || stream(address, "a packet", TOKENS));
    wait_until("the run has started", || total_runs(&deployment) == 1);

    deployment.kill("engine-0");
    let answer = caller.join().unwrap();

    assert!(!answer.done);
    if answer.status == 200 {
        assert!(answer.error.unwrap().contains("\"outcome\":\"failed\""));
    } else {
        assert_eq!(answer.outcome, "failed");
    }
}
