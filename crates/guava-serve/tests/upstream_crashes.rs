//! Upstreams that crash: the evidence that daemons exchange, and the quarantines that are
//! persisted.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_policy::ReportTable;
use guava_serve::{
    CrashNotice, MAX_DATAGRAM_BYTES, PeerMessage, PortError, QuarantineChange, QuarantineLog,
    QuarantinePort, QuarantineRecord, QuarantineSync, ServeContext, ServiceInput,
    StoredQuarantines, UpstreamTable, WorkTable, apply_message, choose_instance,
    compose_crash_notices, compose_message, compose_reads, is_read_due, note_request_answered,
    note_upstream_crash, persist_quarantines,
};
use guava_types::{Deadline, Moment, RequestDigest};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use support::{id, news, note, serve_context, upstream};
use yare::parameterized;

const CRASHING: RequestDigest = RequestDigest(7);
const CONCURRENT: RequestDigest = RequestDigest(8);

fn summary(context: &ServeContext, name: &str) -> PeerMessage {
    compose_message(context, news(name), Moment::now())
}

/// A daemon that knows some upstreams.
fn daemon(name: &str) -> Rc<ServeContext> {
    let context = serve_context(name);
    for number in 0..200 {
        context.upstreams.borrow_mut().note_entry(upstream(&format!("u{number}"), "app"));
    }
    Rc::new(context)
}

fn crash(number: usize, requests: &[RequestDigest], at: Moment) -> CrashNotice {
    let upstream = id(&format!("u{number}"));
    CrashNotice { upstream, at, requests: requests.to_vec(), parts: Vec::new() }
}

/// Notes at a daemon that an upstream crashed with these requests in flight; crashes with different
/// numbers are not simultaneous.
fn crash_at(context: &ServeContext, number: usize, requests: &[RequestDigest]) {
    let at = Moment::now().minus_millis(100 * number as u64);
    note_upstream_crash(context, crash(number, requests, at));
}

/// Encodes messages, and applies them at another daemon.
fn deliver(messages: &[PeerMessage], to: &ServeContext) {
    let now = Moment::now();
    for message in messages {
        let bytes = message.encode(now);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
        apply_message(to, PeerMessage::decode(&bytes, now).unwrap(), now);
    }
}

fn deliver_immediate(from: &ServeContext, name: &str, to: &ServeContext) {
    deliver(&compose_crash_notices(from, &note(name), Moment::now()), to);
}

fn is_quarantined(context: &ServeContext, request: RequestDigest) -> bool {
    context.ledger.borrow().quarantined_until(request, Moment::now()).is_some()
}

#[test]
fn crashes_noted_by_several_daemons_are_counted_together() {
    // Guards against a request that crashes three upstreams per daemon before it is quarantined:
    // its caller sends each retry to another daemon, and each daemon counted only its own crashes.
    let (one, two, three) = (daemon("d1"), daemon("d2"), daemon("d3"));
    let all = [("d1", &one), ("d2", &two), ("d3", &three)];

    for (number, (name, from)) in all.iter().enumerate() {
        crash_at(from, number, &[CRASHING, RequestDigest(100 + number as u128)]);
        let sent = compose_crash_notices(from, &note(name), Moment::now());
        all.iter().for_each(|(_, to)| deliver(&sent, to));
    }

    assert!(is_quarantined(&three, CRASHING));
    assert!(!is_quarantined(&three, RequestDigest(100)));
}

#[test]
fn crashes_in_one_message_do_not_count_as_simultaneous() {
    // Guards against a crash-inducing request that is not quarantined at the other daemons: its
    // three separate crashes arrive in one message, and the time of arrival was used as the time of
    // the crashes.
    let (one, two) = (daemon("d1"), daemon("d2"));
    (0..3).for_each(|number| crash_at(&one, number, &[CRASHING]));

    deliver(&[PeerMessage { stops: Vec::new(), ..summary(&one, "d1") }], &two);

    assert!(is_quarantined(&two, CRASHING));
}

#[test]
fn simultaneous_crashes_reported_by_several_daemons_count_as_one() {
    let (one, two, three) = (daemon("d1"), daemon("d2"), daemon("d3"));
    let at = Moment::now().minus_millis(1_000);
    let crash = |context: &ServeContext, number: usize| {
        note_upstream_crash(context, crash(number, &[CONCURRENT], at));
    };
    (0..2).for_each(|number| crash(&one, number));
    crash(&two, 2);

    deliver_immediate(&one, "d1", &three);
    deliver_immediate(&two, "d2", &three);

    assert!(!is_quarantined(&three, CONCURRENT));
}

#[test]
fn crash_whose_immediate_message_was_lost_is_in_the_next_summary() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    (0..3).for_each(|number| crash_at(&one, number, &[CRASHING]));
    drop(compose_crash_notices(&one, &note("d1"), Moment::now()));
    let summary_after_loss = PeerMessage { stops: Vec::new(), ..summary(&one, "d1") };

    deliver(&[summary_after_loss], &two);

    assert!(is_quarantined(&two, CRASHING));
}

#[test]
fn quarantine_reaches_a_daemon_that_knows_none_of_the_crashes() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    (0..3).for_each(|number| crash_at(&one, number, &[CRASHING]));
    let sent = PeerMessage { ended: Vec::new(), ..summary(&one, "d1") };

    deliver(&[sent.for_relay().relayed()], &two);

    assert!(is_quarantined(&two, CRASHING));
}

#[test]
fn quarantine_is_in_the_read_marks_of_the_reader() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    one.members.borrow_mut().note_listed();
    let now = Moment::now();
    one.reads.borrow_mut().operator.note_own(5, now);
    (0..3).for_each(|number| crash_at(&one, number, &[CRASHING]));

    deliver(&compose_reads(&one, &note("d1"), now), &two);

    assert!(is_quarantined(&two, CRASHING));
}

#[test]
fn upstream_that_one_daemon_cannot_reach_is_still_used_by_the_others() {
    // Guards against an outage although all upstreams run: one daemon is behind a network partition
    // that refuses connections, considers every upstream crashed, and gossips that. The other
    // daemons must go on using the upstreams.
    let (one, two) = (daemon("d1"), daemon("d2"));
    (0..200).for_each(|number| crash_at(&one, number, &[RequestDigest(1_000 + number as u128)]));

    deliver_immediate(&one, "d1", &two);

    let now = Moment::now();
    let has_crashed = |context: &ServeContext, number| {
        context.upstreams.borrow().has_crashed(&id(&format!("u{number}")), now)
    };
    assert!((0..200).all(|number| has_crashed(&one, number)));
    assert!(!(0..200).any(|number| has_crashed(&two, number)));
}

#[test]
fn crashed_upstream_is_not_chosen_until_its_crash_expires() {
    let mut upstreams = UpstreamTable::default();
    upstreams.note_entry(upstream("a", "app"));
    upstreams.note_entry(upstream("b", "app"));
    let now = Moment(1_000);
    upstreams.note_crashed(&id("a"), Deadline::after(now, 500));
    let choose = |now, draw| {
        choose_instance(&ServiceInput {
            service: &"app".parse().unwrap(),
            upstreams: &upstreams,
            work: &WorkTable::default(),
            reports: &ReportTable::default(),
            daemons: &|| 1,
            local_daemon: &"d1".parse().unwrap(),
            data_centre: &"east".parse().unwrap(),
            software: None,
            tried: &[],
            is_closed: &|_| false,
            now,
            draw,
        })
        .map(|choice| choice.upstream)
    };

    let while_crashed: Vec<_> = (0..4).map(|draw| choose(now, draw).unwrap()).collect();
    let later: Vec<_> = (0..4).map(|draw| choose(Moment(1_600), draw).unwrap()).collect();

    assert!(while_crashed.iter().all(|chosen| *chosen == id("b")), "{while_crashed:?}");
    assert!(later.contains(&id("a")), "{later:?}");
}

#[test]
fn upstreams_are_eligible_if_all_of_them_count_as_crashed() {
    // Guards against a daemon that refuses all requests for seconds after a network partition ends:
    // the partition refused connections, all upstreams counted as crashed, and none was attempted
    // although no other was left.
    let mut upstreams = UpstreamTable::default();
    let now = Moment(1_000);
    for name in ["a", "b"] {
        upstreams.note_entry(upstream(name, "app"));
        upstreams.note_crashed(&id(name), Deadline::after(now, 500));
    }

    assert_eq!(upstreams.serving(&"app".parse().unwrap(), now).count(), 2);
}

#[test]
fn exit_of_a_leaving_upstream_is_no_evidence() {
    let context = daemon("d1");
    for number in 0..3 {
        let mut entry = upstream(&format!("u{number}"), "app");
        entry.is_leaving = true;
        context.upstreams.borrow_mut().note_entry(entry);
        crash_at(&context, number, &[CONCURRENT]);
    }

    assert!(!is_quarantined(&context, CONCURRENT) && context.ledger.borrow().is_empty());
}

#[test]
fn a_hundred_simultaneous_crashes_are_sent_in_complete_datagrams() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    let requests: Vec<RequestDigest> = (1_000..1_060).map(RequestDigest).collect();
    (0..100).for_each(|number| crash_at(&one, number, &requests));

    deliver_immediate(&one, "d1", &two);
    deliver(&[summary(&one, "d1")], &two);

    assert_eq!(two.ledger.borrow().crash_count(), 100);
}

#[test]
fn answer_at_one_daemon_clears_a_request_at_the_others() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    (0..2).for_each(|number| crash_at(&one, number, &[CONCURRENT]));
    deliver_immediate(&one, "d1", &two);

    one.ledger.borrow_mut().note_answer(CONCURRENT, Moment::now());
    deliver(&[summary(&one, "d1")], &two);
    crash_at(&two, 5, &[CONCURRENT]);

    assert!(!is_quarantined(&two, CONCURRENT));
}

#[test]
fn crash_is_not_repeated_for_a_request_that_was_answered() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    (0..3).for_each(|number| {
        crash_at(&one, number, &[CONCURRENT, RequestDigest(100 + number as u128)])
    });
    note_request_answered(&one, CONCURRENT);

    // The first message about these crashes that the other daemon receives.
    deliver(&[PeerMessage { cleared: Vec::new(), ..summary(&one, "d1") }], &two);

    assert!(!is_quarantined(&two, CONCURRENT));
    assert_eq!(two.ledger.borrow().crash_count(), 3);
}

#[parameterized(
    reader_at_its_start = { false, 0, 0, 0, true },
    standby_at_its_start = { false, 0, 0, 2, true },
    other_waits_for_a_report = { false, 0, 300, 9, false },
    other_without_a_report = { false, 0, 1_000, 9, true },
    confirmed_just_now = { true, 900, 1_000, 9, false },
    cut_off_from_its_peers = { true, 900, 3_000, 9, true },
)]
fn records_are_read_only_where_no_peer_reports_them(
    is_known: bool,
    last_confirmed: u64,
    now: u64,
    rank: usize,
    is_due: bool,
) {
    let sync = QuarantineSync { is_known, last_confirmed: Moment(last_confirmed) };

    assert_eq!(is_read_due(sync, Moment(0), rank, 5, Moment(now)), is_due);
}

#[test]
fn daemon_without_peers_reads_the_records_once() {
    let sync = QuarantineSync { is_known: true, last_confirmed: Moment(0) };

    assert!(!is_read_due(sync, Moment(0), 0, 0, Moment(60_000)));
}

/// The log of quarantine records in a simulated store that can be made unavailable.
#[derive(Default)]
struct SimulatedStore {
    log: RefCell<Vec<QuarantineChange>>,
    is_unavailable: Cell<bool>,
    reads: Cell<usize>,
}

impl SimulatedStore {
    fn port(self: &Rc<Self>) -> QuarantinePort {
        let [reading, writing, removing] = [(); 3].map(|()| Rc::clone(self));
        QuarantinePort {
            read: Rc::new(move |from| {
                reading.reads.set(reading.reads.get() + 1);
                let read = reading.answer().map(|()| reading.log_from(from));
                Box::pin(async { read })
            }),
            write: Rc::new(move |QuarantineRecord { request, quarantine_count }| {
                let written =
                    writing.answer().map(|()| writing.put(request, Some(quarantine_count)));
                Box::pin(async { written })
            }),
            remove: Rc::new(move |request| {
                let removed = removing.answer().map(|()| {
                    removing.put(request, None);
                });
                Box::pin(async { removed })
            }),
        }
    }

    /// Appends a record, or drops one; returns the offset.
    fn put(&self, request: RequestDigest, quarantine_count: Option<u32>) -> u64 {
        let mut log = self.log.borrow_mut();
        let offset = log.len() as u64;
        log.push(QuarantineChange { request, quarantine_count, offset });
        offset
    }

    fn log_from(&self, from: Option<u64>) -> QuarantineLog {
        let log = self.log.borrow();
        let next = Some(log.len() as u64);
        let changes = match from {
            Some(from) => log.iter().skip(from as usize).copied().collect(),
            None => {
                let is_newest = |change: &&QuarantineChange| {
                    let later = &log[change.offset as usize + 1..];
                    later.iter().all(|other| other.request != change.request)
                };
                let newest = log.iter().filter(is_newest);
                newest.filter(|change| change.quarantine_count.is_some()).copied().collect()
            }
        };
        QuarantineLog { changes, next }
    }

    /// The records that stand.
    fn records(&self) -> Vec<QuarantineRecord> {
        let newest = self.log_from(None).changes.into_iter();
        newest
            .filter_map(|QuarantineChange { request, quarantine_count, .. }| {
                Some(QuarantineRecord { request, quarantine_count: quarantine_count? })
            })
            .collect()
    }

    fn answer(&self) -> Result<(), PortError> {
        if self.is_unavailable.get() { Err(PortError::new(&"unavailable")) } else { Ok(()) }
    }
}

/// Runs the task of a daemon that has no peers until a condition holds.
fn persist_until(
    context: &Rc<ServeContext>,
    store: &Rc<SimulatedStore>,
    mut holds: impl FnMut() -> bool,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let task = tokio::task::spawn_local(persist_quarantines(Rc::clone(context), store.port()));
        let deadline = Deadline::in_millis(10_000);
        while !holds() {
            assert!(!deadline.passed(Moment::now()), "the condition does not hold after 10 s");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        task.abort();
    });
}

fn daemon_without_peers() -> Rc<ServeContext> {
    let context = daemon("d1");
    context.members.borrow_mut().note_listed();
    context
}

#[test]
fn quarantine_survives_the_loss_of_all_daemons() {
    let store = Rc::new(SimulatedStore::default());
    let (before, after) = (daemon_without_peers(), daemon_without_peers());
    (0..3).for_each(|number| crash_at(&before, number, &[CRASHING]));

    persist_until(&before, &store, || !store.records().is_empty());
    persist_until(&after, &store, || is_quarantined(&after, CRASHING));

    assert_eq!(store.records(), [QuarantineRecord { request: CRASHING, quarantine_count: 1 }]);
    assert!(after.quarantine_sync.get().is_known);
}

#[test]
fn quarantine_is_written_once_the_store_is_available_again() {
    let store = Rc::new(SimulatedStore::default());
    store.is_unavailable.set(true);
    let context = daemon_without_peers();
    (0..3).for_each(|number| crash_at(&context, number, &[CRASHING]));

    persist_until(&context, &store, || store.reads.get() >= 2);
    store.is_unavailable.set(false);
    persist_until(&context, &store, || store.records().len() == 1);

    assert!(is_quarantined(&context, CRASHING));
}

#[test]
fn record_of_a_cleared_request_is_removed() {
    let store = Rc::new(SimulatedStore::default());
    let context = daemon_without_peers();
    store.put(CONCURRENT, Some(1));
    let (clearing, stored) = (Rc::clone(&context), Rc::clone(&store));

    persist_until(&context, &store, move || {
        // Its run was in flight when the request was quarantined, and completes successfully.
        clearing.ledger.borrow_mut().note_answer(CONCURRENT, Moment::now());
        stored.records().is_empty()
    });

    assert!(!is_quarantined(&context, CONCURRENT));
}

#[test]
fn dropped_record_releases_its_request_at_all_daemons() {
    // Guards against a request that stays refused for hours though its upstreams are repaired.
    let store = Rc::new(SimulatedStore::default());
    let (reader, other) = (daemon_without_peers(), daemon("d2"));
    (0..3).for_each(|number| crash_at(&reader, number, &[CRASHING]));
    deliver(&[summary(&reader, "d1")], &other);
    assert!(is_quarantined(&other, CRASHING));
    let mut is_dropped = false;

    persist_until(&reader, &store, || {
        if !is_dropped && !store.records().is_empty() {
            store.put(CRASHING, None);
            is_dropped = true;
        }
        !is_quarantined(&reader, CRASHING)
    });
    deliver(&[summary(&reader, "d1")], &other);

    assert!(!is_quarantined(&other, CRASHING));
}

#[test]
fn quarantine_that_could_not_be_written_is_not_taken_for_dropped() {
    // Guards against an outage of the store that releases what crashes upstreams.
    let store = Rc::new(SimulatedStore::default());
    store.put(CRASHING, Some(1));
    store.put(CRASHING, None);
    let reader = daemon_without_peers();

    persist_until(&reader, &store, || {
        let reads = store.reads.get();
        if reads == 1 && !is_quarantined(&reader, CRASHING) {
            store.is_unavailable.set(true);
            (0..3).for_each(|number| crash_at(&reader, number, &[CRASHING]));
        }
        store.is_unavailable.set((1..3).contains(&reads));
        reads >= 5
    });

    assert!(is_quarantined(&reader, CRASHING));
    assert_eq!(store.records().len(), 1);
}

/// Changes of one request's record, at these offsets.
fn changes(of: &[(Option<u32>, u64)]) -> Vec<QuarantineChange> {
    let change = |(quarantine_count, offset): &(Option<u32>, u64)| QuarantineChange {
        request: CRASHING,
        quarantine_count: *quarantine_count,
        offset: *offset,
    };
    of.iter().map(change).collect()
}

#[parameterized(
    dropped = { &[(None, 8)], true, 0 },
    dropped_before_it_was_written = { &[(None, 6)], false, 0 },
    merely_absent = { &[], false, 0 },
    dropped_and_written_by_another = { &[(None, 8), (Some(1), 9)], true, 1 },
    written_again_and_dropped = { &[(Some(2), 8), (None, 9)], true, 0 },
    read_again = { &[(Some(1), 7)], false, 0 },
)]
fn record_counts_as_dropped_only_after_it_stood(
    read: &[(Option<u32>, u64)],
    is_dropped: bool,
    added: usize,
) {
    let record = QuarantineRecord { request: CRASHING, quarantine_count: 1 };
    let mut stored = StoredQuarantines::default();
    stored.note_written(record, 7);

    let update = stored.apply(&changes(read));

    assert_eq!(update.dropped, if is_dropped { vec![record] } else { Vec::new() });
    assert_eq!(update.added.len(), added);
    assert_eq!(stored.lacks(record), is_dropped && added == 0);
}

#[test]
fn record_that_came_and_went_between_two_reads_is_neither_dropped_nor_added() {
    let mut stored = StoredQuarantines::default();

    let update = stored.apply(&changes(&[(Some(1), 7), (None, 8)]));

    assert!(update.dropped.is_empty() && update.added.is_empty(), "{update:?}");
}

#[test]
fn crash_of_an_upstream_that_is_not_listed_here_counts() {
    let context = daemon("d1");
    let unlisted = (0..3).map(|number| CrashNotice {
        upstream: id(&format!("unlisted{number}")),
        at: Moment::now().minus_millis(100 * number),
        requests: vec![CRASHING],
        parts: Vec::new(),
    });
    let message = PeerMessage { ended: unlisted.collect(), ..summary(&daemon("d2"), "d2") };

    deliver(&[message], &context);

    assert!(is_quarantined(&context, CRASHING));
}
