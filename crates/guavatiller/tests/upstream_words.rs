//! What upstreams say of themselves in their answers, with real daemons and upstreams.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_platform_standins::{
    DaemonProcess, PlainAnswer, PlatformDeployment, ServerAnnouncements, ServerArrival,
    ServerFault, ServerKind, ServiceNames, ask, most_during_backoff, most_over_limit, request_to,
    send,
};
use guava_standins::harness::wait_until;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Time after which what an upstream says must be obeyed by all daemons.
const KNOWN: Duration = Duration::from_secs(3);
/// Time after which an upstream that has said to a daemon that it leaves gets nothing from it.
const DRAIN: Duration = Duration::from_secs(2);
/// Requests that an upstream may get within a rest that it asked for.
const MOST_IN_REST: usize = 2;
/// Pause between two requests of a daemon's callers.
const PAUSE: Duration = Duration::from_millis(40);
/// Requests sent so far, for their ids; these begin with the daemon's number.
static SENT: AtomicUsize = AtomicUsize::new(0);

struct Fleet {
    deployment: PlatformDeployment,
    daemons: Vec<DaemonProcess>,
}

impl Fleet {
    /// Starts daemons before four upstreams of a kind, `s0` to `s3`.
    fn start(daemons: usize, kind: ServerKind) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_guavatiller"));
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let servers = [("s0", kind), ("s1", kind), ("s2", kind), ("s3", kind)];
        let mut deployment = PlatformDeployment::start(program, folder, &servers);
        let daemons: Vec<DaemonProcess> =
            (0..daemons).map(|_| deployment.daemon().unwrap()).collect();
        for daemon in &daemons {
            wait_until("a daemon is ready", || {
                ask(daemon.readiness, "/api/readiness").is_some_and(|a| a.status == 200)
            });
        }
        Self { deployment, daemons }
    }

    fn say(&self, server: &str, announcements: ServerAnnouncements) {
        self.deployment.servers[server].set_announcements(announcements);
    }

    /// The upstream that got most: prompts go where their parts lie.
    fn busiest(&self) -> &str {
        let servers = self.deployment.servers.iter();
        let busiest = servers.max_by_key(|(_, server)| server.received().len());
        busiest.map(|(name, _)| name.as_str()).unwrap()
    }

    fn received(&self, server: &str) -> Vec<ServerArrival> {
        self.deployment.servers[server].received()
    }

    /// Callers of all daemons send all the while; the statuses that they got.
    fn load(&self, path: &str, time: Duration) -> Vec<u16> {
        let until = Instant::now() + time;
        let call = |number: usize, daemon: &DaemonProcess| {
            let mut statuses = Vec::new();
            while Instant::now() < until {
                let id = format!("{number}-{}", SENT.fetch_add(1, Ordering::Relaxed));
                statuses.push(self.send(daemon, path, &id).map_or(0, |answer| answer.status));
                sleep(PAUSE);
            }
            statuses
        };
        scope(|scope| {
            let callers = self.daemons.iter().enumerate();
            let callers: Vec<_> =
                callers.map(|(number, daemon)| scope.spawn(move || call(number, daemon))).collect();
            callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
        })
    }

    fn send(&self, daemon: &DaemonProcess, path: &str, id: &str) -> Option<PlainAnswer> {
        send(daemon.callers, &request_to("POST", path, id, ServiceNames::KEY, id))
    }
}

fn moments(arrivals: &[ServerArrival]) -> Vec<Instant> {
    arrivals.iter().map(|arrival| arrival.at).collect()
}

#[yare::parameterized(
    stream = { ServerKind::Engine, "/draft/2f" },
    idempotent = { ServerKind::Plain, "/ask/2f" },
    non_idempotent = { ServerKind::Plain, "/submit/2f" },
)]
fn upstream_that_names_a_limit_is_not_overrun_by_all_daemons_together(
    kind: ServerKind,
    path: &str,
) {
    let fleet = Fleet::start(6, kind);
    fleet.load(path, Duration::from_secs(1));
    let server = fleet.busiest();
    let named = Instant::now();
    fleet.say(
        server,
        ServerAnnouncements { limit: Some("2".into()), ..ServerAnnouncements::default() },
    );

    let statuses = fleet.load(path, KNOWN + Duration::from_secs(6));

    let arrivals = moments(&fleet.received(server));
    assert_eq!(most_over_limit(&arrivals, named + KNOWN, 2.0), 0);
    let later = arrivals.iter().filter(|at| **at >= named + KNOWN).count();
    assert!(later >= 6, "{later} requests in six seconds");
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[test]
fn engine_that_names_a_limit_is_not_overrun_while_weights_are_rolled_out() {
    // Guards against reports and orders that no share counts, and that end the limit for all.
    let fleet = Fleet::start(6, ServerKind::Engine);
    fleet.load("/draft/2f", Duration::from_secs(1));
    let server = fleet.busiest();
    let engine = &fleet.deployment.servers[server];
    engine.set_fault(ServerFault::IgnoresOrders);
    let named = Instant::now();
    fleet.say(
        server,
        ServerAnnouncements { limit: Some("0.5".into()), ..ServerAnnouncements::default() },
    );
    fleet.load("/draft/2f", KNOWN);
    fleet.deployment.publish(2);

    let statuses = fleet.load("/draft/2f", Duration::from_secs(6));

    let mut arrivals = moments(&fleet.received(server));
    let calls = engine.calls();
    arrivals.extend(&calls);
    assert_eq!(most_over_limit(&arrivals, named + KNOWN, 0.5), 0, "{} calls", calls.len());
    assert!(calls.len() >= 2, "it is asked and ordered");
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[yare::parameterized(
    stream = { ServerKind::Engine, "/draft/2f" },
    idempotent = { ServerKind::Plain, "/ask/2f" },
    non_idempotent = { ServerKind::Plain, "/submit/2f" },
)]
fn upstream_that_says_it_leaves_gets_no_more_though_the_list_has_it_serving(
    kind: ServerKind,
    path: &str,
) {
    let fleet = Fleet::start(3, kind);
    fleet.load(path, Duration::from_secs(1));
    let server = fleet.busiest();
    let said = Instant::now();
    fleet.say(server, ServerAnnouncements { is_leaving: true, ..ServerAnnouncements::default() });

    // Its heartbeat goes on to call it ready.
    let statuses: Vec<u16> = (0..4)
        .flat_map(|_| {
            fleet.deployment.list(server, "ready");
            fleet.load(path, Duration::from_secs(1))
        })
        .collect();

    let arrivals = moments(&fleet.received(server));
    let late = arrivals.iter().filter(|at| **at > said + DRAIN).count();
    assert_eq!(late, 0, "of {}", arrivals.len());
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[yare::parameterized(
    stream = { ServerKind::Engine, "/draft/2f" },
    idempotent = { ServerKind::Plain, "/ask/2f" },
    non_idempotent = { ServerKind::Plain, "/submit/2f" },
)]
fn upstream_that_asks_a_daemon_for_rest_gets_it(kind: ServerKind, path: &str) {
    let fleet = Fleet::start(3, kind);
    fleet.load(path, Duration::from_secs(1));
    let server = fleet.busiest();
    fleet.say(
        server,
        ServerAnnouncements { rest: Some("2".into()), ..ServerAnnouncements::default() },
    );

    let statuses = fleet.load(path, Duration::from_secs(5));

    let received = fleet.received(server);
    for daemon in 0..3 {
        let own = format!("{daemon}-");
        let arrivals: Vec<&ServerArrival> =
            received.iter().filter(|arrival| arrival.id.starts_with(&own)).collect();
        assert!(
            most_during_backoff(&arrivals) <= MOST_IN_REST,
            "{}",
            most_during_backoff(&arrivals)
        );
    }
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}
