//! Streams before engines of several software versions, with real daemons and upstreams.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_platform_standins::{
    DaemonProcess, PlainAnswer, PlainConnection, PlatformDeployment, ServerFault, ServerKind,
    ServiceNames, StoreFault, ask, request_of_parts, send, taking_up, whole_stream,
};
use guava_standins::harness::wait_until;
use rustix::process::Signal;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use yare::parameterized;

/// Time within which a stream that can't go on is refused.
const AT_ONCE: Duration = Duration::from_millis(500);
/// For how long a daemon stands still.
const STILL: Duration = Duration::from_secs(2);
/// Time in which no stream begins at a version without a record; daemons may list it late.
const HELD: Duration = Duration::from_millis(2_500);
/// Time within which daemons that have come back take up what they can: long before no stream of before
/// can be taken up any more.
const SOON: Duration = Duration::from_secs(20);
/// Records of software versions.
const SOFTWARE_TOPIC: &str = "keyed.software";
/// Streams that a test begins.
const STREAMS: usize = 12;
/// Event after which callers lose their streams.
const FIRST_EVENT: &str = "1";
/// Time that callers state.
const CALLER_TIMEOUT_MS: u64 = 10_000;
/// Time of an attempt of callers that give each one as much as the route allows.
const FULL_TIME_MS: u64 = 2_000;
/// When callers take their streams up after the loss of all daemons, in milliseconds.
const TAKEN_UP_MS: [u64; 7] = [250, 500, 1_000, 1_500, 2_500, 5_000, 10_000];
/// Requests sent so far, for their ids.
static SENT: AtomicUsize = AtomicUsize::new(0);

struct Fleet {
    deployment: PlatformDeployment,
    daemons: Vec<DaemonProcess>,
}

/// A stream of which the caller has the first event.
struct BegunStream {
    id: String,
    software: String,
    /// Where it is read; the stream is lost with it.
    _connection: PlainConnection,
}

impl Fleet {
    /// Starts five daemons in three data centres before engines of these software versions.
    fn start(engines: &[(&str, &str)]) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_guavatiller"));
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let servers: Vec<_> = engines.iter().map(|(id, _)| (*id, ServerKind::Engine)).collect();
        let mut deployment = PlatformDeployment::start(program, folder, &servers);
        for (id, software) in engines {
            deployment.servers[*id].set_software(software);
            deployment.list(id, "ready");
        }
        let zones = ["east", "east", "north", "west", "west"];
        let daemons = zones.map(|zone| deployment.daemon_in(zone).unwrap()).into();
        let fleet = Self { deployment, daemons };
        fleet.daemons.iter().for_each(wait_until_it_serves);
        wait_until("daemons know each other", || {
            fleet.daemons.iter().all(|daemon| reachable_peers(daemon) >= zones.len() - 1)
        });
        fleet
    }

    /// Begins a stream and reads its first event.
    fn begin(&self, daemon: usize) -> BegunStream {
        let id = next_id();
        let callers = self.daemons[daemon].callers;
        let mut connection = PlainConnection::open(callers, Duration::from_secs(5)).unwrap();
        let answer = connection.first_event(&draft(&id)).unwrap();
        let software = self.software_of(&answer);
        BegunStream { id, software, _connection: connection }
    }

    /// The software version of the engine that an answer is from.
    fn software_of(&self, answer: &PlainAnswer) -> String {
        let engine = answer.header("x-response-seal").unwrap().strip_prefix("seal-").unwrap();
        self.deployment.servers[engine].software()
    }

    /// Kills all daemons, changes what is listed, and starts them again.
    fn lose_all(&mut self, change: impl Fn(&PlatformDeployment)) {
        self.daemons.iter().for_each(|daemon| daemon.signal(Signal::KILL));
        change(&self.deployment);
        self.daemons.iter_mut().for_each(|daemon| daemon.restart().unwrap());
        self.daemons.iter().for_each(wait_until_it_serves);
    }

    /// Takes a stream up with as much time as the route allows, without naming its attempt or not; the
    /// software version at which it goes on.
    fn take_up_in_full_time(
        &self,
        stream: &BegunStream,
        daemon: usize,
        is_named: bool,
    ) -> Option<String> {
        let draft = draft_within(FULL_TIME_MS, &next_id());
        let mut request = taking_up(&draft, &stream.id, FIRST_EVENT);
        if !is_named {
            request = request.replacen(&format!("Resumes: {}\r\n", stream.id), "", 1);
        }
        let answer = send(self.daemons[daemon].callers, &request)?;
        (answer.status == 200).then(|| self.software_of(&answer))
    }

    /// Takes a stream up at a daemon; what comes of it, and after how long.
    fn take_up(&self, stream: &BegunStream, daemon: usize) -> (Option<PlainAnswer>, Duration) {
        let request = taking_up(&draft(&next_id()), &stream.id, FIRST_EVENT);
        let sent = Instant::now();
        let answer = send(self.daemons[daemon].callers, &request);
        (answer, sent.elapsed())
    }

    /// Whether a stream went on, at the software version that began it; the rest of it must be whole.
    fn goes_on(&self, stream: &BegunStream, daemon: usize) -> bool {
        let (answer, _) = self.take_up(stream, daemon);
        let Some(answer) = answer.filter(|answer| answer.status == 200) else { return false };
        assert_eq!(self.software_of(&answer), stream.software, "{} was joined", stream.id);
        let (_, rest) = whole_stream().split_once("\n\n").map(|(a, b)| (a.len(), b.len())).unwrap();
        assert!(whole_stream().ends_with(&answer.body) && answer.body.len() == rest);
        true
    }

    /// Checks that a stream is refused at once, and that nothing of it ran.
    fn assert_refused(&self, stream: &BegunStream, daemon: usize) {
        let (answer, elapsed) = self.take_up(stream, daemon);
        let answer = answer.unwrap();
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.header("retry-after").is_some());
        assert!(elapsed < AT_ONCE, "refused after {elapsed:?}");
    }

    /// Ids of requests that an engine was asked to go on with at another software version than one
    /// that ran them before. A run without an event is followed by a new one, which may be at any.
    fn joined(&self) -> Vec<String> {
        let mut versions: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        let mut resumed = BTreeSet::new();
        for server in self.deployment.servers.values() {
            for (id, headers) in server.runs() {
                versions.entry(id.clone()).or_default().insert(server.software());
                if headers.contains_key("last-event-id") {
                    resumed.insert(id);
                }
            }
        }
        let is_joined = |id: &String| versions.get(id).is_some_and(|versions| versions.len() > 1);
        resumed.into_iter().filter(is_joined).collect()
    }
}

fn next_id() -> String {
    format!("draft-{}", SENT.fetch_add(1, Ordering::Relaxed))
}

/// A request whose prompt shares no part with others, so that any engine may get it.
fn draft(id: &str) -> String {
    draft_within(CALLER_TIMEOUT_MS, id)
}

fn draft_within(time_ms: u64, id: &str) -> String {
    let parts = format!("{:x}:80,bb:20", SENT.fetch_add(1, Ordering::Relaxed));
    request_of_parts(&parts, time_ms, "POST", "/draft/2f", id, ServiceNames::KEY, id)
}

fn wait_until_it_serves(daemon: &DaemonProcess) {
    wait_until("a daemon serves", || {
        send(daemon.callers, &draft(&next_id())).is_some_and(|answer| answer.status == 200)
    });
}

fn reachable_peers(daemon: &DaemonProcess) -> usize {
    let reachable = daemon.events("G8201");
    let names = reachable.iter().filter_map(|fields| fields["member"].as_str());
    names.collect::<BTreeSet<_>>().len()
}

#[test]
fn stream_that_breaks_off_is_resumed_at_its_own_software_version() {
    // Guards against an answer whose events are from two software versions.
    let fleet = Fleet::start(&[("a0", "v1"), ("a1", "v1"), ("b0", "v2"), ("b1", "v2")]);
    for breaking in ["a0", "b0"] {
        fleet.deployment.servers[breaking].set_fault(ServerFault::Breaks);
    }

    let answers: Vec<Option<PlainAnswer>> = (0..4 * STREAMS)
        .map(|number| {
            let daemon = &fleet.daemons[number % fleet.daemons.len()];
            send(daemon.callers, &draft(&next_id()))
        })
        .collect();

    assert_eq!(fleet.joined(), Vec::<String>::new());
    let whole = answers.iter().flatten().filter(|answer| answer.body == whole_stream()).count();
    assert_eq!(whole, answers.len());
}

#[test]
fn stream_of_a_killed_daemon_goes_on_at_its_own_software_version() {
    // Guards against a stream that is taken up at a daemon that did not begin it and is joined.
    let mut fleet = Fleet::start(&[("a0", "v1"), ("a1", "v1"), ("b0", "v2"), ("b1", "v2")]);
    let streams: Vec<BegunStream> = (0..STREAMS).map(|number| fleet.begin(number % 2)).collect();
    fleet.daemons[0].signal(Signal::KILL);
    fleet.daemons[1].signal(Signal::KILL);
    // The engines at which streams began may be full.
    for full in ["a0", "b0"] {
        fleet.deployment.servers[full].set_fault(ServerFault::Full);
    }

    let number_and_stream = streams.iter().enumerate();
    let went_on =
        number_and_stream.filter(|(number, stream)| fleet.goes_on(stream, 2 + number % 3)).count();

    assert!(went_on > STREAMS / 2, "{went_on} of {STREAMS} went on");
    fleet.daemons[0].restart().unwrap();
}

#[test]
fn stream_that_no_daemon_remembers_is_refused_at_once() {
    // Guards against a stream that is taken up after the loss of all daemons and is joined.
    let mut fleet = Fleet::start(&[("a0", "v1"), ("a1", "v1"), ("b0", "v2"), ("b1", "v2")]);
    let streams: Vec<BegunStream> = (0..STREAMS).map(|number| fleet.begin(number % 5)).collect();
    fleet.daemons.iter_mut().for_each(|daemon| daemon.restart().unwrap());
    fleet.daemons.iter().for_each(wait_until_it_serves);

    let number_and_stream = streams.iter().enumerate();
    number_and_stream.for_each(|(number, stream)| fleet.assert_refused(stream, number % 5));
}

#[test]
fn stream_of_a_version_that_left_while_all_daemons_were_lost_is_not_joined() {
    // Guards against daemons that come back and take what they list for all that there was.
    let mut fleet = Fleet::start(&[("a0", "v1"), ("a1", "v1"), ("b0", "v2"), ("b1", "v2")]);
    let streams: Vec<BegunStream> = (0..STREAMS).map(|number| fleet.begin(number % 5)).collect();
    assert!(streams.iter().any(|stream| stream.software == "v1"));
    fleet.lose_all(|deployment| ["a0", "a1"].iter().for_each(|id| deployment.unlist(id)));
    let back = Instant::now();

    let mut joined = Vec::new();
    for after in TAKEN_UP_MS {
        sleep((back + Duration::from_millis(after)).saturating_duration_since(Instant::now()));
        for (number, stream) in streams.iter().enumerate() {
            for is_named in [true, false] {
                let at = fleet.take_up_in_full_time(stream, number % 5, is_named);
                if at.is_some_and(|software| software != stream.software) {
                    joined.push((after, is_named));
                }
            }
        }
    }

    assert_eq!(joined, Vec::new());
}

#[test]
fn stream_of_the_only_version_goes_on_after_the_loss_of_all_daemons() {
    // Guards against streams that are refused for a minute though only one version can have begun them.
    let mut fleet = Fleet::start(&[("a0", "v1"), ("a1", "v1")]);
    let streams: Vec<BegunStream> = (0..STREAMS).map(|number| fleet.begin(number % 5)).collect();
    fleet.lose_all(|_| ());
    let back = Instant::now();

    wait_until("all daemons take streams up", || {
        let goes_on = |daemon| {
            let mut take_ups = [true, false].into_iter();
            take_ups.all(|is_named| {
                fleet.take_up_in_full_time(&streams[daemon], daemon, is_named).is_some()
            })
        };
        (0..5).all(goes_on)
    });

    assert!(back.elapsed() < SOON, "{:?}", back.elapsed());
    let went_on = streams.iter().enumerate().filter(|(number, stream)| {
        let is_named = number % 2 == 0;
        fleet.take_up_in_full_time(stream, number % 5, is_named).is_some()
    });
    assert_eq!(went_on.count(), STREAMS);
}

/// A fleet before engines of version v1, of which `b0` leaves and comes back at v2 while something is
/// wrong with the store.
fn fleet_with_a_new_version(fault: StoreFault) -> Fleet {
    let fleet = Fleet::start(&[("a0", "v1"), ("a1", "v1"), ("b0", "v1")]);
    fleet.deployment.unlist("b0");
    wait_until_listed(&fleet, 2);
    // Until then daemons may take it for the same start.
    sleep(STILL + Duration::from_secs(1));
    fleet.deployment.servers["b0"].set_software("v2");
    fleet.deployment.store.set_fault(fault);
    fleet.deployment.list("b0", "ready");
    fleet
}

fn wait_until_listed(fleet: &Fleet, upstreams: usize) {
    wait_until("all daemons know the list", || {
        fleet.daemons.iter().all(|daemon| daemon.listed_upstreams() == Some(upstreams))
    });
}

fn recorded_versions(fleet: &Fleet) -> usize {
    fleet.deployment.store.newest_values(SOFTWARE_TOPIC).len()
}

#[parameterized(
    store_takes_no_writes = { StoreFault::NoAppends },
    store_limits_writes = { StoreFault::LimitedAppends },
)]
fn streams_begin_at_recorded_versions_while_another_has_no_record(fault: StoreFault) {
    // Guards against daemons that are all killed between a change of the list and its record.
    let mut fleet = fleet_with_a_new_version(fault);
    let listed = Instant::now();
    let mut streams = Vec::new();
    while listed.elapsed() < HELD {
        streams.push(fleet.begin(streams.len() % 5));
    }
    assert!(streams.iter().all(|stream| stream.software == "v1"));

    fleet.daemons.iter().for_each(|daemon| daemon.signal(Signal::KILL));
    ["a0", "a1"].iter().for_each(|id| fleet.deployment.unlist(id));
    fleet.deployment.store.set_fault(StoreFault::None);
    fleet.daemons.iter_mut().for_each(|daemon| daemon.restart().unwrap());
    fleet.daemons.iter().for_each(wait_until_it_serves);

    for (number, stream) in streams.iter().take(2 * STREAMS).enumerate() {
        let is_named = number % 2 == 0;
        assert_eq!(fleet.take_up_in_full_time(stream, number % 5, is_named), None);
    }
}

#[test]
fn streams_begin_at_a_version_that_the_store_does_not_record() {
    // Guards against services that stop while the store takes no writes.
    let fleet = fleet_with_a_new_version(StoreFault::NoAppends);
    ["a0", "a1"].iter().for_each(|id| fleet.deployment.unlist(id));
    wait_until_listed(&fleet, 1);

    wait_until("all daemons begin streams at it", || {
        let is_served = |daemon: &DaemonProcess| {
            send(daemon.callers, &draft(&next_id())).is_some_and(|answer| answer.status == 200)
        };
        fleet.daemons.iter().all(is_served)
    });

    let warned = |daemon: &DaemonProcess| {
        daemon.events("G8027").iter().any(|fields| fields["software"] == "v2")
    };
    assert!(fleet.daemons.iter().all(warned));
    assert_eq!(recorded_versions(&fleet), 1);
}

#[test]
fn version_is_recorded_though_the_answer_to_its_write_is_lost() {
    let fleet = fleet_with_a_new_version(StoreFault::LostAppendAnswers);
    wait_until("the new version is recorded", || recorded_versions(&fleet) == 2);
    ["a0", "a1"].iter().for_each(|id| fleet.deployment.unlist(id));
    wait_until_listed(&fleet, 1);

    fleet.deployment.store.set_fault(StoreFault::None);

    assert_eq!(fleet.begin(0).software, "v2");
    assert_eq!(recorded_versions(&fleet), 2);
}

#[parameterized(
    no_service = { "{\"software\":\"v1\"}" },
    not_a_version = { "{\"service\":\"llm\",\"software\":7}" },
    no_json = { "v1" },
)]
fn no_daemon_vouches_for_one_version_by_records_that_it_can_not_read(value: &str) {
    // Guards against a record of another writer that makes a service look single-versioned.
    let mut fleet = Fleet::start(&[("a0", "v1"), ("a1", "v1")]);
    let streams: Vec<BegunStream> = (0..5).map(|number| fleet.begin(number)).collect();
    fleet.lose_all(|deployment| deployment.store.put(SOFTWARE_TOPIC, "odd", value));

    sleep(STILL);
    for (number, stream) in streams.iter().enumerate() {
        let is_named = number % 2 == 0;
        assert_eq!(fleet.take_up_in_full_time(stream, number, is_named), None);
    }

    let is_counted = |daemon: &DaemonProcess| {
        let metrics = ask(daemon.metrics, "/metrics").unwrap().body;
        metrics.lines().any(|line| line.contains("bad_records") && line.contains("software"))
    };
    assert!(fleet.daemons.iter().all(is_counted));
}

#[test]
fn stream_whose_software_version_has_left_is_refused_at_once() {
    // Guards against a stream that goes on at the version that replaced its own, or waits for it.
    let fleet = Fleet::start(&[("a0", "v1"), ("b0", "v2")]);
    let streams: Vec<BegunStream> = (0..STREAMS).map(|number| fleet.begin(number % 5)).collect();
    fleet.deployment.list("a0", "draining");
    wait_until("all daemons know that it leaves", || {
        let knows = |daemon: &DaemonProcess| {
            daemon
                .lines()
                .iter()
                .any(|line| line.contains("\"leaving\"") && line.contains("\"a0\""))
        };
        fleet.daemons.iter().all(knows)
    });

    for (number, stream) in streams.iter().enumerate() {
        match &*stream.software {
            "v1" => fleet.assert_refused(stream, number % 5),
            _ => assert!(fleet.goes_on(stream, number % 5)),
        }
    }
    assert!(streams.iter().any(|stream| stream.software == "v1"));
}

#[test]
fn daemon_that_hears_no_other_joins_no_stream() {
    // Guards against a daemon that is cut off from its peers and takes what it lists for all there was.
    let fleet = Fleet::start(&[("a0", "v1"), ("a1", "v1"), ("b0", "v2"), ("b1", "v2")]);
    let begun = (0..4 * STREAMS).map(|number| fleet.begin(number % 4));
    let streams: Vec<BegunStream> = begun.collect();
    let others = &fleet.daemons[..4];
    others.iter().for_each(|daemon| daemon.signal(Signal::STOP));

    let refused = streams.iter().filter(|stream| !fleet.goes_on(stream, 4)).collect::<Vec<_>>();
    refused.iter().for_each(|stream| fleet.assert_refused(stream, 4));

    others.iter().for_each(|daemon| daemon.signal(Signal::CONT));
    assert!(!refused.is_empty(), "all streams have a home at the last daemon");
}

#[test]
fn daemon_that_stood_still_goes_on_with_streams_of_meanwhile() {
    // Guards against streams that are joined, or refused, by a daemon that missed where they began.
    let fleet = Fleet::start(&[("a0", "v1"), ("a1", "v1"), ("b0", "v2"), ("b1", "v2")]);
    fleet.daemons[4].signal(Signal::STOP);
    let streams: Vec<BegunStream> = (0..STREAMS).map(|number| fleet.begin(number % 4)).collect();
    sleep(STILL);
    fleet.daemons[4].signal(Signal::CONT);

    let went_on = streams.iter().filter(|stream| fleet.goes_on(stream, 4)).count();

    assert!(went_on > STREAMS / 2, "{went_on} of {STREAMS} went on");
}
