//! A graceful shutdown cuts off no request and refuses none falsely.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_standins::caller::Caller;
use guava_standins::deployment::{Deployment, DeploymentPlan, EnginePlan, block_on, wait_until};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use support::{call, deploy, expected_text, fresh_key, runs_of, set_fault, stream, submission};

const TOKENS: u32 = 60;

/// Engines whose answers take twelve seconds: longer than all that a shutdown waits for anyway.
fn slow_engines() -> DeploymentPlan {
    let engine = EnginePlan { decode_ms: 200, ..EnginePlan::default() };
    DeploymentPlan { engines: vec![engine; 2], ..DeploymentPlan::default() }
}

fn stream_aside(address: SocketAddr) -> JoinHandle<guava_standins::caller::StreamedAnswer> {
    std::thread::spawn(move || stream(address, "a packet", TOKENS))
}

fn wait_for_runs(deployment: &Deployment, count: u64) {
    wait_until("the runs have started", || {
        support::engine_stats(deployment).iter().map(|stats| stats.runs).sum::<u64>() >= count
    });
}

#[test]
fn long_streams_end_whole() {
    // Symptom: streams break off at every replacement of a daemon.
    // Sequence: SIGTERM while long answers are being streamed.
    // Cause: the daemon ends before its streams.
    let mut deployment = deploy(slow_engines());
    let streams = [(); 4].map(|()| stream_aside(deployment.daemons[0].callers));
    wait_for_runs(&deployment, 4);

    deployment.terminate("entry-0");
    let answers = streams.map(|stream| stream.join().unwrap());

    for answer in answers {
        assert!(answer.done, "{answer:?}");
        assert_eq!(answer.text(), expected_text("v1", "a packet", TOKENS));
    }
    wait_until("the daemon has ended", || deployment.has_ended("entry-0"));
}

#[test]
fn callers_with_old_addresses_are_served_meanwhile() {
    // Symptom: callers are refused in the seconds after a shutdown began.
    // Sequence: a caller got an address just before SIGTERM and uses it.
    // Cause: the daemon stops accepting though its address may still be kept.
    let settings = vec!["\"address_keep_ms\": 3000".into()];
    let mut deployment = deploy(DeploymentPlan { settings, ..DeploymentPlan::default() });
    let address = deployment.daemons[0].callers;
    deployment.terminate("entry-0");
    wait_until("others are told", || {
        let caller = Caller::of("acme");
        let asked =
            caller.send(deployment.daemons[1].callers, "GET".parse().unwrap(), "/v1/address", "");
        !block_on(asked).unwrap().unwrap().body.contains(&address.to_string())
    });

    let answer = stream(address, "a packet", 4);
    let key = fresh_key();
    let submitted = call(address, &submission(&key, Some(1)));

    assert!(answer.done, "{answer:?}");
    assert_eq!(submitted.outcome, "done", "{submitted:?}");
    assert_eq!(runs_of(&deployment, "acme", &key), 1);
    wait_until("the daemon has ended", || deployment.has_ended("entry-0"));
}

#[test]
fn shutdown_under_a_log_outage() {
    // Symptom: a daemon hangs, or cuts its streams, when it can't write its leave.
    // Sequence: the log is out; SIGTERM in long streams.
    // Cause: the shutdown waits for the log.
    let mut deployment = deploy(slow_engines());
    let streams = [(); 3].map(|()| stream_aside(deployment.daemons[0].callers));
    wait_for_runs(&deployment, 3);
    set_fault(&deployment, "log", &json!({ "outage": true }));

    deployment.terminate("entry-0");
    let answers = streams.map(|stream| stream.join().unwrap());

    assert!(answers.iter().all(|answer| answer.done), "{answers:?}");
    wait_until("the daemon has ended", || deployment.has_ended("entry-0"));
}

/// Calls at the address that the system names, and asks anew as the contract says.
fn call_forever(daemons: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> JoinHandle<(u32, Vec<String>)> {
    std::thread::spawn(move || {
        let caller = Caller::of("acme");
        let mut done = 0;
        let mut bad = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let Some(address) = ask_address(&caller, &daemons) else { continue };
            let key = fresh_key();
            for attempt in 1.. {
                let submission = submission(&key, Some(attempt));
                let answer = block_on(caller.call(address, &submission)).unwrap();
                match answer {
                    Ok(answer) if answer.outcome == "done" => {
                        done += 1;
                        break;
                    }
                    Ok(answer) => bad.push(format!("{answer:?}")),
                    Err(error) => bad.push(error.to_string()),
                }
                if attempt > 3 {
                    break;
                }
            }
        }
        (done, bad)
    })
}

fn ask_address(caller: &Caller, daemons: &[SocketAddr]) -> Option<SocketAddr> {
    daemons.iter().find_map(|daemon| {
        let asked = caller.send(*daemon, "GET".parse().unwrap(), "/v1/address", "");
        let answer = block_on(asked).unwrap().ok()?;
        let body: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
        body["addresses"][0]["address"].as_str()?.parse().ok()
    })
}

#[test]
fn rolling_replacement_under_load_loses_nothing() {
    // Symptom: some calls fail while the daemons are replaced one after the other.
    // Sequence: SIGTERM and a new start of each daemon, under steady load.
    // Cause: any gap between leaving the addresses and refusing work.
    let mut deployment = deploy(DeploymentPlan::default());
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> = deployment.daemons.iter().map(|daemon| daemon.callers).collect();
    let callers = [(); 3].map(|()| call_forever(addresses.clone(), Arc::clone(&stop)));

    for index in 0..3 {
        let name = format!("entry-{index}");
        deployment.terminate(&name);
        wait_until("the daemon has ended", || deployment.has_ended(&name));
        deployment.start_daemon(index).unwrap();
        deployment.wait_ready(index);
        deployment.wait_serving(index);
    }
    stop.store(true, Ordering::Relaxed);
    let results = callers.map(|caller| caller.join().unwrap());

    let bad: Vec<&String> = results.iter().flat_map(|(_, bad)| bad).collect();
    assert!(bad.is_empty(), "{bad:?}");
    assert!(results.iter().all(|(done, _)| *done > 0));
}
