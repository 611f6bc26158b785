//! Clients that don't behave, at the listeners of the product's own interface.
//!
//! Whatever such a crowd does, the process lives, keeps within a daemon's memory and descriptors, and
//! answers ordinary calls while the crowd is still there.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use bytes::Bytes;
use guava_standins::caller::Caller;
use guava_standins::client_crowd::ClientCrowd;
use guava_standins::deployment::{Deployment, DeploymentPlan, EnginePlan, block_on};
use guava_standins::process_watch::ProcessWatch;
use guava_standins::stream_crowd::{CrowdRequest, StreamCrowd};
use http::Request;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::Duration;
use support::{deploy, fresh_key, submission, try_call};

/// Memory that a daemon may take, in bytes.
const MEMORY_BYTES: u64 = 256 << 20;
/// Descriptors that the system allows the process in these tests.
const DESCRIPTORS: u64 = 400;
/// How often an ordinary caller tries.
const TRIES: u32 = 8;
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long it waits for an answer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// One crowd at a time: the memory and descriptors of all are those of one machine.
static ALONE: Mutex<()> = Mutex::new(());

/// One daemon, watched.
struct WatchedDaemon {
    deployment: Deployment,
    watch: ProcessWatch,
    _alone: MutexGuard<'static, ()>,
}

fn deploy_alone() -> WatchedDaemon {
    let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let deployment = deploy(DeploymentPlan {
        daemons: 1,
        engines: vec![EnginePlan::default()],
        services: 1,
        proxies: false,
        ..DeploymentPlan::default()
    });
    let process = deployment.pid("entry-0").unwrap();
    let place = &deployment.daemons[0];
    let ports = [place.callers, place.peers, place.operators].map(|address| address.port());
    let limit = Rlimit { current: Some(DESCRIPTORS), maximum: Some(DESCRIPTORS) };
    prlimit(Pid::from_raw(i32::try_from(process).unwrap()), Resource::Nofile, limit).unwrap();
    let watch = ProcessWatch::start(process, &ports);
    WatchedDaemon { deployment, watch, _alone: alone }
}

impl WatchedDaemon {
    fn callers(&self) -> SocketAddr {
        self.deployment.daemons[0].callers
    }

    fn listeners(&self) -> [SocketAddr; 3] {
        let place = &self.deployment.daemons[0];
        [place.callers, place.peers, place.operators]
    }

    /// Asserts that ordinary calls are answered, and that the process kept its limits.
    fn assert_sound(&mut self) {
        let is_served = (0..TRIES).any(|_| {
            sleep(RETRY_PAUSE);
            let call = submission(&fresh_key(), Some(1));
            let answer = try_call(self.callers(), &call, CALL_TIMEOUT_MS);
            answer.is_some_and(|answer| answer.outcome == "done" && answer.status == 200)
        });
        let is_operated =
            is_served && (0..TRIES).any(|_| self.deployment.operate_ok(0, &["status"]).is_ok());
        let peak = self.watch.peak();
        eprintln!("{peak:?}, served {is_served}, operated {is_operated}");
        assert!(!self.deployment.has_ended("entry-0"));
        assert!(peak.memory_bytes < MEMORY_BYTES, "{peak:?}");
        assert!(peak.descriptors <= DESCRIPTORS, "{peak:?}");
        assert!(is_served);
        assert!(is_operated);
    }
}

fn post(path: &str, key: &str, body_bytes: usize) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n\
         Guavatiller-Timeout-Ms: 600000\r\nIdempotency-Key: {}\r\nIdempotency-Attempt: 1\r\n\
         Content-Length: {body_bytes}\r\n\r\n",
        fresh_key()
    );
    [head.as_bytes(), &vec![b'b'; body_bytes]].concat()
}

/// A request without the last byte of its body.
fn unfinished_post(path: &str, key: &str, body_bytes: usize) -> Vec<u8> {
    let mut request = post(path, key, body_bytes);
    request.truncate(request.len() - 1);
    request
}

fn crowd_request(path: &str, key: &str, opening: Bytes, body_bytes: usize) -> CrowdRequest {
    let head = Request::post(format!("http://a{path}"))
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/grpc")
        .body(())
        .unwrap();
    CrowdRequest { head, opening, body_bytes }
}

/// The opening of a message of so many bytes in a gRPC body.
fn message_opening(length: u32) -> Bytes {
    [&[0][..], &length.to_be_bytes()].concat().into()
}

#[yare::parameterized(
    completions_without_a_key = { "/v1/completions", "nobody" },
    completions_of_a_customer = { "/v1/completions", "key-of-acme" },
    calls_without_a_key = { "/v1/services/board/submit", "nobody" },
    calls_of_a_customer = { "/v1/services/board/submit", "key-of-acme" },
)]
fn bodies_stand_still(path: &str, key: &str) {
    let mut sut = deploy_alone();
    let mut crowd = ClientCrowd::open(sut.callers(), 60);

    crowd.send(&unfinished_post(path, key, 7 << 20), 1);

    sut.assert_sound();
}

#[test]
fn requests_are_sent_ahead_of_unread_answers() {
    let mut sut = deploy_alone();
    let mut crowd = ClientCrowd::open(sut.callers(), 220);

    crowd.send(b"GET /v1/address HTTP/1.1\r\nHost: a\r\n\r\n", 60_000);

    sut.assert_sound();
}

#[test]
fn long_answers_stay_unread() {
    let mut sut = deploy_alone();
    let mut crowd = ClientCrowd::open(sut.callers(), 100);

    crowd.send_own(1, |_| post("/v1/services/board/submit", "key-of-acme", 3 << 20));

    sut.assert_sound();
}

#[test]
fn streams_stay_unread() {
    let mut sut = deploy_alone();
    let body = br#"{"model":"hints","prompt":"a","max_tokens":8192,"stream":true}"#;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-of-acme\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut crowd = ClientCrowd::open(sut.callers(), 100);

    crowd.send(&[head.as_bytes(), &body[..]].concat(), 1);

    sut.assert_sound();
}

#[yare::parameterized(
    callers = { 0 },
    peers = { 1 },
    operators = { 2 },
)]
fn idle_connections_take_all_descriptors(listener: usize) {
    let mut sut = deploy_alone();
    let _crowd = ClientCrowd::open(sut.listeners()[listener], 600);

    sut.assert_sound();
}

#[test]
fn idle_connections_take_descriptors_of_all_listeners() {
    let mut sut = deploy_alone();
    let _crowds = sut.listeners().map(|address| ClientCrowd::open(address, 300));

    sut.assert_sound();
}

#[yare::parameterized(
    without_a_key = { "nobody" },
    of_a_customer = { "key-of-acme" },
)]
fn streams_of_one_connection_stand_still(key: &str) {
    let mut sut = deploy_alone();
    let request = crowd_request("/v1/completions", key, Bytes::new(), 7 << 20);
    let _crowds: Vec<StreamCrowd> =
        (0..3).map(|_| StreamCrowd::open(sut.callers(), 60, request.clone())).collect();

    sut.assert_sound();
}

#[yare::parameterized(
    peers = { 1, "/guavatiller.peers.v1.Peers/Exchange" },
    operators = { 2, "/guavatiller.operators.v1.Operators/Change" },
)]
fn messages_stand_still(listener: usize, path: &str) {
    let mut sut = deploy_alone();
    let length = 60 << 20;
    let request = crowd_request(path, "nobody", message_opening(length), (length - 1) as usize);
    let _crowds: Vec<StreamCrowd> =
        (0..4).map(|_| StreamCrowd::open(sut.listeners()[listener], 4, request.clone())).collect();

    sut.assert_sound();
}

#[test]
fn connections_are_reset_at_a_pace() {
    let mut sut = deploy_alone();
    let request = post("/v1/services/board/submit", "key-of-acme", 8 << 10);

    for _ in 0..10 {
        let mut crowd = ClientCrowd::open(sut.callers(), 200);
        crowd.send(&request, 1);
        crowd.reset();
    }

    sut.assert_sound();
}

#[test]
fn crowds_come_in_turn() {
    let mut sut = deploy_alone();

    for _ in 0..10 {
        let mut bodies = ClientCrowd::open(sut.callers(), 10);
        bodies.send(&unfinished_post("/v1/completions", "nobody", 7 << 20), 1);
        let mut unread = ClientCrowd::open(sut.callers(), 10);
        unread.send_own(1, |_| post("/v1/services/board/submit", "key-of-acme", 3 << 20));
        let _idle = ClientCrowd::open(sut.callers(), 100);
        let caller = Caller::of("acme");
        drop(block_on(caller.stream(sut.callers(), "a", 16, 4)));
    }

    sut.assert_sound();
}
