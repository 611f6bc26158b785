//! Upstreams that end under requests: what daemons tell each other, and what is kept of it.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    CrashNotice, MAX_DATAGRAM_BYTES, PeerMessage, PortError, QuarantinePort, QuarantineRecord,
    QuarantineSync, ServeContext, ServiceInput, UpstreamTable, WorkTable, apply_message,
    choose_instance, compose_crash_notices, compose_message, compose_reads, is_read_due,
    note_request_answered, note_upstream_crash, persist_quarantines,
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

/// An upstream ended at a daemon under these requests, each by itself.
fn end_at(context: &ServeContext, number: usize, requests: &[RequestDigest]) {
    let at = Moment::now().minus_millis(100 * number as u64);
    note_upstream_crash(context, &id(&format!("u{number}")), requests.to_vec(), at);
}

/// Passes messages on as bytes.
fn pass(messages: &[PeerMessage], to: &ServeContext) {
    let now = Moment::now();
    for message in messages {
        let bytes = message.encode(now);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
        apply_message(to, PeerMessage::decode(&bytes, now).unwrap(), now);
    }
}

fn tell_at_once(from: &ServeContext, name: &str, to: &ServeContext) {
    pass(&compose_crash_notices(from, &note(name), Moment::now()), to);
}

fn is_stopped(context: &ServeContext, request: RequestDigest) -> bool {
    context.ledger.borrow().quarantined_until(request, Moment::now()).is_some()
}

#[test]
fn ends_that_several_daemons_saw_are_counted_together() {
    // Symptom: a request ends three upstreams at each daemon before it is stopped there.
    // Sequence: its caller comes to another daemon each time.
    // Cause: each daemon counted what it saw itself.
    let (one, two, three) = (daemon("d1"), daemon("d2"), daemon("d3"));
    let all = [("d1", &one), ("d2", &two), ("d3", &three)];

    for (number, (name, from)) in all.iter().enumerate() {
        end_at(from, number, &[CRASHING, RequestDigest(100 + number as u128)]);
        let told = compose_crash_notices(from, &note(name), Moment::now());
        all.iter().for_each(|(_, to)| pass(&told, to));
    }

    assert!(is_stopped(&three, CRASHING));
    assert!(!is_stopped(&three, RequestDigest(100)));
}

#[test]
fn ends_told_in_one_message_did_not_come_together() {
    // Symptom: a request that ends its upstreams goes on doing so at the other daemons.
    // Sequence: its three ends, each by itself, reach them in one message.
    // Cause: when they were heard was taken for when they were.
    let (one, two) = (daemon("d1"), daemon("d2"));
    (0..3).for_each(|number| end_at(&one, number, &[CRASHING]));

    pass(&[PeerMessage { stops: Vec::new(), ..summary(&one, "d1") }], &two);

    assert!(is_stopped(&two, CRASHING));
}

#[test]
fn ends_of_one_moment_told_by_several_daemons_count_as_one() {
    let (one, two, three) = (daemon("d1"), daemon("d2"), daemon("d3"));
    let at = Moment::now().minus_millis(1_000);
    let ended = |context: &ServeContext, number: usize| {
        note_upstream_crash(context, &id(&format!("u{number}")), vec![CONCURRENT], at);
    };
    (0..2).for_each(|number| ended(&one, number));
    ended(&two, 2);

    tell_at_once(&one, "d1", &three);
    tell_at_once(&two, "d2", &three);

    assert!(!is_stopped(&three, CONCURRENT));
}

#[test]
fn end_whose_note_was_lost_comes_with_the_next_summary() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    (0..3).for_each(|number| end_at(&one, number, &[CRASHING]));
    drop(compose_crash_notices(&one, &note("d1"), Moment::now()));
    let lost_for = PeerMessage { stops: Vec::new(), ..summary(&one, "d1") };

    pass(&[lost_for], &two);

    assert!(is_stopped(&two, CRASHING));
}

#[test]
fn verdict_reaches_a_daemon_that_saw_none_of_the_ends() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    (0..3).for_each(|number| end_at(&one, number, &[CRASHING]));
    let told = PeerMessage { ended: Vec::new(), ..summary(&one, "d1") };

    pass(&[told.for_relay().relayed()], &two);

    assert!(is_stopped(&two, CRASHING));
}

#[test]
fn verdict_is_in_the_readers_words() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    one.members.borrow_mut().note_listed();
    let now = Moment::now();
    one.reads.borrow_mut().operator.note_own(5, now);
    (0..3).for_each(|number| end_at(&one, number, &[CRASHING]));

    pass(&compose_reads(&one, &note("d1"), now), &two);

    assert!(is_stopped(&two, CRASHING));
}

#[test]
fn upstream_that_one_daemon_does_not_reach_is_still_used_by_the_others() {
    // Symptom: nobody is served, though all upstreams are well.
    // Sequence: one daemon is behind a cut that refuses connections; it takes every upstream for
    // ended, and tells the others.
    // Cause: what one daemon can't reach was taken for gone by all.
    let (one, two) = (daemon("d1"), daemon("d2"));
    (0..200).for_each(|number| end_at(&one, number, &[RequestDigest(1_000 + number as u128)]));

    tell_at_once(&one, "d1", &two);

    let now = Moment::now();
    let has_crashed = |context: &ServeContext, number| {
        context.upstreams.borrow().has_crashed(&id(&format!("u{number}")), now)
    };
    assert!((0..200).all(|number| has_crashed(&one, number)));
    assert!(!(0..200).any(|number| has_crashed(&two, number)));
}

#[test]
fn upstream_that_ended_is_not_chosen_until_its_time_is_over() {
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
            data_centre: &"east".parse().unwrap(),
            tried: &[],
            closed: &[],
            now,
            draw,
        })
    };

    let while_ended: Vec<_> = (0..4).map(|draw| choose(now, draw).unwrap()).collect();
    let later: Vec<_> = (0..4).map(|draw| choose(Moment(1_600), draw).unwrap()).collect();

    assert!(while_ended.iter().all(|chosen| *chosen == id("b")), "{while_ended:?}");
    assert!(later.contains(&id("a")), "{later:?}");
}

#[test]
fn upstreams_that_all_refuse_are_tried_all_the_same() {
    // Symptom: a daemon refuses everything for seconds after a cut has healed.
    // Sequence: the cut refuses connections; the daemon takes all upstreams for ended.
    // Cause: what was taken for ended was not tried any more, though nothing else was left.
    let mut upstreams = UpstreamTable::default();
    let now = Moment(1_000);
    for name in ["a", "b"] {
        upstreams.note_entry(upstream(name, "app"));
        upstreams.note_crashed(&id(name), Deadline::after(now, 500));
    }

    assert_eq!(upstreams.serving(&"app".parse().unwrap(), now).count(), 2);
}

#[test]
fn upstream_that_leaves_ends_through_nobodys_fault() {
    let context = daemon("d1");
    for number in 0..3 {
        let mut entry = upstream(&format!("u{number}"), "app");
        entry.is_leaving = true;
        context.upstreams.borrow_mut().note_entry(entry);
        end_at(&context, number, &[CONCURRENT]);
    }

    assert!(!is_stopped(&context, CONCURRENT) && context.ledger.borrow().is_empty());
}

#[test]
fn a_hundred_ends_at_once_are_told_in_whole_datagrams() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    let requests: Vec<RequestDigest> = (1_000..1_060).map(RequestDigest).collect();
    (0..100).for_each(|number| end_at(&one, number, &requests));

    tell_at_once(&one, "d1", &two);
    pass(&[summary(&one, "d1")], &two);

    assert_eq!(two.ledger.borrow().crash_count(), 100);
}

#[test]
fn answer_at_one_daemon_clears_a_request_at_the_others() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    (0..2).for_each(|number| end_at(&one, number, &[CONCURRENT]));
    tell_at_once(&one, "d1", &two);

    one.ledger.borrow_mut().note_answer(CONCURRENT, Moment::now());
    pass(&[summary(&one, "d1")], &two);
    end_at(&two, 5, &[CONCURRENT]);

    assert!(!is_stopped(&two, CONCURRENT));
}

#[test]
fn end_is_not_told_again_for_a_request_that_was_answered() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    (0..3).for_each(|number| {
        end_at(&one, number, &[CONCURRENT, RequestDigest(100 + number as u128)])
    });
    note_request_answered(&one, CONCURRENT);

    // The first word that this daemon gets of all that.
    pass(&[PeerMessage { cleared: Vec::new(), ..summary(&one, "d1") }], &two);

    assert!(!is_stopped(&two, CONCURRENT));
    assert_eq!(two.ledger.borrow().crash_count(), 3);
}

#[parameterized(
    reader_at_its_start = { false, 0, 0, 0, true },
    standby_at_its_start = { false, 0, 0, 2, true },
    other_waits_to_be_told = { false, 0, 300, 9, false },
    other_that_nobody_tells = { false, 0, 1_000, 9, true },
    told_just_now = { true, 900, 1_000, 9, false },
    cut_off_from_its_peers = { true, 900, 3_000, 9, true },
)]
fn records_are_read_only_where_nobody_tells_them(
    is_known: bool,
    told: u64,
    now: u64,
    turn: usize,
    is_due: bool,
) {
    let sight = QuarantineSync { is_known, last_confirmed: Moment(told) };

    assert_eq!(is_read_due(sight, Moment(0), turn, 5, Moment(now)), is_due);
}

#[test]
fn daemon_without_peers_reads_the_records_once() {
    let sight = QuarantineSync { is_known: true, last_confirmed: Moment(0) };

    assert!(!is_read_due(sight, Moment(0), 0, 0, Moment(60_000)));
}

/// Records in a store that can be away.
#[derive(Default)]
struct PlayedStore {
    records: RefCell<Vec<QuarantineRecord>>,
    is_unavailable: Cell<bool>,
    reads: Cell<usize>,
}

impl PlayedStore {
    fn port(self: &Rc<Self>) -> QuarantinePort {
        let [reading, writing, removing] = [(); 3].map(|()| Rc::clone(self));
        QuarantinePort {
            read: Rc::new(move || {
                reading.reads.set(reading.reads.get() + 1);
                let read = reading.answer().map(|()| reading.records.borrow().clone());
                Box::pin(async { read })
            }),
            write: Rc::new(move |record| {
                let written = writing.answer().map(|()| writing.records.borrow_mut().push(record));
                Box::pin(async { written })
            }),
            remove: Rc::new(move |request| {
                let kept = |record: &QuarantineRecord| record.request != request;
                let removed =
                    removing.answer().map(|()| removing.records.borrow_mut().retain(kept));
                Box::pin(async { removed })
            }),
        }
    }

    fn answer(&self) -> Result<(), PortError> {
        if self.is_unavailable.get() { Err(PortError::new(&"away")) } else { Ok(()) }
    }
}

/// Runs the duty of a daemon that is the only one until something holds.
fn keep_until(context: &Rc<ServeContext>, store: &Rc<PlayedStore>, holds: impl Fn() -> bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let duty = tokio::task::spawn_local(persist_quarantines(Rc::clone(context), store.port()));
        let deadline = Deadline::in_millis(10_000);
        while !holds() {
            assert!(!deadline.passed(Moment::now()), "it does not come to hold");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        duty.abort();
    });
}

fn alone() -> Rc<ServeContext> {
    let context = daemon("d1");
    context.members.borrow_mut().note_listed();
    context
}

#[test]
fn stopped_request_outlasts_all_daemons() {
    let store = Rc::new(PlayedStore::default());
    let (before, after) = (alone(), alone());
    (0..3).for_each(|number| end_at(&before, number, &[CRASHING]));

    keep_until(&before, &store, || !store.records.borrow().is_empty());
    keep_until(&after, &store, || is_stopped(&after, CRASHING));

    assert_eq!(
        *store.records.borrow(),
        [QuarantineRecord { request: CRASHING, quarantine_count: 1 }]
    );
    assert!(after.quarantine_sync.get().is_known);
}

#[test]
fn stopped_request_is_written_once_the_store_is_back() {
    let store = Rc::new(PlayedStore::default());
    store.is_unavailable.set(true);
    let context = alone();
    (0..3).for_each(|number| end_at(&context, number, &[CRASHING]));

    keep_until(&context, &store, || store.reads.get() >= 2);
    store.is_unavailable.set(false);
    keep_until(&context, &store, || store.records.borrow().len() == 1);

    assert!(is_stopped(&context, CRASHING));
}

#[test]
fn record_of_a_request_that_was_cleared_is_dropped() {
    let store = Rc::new(PlayedStore::default());
    let context = alone();
    store.records.borrow_mut().push(QuarantineRecord { request: CONCURRENT, quarantine_count: 1 });
    let (clearing, stored) = (Rc::clone(&context), Rc::clone(&store));

    keep_until(&context, &store, move || {
        // It is answered after all: its run was under way when it was stopped.
        clearing.ledger.borrow_mut().note_answer(CONCURRENT, Moment::now());
        stored.records.borrow().is_empty()
    });

    assert!(!is_stopped(&context, CONCURRENT));
}

#[test]
fn end_of_an_upstream_that_is_not_listed_here_counts() {
    let context = daemon("d1");
    let strangers = (0..3).map(|number| CrashNotice {
        upstream: id(&format!("stranger{number}")),
        at: Moment::now().minus_millis(100 * number),
        requests: vec![CRASHING],
    });
    let message = PeerMessage { ended: strangers.collect(), ..summary(&daemon("d2"), "d2") };

    pass(&[message], &context);

    assert!(is_stopped(&context, CRASHING));
}
