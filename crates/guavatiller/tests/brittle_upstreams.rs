//! Upstreams that crash if they have to turn away many requests, with real daemons and upstreams.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_platform_standins::{
    DaemonProcess, PlatformDeployment, ServerAnnouncements, ServerKind, ServiceNames, ask,
    request_to, send,
};
use guava_standins::harness::wait_until;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Requests that each upstream can turn away in a second.
const BRITTLE: usize = 2;
/// Time after which what an upstream says must be obeyed by all daemons.
const STABLE: Duration = Duration::from_secs(3);
/// For how long callers are watched after that.
const WATCHED: Duration = Duration::from_secs(3);
/// Callers of each daemon: several times as many as the upstreams have slots for.
const CALLERS: usize = 24;
/// Pause of a caller that was refused.
const PAUSE: Duration = Duration::from_millis(50);
static SENT: AtomicUsize = AtomicUsize::new(0);

/// Callers of all daemons send all the while; how many were served.
fn load(daemons: &[DaemonProcess], path: &str, time: Duration) -> usize {
    let until = Instant::now() + time;
    let call = |daemon: &DaemonProcess| {
        let mut served = 0;
        while Instant::now() < until {
            let id = format!("b-{}", SENT.fetch_add(1, Ordering::Relaxed));
            let answer =
                send(daemon.callers, &request_to("POST", path, &id, ServiceNames::KEY, &id));
            match answer.map(|answer| answer.status) {
                Some(200) => served += 1,
                _ => sleep(PAUSE),
            }
        }
        served
    };
    scope(|scope| {
        let callers = daemons.iter().flat_map(|daemon| std::iter::repeat_n(daemon, CALLERS));
        let callers: Vec<_> = callers.map(|daemon| scope.spawn(move || call(daemon))).collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).sum()
    })
}

/// Most requests that were turned away within a second since a moment.
fn most_in_a_second(turned_away: &[Instant], since: Instant) -> usize {
    let counted: Vec<Instant> = turned_away.iter().copied().filter(|at| *at >= since).collect();
    let within = |first: &Instant| {
        counted.iter().filter(|at| **at >= *first && **at - *first < Duration::from_secs(1)).count()
    };
    counted.iter().map(within).max().unwrap_or(0)
}

#[yare::parameterized(
    non_idempotent = { ServerKind::Plain, "/submit/2f" },
    idempotent = { ServerKind::Plain, "/ask/2f" },
    stream = { ServerKind::Engine, "/draft/2f" },
)]
fn brittle_upstreams_turn_away_no_more_than_they_bear(kind: ServerKind, path: &str) {
    let program = Path::new(env!("CARGO_BIN_EXE_guavatiller"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let servers = [("s0", kind), ("s1", kind), ("s2", kind)];
    let mut deployment = PlatformDeployment::start(program, folder, &servers);
    let daemons: Vec<DaemonProcess> = (0..3).map(|_| deployment.daemon().unwrap()).collect();
    for daemon in &daemons {
        wait_until("a daemon is ready", || {
            ask(daemon.readiness, "/api/readiness").is_some_and(|a| a.status == 200)
        });
    }
    let brittle = || ServerAnnouncements {
        brittle: Some(BRITTLE.to_string()),
        ..ServerAnnouncements::default()
    };
    deployment.servers.values().for_each(|server| server.set_announcements(brittle()));
    load(&daemons, path, STABLE);

    let since = Instant::now();
    let served = load(&daemons, path, WATCHED);

    let most: Vec<usize> = deployment
        .servers
        .values()
        .map(|server| most_in_a_second(&server.turned_away(), since))
        .collect();
    assert!(most.iter().all(|most| *most <= BRITTLE), "{most:?} turned away in a second");
    assert!(served > 0);
}
