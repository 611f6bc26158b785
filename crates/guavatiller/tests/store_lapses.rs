//! Outages of the platform's store in which entries lapse, and long backlogs, with real daemons.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_platform_standins::{
    DaemonProcess, PlatformDeployment, ServerKind, ServiceNames, StoreFault, ask, request_to, send,
};
use guava_standins::harness::wait_until;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

const SERVERS: [(&str, ServerKind); 8] = [
    ("i-app1", ServerKind::Plain),
    ("i-app2", ServerKind::Plain),
    ("i-app3", ServerKind::Plain),
    ("i-app4", ServerKind::Plain),
    ("i-llm1", ServerKind::Engine),
    ("i-llm2", ServerKind::Engine),
    ("i-llm3", ServerKind::Engine),
    ("i-llm4", ServerKind::Engine),
];
/// Time in which a server that leaves gets its last work, as the daemons' settings say.
const DRAIN: Duration = Duration::from_millis(2_000);
/// An outage in which leases of entries run out.
const OUTAGE: Duration = Duration::from_millis(3_500);
/// A backlog of the list that takes two seconds over the store's link, longer than a call may take.
const BACKLOG_RECORDS: usize = 800;
const RECORD_BYTES: usize = 1_000;
const LINK_BYTES_PER_S: u64 = 400_000;

fn deploy(daemons: usize) -> (PlatformDeployment, Vec<DaemonProcess>) {
    let program = Path::new(env!("CARGO_BIN_EXE_guavatiller"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut deployment = PlatformDeployment::start(program, folder, &SERVERS);
    let started: Vec<DaemonProcess> = (0..daemons).map(|_| deployment.daemon().unwrap()).collect();
    for daemon in &started {
        wait_until("a daemon is ready", || {
            ask(daemon.readiness, "/api/readiness").is_some_and(|answer| answer.status == 200)
        });
    }
    (deployment, started)
}

fn submit(daemon: &DaemonProcess, id: &str) -> Option<u16> {
    let request = request_to("POST", "/submit/2f", id, ServiceNames::KEY, "answer");
    Some(send(daemon.callers, &request)?.status)
}

#[test]
fn upstream_that_leaves_as_the_store_returns_gets_no_late_request() {
    // Guards against a removal that is taken for a lapse.
    let (deployment, daemons) = deploy(2);
    deployment.store.set_fault(StoreFault::Busy);
    sleep(OUTAGE);
    deployment.unlist("i-app1");
    let left = Instant::now();
    deployment.store.set_fault(StoreFault::None);

    let mut sent = 0;
    while left.elapsed() < DRAIN + OUTAGE {
        for daemon in &daemons {
            submit(daemon, &format!("r{sent}"));
            sent += 1;
        }
    }

    let arrivals = deployment.servers["i-app1"].received();
    let late = arrivals.iter().filter(|arrival| arrival.at > left + DRAIN).count();
    assert_eq!(late, 0, "of {sent}");
}

#[test]
fn servers_that_lapse_while_history_is_lost_are_known_again_at_all_daemons() {
    // Guards against servers that are forgotten for good though they are listed again.
    let (deployment, daemons) = deploy(4);
    deployment.store.set_fault(StoreFault::Busy);
    sleep(OUTAGE);
    SERVERS.iter().for_each(|(id, _)| deployment.unlist(id));
    deployment.store.lose_history("keyed.servers");

    deployment.store.set_fault(StoreFault::None);
    for (id, _) in SERVERS {
        sleep(Duration::from_millis(220));
        deployment.list(id, "ready");
    }
    sleep(DRAIN * 2);

    let known: Vec<Option<usize>> = daemons.iter().map(DaemonProcess::listed_upstreams).collect();
    assert_eq!(known, vec![Some(SERVERS.len()); daemons.len()]);
}

#[test]
fn backlog_of_the_list_is_read_over_a_link_that_takes_longer_than_a_call() {
    // Guards against daemons that read the same records again and again, since no call ends in time.
    let (deployment, daemons) = deploy(1);
    deployment.store.slow_reads(LINK_BYTES_PER_S);
    let value = "x".repeat(RECORD_BYTES);
    for number in 0..BACKLOG_RECORDS {
        deployment.store.put("keyed.servers", &format!("other{number}"), &value);
    }

    deployment.unlist("i-app1");

    wait_until("the removal behind the backlog is known", || {
        daemons[0].listed_upstreams() == Some(SERVERS.len() - 1)
    });
}
