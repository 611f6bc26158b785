//! A new request never uses blocks from another weight version; orders obey one holder.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_standins::caller::{Caller, StreamedAnswer};
use guava_standins::deployment::{
    Deployment, DeploymentPlan, EnginePlan, ask, block_on, post_value, wait_until,
};
use guava_standins::engine_server::EngineStats;
use guava_standins::fault_proxy::LinkFault;
use guava_standins::weight_server::WeightStats;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use support::{deploy, engine_stats, expected_text, long_prompt, server, stream};

fn plan(engines: usize, checks_fencing: bool) -> DeploymentPlan {
    let engine = EnginePlan { checks_fencing, cache_tokens: 100_000, ..EnginePlan::default() };
    DeploymentPlan { engines: vec![engine; engines], ..DeploymentPlan::default() }
}

fn roll_out(deployment: &Deployment, index: usize, version: &str) {
    deployment.operate_ok(index, &["model", "publish", "hints", version]).unwrap();
    deployment.operate_ok(index, &["model", "roll-out", "hints", version]).unwrap();
}

fn loaded_versions(deployment: &Deployment) -> Vec<String> {
    let engines = deployment.servers.iter().filter(|(name, _)| name.starts_with("engine-"));
    engines
        .map(|(_, address)| {
            let report: serde_json::Value = ask(*address, "/report").unwrap();
            report["loaded"]["hints"].as_str().unwrap().to_owned()
        })
        .collect()
}

fn wait_loaded(deployment: &Deployment, version: &str) {
    wait_until("all engines have the version", || {
        loaded_versions(deployment).iter().all(|loaded| loaded == version)
    });
    wait_until("all daemons use it", || {
        (0..3).all(|index| stream(deployment.daemons[index].callers, "a", 1).version == version)
    });
}

fn cached(answer: &StreamedAnswer) -> u64 {
    answer.usage["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap()
}

#[test]
fn swap_under_load_mixes_no_versions() {
    // Symptom: an answer begun by one version goes on by another, or is served from its cache.
    // Sequence: a roll out and a roll back while callers stream.
    // Cause: the version is looked up anew in the middle of a run.
    let deployment = Arc::new(deploy(plan(4, true)));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..3)
        .map(|index| {
            let (deployment, stop) = (Arc::clone(&deployment), Arc::clone(&stop));
            std::thread::spawn(move || {
                let mut answers = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let prompt = long_prompt(&format!("swap{index}"), 500);
                    answers.push((
                        prompt.clone(),
                        stream(deployment.daemons[index].callers, &prompt, 20),
                    ));
                }
                answers
            })
        })
        .collect();

    roll_out(&deployment, 0, "v2");
    wait_loaded(&deployment, "v2");
    deployment.operate_ok(1, &["model", "roll-back", "hints"]).unwrap();
    wait_loaded(&deployment, "v1");
    stop.store(true, Ordering::Relaxed);

    for (prompt, answer) in callers.into_iter().flat_map(|caller| caller.join().unwrap()) {
        assert!(answer.done, "{answer:?}");
        assert_eq!(answer.text(), expected_text(&answer.version, &prompt, 20));
    }
    let stats = engine_stats(&deployment);
    assert!(stats.iter().all(|engine| engine.wrong_blocks == 0));
}

#[test]
fn request_is_served_while_reports_of_engines_lag_behind_their_versions() {
    // Guards against requests that are refused since each engine's other version uses up a try.
    let deployment = deploy(plan(4, true));
    deployment.operate_ok(0, &["model", "publish", "hints", "v2"]).unwrap();
    let order = json!({ "token": "1000000", "model": "hints", "version": "v2" });
    let engines = || (0..4).map(|index| server(&deployment, &format!("engine-{index}")));
    engines().for_each(|engine| post_value(engine, "/orders", &order).unwrap());
    wait_until("all engines have the version", || {
        loaded_versions(&deployment).iter().all(|loaded| loaded == "v2")
    });
    engines().for_each(|engine| {
        post_value(engine, "/fault", &json!({ "reports_version": "v1" })).unwrap();
    });
    deployment.operate_ok(0, &["model", "roll-out", "hints", "v2"]).unwrap();
    std::thread::sleep(Duration::from_secs(1));

    let answers: Vec<_> = (0..6)
        .map(|index| stream(deployment.daemons[index % 3].callers, &format!("late {index}"), 2))
        .collect();

    assert!(answers.iter().all(|answer| answer.done && answer.version == "v2"), "{answers:?}");
}

#[test]
fn cache_of_the_old_version_is_not_used() {
    // Symptom: a new version answers from the old one's cache.
    // Sequence: a long prompt is cached in engine and store; another version is rolled out; the
    // prompt comes back.
    // Cause: the version is no part of the cache keys.
    let deployment = deploy(plan(1, true));
    let prompt = long_prompt("versions", 2_000);
    stream(deployment.daemons[0].callers, &prompt, 2);
    let warm = stream(deployment.daemons[1].callers, &prompt, 2);
    roll_out(&deployment, 0, "v2");
    wait_loaded(&deployment, "v2");

    let cold = stream(deployment.daemons[1].callers, &prompt, 2);

    assert!(cached(&warm) > 1_900, "{warm:?}");
    assert_eq!((cached(&cold), cold.version.as_str()), (0, "v2"), "{cold:?}");
}

#[test]
fn run_goes_on_by_its_own_version_across_a_swap() {
    // Symptom: a resumed answer changes its version in the middle.
    // Sequence: a run starts; its engine swaps versions; the caller resumes at another daemon.
    // Cause: the resume starts a new run by the version of the day.
    let engine = EnginePlan { decode_ms: 60, ..EnginePlan::default() };
    let plan = DeploymentPlan { engines: vec![engine], ..DeploymentPlan::default() };
    let deployment = deploy(plan);
    let caller = Caller::of("acme");
    let first = caller.stream(deployment.daemons[0].callers, "a packet", 80, 5);
    let first = block_on(first).unwrap().unwrap();
    roll_out(&deployment, 1, "v2");
    wait_until("the engine has swapped", || loaded_versions(&deployment) == ["v2"]);

    let rest = caller.resume(deployment.daemons[2].callers, &first.last_id);
    let rest = block_on(rest).unwrap().unwrap();

    assert_eq!(rest.version, "v1", "{rest:?}");
    assert_eq!(first.text() + &rest.text(), expected_text("v1", "a packet", 80));
}

#[test]
fn no_more_than_three_loads_at_once() {
    // Symptom: a roll out takes much longer than its loads.
    // Sequence: a version is rolled out to eight engines.
    // Cause: all load at once and slow each other down at the weight store.
    let deployment = deploy(plan(8, true));

    roll_out(&deployment, 0, "v2");
    wait_loaded(&deployment, "v2");

    let stats: WeightStats = ask(server(&deployment, "weights"), "/stats").unwrap();
    assert!(stats.most_active <= 3, "{stats:?}");
    assert_eq!(stats.loads, 8, "each engine loads once");
}

fn holder_index(deployment: &Deployment) -> Option<usize> {
    let status = deployment.operate_ok(0, &["status"]).ok()?;
    let holder = status["leases"][0]["holder"].as_str()?.to_owned();
    let daemons = status["daemons"].as_array()?.clone();
    let daemon = daemons.iter().find(|daemon| daemon["incarnation"] == holder.as_str())?;
    daemon["name"].as_str()?.strip_prefix("entry-")?.parse().ok()
}

fn last_token(deployment: &Deployment) -> u64 {
    let orders = engine_stats(deployment).into_iter().flat_map(|stats| stats.orders);
    orders.map(|(token, _)| token).max().unwrap_or(0)
}

fn holder_frozen(checks_fencing: bool) {
    let mut deployment = deploy(plan(2, checks_fencing));
    wait_until("the lease is held", || holder_index(&deployment).is_some());
    let old = holder_index(&deployment).unwrap();
    roll_out(&deployment, old, "v2");
    wait_loaded(&deployment, "v2");
    let old_token = last_token(&deployment);
    let name = format!("entry-{old}");
    deployment.freeze(&name);
    let other = (old + 1) % 3;
    deployment.operate_ok(other, &["--wait-ms", "0", "model", "publish", "hints", "v3"]).unwrap();
    deployment.operate_ok(other, &["--wait-ms", "0", "model", "roll-out", "hints", "v3"]).unwrap();
    wait_until("the next holder has ordered the new version", || {
        loaded_versions(&deployment).iter().all(|loaded| loaded == "v3")
    });
    let new_token = last_token(&deployment);

    deployment.thaw(&name);
    deployment.wait_ready(old);
    wait_loaded(&deployment, "v3");

    assert!(new_token > old_token);
    for stats in engine_stats(&deployment) {
        let after = stats.orders.iter().skip_while(|(token, _)| *token < new_token);
        let late = after.filter(|(token, version)| *token < new_token || &**version != "v3");
        assert_eq!(late.count(), 0, "{:?}", stats.orders);
    }
}

#[test]
fn holder_frozen_past_its_lease_with_engines_that_check() {
    // Symptom: an engine goes back to an old version.
    // Sequence: the lease's holder is frozen past its term; the next holder orders a new version;
    // the old one is thawed and goes on where it was.
    // Cause: the old holder judges its lease by a clock that stood still.
    holder_frozen(true);
}

#[test]
fn holder_frozen_past_its_lease_with_engines_that_do_not_check() {
    // Symptom, sequence and cause as above, at engines that take any order.
    holder_frozen(false);
}

#[test]
fn late_order_of_the_old_holder_is_put_right() {
    // Symptom: an engine that ignores fencing numbers stays at an old version for good.
    // Sequence: an order of the last holder is held up in the network; the next holder's order is
    // carried out; the old one arrives.
    // Cause: the new holder takes its own order for the last word.
    let deployment = deploy(plan(1, false));
    roll_out(&deployment, 0, "v2");
    wait_loaded(&deployment, "v2");
    let late = serde_json::json!({ "token": "1", "model": "hints", "version": "v1" });

    let address = server(&deployment, "engine-0");
    guava_standins::deployment::post_value(address, "/orders", &late).unwrap();
    wait_until("the engine has obeyed the late order", || {
        let stats: EngineStats = ask(address, "/stats").unwrap();
        stats.orders.iter().any(|(token, _)| *token == 1)
    });

    wait_loaded(&deployment, "v2");
}

#[test]
fn engines_that_check_refuse_a_late_order() {
    // Symptom: as above.
    // Sequence: the late order reaches an engine that checks fencing numbers.
    // Cause: the order carries no number, or the number does not grow.
    let deployment = deploy(plan(1, true));
    roll_out(&deployment, 0, "v2");
    wait_loaded(&deployment, "v2");
    let late = serde_json::json!({ "token": "1", "model": "hints", "version": "v1" });

    guava_standins::deployment::post_value(server(&deployment, "engine-0"), "/orders", &late)
        .unwrap();

    let stats = &engine_stats(&deployment)[0];
    assert_eq!(stats.refused_orders, 1);
    assert_eq!(loaded_versions(&deployment), ["v2"]);
}

#[test]
fn stale_report_sends_a_request_to_the_wrong_version() {
    // Symptom: a request is answered by another version than the one it was routed for.
    // Sequence: a daemon's reports are frozen; the engine swaps; the daemon routes by old reports.
    // Cause: the engine runs whatever it has loaded.
    let deployment = deploy(plan(2, true));
    let source = deployment.daemons[2].source;
    roll_out(&deployment, 0, "v2");
    wait_loaded(&deployment, "v2");
    for engine in ["engine-0", "engine-1"] {
        deployment.proxies[engine].set_for(source, LinkFault::Delay(150));
    }
    deployment.operate_ok(0, &["--wait-ms", "0", "model", "roll-back", "hints"]).unwrap();

    for _ in 0..20 {
        let answer = stream(deployment.daemons[2].callers, "a packet", 3);
        if answer.done {
            assert_eq!(answer.text(), expected_text(&answer.version, "a packet", 3));
        } else {
            assert_ne!(answer.status, 200, "{answer:?}");
        }
    }
}
