//! Parts of prompts that end the upstreams that begin to answer them, with real daemons and upstreams.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_platform_standins::{
    CrashableServer, DaemonProcess, PlatformDeployment, ServerKind, ServiceNames, ask,
    request_of_parts, send,
};
use guava_standins::harness::wait_until;
use rustix::process::Signal;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Part that ends engines.
const FATAL: &str = "dead";
/// Ends after which the part must be stopped everywhere, and the time until then.
const ENDS_TO_STOP: usize = 5;
const STABLE: Duration = Duration::from_secs(3);
/// Requests with the part that may reach engines after that.
const MOST_LATER: usize = 3;
/// For how long requests are counted after that.
const WATCHED: Duration = Duration::from_secs(3);
/// Longest time until the part has ended so many engines.
const LONGEST_WAVE: Duration = Duration::from_secs(20);
/// Pauses between two requests of a caller.
const FATAL_PAUSE: Duration = Duration::from_millis(150);
const SOUND_PAUSE: Duration = Duration::from_millis(60);
/// Requests sent so far, for their ids; no two have the same body or last part.
static SENT: AtomicUsize = AtomicUsize::new(0);

struct Fleet {
    deployment: PlatformDeployment,
    daemons: Vec<DaemonProcess>,
    engines: Vec<CrashableServer>,
}

impl Fleet {
    fn start(daemons: usize, engines: usize) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_guavatiller"));
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let mut deployment = PlatformDeployment::start(program, folder, &[]);
        let engine = |number| format!("e{number}");
        let engines = (0..engines)
            .map(|number| deployment.start_crashable(&engine(number), ServerKind::Engine, FATAL))
            .collect();
        let daemons = (0..daemons).map(|_| deployment.daemon().unwrap()).collect();
        let fleet = Self { deployment, daemons, engines };
        fleet.wait_until_ready();
        fleet
    }

    fn wait_until_ready(&self) {
        for daemon in &self.daemons {
            wait_until("a daemon is ready", || {
                ask(daemon.readiness, "/api/readiness").is_some_and(|a| a.status == 200)
            });
        }
    }

    /// Sends a request with these shared parts, and one of its own; the status of a whole answer.
    fn send(&self, name: &str, shared: &str) -> Option<u16> {
        let number = SENT.fetch_add(1, Ordering::Relaxed);
        let daemon = &self.daemons[number % self.daemons.len()];
        let (id, parts) = (format!("{name}-{number}"), format!("{shared},own{number}:20"));
        let path = "/draft/2f";
        let request = request_of_parts(&parts, 2_000, "POST", path, &id, ServiceNames::KEY, &id);
        send(daemon.callers, &request).map(|answer| answer.status)
    }

    /// Fatal requests come all the while, no two alike, and sound ones that share their caller and
    /// their other parts, until `is_over`; how many sound ones were sent and served in the end.
    fn load_until(&self, is_over: impl Fn() -> bool, fatal_parts: &str) -> (usize, usize) {
        let over = AtomicBool::new(false);
        let (sent, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let send_sound = |shared: &str| {
            while !over.load(Ordering::Relaxed) {
                let is_served = self.send("sound", shared) == Some(200);
                sent.fetch_add(1, Ordering::Relaxed);
                served.fetch_add(usize::from(is_served), Ordering::Relaxed);
                sleep(SOUND_PAUSE);
            }
        };
        scope(|scope| {
            scope.spawn(|| send_sound("aa:80"));
            scope.spawn(|| send_sound("aa:80,cc:40"));
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    self.send("fatal", fatal_parts);
                    sleep(FATAL_PAUSE);
                }
            });
            while !is_over() {
                sleep(Duration::from_millis(20));
            }
            over.store(true, Ordering::Relaxed);
        });
        (sent.into_inner(), served.into_inner())
    }

    fn ends(&self) -> usize {
        self.engines.iter().map(|engine| engine.ends().len()).sum()
    }

    fn fatal_runs(&self) -> usize {
        let runs = self.engines.iter().flat_map(CrashableServer::runs);
        runs.filter(|(id, _)| id.starts_with("fatal")).count()
    }

    /// Load until the part has ended so many engines that it must be stopped, and is.
    fn load_until_stopped(&self, fatal_parts: &str) {
        let begun = Instant::now();
        self.load_until(
            || self.ends() >= ENDS_TO_STOP || begun.elapsed() > LONGEST_WAVE,
            fatal_parts,
        );
        self.load_for(STABLE, fatal_parts);
    }

    fn load_for(&self, time: Duration, fatal_parts: &str) -> (usize, usize) {
        let begun = Instant::now();
        self.load_until(|| begun.elapsed() > time, fatal_parts)
    }

    /// Requests with the part that reach engines though it must be stopped, and the sound ones that
    /// were sent and served meanwhile.
    fn later(&self, fatal_parts: &str) -> (usize, (usize, usize)) {
        let before = self.fatal_runs();
        let sound = self.load_for(WATCHED, fatal_parts);
        (self.fatal_runs() - before, sound)
    }
}

#[yare::parameterized(
    in_the_middle = { "aa:80,dead:40" },
    deeper = { "aa:80,cc:40,dead:40" },
    before_another_sound_part = { "aa:80,dead:40,cc:40" },
    first = { "dead:80,cc:40" },
)]
fn part_that_ends_upstreams_is_stopped_and_what_shares_other_parts_is_not(fatal_parts: &str) {
    let fleet = Fleet::start(3, 8);
    // The sound parts are known before the fatal one comes.
    fleet.load_for(Duration::from_millis(500), "aa:80");
    fleet.load_until_stopped(fatal_parts);

    let (later, (sent, served)) = fleet.later(fatal_parts);

    assert!(later <= MOST_LATER, "{later} more after {} ends", fleet.ends());
    assert!(served * 2 >= sent, "{served} of {sent} sound requests are served");
}

#[test]
fn part_that_ends_upstreams_is_stopped_though_its_other_parts_are_new() {
    let fleet = Fleet::start(3, 8);
    fleet.load_until_stopped("new:80,dead:40");

    let (later, _) = fleet.later("new:80,dead:40");
    let is_served = || (0..12).any(|_| fleet.send("sound", "new:80") == Some(200));

    assert!(later <= MOST_LATER, "{later} more after {} ends", fleet.ends());
    wait_until("what shares the new part is served", is_served);
}

#[test]
fn part_that_ends_upstreams_is_known_after_all_daemons_were_killed() {
    let mut fleet = Fleet::start(2, 8);
    fleet.load_until_stopped("aa:80,dead:40");

    fleet.daemons.iter().for_each(|daemon| daemon.signal(Signal::KILL));
    fleet.daemons.iter_mut().for_each(|daemon| daemon.restart().unwrap());
    fleet.wait_until_ready();
    sleep(STABLE);
    let (later, _) = fleet.later("aa:80,dead:40");

    assert!(later <= MOST_LATER, "{later} more");
}

#[test]
fn part_that_ends_upstreams_is_known_to_daemons_that_start_or_did_not_run() {
    let mut fleet = Fleet::start(2, 8);
    let suspended = fleet.daemons.pop().unwrap();
    suspended.signal(Signal::STOP);
    fleet.load_until_stopped("aa:80,dead:40");

    suspended.signal(Signal::CONT);
    let started = fleet.deployment.daemon().unwrap();
    fleet.daemons.extend([suspended, started]);
    fleet.wait_until_ready();
    sleep(STABLE);
    let (later, _) = fleet.later("aa:80,dead:40");

    assert!(later <= MOST_LATER, "{later} more");
}
