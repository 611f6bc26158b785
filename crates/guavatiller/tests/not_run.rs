//! When a request is refused as "not run", it really did not run, then or later.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_standins::caller::{Caller, CallerAnswer, CallerCall};
use guava_standins::deployment::{Deployment, DeploymentPlan, ask, block_on, wait_until};
use guava_standins::fault_proxy::LinkFault;
use guava_standins::service_server::ServiceStats;
use serde_json::json;
use support::{
    call, deploy, deploy_default, fresh_key, server, set_fault, set_faults, stream, submission,
    try_call,
};
use uuid::{ContextV7, Timestamp, Uuid};

fn total_runs(deployment: &Deployment) -> u32 {
    let boards = deployment.servers.iter().filter(|(name, _)| name.starts_with("board-"));
    boards.map(|(_, address)| ask::<ServiceStats>(*address, "/stats").unwrap().total).sum()
}

/// Heals everything, makes sure that calls go through at all daemons again, and counts the runs
/// that are not those calls.
fn runs_after_healing(deployment: &Deployment) -> u32 {
    deployment.proxies.values().for_each(guava_standins::fault_proxy::FaultProxy::heal);
    set_fault(deployment, "log", &json!({}));
    set_faults(deployment, "board-", &json!({}));
    let mut done = 0;
    for daemon in &deployment.daemons {
        wait_until("calls go through again", || {
            let answer = call(daemon.callers, &submission(&fresh_key(), Some(1)));
            done += u32::from(answer.outcome == "done");
            answer.outcome == "done"
        });
    }
    total_runs(deployment) - done
}

fn assert_refused(answer: &CallerAnswer, status: u16) {
    assert_eq!((answer.status, answer.outcome.as_str()), (status, "not-run"), "{answer:?}");
}

#[test]
fn refused_while_the_log_is_out() {
    // Symptom: a refused submission runs after the outage.
    // Sequence: the log is out; a submission is refused; the log comes back.
    // Cause: the intent is still under way and is taken up when it lands.
    let deployment = deploy_default();
    set_fault(&deployment, "log", &json!({ "outage": true }));

    let answer = call(deployment.daemons[0].callers, &submission(&fresh_key(), Some(1)));

    assert_refused(&answer, 503);
    assert!(answer.after_ms.is_some());
    assert_eq!(runs_after_healing(&deployment), 0);
}

#[test]
fn refused_while_the_append_lands_late() {
    // Symptom: a refused submission runs when its late append lands.
    // Sequence: the append takes effect after the refusal.
    // Cause: the reading daemon finds its own intent first and dispatches it.
    let deployment = deploy_default();
    set_fault(&deployment, "log", &json!({ "late_effect_ms": 2500 }));

    let answer = try_call(deployment.daemons[0].callers, &submission(&fresh_key(), Some(1)), 1_000);

    let outcome = answer.unwrap().outcome;
    assert!(outcome == "not-run" || outcome == "unknown", "{outcome}");
    assert_eq!(runs_after_healing(&deployment), 0);
}

#[test]
fn refused_by_a_daemon_that_is_cut_off() {
    let deployment = deploy_default();
    let source = deployment.daemons[2].source;
    for name in ["log", "entry-0", "entry-1"] {
        deployment.proxies[name].set_for(source, LinkFault::Cut);
    }
    deployment.proxies["entry-2"].set(LinkFault::Cut);
    wait_until("the daemon is stale", || !deployment.is_ready(2));

    let answer = call(deployment.daemons[2].callers, &submission(&fresh_key(), Some(1)));

    assert_refused(&answer, 503);
    assert!(answer.body.contains("configuration_unknown"));
    assert_eq!(runs_after_healing(&deployment), 0);
}

#[test]
fn refused_for_want_of_an_instance() {
    let deployment = deploy_default();
    set_faults(&deployment, "board-", &json!({ "leaving": true }));
    wait_until("all instances are left", || {
        let answer = call(deployment.daemons[0].callers, &submission(&fresh_key(), Some(1)));
        answer.outcome == "not-run"
    });
    let before = total_runs(&deployment);

    let answer = call(deployment.daemons[0].callers, &submission(&fresh_key(), Some(1)));

    assert_refused(&answer, 503);
    assert_eq!(total_runs(&deployment), before);
}

#[test]
fn refused_because_no_instance_can_be_reached() {
    let deployment = deploy_default();
    deployment.proxies["board-0"].set(LinkFault::Cut);
    deployment.proxies["board-1"].set(LinkFault::Cut);

    let answer = call(deployment.daemons[0].callers, &submission(&fresh_key(), Some(1)));

    // A cut link may break after the first byte went out: then "failed" is the true answer.
    assert!(["not-run", "failed"].contains(&answer.outcome.as_str()), "{answer:?}");
    assert_eq!(runs_after_healing(&deployment), 0);
}

#[test]
fn refused_while_leaving() {
    let mut deployment = deploy_default();
    let slow = CallerCall { path: "slow".into(), ..submission(&fresh_key(), Some(1)) };
    set_faults(&deployment, "board-", &json!({ "run_ms": 6000 }));
    let address = deployment.daemons[0].callers;
    let held = std::thread::spawn(move || call(address, &slow));
    wait_until("the slow call runs", || total_runs(&deployment) == 1);
    deployment.terminate("entry-0");
    wait_until("the daemon refuses new work", || !deployment.is_ready(0));

    let mut refused = None;
    wait_until("a call is refused", || {
        let answer = try_call(address, &submission(&fresh_key(), Some(1)), 500);
        refused = answer.filter(|answer| answer.outcome == "not-run");
        refused.is_some()
    });

    let refused = refused.unwrap();
    assert!(refused.body.contains("\"code\":\"leaving\""), "{refused:?}");
    let others = deployment.daemons[1].callers.to_string();
    assert!(refused.body.contains(&others), "{refused:?}");
    assert_eq!(held.join().unwrap().outcome, "done");
}

fn key_minted(seconds_from_now: i64) -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let seconds = now.as_secs().checked_add_signed(seconds_from_now).unwrap();
    Uuid::new_v7(Timestamp::from_unix(ContextV7::new(), seconds, 0)).to_string()
}

#[test]
fn refused_for_what_the_caller_has_to_mend() {
    // Symptom: a malformed call runs, or its error does not say what is wrong.
    let deployment = deploy_default();
    let good = submission(&fresh_key(), Some(1));
    let cases = [
        (CallerCall { key: None, ..good.clone() }, 400, "idempotency-key"),
        (CallerCall { key: Some("order-17".into()), ..good.clone() }, 400, "idempotency-key"),
        (CallerCall { key: Some(key_minted(-7_200)), ..good.clone() }, 400, "window"),
        (CallerCall { key: Some(key_minted(7_200)), ..good.clone() }, 400, "timestamp"),
        (CallerCall { service: "nothing".into(), ..good.clone() }, 404, "service"),
    ];

    for (case, status, field) in cases {
        let answer = call(deployment.daemons[1].callers, &case);

        assert_refused(&answer, status);
        assert!(answer.body.contains(field), "{answer:?}");
    }
    assert_eq!(total_runs(&deployment), 0);
}

#[test]
fn later_attempt_is_not_told_not_run() {
    // Symptom: "not run" though an earlier attempt runs later.
    // Sequence: the first attempt is stuck at a daemon cut from the log; the second is refused at
    // another daemon; the first one goes on.
    // Cause: the refusal speaks for its own attempt only.
    let deployment = deploy_default();
    let key = fresh_key();
    set_faults(&deployment, "board-", &json!({ "leaving": true }));
    wait_until("a first attempt is refused", || {
        call(deployment.daemons[1].callers, &submission(&fresh_key(), Some(1))).outcome == "not-run"
    });

    let second = call(deployment.daemons[1].callers, &submission(&key, Some(2)));
    let bare = call(deployment.daemons[1].callers, &submission(&key, None));

    assert_eq!([second.outcome, bare.outcome], ["unknown", "unknown"]);
}

#[test]
fn repeat_that_joins_a_refused_first_attempt_is_not_told_not_run() {
    // Guards against a refusal of the first attempt that is passed to a later one.
    let deployment = deploy_default();
    let key = fresh_key();
    let source = deployment.daemons[0].source;
    for name in ["log", "entry-1", "entry-2"] {
        deployment.proxies[name].set_for(source, LinkFault::Freeze);
    }
    deployment.proxies["entry-0"].set(LinkFault::Freeze);
    let [first, third] = [1, 3].map(|attempt| submission(&key, Some(attempt)));
    let address = deployment.daemons[0].callers;
    let first = std::thread::spawn(move || call(address, &first));
    wait_until("the first attempt has appended its intent", || {
        deployment.log_of("entry-0").contains("\"G4105\"")
    });
    let second = call(deployment.daemons[1].callers, &submission(&key, Some(2)));

    let third = call(address, &third);

    assert_eq!(second.outcome, "done", "{second:?}");
    assert_eq!(third.outcome, "unknown", "{third:?}");
    assert!(deployment.log_of("entry-0").contains("\"G4102\""));
    drop(first.join());
}

#[test]
fn completion_over_the_limits_is_refused_and_not_run() {
    let settings = vec!["\"address_keep_ms\": 500".into()];
    let deployment = deploy(DeploymentPlan { settings, ..DeploymentPlan::default() });
    deployment.add_customer("tiny", 1, 1).unwrap();
    let caller = Caller::of("tiny");
    let address = deployment.daemons[0].callers;

    let answers: Vec<_> = (0..8)
        .map(|_| block_on(caller.stream(address, "a packet", 1, usize::MAX)).unwrap().unwrap())
        .collect();

    let refused = answers.iter().filter(|answer| answer.outcome == "not-run").count() as u64;
    let runs: u64 = support::engine_stats(&deployment).iter().map(|stats| stats.runs).sum();
    assert!(refused > 0, "{answers:?}");
    assert_eq!(runs, answers.len() as u64 - refused);
    assert!(answers.iter().all(|answer| answer.done || answer.after_ms.is_some()));
    assert!(stream(address, "another customer", 1).done);
}

#[test]
fn engine_refusals_are_not_run() {
    // Symptom: "not run" for a completion that an engine has started.
    // Sequence: all engines refuse, for they are leaving behind the daemons' back.
    // Cause: a refusal is taken for an error, or an error for a refusal.
    let deployment = deploy_default();
    for name in ["engine-0", "engine-1"] {
        deployment.proxies[name].set(LinkFault::Cut);
    }

    let answer = stream(deployment.daemons[0].callers, "a packet", 2);

    let runs: u64 = support::engine_stats(&deployment).iter().map(|stats| stats.runs).sum();
    assert!(answer.status >= 500, "{answer:?}");
    assert!(answer.outcome != "not-run" || runs == 0);
    let address = server(&deployment, "engine-0");
    assert!(ask::<serde_json::Value>(address, "/stats").is_ok());
}
