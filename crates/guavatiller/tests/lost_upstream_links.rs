//! Daemons that lose their links to all upstreams, with real daemons and upstreams.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_platform_standins::{
    DaemonProcess, FirstTries, PlainAnswer, PlatformDeployment, ServerKind, ServiceNames, ask,
    recover_violation, request_to, send, whole_stream,
};
use guava_standins::fault_proxy::LinkFault;
use guava_standins::harness::wait_until;
use rustix::process::Signal;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Time after which callers must be served again, from when the links were lost.
const STABLE: Duration = Duration::from_secs(3);
/// For how long callers are watched after that.
const WATCHED: Duration = Duration::from_secs(4);
/// Time within which a request that nobody can serve is refused.
const AT_ONCE: Duration = Duration::from_millis(500);
/// Time in which new weights must be everywhere, with some for a busy machine.
const WEIGHTS: Duration = Duration::from_secs(12);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(40);
/// Requests that are sent at once.
const BURST: usize = 8;
/// Paths of all kinds of requests: non-idempotent, idempotent, a stream that may be resumed, and one
/// that may not.
const PATHS: [&str; 4] = ["/submit/2f", "/ask/2f", "/draft/2f", "/brief/2f"];
/// Requests sent so far, for their ids.
static SENT: AtomicUsize = AtomicUsize::new(0);

struct Fleet {
    deployment: PlatformDeployment,
    daemons: Vec<DaemonProcess>,
}

impl Fleet {
    /// Starts three daemons in two data centres, each with links of its own to three instances and
    /// three engines.
    fn start() -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_guavatiller"));
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let (plain, engine) = (ServerKind::Plain, ServerKind::Engine);
        let servers = [
            ("s0", plain),
            ("s1", plain),
            ("s2", plain),
            ("e0", engine),
            ("e1", engine),
            ("e2", engine),
        ];
        let mut deployment = PlatformDeployment::start_linked(program, folder, &servers);
        let zones = ["east", "east", "west"];
        let daemons = zones.map(|zone| deployment.daemon_in(zone).unwrap()).into();
        let fleet = Self { deployment, daemons };
        fleet.wait_until_all_serve();
        fleet
    }

    fn wait_until_all_serve(&self) {
        for daemon in &self.daemons {
            wait_until("a daemon serves", || {
                PATHS.iter().all(|path| call(daemon, path).is_some_and(|it| it.status == 200))
            });
        }
    }

    /// Callers of each daemon send all the while, each time over a new connection; what came of it.
    fn first_tries(&self, time: Duration) -> Vec<FirstTries> {
        let until = Instant::now() + time;
        let watch = |daemon: &DaemonProcess, path: &str| {
            let mut tries = FirstTries::default();
            while Instant::now() < until {
                tries.note(call(daemon, path).is_some_and(|answer| answer.status == 200));
                sleep(PAUSE);
            }
            tries
        };
        scope(|scope| {
            let callers: Vec<Vec<_>> = self
                .daemons
                .iter()
                .map(|daemon| {
                    PATHS.iter().map(|path| scope.spawn(move || watch(daemon, path))).collect()
                })
                .collect();
            let tries = |callers: Vec<std::thread::ScopedJoinHandle<'_, FirstTries>>| {
                let tries = callers.into_iter().map(|caller| caller.join().unwrap());
                FirstTries::total(&tries.collect::<Vec<_>>())
            };
            callers.into_iter().map(tries).collect()
        })
    }

    /// Ids of all runs.
    fn run_ids(&self) -> Vec<String> {
        let runs = self.deployment.servers.values().flat_map(|server| server.runs());
        runs.map(|(id, _)| id).collect()
    }

    /// Ids that more than one run has.
    fn ran_twice(&self) -> Vec<String> {
        let mut ids = self.run_ids();
        ids.sort_unstable();
        let twice = ids.windows(2).filter(|pair| pair[0] == pair[1]);
        twice.map(|pair| pair[0].clone()).filter(|id| id.starts_with("submit")).collect()
    }
}

fn call(daemon: &DaemonProcess, path: &str) -> Option<PlainAnswer> {
    let kind = path.split('/').nth(1).unwrap_or_default();
    let id = format!("{kind}-{}", SENT.fetch_add(1, Ordering::Relaxed));
    let answer = send(daemon.callers, &request_to("POST", path, &id, ServiceNames::KEY, &id))?;
    if answer.status == 200 {
        let is_stream = matches!(kind, "draft" | "brief");
        let expected = if is_stream { whole_stream() } else { id };
        assert_eq!(answer.body, expected);
        assert!(answer.header("x-response-seal").is_some());
    }
    Some(answer)
}

fn addresses(daemon: &DaemonProcess) -> Vec<String> {
    let answer = ask(daemon.directory, "/api/resolve?name=club.example").unwrap();
    let found: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    serde_json::from_value(found["addresses"].clone()).unwrap()
}

#[yare::parameterized(
    unanswered = { LinkFault::Unanswered },
    reset = { LinkFault::Reset },
    refused = { LinkFault::Refuse },
    broken_after_they_open = { LinkFault::Cut },
)]
fn callers_of_a_daemon_without_upstreams_are_served_like_others(fault: LinkFault) {
    let fleet = Fleet::start();
    fleet.daemons[0].set_server_links(fault);
    fleet.first_tries(STABLE);

    let tries = fleet.first_tries(WATCHED);

    let others = FirstTries::total(&tries[1..]);
    assert_eq!(recover_violation(tries[0], others), None);
    assert_eq!(fleet.ran_twice(), Vec::<String>::new());
}

#[yare::parameterized(
    none_served_there = { (27, 0), (26, 26), true },
    half_served_elsewhere = { (20, 0), (60, 30), true },
    less_than_two_thirds_as_often = { (300, 180), (300, 290), true },
    nearly_as_often = { (300, 220), (300, 290), false },
    few_failures = { (9, 0), (60, 60), false },
    upstreams_turn_nearly_all_away = { (14, 0), (84, 5), false },
    one_served_request_more = { (34, 1), (39, 2), false },
)]
fn worse_service_at_daemons_without_links_counts_unless_it_is_chance(
    cut: (usize, usize),
    others: (usize, usize),
    is_violation: bool,
) {
    let tries = |(sent, served)| FirstTries { sent, served };

    let violation = recover_violation(tries(cut), tries(others));

    assert_eq!(violation.is_some(), is_violation, "{violation:?}");
}

#[test]
fn callers_of_a_data_centre_without_upstreams_are_served_like_others() {
    let fleet = Fleet::start();
    fleet.daemons[..2].iter().for_each(|daemon| daemon.set_server_links(LinkFault::Unanswered));
    fleet.first_tries(STABLE);

    let tries = fleet.first_tries(WATCHED);

    let cut = FirstTries::total(&tries[..2]);
    assert_eq!(recover_violation(cut, tries[2]), None);
}

#[test]
fn daemon_without_upstreams_is_not_given_to_callers() {
    let fleet = Fleet::start();
    let own = fleet.daemons[0].callers.to_string();
    assert!(fleet.daemons.iter().any(|daemon| addresses(daemon).contains(&own)));

    fleet.daemons[0].set_server_links(LinkFault::Unanswered);
    fleet.first_tries(STABLE);
    let given: Vec<bool> =
        fleet.daemons.iter().map(|daemon| addresses(daemon).contains(&own)).collect();
    fleet.daemons[0].set_server_links(LinkFault::None);

    assert_eq!(given, [false, false, false]);
    wait_until("it is given again", || {
        fleet.daemons.iter().all(|daemon| addresses(daemon).contains(&own))
    });
}

#[test]
fn request_is_refused_at_once_if_no_daemon_reaches_upstreams() {
    let fleet = Fleet::start();
    fleet.daemons.iter().for_each(|daemon| daemon.set_server_links(LinkFault::Unanswered));
    fleet.first_tries(STABLE);

    let sent = Instant::now();
    let refused = call(&fleet.daemons[0], "/submit/2f").unwrap();

    assert!(sent.elapsed() < AT_ONCE, "{:?}", sent.elapsed());
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert!(!addresses(&fleet.daemons[0]).is_empty());
}

#[test]
fn daemon_serves_by_itself_once_its_links_are_back() {
    let fleet = Fleet::start();
    fleet.daemons[0].set_server_links(LinkFault::Reset);
    fleet.first_tries(STABLE);

    fleet.daemons[0].set_server_links(LinkFault::None);
    sleep(STABLE);
    fleet.daemons[1..].iter().for_each(|daemon| daemon.set_server_links(LinkFault::Reset));
    fleet.first_tries(STABLE);
    let tries = fleet.first_tries(WATCHED);

    let others = FirstTries::total(&tries[1..]);
    assert_eq!(recover_violation(others, tries[0]), None);
    assert!(tries[0].served * 50 >= tries[0].sent * 49, "{tries:?}");
}

#[test]
fn new_weights_are_loaded_though_the_holder_of_the_lease_reaches_no_engine() {
    let fleet = Fleet::start();
    fleet.deployment.publish(2);
    let holder = || {
        let is_holder = |it: &&DaemonProcess| it.lines().iter().any(|line| line.contains("G8301"));
        fleet.daemons.iter().find(is_holder)
    };
    let engines = ["e0", "e1", "e2"].map(|id| &fleet.deployment.servers[id]);
    wait_until("engines have new weights", || engines.iter().all(|one| one.version() == 2));
    wait_until("the lease is logged", || holder().is_some());

    holder().unwrap().set_server_links(LinkFault::Unanswered);
    fleet.first_tries(STABLE);
    fleet.deployment.publish(3);
    let published = Instant::now();
    while published.elapsed() < WEIGHTS && engines.iter().any(|one| one.version() < 3) {
        sleep(PAUSE);
    }

    assert!(engines.iter().all(|one| one.version() == 3));
}

#[test]
fn request_is_not_quarantined_for_links_that_are_reset_under_it() {
    let fleet = Fleet::start();
    let send_polled = |daemon: &DaemonProcess| {
        let id = format!("polled-{}", SENT.fetch_add(1, Ordering::Relaxed));
        send(daemon.callers, &request_to("POST", "/brief/2f", &id, ServiceNames::KEY, "polled"))
    };
    // Each time at another engine, since the one before is taken for crashed.
    for _ in 0..4 {
        scope(|scope| {
            scope.spawn(|| send_polled(&fleet.daemons[0]));
            sleep(Duration::from_millis(40));
            fleet.daemons[0].set_server_links(LinkFault::Reset);
            sleep(Duration::from_millis(300));
            fleet.daemons[0].set_server_links(LinkFault::None);
        });
        sleep(Duration::from_millis(200));
    }

    let statuses: Vec<Option<u16>> =
        fleet.daemons.iter().map(|daemon| send_polled(daemon).map(|it| it.status)).collect();

    let quarantined = fleet.daemons.iter().flat_map(DaemonProcess::lines);
    let quarantined = quarantined.filter(|line| line.contains("G8013")).count();
    assert_eq!((statuses, quarantined), (vec![Some(200); 3], 0));
}

#[test]
fn request_that_a_killed_peer_held_is_not_sent_again_by_a_daemon_that_lost_some_links() {
    // Guards against a second run of a non-idempotent request after a forward of unknown outcome.
    let fleet = Fleet::start();
    let [forwarder, holder, _] = &fleet.daemons[..] else { panic!("three daemons") };
    let plain_links = &forwarder.server_links[..3];
    plain_links.iter().for_each(|link| link.set(LinkFault::Refuse));
    holder.set_server_links(LinkFault::DropAnswers);
    let are_held = || {
        let forwards = forwarder.forwards();
        let runs = fleet.run_ids();
        !forwards.is_empty() && forwards.iter().all(|(id, _)| runs.contains(id))
    };

    scope(|scope| {
        for _ in 0..BURST {
            scope.spawn(|| call(forwarder, "/submit/2f"));
        }
        wait_until("the peer holds requests that run", are_held);
        plain_links.iter().for_each(|link| link.set(LinkFault::None));
        wait_until("the links are back", || {
            plain_links.iter().all(|link| TcpStream::connect(link.address).is_ok())
        });
        holder.signal(Signal::KILL);
    });

    assert_eq!(fleet.ran_twice(), Vec::<String>::new());
}

/// An idempotent request as a peer forwards it, with these headers.
fn forwarded_request(id: &str, headers: &str) -> String {
    let request = request_to("POST", "/ask/2f", id, ServiceNames::KEY, id);
    let headers = format!("\r\nguava-forwarded: 1\r\n{headers}X-Timeout-Ms");
    request.replacen("\r\nX-Timeout-Ms", &headers, 1)
}

#[yare::parameterized(
    one = { "guava-runs: 1\r\n", 1 },
    as_its_route_permits = { "guava-runs: 2\r\n", 2 },
    no_more_than_its_route_permits = { "guava-runs: 9\r\n", 2 },
    not_stated = { "", 1 },
)]
fn forwarded_request_runs_no_more_often_than_the_peer_handed_over(headers: &str, runs: usize) {
    // Guards against runs of a forwarded request in addition to those that its sender still permits.
    let fleet = Fleet::start();
    let daemon = &fleet.daemons[0];
    daemon.set_server_links(LinkFault::DropAnswers);
    let id = format!("forwarded-{}", SENT.fetch_add(1, Ordering::Relaxed));

    send(daemon.callers, &forwarded_request(&id, headers));

    assert_eq!(fleet.run_ids().iter().filter(|run| **run == id).count(), runs);
    let is_told = |head: &http::HeaderMap| head.contains_key("guava-runs");
    let mut heads = fleet.deployment.servers.values().flat_map(|server| server.runs());
    assert!(!heads.any(|(_, head)| is_told(&head)));
}
