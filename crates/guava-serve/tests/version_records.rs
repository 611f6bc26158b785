//! Records of software versions: who writes, reads and removes them, and when.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    CoreRecord, LONGEST_TAKE_UP_MS, MAX_HOLD_MS, MemberDescriptor, PortError, ServeContext,
    UpstreamEntry, VersionLog, VersionPort, VersionRecord, persist_versions,
};
use guava_types::Moment;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::served::run;
use support::{address, config, engine, id, note, serve_context};
use tokio::time::sleep;
use yare::parameterized;

const PEERS: usize = 5;
/// Time in which a daemon that is to make a call at once has made it.
const AT_ONCE: Duration = Duration::from_millis(500);

/// What the store holds, and how it fares.
#[derive(Default)]
struct FakeStore {
    records: Vec<VersionRecord>,
    /// Where its log ends.
    end: u64,
    /// Whether another daemon writes after each read.
    has_other_writer: bool,
    reads: usize,
    writes: usize,
    takes_no_writes: bool,
    /// Writes whose answers are lost.
    lost_answers: usize,
}

type SharedStore = Rc<RefCell<FakeStore>>;

fn port_error() -> PortError {
    PortError::new(&"no answer")
}

fn port(store: &SharedStore) -> VersionPort {
    let [reader, writer, remover] = [(); 3].map(|()| Rc::clone(store));
    VersionPort {
        read: Rc::new(move || {
            let mut store = reader.borrow_mut();
            store.reads += 1;
            let end = store.end;
            store.end += u64::from(store.has_other_writer);
            let log = VersionLog { records: store.records.clone(), unreadable: 0, end };
            Box::pin(async { Ok(log) })
        }),
        write: Rc::new(move |record| {
            let mut store = writer.borrow_mut();
            store.writes += 1;
            let is_refused = store.takes_no_writes;
            if !is_refused && !store.records.contains(&record) {
                store.records.push(record);
                store.end += 1;
            }
            let is_lost = store.lost_answers > 0;
            store.lost_answers = store.lost_answers.saturating_sub(1);
            Box::pin(async move { if is_refused || is_lost { Err(port_error()) } else { Ok(()) } })
        }),
        remove: Rc::new(move |record, end| {
            let mut store = remover.borrow_mut();
            if store.end == end {
                store.end += 1;
                store.records.retain(|kept| *kept != record);
            }
            Box::pin(async { Ok(()) })
        }),
    }
}

fn record(software: &str) -> VersionRecord {
    VersionRecord { service: "llm".parse().unwrap(), software: software.parse().ok() }
}

/// A daemon that lists engines of these versions, with peers that are reachable.
fn daemon(name: &str, versions: &[&str]) -> Rc<ServeContext> {
    let context = Rc::new(serve_context(name));
    context.config.borrow_mut().offer(config(1));
    for (index, software) in versions.iter().enumerate() {
        list(&context, index, software);
    }
    let records = (0..PEERS).map(|it| CoreRecord { member: peer(it), registered: it as u64 });
    let mut members = context.members.borrow_mut();
    members.note_records(records.collect(), Some(PEERS as u64), Moment::now());
    drop(members);
    hear_peers(&context);
    context
}

fn peer(index: usize) -> MemberDescriptor {
    MemberDescriptor {
        peer_address: address(7_000 + index as u16),
        is_ready: true,
        ..note(&format!("peer{index}"))
    }
}

/// Notes that all peers were just heard, so that they keep their ranks.
fn hear_peers(context: &ServeContext) {
    let mut members = context.members.borrow_mut();
    for index in 0..PEERS {
        members.note_from_peer(peer(index), Moment::now());
    }
}

fn list(context: &ServeContext, index: usize, software: &str) {
    let entry = engine(&format!("e{index}"), 1);
    let entry = UpstreamEntry { software: software.parse().ok(), ..entry };
    context.upstreams.borrow_mut().note_entry(entry);
}

/// Checks the census from so many milliseconds ago until so many ago.
fn follow_back(context: &ServeContext, from_ms: u64, until_ms: u64) {
    let (now, mut upstreams) = (Moment::now(), context.upstreams.borrow_mut());
    let backs = (until_ms..=from_ms).rev().step_by(250);
    backs.for_each(|back| upstreams.check_census(Some(300), now.minus_millis(back)));
}

fn rank(context: &ServeContext) -> usize {
    context.members.borrow().reader_rank(&context.identity.name, Moment::now())
}

/// A daemon of a rank that follows the list.
fn daemon_of_rank(wanted: usize, versions: &[&str]) -> Rc<ServeContext> {
    let context = starting_daemon(wanted, versions);
    follow_back(&context, 250, 0);
    context
}

/// A daemon of a rank, before it follows the list.
fn starting_daemon(wanted: usize, versions: &[&str]) -> Rc<ServeContext> {
    let mut daemons = (0..200).map(|number| daemon(&format!("d{number}"), versions));
    daemons.find(|daemon| rank(daemon) == wanted).unwrap()
}

/// Runs the daemon's task, with its census kept up, until a condition holds; after how long.
fn run_until(
    context: &Rc<ServeContext>,
    store: &SharedStore,
    is_done: impl Fn(&FakeStore) -> bool,
) -> Duration {
    run(async {
        let begun = Instant::now();
        let task = tokio::task::spawn_local(persist_versions(Rc::clone(context), port(store)));
        while !is_done(&store.borrow()) && begun.elapsed() < Duration::from_secs(10) {
            sleep(Duration::from_millis(10)).await;
            context.upstreams.borrow_mut().check_census(Some(300), Moment::now());
            hear_peers(context);
        }
        task.abort();
        begun.elapsed()
    })
}

fn run_for(context: &Rc<ServeContext>, store: &SharedStore, span: Duration) {
    let until = Instant::now() + span;
    run_until(context, store, |_| Instant::now() >= until);
}

fn is_held(context: &ServeContext) -> bool {
    let held = context.upstreams.borrow().census().held(&"llm".parse().unwrap(), Moment::now());
    !held.is_empty()
}

#[test]
fn reader_records_each_version_at_once_and_then_calls_no_more() {
    let store = SharedStore::default();
    let context = daemon_of_rank(0, &["v1", "v1", "v2", ""]);

    let elapsed = run_until(&context, &store, |store| store.records.len() == 3);
    run_for(&context, &store, Duration::from_secs(1));

    assert!(elapsed < AT_ONCE, "{elapsed:?}");
    let store = store.borrow();
    assert!(["v1", "v2", ""].iter().all(|software| store.records.contains(&record(software))));
    assert_eq!((store.reads, store.writes), (1, 3));
}

#[test]
fn versions_of_services_whose_streams_are_not_taken_up_are_not_recorded() {
    let store = SharedStore::default();
    let context = daemon_of_rank(0, &[]);
    context.upstreams.borrow_mut().note_entry(support::upstream("a0", "app"));

    run_for(&context, &store, AT_ONCE);

    assert_eq!(store.borrow().writes, 0);
}

#[test]
fn recorded_versions_are_not_written_again_by_a_daemon_that_starts() {
    let store = SharedStore::default();
    store.borrow_mut().records = vec![record("v1")];
    let context = daemon_of_rank(0, &["v1"]);

    run_for(&context, &store, AT_ONCE);

    assert_eq!(store.borrow().writes, 0);
    assert!(!is_held(&context));
}

#[parameterized(
    first_standby = { 1 },
    last_standby = { 2 },
    any_other = { 3 },
)]
fn version_is_recorded_by_others_if_the_reader_does_not(rank: usize) {
    // Guards against a reader that is dead, cut off, or of a build that records nothing.
    let store = SharedStore::default();
    let context = daemon_of_rank(rank, &["v1"]);

    let elapsed = run_until(&context, &store, |store| !store.records.is_empty());

    assert!(elapsed < Duration::from_millis(MAX_HOLD_MS), "{elapsed:?}");
    assert!(elapsed >= Duration::from_millis(400), "{elapsed:?}");
}

#[test]
fn daemon_learns_that_another_has_recorded_a_version_by_few_reads() {
    let store = SharedStore::default();
    let context = daemon_of_rank(3, &["v1"]);
    run_until(&context, &store, |store| store.reads == 1);
    store.borrow_mut().records = vec![record("v1")];

    run_for(&context, &store, Duration::from_secs(1));

    assert!(!is_held(&context));
    assert_eq!((store.borrow().reads, store.borrow().writes), (2, 0));
}

#[test]
fn record_whose_write_got_no_answer_is_written_again() {
    let store = SharedStore::default();
    store.borrow_mut().lost_answers = 1;
    let context = daemon_of_rank(0, &["v1"]);

    run_until(&context, &store, |store| store.writes == 2);

    run_for(&context, &store, AT_ONCE);
    assert_eq!(store.borrow().records, [record("v1")]);
    assert!(!is_held(&context));
}

#[parameterized(
    reader = { 0, 14 },
    any_other = { 3, 8 },
)]
fn store_that_takes_no_writes_is_called_rarely_and_versions_are_used(rank: usize, most: usize) {
    // Guards against services that stop with the store's writes, and daemons that overwhelm it.
    let store = SharedStore::default();
    store.borrow_mut().takes_no_writes = true;
    let context = daemon_of_rank(rank, &["v1"]);

    run_for(&context, &store, Duration::from_millis(MAX_HOLD_MS + 1_000));

    assert!(!is_held(&context));
    let calls = store.borrow().reads + store.borrow().writes;
    assert!(calls <= most, "{calls}");
}

/// A daemon of a rank that follows the list, where v2 left so long ago and v1 serves; and the store
/// after a while.
fn store_after_v2_left(rank: usize, away_ms: u64, store: FakeStore) -> FakeStore {
    let store = SharedStore::new(RefCell::new(store));
    store.borrow_mut().records = vec![record("v1"), record("v2")];
    let context = starting_daemon(rank, &["v1", "v2"]);
    follow_back(&context, away_ms + 500, away_ms + 250);
    let away = Moment::now().minus_millis(away_ms);
    let leaving =
        UpstreamEntry { software: "v2".parse().ok(), is_leaving: true, ..engine("e1", 1) };
    context.upstreams.borrow_mut().note_entry(leaving);
    context.upstreams.borrow_mut().note_removed(&id("e1"), away);
    follow_back(&context, away_ms, 0);
    run_for(&context, &store, AT_ONCE);
    store.take()
}

const LONG_GONE_MS: u64 = 2 * LONGEST_TAKE_UP_MS + 1_000;

#[parameterized(
    reader = { 0, LONG_GONE_MS, false },
    standby = { 1, LONG_GONE_MS, true },
    streams_are_taken_up = { 0, LONGEST_TAKE_UP_MS, true },
)]
fn record_is_removed_once_no_stream_of_its_version_can_be_taken_up(
    rank: usize,
    away_ms: u64,
    is_kept: bool,
) {
    let store = store_after_v2_left(rank, away_ms, FakeStore::default());

    assert_eq!(store.records.contains(&record("v2")), is_kept);
    assert!(store.records.contains(&record("v1")));
}

#[test]
fn removal_that_is_carried_out_late_removes_no_record_written_since() {
    let store = FakeStore { has_other_writer: true, ..FakeStore::default() };

    let store = store_after_v2_left(0, LONG_GONE_MS, store);

    assert!(store.records.contains(&record("v2")));
}

#[test]
fn record_without_upstreams_is_kept_by_a_reader_that_starts() {
    // Guards against a version that is forgotten since a new reader does not know when it left.
    let store = SharedStore::default();
    store.borrow_mut().records = vec![record("v0")];
    let context = daemon_of_rank(0, &["v1"]);

    run_for(&context, &store, AT_ONCE);

    assert!(store.borrow().records.contains(&record("v0")));
}

#[test]
fn records_are_read_again_after_a_gap_in_the_list() {
    let store = SharedStore::default();
    store.borrow_mut().records = vec![record("v1")];
    let context = daemon_of_rank(3, &["v1"]);
    run_until(&context, &store, |store| store.reads == 1);
    context.upstreams.borrow_mut().check_census(None, Moment::now());

    run_for(&context, &store, AT_ONCE);

    assert_eq!(store.borrow().reads, 2);
}
