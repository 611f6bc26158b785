//! Requests that end the upstreams that run them, on the product's own interface.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_standins::caller::{Caller, CallerCall};
use guava_standins::deployment::{Deployment, DeploymentPlan, EnginePlan, block_on};
use serde_json::json;
use std::time::{Duration, Instant};
use support::{deploy, fresh_key, set_fault, try_call};

/// How the request that ends its upstreams begins.
const CRASHING: &str = "poison";
/// Time within which all daemons must know of such a request after the third end.
const KNOWN: Duration = Duration::from_secs(3);
/// Sends of it at most after that time.
const MOST_LATER: usize = 3;
const PAUSE: Duration = Duration::from_millis(60);
const CALL_MS: u64 = 1_500;

/// A way to send something: by its body or prompt.
type Send = fn(address: std::net::SocketAddr, content: &str) -> Option<u16>;

fn complete(address: std::net::SocketAddr, content: &str) -> Option<u16> {
    let caller = Caller::of("acme").with_timeout(CALL_MS);
    let streamed = block_on(caller.stream(address, content, 4, usize::MAX)).unwrap().ok()?;
    Some(if streamed.done { 200 } else { streamed.status.max(500) })
}

fn ask(address: std::net::SocketAddr, content: &str) -> Option<u16> {
    let call = CallerCall {
        service: "board".into(),
        method: "GET".parse().unwrap(),
        path: content.into(),
        key: None,
        attempt: None,
        body: String::new(),
    };
    try_call(address, &call, CALL_MS).map(|answer| answer.status)
}

fn submit(address: std::net::SocketAddr, content: &str) -> Option<u16> {
    let call = CallerCall {
        service: "board".into(),
        method: "POST".parse().unwrap(),
        path: "submit".into(),
        key: Some(fresh_key()),
        attempt: Some(1),
        body: content.into(),
    };
    try_call(address, &call, CALL_MS).map(|answer| answer.status)
}

struct Fleet {
    deployment: Deployment,
    send: Send,
    ends: usize,
    sent: usize,
}

impl Fleet {
    fn start(send: Send) -> Self {
        let engines = vec![EnginePlan::default(); 4];
        let plan = DeploymentPlan {
            engines,
            services: 4,
            stores: 0,
            proxies: false,
            ..Default::default()
        };
        let fleet = Self { deployment: deploy(plan), send, ends: 0, sent: 0 };
        fleet.upstreams().iter().for_each(|name| fleet.make_mortal(name));
        fleet
    }

    fn upstreams(&self) -> Vec<String> {
        let named = |name: &&String| name.starts_with("engine-") || name.starts_with("board-");
        self.deployment.servers.keys().filter(named).cloned().collect()
    }

    fn make_mortal(&self, name: &str) {
        set_fault(&self.deployment, name, &json!({ "ends_on": CRASHING }));
    }

    /// Starts again what has ended.
    fn tend(&mut self) {
        for name in self.upstreams() {
            if self.deployment.has_ended(&name) {
                self.ends += 1;
                self.deployment.restart_standin(&name).unwrap();
                self.make_mortal(&name);
            }
        }
    }

    fn send(&mut self, content: &str) -> Option<u16> {
        let daemons = &self.deployment.daemons;
        let address = daemons[self.sent % daemons.len()].callers;
        self.sent += 1;
        (self.send)(address, content)
    }

    /// Callers come with the fatal request again and again; how many upstreams end.
    fn ends_within(&mut self, time: Duration) -> usize {
        let (until, before) = (Instant::now() + time, self.ends);
        while Instant::now() < until {
            self.send(CRASHING);
            std::thread::sleep(PAUSE);
            self.tend();
        }
        self.ends - before
    }
}

#[yare::parameterized(
    completion = { complete },
    idempotent = { ask },
    keyed = { submit },
)]
fn poison_request_is_stopped_on_the_own_interface(send: Send) {
    // Symptom: engines and services end one after the other, with all that runs there.
    // Sequence: one request ends each upstream that runs it, and comes again at any daemon, under a
    // new id and a new key.
    // Cause: nobody remembered under which requests upstreams had ended.
    let mut fleet = Fleet::start(send);

    let ends = fleet.ends_within(KNOWN + Duration::from_secs(4));
    let later = fleet.ends_within(Duration::from_secs(3));

    assert!(ends >= 3, "{ends}");
    assert!(later <= MOST_LATER, "{later} more ended after {ends}");
    assert_eq!(fleet.send(CRASHING), Some(503));
    assert_eq!(fleet.send("healthy"), Some(200));
}

#[test]
fn poison_request_is_known_on_the_own_interface_after_all_daemons_were_killed() {
    let mut fleet = Fleet::start(submit);
    fleet.ends_within(KNOWN + Duration::from_secs(4));
    let names: Vec<String> =
        fleet.deployment.daemons.iter().map(|daemon| daemon.name.clone()).collect();

    names.iter().for_each(|name| fleet.deployment.kill(name));
    (0..names.len()).for_each(|index| fleet.deployment.start_daemon(index).unwrap());
    (0..names.len()).for_each(|index| fleet.deployment.wait_ready(index));
    std::thread::sleep(KNOWN);
    let later = fleet.ends_within(Duration::from_secs(3));

    assert!(later <= MOST_LATER, "{later} more ended");
}
