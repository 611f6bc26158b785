//! Requests that end the upstreams that run them, with real daemons and upstreams.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_platform_standins::{
    CrashableServer, DaemonProcess, PlainAnswer, PlatformDeployment, ServerKind, ServiceNames, ask,
    request_to, send,
};
use guava_standins::harness::wait_until;
use rustix::process::Signal;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Body of the request that ends its upstreams.
const CRASHING: &str = "poison";
/// Time within which all daemons must know of such a request after the third end.
const KNOWN: Duration = Duration::from_secs(3);
/// Sends of it at most after that time.
const MOST_LATER: usize = 3;
/// Pause between two of its callers' attempts.
const PAUSE: Duration = Duration::from_millis(60);

struct Fleet {
    deployment: PlatformDeployment,
    daemons: Vec<DaemonProcess>,
    servers: Vec<CrashableServer>,
    sent: usize,
}

impl Fleet {
    fn start(daemons: usize, servers: usize, kind: ServerKind) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_guavatiller"));
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let mut deployment = PlatformDeployment::start(program, folder, &[]);
        let servers = (0..servers)
            .map(|number| deployment.start_crashable(&format!("m{number}"), kind, CRASHING))
            .collect();
        let daemons: Vec<DaemonProcess> =
            (0..daemons).map(|_| deployment.daemon().unwrap()).collect();
        let mut fleet = Self { deployment, daemons, servers, sent: 0 };
        fleet.wait_until_ready();
        fleet
    }

    fn wait_until_ready(&mut self) {
        for daemon in &self.daemons {
            let is_ready =
                || ask(daemon.readiness, "/api/readiness").is_some_and(|a| a.status == 200);
            wait_until("a daemon is ready", is_ready);
        }
    }

    /// Sends a request to a daemon, each time under another id.
    fn send(&mut self, daemon: usize, path: &str, body: &str) -> Option<PlainAnswer> {
        self.sent += 1;
        let id = format!("{body}-{}", self.sent);
        let request = request_to("POST", path, &id, ServiceNames::KEY, body);
        send(self.daemons[daemon].callers, &request)
    }

    /// Callers come with the fatal request again and again, at each daemon in turn.
    fn send_poison_for(&mut self, path: &str, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let daemon = self.sent % self.daemons.len();
            self.send(daemon, path, CRASHING);
            sleep(PAUSE);
        }
    }

    /// How often upstreams began to run the fatal request.
    fn poison_runs(&self) -> usize {
        let runs = self.servers.iter().flat_map(CrashableServer::runs);
        runs.filter(|(id, _)| id.starts_with(CRASHING)).count()
    }

    fn ends(&self) -> usize {
        self.servers.iter().map(|server| server.ends().len()).sum()
    }

    /// Sends of the fatal request that run though all daemons have had the time to know of it.
    fn later_runs(&mut self, path: &str) -> usize {
        let before = self.poison_runs();
        self.send_poison_for(path, Duration::from_secs(2));
        self.poison_runs() - before
    }
}

#[yare::parameterized(
    stream = { ServerKind::Engine, "/draft/2f" },
    idempotent = { ServerKind::Plain, "/ask/2f" },
    non_idempotent = { ServerKind::Plain, "/submit/2f" },
)]
fn poison_request_is_stopped_at_all_daemons(kind: ServerKind, path: &str) {
    // Symptom: engines end one after the other, dozens in some seconds, and whatever runs on them is
    // lost; two thirds of the callers of all kinds get nothing.
    // Sequence: one request ends each engine that runs it; it goes to a second one by itself; its
    // caller comes again, at another daemon, under another id, for which it looks like a new one.
    // Cause: nobody remembered under which requests upstreams had ended. Shown by what was under way
    // at each upstream when it ended: the same caller, path and body each time.
    let mut fleet = Fleet::start(2, 6, kind);

    fleet.send_poison_for(path, KNOWN + Duration::from_secs(1));
    let ends = fleet.ends();
    let later = fleet.later_runs(path);

    assert!(ends >= 3, "{ends}");
    assert!(later <= MOST_LATER, "ran {later} times more after {ends} ends");
    let refused = fleet.send(0, path, CRASHING).unwrap();
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    let other = fleet.send(1, path, "healthy").unwrap();
    assert_eq!(other.status, 200);
}

#[test]
fn poison_request_is_known_to_a_daemon_that_starts() {
    let mut fleet = Fleet::start(2, 6, ServerKind::Plain);
    fleet.send_poison_for("/submit/2f", KNOWN);

    let late = fleet.deployment.daemon().unwrap();
    fleet.daemons = vec![late, fleet.daemons.remove(0)];
    fleet.wait_until_ready();
    sleep(KNOWN);
    let later = fleet.later_runs("/submit/2f");

    assert!(later <= MOST_LATER, "ran {later} times more");
}

#[test]
fn poison_request_is_known_after_all_daemons_were_killed() {
    // Symptom: after all daemons were lost at once, engines end one after the other again.
    // Sequence: a request is stopped everywhere; all daemons are killed and start anew; it returns.
    // Cause: what is known only in daemons' memory is gone with them.
    let mut fleet = Fleet::start(2, 6, ServerKind::Plain);
    fleet.send_poison_for("/submit/2f", KNOWN);

    fleet.daemons.iter().for_each(|daemon| daemon.signal(Signal::KILL));
    fleet.daemons.iter_mut().for_each(|daemon| daemon.restart().unwrap());
    fleet.wait_until_ready();
    sleep(KNOWN);
    let later = fleet.later_runs("/submit/2f");

    assert!(later <= MOST_LATER, "ran {later} times more");
}

#[test]
fn poison_request_does_not_stop_what_ran_beside_it() {
    // Symptom: a request that did no harm is refused for good.
    // Sequence: it runs at engines while another one ends them.
    // Cause: to have been there is not to have done it.
    let mut fleet = Fleet::start(2, 2, ServerKind::Engine);
    let until = Instant::now() + KNOWN;
    while Instant::now() < until {
        let poison = request_to("POST", "/draft/2f", "poison-x", ServiceNames::KEY, CRASHING);
        let callers = fleet.daemons[0].callers;
        let beside = std::thread::spawn(move || send(callers, &poison));
        fleet.send(1, "/draft/2f", "beside");
        beside.join().unwrap();
        sleep(PAUSE);
    }

    wait_until("the servers are back", || {
        fleet.send(1, "/draft/2f", "beside").is_some_and(|answer| answer.status == 200)
    });

    assert!(fleet.ends() >= 2, "{}", fleet.ends());
}

#[test]
fn poison_request_is_not_one_whose_upstreams_end_of_something_else() {
    // Symptom: a request that comes again and again is refused, though it does no harm.
    // Sequence: upstreams end, of something else, while they run it; in between it is answered.
    // Cause: its ends were counted, its answers were not.
    let mut fleet = Fleet::start(2, 3, ServerKind::Engine);
    for round in 0..4 {
        let servers = fleet.servers.clone();
        let ending = std::thread::spawn(move || {
            sleep(Duration::from_millis(30));
            servers.iter().for_each(CrashableServer::end);
        });
        fleet.send(round % 2, "/draft/2f", "polled");
        ending.join().unwrap();

        wait_until("it is answered", || {
            fleet.send(round % 2, "/draft/2f", "polled").is_some_and(|answer| answer.status == 200)
        });
    }

    assert_eq!(fleet.ends(), 12);
}

#[test]
fn poison_request_is_known_to_a_daemon_that_was_suspended() {
    let mut fleet = Fleet::start(2, 6, ServerKind::Plain);
    let suspended = fleet.daemons.pop().unwrap();
    suspended.signal(Signal::STOP);
    fleet.send_poison_for("/submit/2f", KNOWN);

    suspended.signal(Signal::CONT);
    fleet.daemons = vec![suspended];
    sleep(KNOWN);
    let later = fleet.later_runs("/submit/2f");

    assert!(later <= MOST_LATER, "ran {later} times more");
}

#[test]
fn poison_request_runs_again_once_an_operator_drops_its_record() {
    // Guards against an operator who can release a request only by restarting all daemons.
    let mut fleet = Fleet::start(2, 6, ServerKind::Plain);
    fleet.send_poison_for("/submit/2f", KNOWN);
    let digest = fleet.daemons.iter().find_map(quarantined_digest).unwrap();
    assert_eq!(fleet.later_runs("/submit/2f"), 0);

    fleet.deployment.store.put("keyed.stops", &digest, "");

    let before = fleet.poison_runs();
    wait_until("it runs again", || {
        fleet.send_poison_for("/submit/2f", PAUSE);
        fleet.poison_runs() > before
    });
    let is_dropped = |line: &String| line.contains("G8014") && line.contains("dropped");
    wait_until("its release is logged", || {
        fleet.daemons.iter().any(|daemon| daemon.lines().iter().any(is_dropped))
    });
}

/// The digest of a request that a daemon's log calls quarantined.
fn quarantined_digest(daemon: &DaemonProcess) -> Option<String> {
    let lines = daemon.lines();
    let line = lines.iter().find(|line| line.contains("G8013"))?;
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    line["kv"]["digest"].as_str().map(str::to_owned)
}
