//! The lease rule: at most one daemon holds a lease at a time, whatever is late, lost or paused.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_state::{
    FleetState, LeaseEntry, LeaseRequest, LeaseWatch, LogRecord, RecordBody, clock_margin_ms,
};
use guava_types::{Incarnation, Moment, Offset, RecordId, WallTime};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = *b"guavatiller: properties of lease";
const TERM_MS: u64 = 10_000;
const HOLDERS: usize = 3;

/// One step of a run: time passes or one daemon acts.
#[derive(Clone, Copy, Debug)]
enum LeaseStep {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// Requests the lease if it may; the append takes effect after `lands_after` further steps.
    Request { who: usize, lands_after: usize },
    /// Reads the log up to its end.
    Read { who: usize },
}

fn any_step() -> impl Strategy<Value = LeaseStep> {
    prop_oneof![
        (0..6_000_u64).prop_map(LeaseStep::Wait),
        (0..HOLDERS, 0..8_usize)
            .prop_map(|(who, lands_after)| LeaseStep::Request { who, lands_after }),
        (0..HOLDERS).prop_map(|who| LeaseStep::Read { who }),
    ]
}

fn incarnation(who: usize) -> Incarnation {
    Incarnation(who as u128 + 1)
}

fn lease_record(who: usize, against: Offset) -> LogRecord {
    LogRecord {
        id: RecordId::random(),
        author: incarnation(who),
        wall: WallTime(0),
        body: RecordBody::Lease(LeaseRequest { name: "x".into(), against, term_ms: TERM_MS }),
    }
}

#[test]
fn at_most_one_daemon_holds_a_lease() {
    // Guards against two daemons that give orders at the same time. Appends take effect late and in
    // any order, and readers lag or are paused. It would happen if a holder counted its term from
    // when it read the record, or another daemon counted from when the record was written.
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let steps = proptest::collection::vec(any_step(), 1..80);

    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut now = Moment(1_000);
            let mut log: Vec<LogRecord> = Vec::new();
            let mut pending_appends: Vec<(usize, LogRecord)> = Vec::new();
            let mut watches = vec![LeaseWatch::default(); HOLDERS];
            let mut states = vec![FleetState::default(); HOLDERS];
            for step in steps {
                pending_appends.iter_mut().for_each(|entry| entry.0 = entry.0.saturating_sub(1));
                let landed = pending_appends.extract_if(.., |entry| entry.0 == 0);
                log.extend(landed.map(|(_, record)| record));
                match step {
                    LeaseStep::Wait(millis) => now = Moment(now.0 + millis),
                    LeaseStep::Request { who, lands_after } => {
                        if let Some(against) = watches[who].may_request(incarnation(who), now) {
                            watches[who].request_sent(now, TERM_MS);
                            pending_appends.push((lands_after, lease_record(who, against)));
                        }
                    }
                    LeaseStep::Read { who } => {
                        let from = states[who].next().0;
                        for (offset, record) in (from..).zip(&log[from as usize..]) {
                            states[who].fold(Offset(offset), &record.encode().unwrap());
                            watches[who].observe(states[who].lease("x"), incarnation(who), now);
                        }
                    }
                }
                let holders = watches.iter().filter(|watch| watch.token(now).is_some()).count();
                prop_assert!(holders <= 1, "{holders} holders at {now:?}");
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn lease_expires_while_its_holder_is_paused() {
    let mut state = FleetState::default();
    state.fold(Offset(0), &lease_record(0, Offset(0)).encode().unwrap());
    let mut holder = LeaseWatch::default();
    let mut other = LeaseWatch::default();
    holder.request_sent(Moment(1_000), TERM_MS);
    holder.observe(state.lease("x"), incarnation(0), Moment(1_500));
    other.observe(state.lease("x"), incarnation(1), Moment(1_500));
    assert!(holder.token(Moment(1_600)).is_some());

    let resumed_at = Moment(1_000 + TERM_MS);

    assert!(holder.token(resumed_at).is_none());
    assert!(
        other.may_request(incarnation(1), resumed_at).is_none(),
        "the margin has not passed yet"
    );
    let requestable_at = Moment(1_500 + TERM_MS + clock_margin_ms(TERM_MS));
    assert!(other.may_request(incarnation(1), requestable_at).is_some());
}

#[test]
fn restarted_holder_may_renew_its_lease_at_once() {
    // Guards against a complete term without orders to engines after all daemons were killed. The
    // holder restarts and finds its own unexpired lease in the log; it would have to wait for its
    // expiry if each start counted as another holder.
    let entry = LeaseEntry {
        holder: incarnation(0),
        token: Offset(5),
        renewed: Offset(7),
        term_ms: TERM_MS,
    };
    let mut restarted = LeaseWatch::default();
    let mut other = LeaseWatch::default();

    restarted.observe(Some(&entry), incarnation(0), Moment(1_000));
    other.observe(Some(&entry), incarnation(1), Moment(1_000));

    assert_eq!(restarted.may_request(incarnation(0), Moment(1_001)), Some(Offset(7)));
    assert_eq!(restarted.token(Moment(1_001)), None);
    assert_eq!(other.may_request(incarnation(1), Moment(1_001)), None);
}
