//! Two failures at a time.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_outside::ListedVm;
use guava_standins::caller::Caller;
use guava_standins::deployment::{
    Deployment, DeploymentPlan, EnginePlan, ask, block_on, post_value, wait_until,
};
use guava_standins::engine_server::EngineStats;
use guava_standins::fault_proxy::LinkFault;
use serde_json::json;
use support::{
    call, deploy, deploy_default, engine_stats, expected_text, fresh_key, object, runs_of, server,
    set_fault, set_faults, stream, submission, try_call,
};

fn wait_for_run(deployment: &Deployment, key: &str) {
    wait_until("the call runs at the service", || runs_of(deployment, "acme", key) == 1);
}

#[test]
fn log_loses_answers_and_the_holder_is_frozen() {
    // Symptom: a submission runs twice.
    // Sequence: the log's answers are lost, so that the intent is appended several times; its
    // holder is frozen in dispatch; the caller repeats the call; the holder is thawed.
    // Cause: a later copy of the intent is taken for a free key.
    let mut deployment = deploy_default();
    let key = fresh_key();
    set_fault(&deployment, "log", &json!({ "lose_answers": true }));
    set_faults(&deployment, "board-", &json!({ "run_ms": 800 }));
    let address = deployment.daemons[0].callers;
    let first = submission(&key, Some(1));
    let first = std::thread::spawn(move || try_call(address, &first, 2_000));
    wait_for_run(&deployment, &key);
    deployment.freeze("entry-0");

    let second = try_call(deployment.daemons[1].callers, &submission(&key, Some(2)), 1_000);
    set_fault(&deployment, "log", &json!({}));
    deployment.thaw("entry-0");
    let third = call(deployment.daemons[2].callers, &submission(&key, Some(3)));

    assert_eq!(second.unwrap().outcome, "unknown");
    assert_eq!(third.outcome, "done", "{third:?}");
    assert_eq!(runs_of(&deployment, "acme", &key), 1);
    drop(first.join());
}

#[test]
fn log_is_out_and_the_daemon_of_a_pinned_key_dies() {
    // Symptom: a pinned key runs at a second daemon.
    // Sequence: the log is out; a call with a pinned key is done; its daemon dies; the caller
    // repeats the call at the others.
    // Cause: with log and holder gone, a daemon takes the key for unused.
    let mut deployment = deploy_default();
    set_fault(&deployment, "log", &json!({ "outage": true }));
    let caller = Caller::of("acme");
    let address = deployment.daemons[0].callers;
    let issued = caller.send(address, "POST".parse().unwrap(), "/v1/keys", "");
    let issued = block_on(issued).unwrap().unwrap();
    let body: serde_json::Value = serde_json::from_str(&issued.body).unwrap();
    let key = body["key"].as_str().unwrap().to_owned();
    let first = call(address, &submission(&key, Some(1)));
    deployment.kill("entry-0");

    let repeats = [1, 2]
        .map(|index| call(deployment.daemons[index].callers, &submission(&key, Some(2))).outcome);

    assert_eq!(first.outcome, "done");
    assert_eq!(repeats, ["unknown", "unknown"]);
    assert_eq!(runs_of(&deployment, "acme", &key), 1);
}

#[test]
fn engine_link_is_forgotten_and_the_daemon_dies() {
    // Symptom: an answer is cut short.
    // Sequence: the connection to the engine is forgotten in mid-stream; then the daemon dies;
    // the caller resumes at another one.
    // Cause: the place in the stream was only known on the connection.
    let engine = EnginePlan { decode_ms: 40, ..EnginePlan::default() };
    let plan = DeploymentPlan { engines: vec![engine], ..DeploymentPlan::default() };
    let mut deployment = deploy(plan);
    let caller = Caller::of("acme");
    let first = caller.stream(deployment.daemons[0].callers, "a packet", 50, 8);
    let first = block_on(first).unwrap().unwrap();
    deployment.proxies["engine-0"].set(LinkFault::Forget);
    deployment.kill("entry-0");

    let rest = caller.resume(deployment.daemons[2].callers, &first.last_id);
    let rest = block_on(rest).unwrap().unwrap();

    assert!(rest.done, "{rest:?}");
    assert_eq!(first.text() + &rest.text(), expected_text("v1", "a packet", 50));
    assert_eq!(engine_stats(&deployment)[0].runs, 1);
}

#[test]
fn one_daemon_dies_and_another_is_cut_from_the_log() {
    // Symptom: a change is refused, or stays out of force at the daemon that is cut off.
    // Sequence: of three daemons one dies and one loses the log; a change is made at the third.
    // Cause: the majority is counted by who reads the log.
    let mut deployment = deploy_default();
    let source = deployment.daemons[2].source;
    deployment.proxies["log"].set_for(source, LinkFault::Freeze);
    deployment.kill("entry-1");

    let change = ["weights", "--first-token", "3", "--recompute", "3", "--link", "33"];
    wait_until("the change is accepted", || deployment.operate_ok(0, &change).is_ok());

    wait_until("the daemon that is cut off has it", || {
        object(&deployment, 2, "profile/measures").1.ends_with("link=33")
    });
    assert!(stream(deployment.daemons[2].callers, "a packet", 2).done);
}

#[test]
fn engine_leaves_while_the_log_is_out() {
    // Symptom: a leaving engine gets work.
    // Sequence: the log is out; the list calls an engine leaving.
    // Cause: the notice goes through the log.
    let deployment = deploy_default();
    set_fault(&deployment, "log", &json!({ "outage": true }));
    let vm = ListedVm { address: deployment.reached_at("engine-0").unwrap(), leaving: true };
    post_value(server(&deployment, "list"), "/vms", &vm).unwrap();
    wait_until("all daemons know it", || {
        (0..3).all(|index| deployment.log_of(&format!("entry-{index}")).contains("\"G5001\""))
    });
    let before: EngineStats = ask(server(&deployment, "engine-0"), "/stats").unwrap();

    for round in 0..6 {
        assert!(stream(deployment.daemons[round % 3].callers, &format!("r{round}"), 2).done);
    }

    let after: EngineStats = ask(server(&deployment, "engine-0"), "/stats").unwrap();
    assert_eq!(after.accepted, before.accepted);
}

#[test]
fn daemon_leaves_while_its_peers_do_not_hear_it() {
    // Symptom: a repeat runs again after a shutdown whose hand over failed.
    // Sequence: a call is done; its daemon is cut from its peers, and is shut down.
    // Cause: the key is taken to be free once its holder has left.
    let mut deployment = deploy_default();
    let key = fresh_key();
    let first = call(deployment.daemons[0].callers, &submission(&key, Some(1)));
    let source = deployment.daemons[0].source;
    deployment.proxies["entry-1"].set_for(source, LinkFault::Freeze);
    deployment.proxies["entry-2"].set_for(source, LinkFault::Freeze);
    deployment.terminate("entry-0");
    wait_until("the daemon has ended", || deployment.has_ended("entry-0"));

    let second = call(deployment.daemons[1].callers, &submission(&key, Some(2)));

    assert_eq!(first.outcome, "done");
    assert_eq!(second.outcome, "unknown", "{second:?}");
    assert_eq!(runs_of(&deployment, "acme", &key), 1);
}

#[test]
fn store_keeps_half_writes_and_the_owner_dies() {
    // Symptom: a prompt is answered from half a block.
    // Sequence: the store loses half of a write; the owner dies before it has checked; the prompt
    // comes back.
    // Cause: the next owner takes what it finds in the store.
    let mut deployment = deploy_default();
    set_fault(&deployment, "store-0", &json!({ "half_writes": true, "serve_unsealed": true }));
    let prompt = support::long_prompt("half", 4_000);
    assert!(stream(deployment.daemons[0].callers, &prompt, 2).done);
    deployment.kill("entry-0");
    for name in ["engine-0", "engine-1"] {
        post_value(server(&deployment, name), "/evict", &()).unwrap();
    }

    let answers = [1, 2].map(|index| stream(deployment.daemons[index].callers, &prompt, 2));

    for answer in answers {
        assert_eq!(answer.text(), expected_text("v1", &prompt, 2));
    }
    assert!(engine_stats(&deployment).iter().all(|engine| engine.wrong_blocks == 0));
}
