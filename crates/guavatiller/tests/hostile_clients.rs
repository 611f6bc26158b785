//! Clients that don't behave, at a daemon on the users' platform with lowered limits.
//!
//! Whatever such a crowd does, the process lives, keeps within its memory and descriptors, and answers
//! an ordinary request while the crowd is still there.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_platform_standins::{
    DaemonLimits, DaemonProcess, PlatformDeployment, ServerFault, ServerKind, ServiceNames, ask,
    request_to, request_within, send,
};
use guava_standins::client_crowd::ClientCrowd;
use guava_standins::harness::wait_until;
use guava_standins::process_watch::ProcessWatch;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::Duration;

const LIMITS: DaemonLimits = DaemonLimits { memory_mb: 48, descriptors: 600 };
/// As many descriptors as on the users' VMs, so that memory is short first.
const MANY_DESCRIPTORS: DaemonLimits = DaemonLimits { descriptors: 4_100, ..LIMITS };
const SERVERS: [(&str, ServerKind); 2] =
    [("i-app1", ServerKind::Plain), ("i-llm1", ServerKind::Engine)];
/// Time that a client of a crowd says it waits, in milliseconds.
const PATIENCE_MS: u64 = 600_000;
/// How often an ordinary caller tries.
const TRIES: u32 = 400;
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Longest log line, in bytes.
const LINE_BYTES: usize = 4_096;

/// One crowd at a time: the memory and descriptors of all are those of one machine.
static ALONE: Mutex<()> = Mutex::new(());

/// A daemon with lowered limits, watched from its start.
struct WatchedDaemon {
    deployment: PlatformDeployment,
    daemon: DaemonProcess,
    limits: DaemonLimits,
    watch: ProcessWatch,
    _alone: MutexGuard<'static, ()>,
}

fn deploy() -> WatchedDaemon {
    deploy_within(LIMITS)
}

fn deploy_within(limits: DaemonLimits) -> WatchedDaemon {
    let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let program = Path::new(env!("CARGO_BIN_EXE_guavatiller"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut deployment = PlatformDeployment::start(program, folder, &SERVERS);
    deployment.set_limits(limits);
    let daemon = deployment.daemon().unwrap();
    let watch = ProcessWatch::start(daemon.process(), &daemon.ports());
    wait_until("a daemon is ready", || {
        ask(daemon.readiness, "/api/readiness").is_some_and(|answer| answer.status == 200)
    });
    WatchedDaemon { deployment, daemon, limits, watch, _alone: alone }
}

impl WatchedDaemon {
    fn set_fault(&self, fault: ServerFault) {
        self.deployment.servers.values().for_each(|server| server.set_fault(fault));
    }

    /// Asserts that ordinary callers are answered, and that the process kept its limits.
    fn assert_sound(&mut self) {
        self.set_fault(ServerFault::None);
        let is_served = (0..TRIES).any(|number| {
            sleep(RETRY_PAUSE);
            let id = format!("ordinary-{number}");
            let request = request_to("POST", "/submit/2f", &id, ServiceNames::KEY, "answer");
            let answer = send(self.daemon.callers, &request);
            answer.is_some_and(|answer| answer.status == 200 && answer.body == "answer")
        });
        let are_answered = self.endpoints().map(|(address, path)| {
            (0..TRIES).any(|_| {
                sleep(RETRY_PAUSE);
                ask(address, path).is_some_and(|answer| answer.status == 200)
            })
        });
        let peak = self.watch.peak();
        let longest_line = self.daemon.lines().iter().map(String::len).max();
        eprintln!("{peak:?}, served {is_served}, answered {are_answered:?}, {longest_line:?}");
        assert_eq!(self.daemon.ended(), None);
        assert!(peak.memory_bytes < self.limits.memory_mb << 20, "{peak:?}");
        assert!(peak.descriptors <= self.limits.descriptors, "{peak:?}");
        assert!(longest_line <= Some(LINE_BYTES), "{longest_line:?}");
        assert!(is_served);
        assert_eq!(are_answered, [true; 3]);
    }

    fn endpoints(&self) -> [(SocketAddr, &'static str); 3] {
        [
            (self.daemon.readiness, "/api/readiness"),
            (self.daemon.directory, "/api/resolve?name=club.example&region=r&zone=east"),
            (self.daemon.metrics, "/metrics"),
        ]
    }

    fn listeners(&self) -> [SocketAddr; 4] {
        let [readiness, directory, metrics] = self.endpoints().map(|(address, _)| address);
        [self.daemon.callers, readiness, directory, metrics]
    }
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: club.example\r\n\r\n").into_bytes()
}

fn patient_request(id: &str, path: &str, key: &str, body: &str) -> Vec<u8> {
    request_within(PATIENCE_MS, "POST", path, id, key, body).into_bytes()
}

/// A request without the last bytes of its body.
fn unfinished_request(key: &str, body_bytes: usize) -> Vec<u8> {
    let mut request = patient_request("r", "/submit/2f", key, &"b".repeat(body_bytes));
    request.truncate(request.len() - 1);
    request
}

#[yare::parameterized(
    readiness = { 0, 60_000 },
    directory = { 1, 60_000 },
    metrics = { 2, 4_000 },
)]
fn requests_are_sent_ahead_of_unread_answers(endpoint: usize, times: usize) {
    let mut sut = deploy();
    let (address, path) = sut.endpoints()[endpoint];
    let mut crowd = ClientCrowd::open(address, 64);

    crowd.send(&get(path), times);

    sut.assert_sound();
}

#[test]
fn refused_requests_are_sent_ahead_of_unread_answers() {
    let mut sut = deploy();
    let mut crowd = ClientCrowd::open(sut.daemon.callers, 64);
    let id = "i".repeat(12 << 10);

    crowd.send(&patient_request(&id, "/nothing/2f", "nobody", "b"), 200);

    sut.assert_sound();
}

#[test]
fn served_requests_are_sent_ahead_of_unread_answers() {
    let mut sut = deploy();
    let mut crowd = ClientCrowd::open(sut.daemon.callers, 16);
    let body = "b".repeat(16 << 10);

    crowd.send(&patient_request("r", "/submit/2f", ServiceNames::KEY, &body), 500);

    sut.assert_sound();
}

#[yare::parameterized(
    of_a_customer = { ServiceNames::KEY },
    without_a_key = { "nobody" },
)]
fn bodies_stand_still(key: &str) {
    let mut sut = deploy_within(MANY_DESCRIPTORS);
    let mut large = ClientCrowd::open(sut.daemon.callers, 600);
    large.send(&unfinished_request(key, 60_000), 1);
    // These take what is left beside the large ones.
    let mut small = ClientCrowd::open(sut.daemon.callers, 60);

    small.send_own(1, |client| unfinished_request(key, if client < 30 { 1_000 } else { 20 }));

    sut.assert_sound();
}

#[test]
fn long_answers_stay_unread() {
    let mut sut = deploy();
    sut.set_fault(ServerFault::Verbose(1 << 20));
    let mut crowd = ClientCrowd::open(sut.daemon.callers, 60);

    crowd.send(&patient_request("r", "/submit/2f", ServiceNames::KEY, "b"), 20);

    sut.assert_sound();
}

#[test]
fn streams_stay_unread() {
    let mut sut = deploy();
    sut.set_fault(ServerFault::Verbose(900 << 10));
    let mut crowd = ClientCrowd::open(sut.daemon.callers, 150);

    crowd.send(&patient_request("r", "/brief/2f", ServiceNames::KEY, "b"), 5);

    sut.assert_sound();
}

#[yare::parameterized(
    callers = { 0 },
    readiness = { 1 },
    directory = { 2 },
    metrics = { 3 },
)]
fn idle_connections_take_all_places(listener: usize) {
    let mut sut = deploy();
    let _crowd = ClientCrowd::open(sut.listeners()[listener], 800);

    sut.assert_sound();
}

#[test]
fn idle_connections_take_places_of_all_listeners() {
    let mut sut = deploy_within(MANY_DESCRIPTORS);
    let _crowds = sut.listeners().map(|address| ClientCrowd::open(address, 1_100));

    sut.assert_sound();
}

#[test]
fn heads_stand_still() {
    let mut sut = deploy_within(MANY_DESCRIPTORS);
    let mut crowd = ClientCrowd::open(sut.daemon.callers, 1_500);
    let head =
        format!("GET /submit/2f HTTP/1.1\r\nHost: club.example\r\nA: {}", "a".repeat(14_000));

    crowd.send(head.as_bytes(), 1);

    sut.assert_sound();
}

#[test]
fn requests_stay_in_service() {
    let mut sut = deploy_within(MANY_DESCRIPTORS);
    sut.set_fault(ServerFault::Mute);
    let mut crowd = ClientCrowd::open(sut.daemon.callers, 1_200);
    let request = request_within(60_000, "POST", "/ask/2f", "r", ServiceNames::KEY, "b");
    let request = request.replacen("Host:", &format!("A: {}\r\nHost:", "a".repeat(14_000)), 1);

    crowd.send(request.as_bytes(), 1);

    sut.assert_sound();
}

#[test]
fn connections_are_reset_at_a_pace() {
    let mut sut = deploy();
    let request = patient_request("r", "/ask/2f", ServiceNames::KEY, &"b".repeat(8 << 10));

    for _ in 0..10 {
        let mut crowd = ClientCrowd::open(sut.daemon.callers, 200);
        crowd.send(&request, 1);
        crowd.reset();
    }

    sut.assert_sound();
}

#[test]
fn ids_are_long() {
    let mut sut = deploy();
    let mut crowd = ClientCrowd::open(sut.daemon.callers, 50);
    let requests = |client: usize| {
        let requests = (0..100).map(|number| {
            let id = format!("{client}-{number}-{}", "i".repeat(12 << 10));
            patient_request(&id, "/draft/2f", ServiceNames::KEY, "b")
        });
        requests.flatten().collect()
    };

    crowd.send_own(1, requests);

    sut.assert_sound();
}

#[test]
fn prompts_have_thousands_of_parts() {
    let mut sut = deploy();
    let mut crowd = ClientCrowd::open(sut.daemon.callers, 100);
    let requests = |client: usize| {
        let requests = (0..40).map(|number| {
            let parts = (0..1_000).map(|part| format!("{client:x}{number:02x}{part:03x}:16"));
            let parts = parts.collect::<Vec<_>>().join(",");
            let request = patient_request("r", "/draft/2f", ServiceNames::KEY, "b");
            String::from_utf8(request).unwrap().replace("aa:80,bb:20", &parts).into_bytes()
        });
        requests.flatten().collect()
    };

    crowd.send_own(1, requests);

    sut.assert_sound();
}

#[test]
fn datagrams_are_no_messages() {
    let mut sut = deploy();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let garbage = vec![0xa5; 8_192];

    for length in (1..=garbage.len()).cycle().step_by(97).take(20_000) {
        // The receiver's buffer may be full.
        drop(socket.send_to(&garbage[..length], sut.daemon.peers));
    }

    sut.assert_sound();
}

#[test]
fn crowds_come_in_turn() {
    let mut sut = deploy();
    let ahead = patient_request("r", "/submit/2f", ServiceNames::KEY, &"b".repeat(8 << 10));

    for _ in 0..10 {
        sut.set_fault(ServerFault::Verbose(1 << 20));
        let mut unread = ClientCrowd::open(sut.daemon.callers, 20);
        unread.send(&patient_request("r", "/submit/2f", ServiceNames::KEY, "b"), 1);
        let mut bodies = ClientCrowd::open(sut.daemon.callers, 100);
        bodies.send(&unfinished_request(ServiceNames::KEY, 60_000), 1);
        let mut pipelined = ClientCrowd::open(sut.daemon.callers, 8);
        pipelined.send(&ahead, 40);
        let _idle = ClientCrowd::open(sut.daemon.callers, 150);
        sut.set_fault(ServerFault::None);
    }

    sut.assert_sound();
}
