//! An upstream that is leaving gets no new work after a few seconds.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_outside::ListedVm;
use guava_standins::deployment::{Deployment, ask, post_value, wait_until};
use guava_standins::engine_server::EngineStats;
use guava_standins::fault_proxy::LinkFault;
use guava_standins::service_server::ServiceStats;
use serde_json::json;
use support::{call, deploy_default, fresh_key, server, set_fault, stream, submission};

fn engine(deployment: &Deployment, index: usize) -> EngineStats {
    ask(server(deployment, &format!("engine-{index}")), "/stats").unwrap()
}

fn list_leaving(deployment: &Deployment, name: &str) {
    let address = deployment.reached_at(name).unwrap();
    let vm = ListedVm { address, leaving: true };
    post_value(server(deployment, "list"), "/vms", &vm).unwrap();
}

/// Whether a daemon calls an upstream leaving or drained.
fn is_left(deployment: &Deployment, index: usize, name: &str) -> bool {
    let status = deployment.operate_ok(index, &["status"]).unwrap();
    let upstreams = status["upstreams"].as_array().unwrap().clone();
    let upstream = upstreams.iter().find(|upstream| upstream["name"] == name).unwrap();
    upstream["state"] == "leaving" || upstream["state"] == "drained"
}

fn wait_left(deployment: &Deployment, name: &str) {
    wait_until("all daemons know that the upstream leaves", || {
        (0..3).all(|index| is_left(deployment, index, name))
    });
}

/// Sends work of all kinds through all daemons; the engine that leaves must get none.
fn assert_no_work_at_engine_0(deployment: &Deployment) {
    let before = engine(deployment, 0).accepted;
    for round in 0..6 {
        let prompt = support::long_prompt(&format!("r{round}"), 400);
        assert!(stream(deployment.daemons[round % 3].callers, &prompt, 2).done);
    }
    deployment.operate_ok(0, &["model", "publish", "hints", "v2"]).unwrap();
    deployment.operate_ok(0, &["model", "roll-out", "hints", "v2"]).unwrap();
    wait_until("the other engine has the new version", || {
        engine(deployment, 1).orders.iter().any(|(_, version)| &**version == "v2")
    });
    wait_until("answers come from the new version", || {
        stream(deployment.daemons[1].callers, "a packet", 2).version == "v2"
    });
    assert_eq!(
        engine(deployment, 0).accepted,
        before,
        "runs, exports and orders at the leaving one"
    );
}

#[test]
fn notice_by_the_list() {
    // Symptom: work is sent to an engine that the platform takes away.
    // Sequence: the list calls an engine leaving, its own reports do not.
    // Cause: only the reports are looked at.
    let deployment = deploy_default();

    list_leaving(&deployment, "engine-0");
    wait_left(&deployment, "engine-0");

    assert_no_work_at_engine_0(&deployment);
}

#[test]
fn notice_by_its_own_report_with_the_list_frozen() {
    // Symptom: work is sent to an engine that says itself that it leaves.
    // Sequence: the list is frozen; the engine reports that it is leaving.
    // Cause: the list's silence is taken for "still live".
    let deployment = deploy_default();
    deployment.proxies["list"].set(LinkFault::Freeze);

    set_fault(&deployment, "engine-0", &json!({ "leaving": true }));
    wait_left(&deployment, "engine-0");

    assert_no_work_at_engine_0(&deployment);
}

#[test]
fn notice_by_an_operator() {
    // Symptom: work is sent to an engine that an operator drains.
    // Sequence: an operator drains an engine at one daemon; callers use the others.
    // Cause: the order stays at the daemon that took it.
    let deployment = deploy_default();

    deployment.operate_ok(1, &["upstream", "engine-0", "--drain", "true"]).unwrap();
    wait_left(&deployment, "engine-0");

    assert_no_work_at_engine_0(&deployment);
}

#[test]
fn data_centre_is_drained_by_an_operator() {
    // Symptom: work is sent to the engines of a data centre that is about to be switched off.
    // Sequence: an operator drains the data centre at one daemon; callers use the others.
    // Cause: only single upstreams could be drained, one command after the other.
    let deployment = deploy_default();
    deployment.operate_ok(1, &["upstream", "engine-0", "--data-centre", "west"]).unwrap();

    deployment.operate_ok(1, &["data-centre", "west", "--drain", "true"]).unwrap();
    wait_left(&deployment, "engine-0");
    assert_no_work_at_engine_0(&deployment);
    deployment.operate_ok(2, &["data-centre", "west", "--drain", "false"]).unwrap();

    let mut sent = 0;
    wait_until("it gets work again", || {
        let before = engine(&deployment, 0).accepted;
        // Each daemon has engines of its own among equals.
        for daemon in &deployment.daemons {
            // A prompt that was sent before would go where it is cached.
            sent += 1;
            drop(stream(daemon.callers, &support::long_prompt(&format!("b{sent}"), 400), 2));
        }
        engine(&deployment, 0).accepted > before
    });
}

#[test]
fn notice_heard_by_one_daemon_only() {
    // Symptom: two of three daemons go on sending work to a leaving engine.
    // Sequence: two daemons are cut from the list; the third reads the notice there.
    // Cause: each daemon keeps what it hears to itself.
    let deployment = deploy_default();
    for index in [1, 2] {
        let source = deployment.daemons[index].source;
        deployment.proxies["list"].set_for(source, LinkFault::Freeze);
    }

    list_leaving(&deployment, "engine-0");
    wait_left(&deployment, "engine-0");

    assert_no_work_at_engine_0(&deployment);
}

#[test]
fn notice_is_final_though_the_list_goes_back() {
    // Symptom: a leaving engine gets work again while it is being taken away.
    // Sequence: the list calls an engine leaving, then shows an older state that calls it live.
    // Cause: the last thing heard wins.
    let deployment = deploy_default();
    list_leaving(&deployment, "engine-0");
    wait_left(&deployment, "engine-0");

    let address = deployment.reached_at("engine-0").unwrap();
    let vm = ListedVm { address, leaving: false };
    post_value(server(&deployment, "list"), "/vms", &vm).unwrap();

    assert_no_work_at_engine_0(&deployment);
}

#[test]
fn replaced_engine_gets_work_again() {
    // Symptom: an engine gets no work for good after one replacement.
    // Sequence: an engine leaves and is started anew at the same address.
    // Cause: the notice is kept for the name, not for the incarnation.
    let mut deployment = deploy_default();
    set_fault(&deployment, "engine-0", &json!({ "leaving": true }));
    wait_left(&deployment, "engine-0");

    deployment.kill("engine-0");
    deployment.restart_standin("engine-0").unwrap();
    (0..3).for_each(|index| deployment.wait_serving(index));

    // Through all daemons: of two idle engines each daemon takes the one that it owns first.
    wait_until("the new engine gets work", || {
        let prompt = support::long_prompt(&fresh_key(), 300);
        deployment.daemons.iter().for_each(|daemon| drop(stream(daemon.callers, &prompt, 1)));
        engine(&deployment, 0).runs > 0
    });
}

#[test]
fn service_instance_leaves() {
    // Symptom: calls are sent to an instance that is leaving.
    // Sequence: an instance of the service reports that it leaves; calls go on, retries included.
    // Cause: only engines are watched.
    let deployment = deploy_default();
    set_fault(&deployment, "board-0", &json!({ "leaving": true }));
    wait_left(&deployment, "board-0");
    let before: ServiceStats = ask(server(&deployment, "board-0"), "/stats").unwrap();

    for round in 0..9 {
        let answer =
            call(deployment.daemons[round % 3].callers, &submission(&fresh_key(), Some(1)));
        assert_eq!(answer.outcome, "done");
    }

    let after: ServiceStats = ask(server(&deployment, "board-0"), "/stats").unwrap();
    assert_eq!(after.total, before.total);
}
