//! What upstreams say of themselves in their answers, on the product's own interface.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_standins::caller::{Caller, CallerCall};
use guava_standins::deployment::{
    Deployment, DeploymentPlan, EnginePlan, ask, block_on, post_value,
};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};
use support::{deploy, fresh_key, server, try_call};

/// Time after which what an upstream says must be obeyed by all daemons, in milliseconds.
const KNOWN_MS: u64 = 3_000;
/// Time after which an upstream that has said that it leaves gets nothing, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// Time in which daemons that have use for an upstream send it what they may, in milliseconds: the four
/// seconds over which shares are counted, and one more.
const SHARE_MS: u64 = 5_000;
/// Pause between two requests of a daemon's callers.
const PAUSE: Duration = Duration::from_millis(40);
const CALL_MS: u64 = 1_500;
/// Requests sent so far, so that no two prompts are alike.
static SENT: AtomicUsize = AtomicUsize::new(0);

/// A way to send something; the status of its answer.
type Send = fn(address: SocketAddr) -> Option<u16>;

fn complete(address: SocketAddr) -> Option<u16> {
    let prompt = format!("a packet {}", SENT.fetch_add(1, Ordering::Relaxed));
    let caller = Caller::of("acme").with_timeout(CALL_MS);
    let streamed = block_on(caller.stream(address, &prompt, 2, usize::MAX)).unwrap().ok()?;
    Some(if streamed.done { 200 } else { streamed.status.max(500) })
}

fn board(method: &str, path: &str, key: Option<String>) -> CallerCall {
    CallerCall {
        service: "board".into(),
        method: method.parse().unwrap(),
        path: path.into(),
        attempt: key.is_some().then_some(1),
        key,
        body: String::new(),
    }
}

fn read(address: SocketAddr) -> Option<u16> {
    try_call(address, &board("GET", "scores", None), CALL_MS).map(|answer| answer.status)
}

fn submit(address: SocketAddr) -> Option<u16> {
    let call = board("POST", "submit", Some(fresh_key()));
    try_call(address, &call, CALL_MS).map(|answer| answer.status)
}

fn start() -> Deployment {
    let engines = vec![EnginePlan::default(); 3];
    let plan =
        DeploymentPlan { engines, services: 3, stores: 0, proxies: false, ..Default::default() };
    deploy(plan)
}

/// Callers of all daemons send all the while; the statuses that they got.
fn load(deployment: &Deployment, send: Send, time: Duration) -> Vec<u16> {
    let until = Instant::now() + time;
    let call = |address: SocketAddr| {
        let mut statuses = Vec::new();
        while Instant::now() < until {
            statuses.push(send(address).unwrap_or(0));
            sleep(PAUSE);
        }
        statuses
    };
    scope(|scope| {
        let callers = deployment.daemons.iter().map(|daemon| daemon.callers);
        let callers: Vec<_> = callers.map(|callers| scope.spawn(move || call(callers))).collect();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

/// When work reached an upstream, in milliseconds since it was told what to say.
fn received(deployment: &Deployment, name: &str) -> Vec<u64> {
    ask(server(deployment, name), "/received").unwrap()
}

// Idle engines are divided among the daemons, so one daemon alone may have use for this one, and its
// share may be the smallest, two requests; instances get requests of all daemons.
#[yare::parameterized(
    completion = { complete, "engine-0", 2 },
    idempotent = { read, "board-0", 5 },
    keyed = { submit, "board-0", 5 },
)]
fn upstream_that_names_a_limit_is_not_overrun_on_the_own_interface(
    send: Send,
    upstream: &str,
    fewest: usize,
) {
    let deployment = start();
    load(&deployment, send, Duration::from_millis(500));
    post_value(server(&deployment, upstream), "/words", &json!({ "limit": "2" })).unwrap();

    let statuses = load(&deployment, send, Duration::from_secs(9));

    let all = received(&deployment, upstream);
    let within = |first: u64, span_ms: u64| {
        all.iter().filter(|at| (first..first + span_ms).contains(at)).count()
    };
    let later = all.iter().filter(|at| **at >= KNOWN_MS);
    let busiest = later.map(|first| within(*first, 4_000)).max().unwrap_or(0);
    assert!(busiest <= 17, "{busiest} in four seconds");
    let is_used = |first: u64| within(first, SHARE_MS) >= fewest;
    assert!([0, 2_000, 4_000].into_iter().all(is_used), "{all:?}");
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[yare::parameterized(
    completion = { complete, "engine-0" },
    idempotent = { read, "board-0" },
    keyed = { submit, "board-0" },
)]
fn upstream_that_says_in_answers_that_it_leaves_gets_no_more_on_the_own_interface(
    send: Send,
    upstream: &str,
) {
    let deployment = start();
    load(&deployment, send, Duration::from_millis(500));
    // Its reports go on to call it serving.
    post_value(server(&deployment, upstream), "/words", &json!({ "leaving": true })).unwrap();

    let statuses = load(&deployment, send, Duration::from_secs(4));

    let late = received(&deployment, upstream).into_iter().filter(|at| *at > DRAIN_MS).count();
    assert_eq!(late, 0);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[yare::parameterized(
    completion = { complete, "engine-0" },
    idempotent = { read, "board-0" },
    keyed = { submit, "board-0" },
)]
fn upstream_that_asks_for_rest_gets_it_on_the_own_interface(send: Send, upstream: &str) {
    let deployment = start();
    load(&deployment, send, Duration::from_millis(500));
    post_value(server(&deployment, upstream), "/words", &json!({ "rest": "3" })).unwrap();

    load(&deployment, send, Duration::from_secs(5));

    // Each daemon may send one, and what is under way, in each three seconds of rest.
    let received = received(&deployment, upstream);
    let daemons = deployment.daemons.len();
    assert!((1..=4 * daemons).contains(&received.len()), "{received:?}");
}
