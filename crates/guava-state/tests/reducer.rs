//! Tests of the reducer: properties over random orders of records, and single cases.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_state::{
    ChangeRequest, ChangeVerdict, ConfigObject, FleetState, FoldOutcome, IntentEntry,
    IntentVerdict, LogRecord, MemberEntry, ObjectKey, RecordBody, WeightProfile, restore,
    snapshot_parts, state_from_json, state_text,
};
use guava_types::{CallKey, Incarnation, Offset, RecordId, RequestDigest, WallTime};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Seed of all properties in this file; a failing case prints its input.
const SEED: [u8; 32] = *b"guavatiller: reducer properties!";
const CASES: u32 = 256;

/// Wall time at which the keys of these tests were issued, in milliseconds.
const ISSUED_MS: u64 = 1_700_000_000_000;

fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn key(number: u8) -> CallKey {
    // A version 7 UUID: 48 bits of milliseconds, version, variant, and the number.
    let uuid = format!(
        "{:08x}-{:04x}-7000-8000-0000000000{number:02x}",
        ISSUED_MS >> 16,
        ISSUED_MS & 0xffff
    );
    format!("acme/{uuid}").parse().unwrap()
}

fn record(author: u8, id: u128, wall_ms: u64, body: RecordBody) -> LogRecord {
    LogRecord {
        id: RecordId(id),
        author: Incarnation(u128::from(author)),
        wall: WallTime(ISSUED_MS + wall_ms),
        body,
    }
}

fn weights(against: u64, link: u32) -> RecordBody {
    RecordBody::Change(ChangeRequest {
        operator: "ann".into(),
        object: ObjectKey::profile(),
        against: Offset(against),
        value: Some(ConfigObject::Profile(WeightProfile { first_token: 1, recompute: 1, link })),
    })
}

fn member(number: u8) -> MemberEntry {
    MemberEntry {
        name: format!("entry-{number}").parse().unwrap(),
        data_centre: "karlin".parse().unwrap(),
        caller_address: "127.0.0.1:1".parse().unwrap(),
        peer_address: "127.0.0.1:2".parse().unwrap(),
    }
}

/// Any record: few authors, keys and revisions, so that conflicts occur.
fn any_record() -> impl Strategy<Value = LogRecord> {
    let intent = (0..6_u128, 0..4_u8)
        .prop_map(|(id, number)| IntentEntry { id: RecordId(id), key: key(number) });
    let body = prop_oneof![
        4 => proptest::collection::vec(intent.clone(), 1..3).prop_map(RecordBody::Intents),
        2 => proptest::collection::vec(intent, 1..3).prop_map(RecordBody::Releases),
        2 => (0..12_u64, 0..9_u32).prop_map(|(against, link)| weights(against, link)),
        1 => (0..4_u8).prop_map(|number| RecordBody::Join(member(number))),
        1 => (0..4_u128).prop_map(|id| RecordBody::Evict { incarnation: Incarnation(id) }),
        1 => (0..4_u128, 1..4_u32).prop_map(|(request, times)| {
            RecordBody::Stop { request: RequestDigest(request), times }
        }),
        1 => (0..4_u128).prop_map(|id| RecordBody::Unstop { request: RequestDigest(id) }),
    ];
    // Wall clocks may be off by hours in either direction.
    (0..4_u8, 0..40_u128, 0..20_000_000_u64, body)
        .prop_map(|(author, id, wall, body)| record(author, id, wall, body))
}

fn any_log() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let bytes = prop_oneof![
        9 => any_record().prop_map(|record| record.encode().unwrap()),
        1 => proptest::collection::vec(any::<u8>(), 0..20),
    ];
    proptest::collection::vec(bytes, 0..40)
}

fn fold_all(log: &[Vec<u8>]) -> FleetState {
    let mut state = FleetState::default();
    for (offset, bytes) in (0..).map(Offset).zip(log) {
        state.fold(offset, bytes);
    }
    state
}

#[test]
fn any_delivery_of_the_log_folds_to_the_same_state() {
    // Guards against daemons with different states after the same records: one reads the log once,
    // another restarts from a snapshot in the middle, reads some records again and continues. Their
    // states would differ if folding depended on how the records are delivered.
    let input = (any_log(), any::<prop::sample::Index>(), any::<prop::sample::Index>());
    runner()
        .run(&input, |(log, cut, back)| {
            let once = fold_all(&log);
            let cut = cut.index(log.len() + 1);
            let first = fold_all(&log[..cut]);
            let text = state_text(&first).unwrap();
            let mut state = state_from_json(&text.text, &text.digest).unwrap();
            let back = back.index(cut + 1);

            for (offset, bytes) in (back..).map(|at| Offset(at as u64)).zip(&log[back..]) {
                state.fold(offset, bytes);
            }

            prop_assert_eq!(state_text(&state).unwrap(), state_text(&once).unwrap());
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_key_is_held_by_at_most_one_intent_between_releases() {
    // Guards against two incarnations that dispatch one key, because a second intent is accepted
    // while the first holder may still dispatch. The log has intents, repeats, releases by any
    // incarnation, late records and wrong clocks in any order.
    runner()
        .run(&any_log(), |log| {
            let mut state = FleetState::default();
            let mut held: Vec<(CallKey, RecordId, Incarnation)> = Vec::new();
            for (offset, bytes) in (0..).map(Offset).zip(&log) {
                let outcome = state.fold(offset, bytes);
                let Ok(record) = LogRecord::decode(bytes) else { continue };
                match (&record.body, outcome) {
                    (RecordBody::Releases(entries), _) => held.retain(|(key, id, holder)| {
                        let released =
                            entries.iter().any(|entry| entry.key == *key && entry.id == *id);
                        !(released && *holder == record.author)
                    }),
                    (RecordBody::Intents(entries), FoldOutcome::Intents(verdicts)) => {
                        for (entry, (_, verdict)) in entries.iter().zip(verdicts) {
                            if verdict != IntentVerdict::Held {
                                continue;
                            }
                            let other = held.iter().find(|(key, _, _)| *key == entry.key);
                            if let Some((_, id, _)) = other {
                                prop_assert_eq!(*id, entry.id, "a second intent holds the key");
                            } else {
                                held.push((entry.key.clone(), entry.id, record.author));
                            }
                        }
                    }
                    _ => {}
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn revisions_never_decrease() {
    // Guards against an accepted change that is reverted, because a late change is accepted against
    // a revision that is no longer in force. Changes come against any revision, with repeats.
    runner()
        .run(&any_log(), |log| {
            let mut state = FleetState::default();
            let mut last = Offset(0);
            for (offset, bytes) in (0..).map(Offset).zip(&log) {
                state.fold(offset, bytes);
                let revision = state.object(&ObjectKey::profile()).revision;
                prop_assert!(revision >= last);
                prop_assert!(revision == last || revision == offset.next());
                last = revision;
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn restore_equals_folding_from_the_start() {
    // Guards against a restored daemon whose state differs from that of one that read the complete
    // log: a snapshot is used although records after it have expired, or an old one replaces a
    // newer one. Snapshots, some of them old, are appended anywhere, and old records expire.
    let input = (any_log(), proptest::collection::vec(any::<prop::sample::Index>(), 1..4));
    runner()
        .run(&input, |(mut log, places)| {
            // In ascending order: an insertion before an earlier one would shift its offsets.
            let mut places: Vec<usize> = places.iter().map(|at| at.index(log.len() + 1)).collect();
            places.sort_unstable();
            let mut least = 0;
            for (number, place) in (0..).zip(places) {
                let at = place.max(least).min(log.len());
                let text = state_text(&fold_all(&log[..at])).unwrap();
                let mut late = (at + 3).min(log.len());
                for part in snapshot_parts(&text, 300) {
                    let id = 1_000 + number * 100 + u128::from(part.part);
                    let snapshot = record(1, id, 0, RecordBody::Snapshot(part));
                    log.insert(late, snapshot.encode().unwrap());
                    late += 1;
                }
                least = late;
            }
            let whole = fold_all(&log);
            let records: Vec<(Offset, Box<[u8]>)> = (0..)
                .map(Offset)
                .zip(log.iter().map(|bytes| bytes.clone().into_boxed_slice()))
                .collect();

            for first in 0..records.len() {
                let restored = restore(Offset(first as u64), &records[first..]);
                if let Ok(state) = restored {
                    prop_assert_eq!(&state, &whole);
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_pruned_key_is_never_held_again() {
    // Guards against a call that runs a second time hours later: its key is held, log time passes
    // the key's window, and a daemon whose clock is far behind appends an intent with the same key.
    // It would be accepted if pruning and accepting compared the window with different clocks.
    let mut state = FleetState::default();
    let join = |number: u8, wall| {
        record(number, u128::from(number), wall, RecordBody::Join(member(number)))
    };
    let hour_later = 2 * 3_600_000;
    let intent = |id: u128| vec![IntentEntry { id: RecordId(id), key: key(1) }];
    let log = [
        join(1, 0),
        join(2, 0),
        record(1, 10, 0, RecordBody::Intents(intent(100))),
        record(1, 11, hour_later, RecordBody::Releases(Vec::new())),
        record(2, 12, hour_later, RecordBody::Releases(Vec::new())),
    ];
    for (offset, record) in (0..).map(Offset).zip(&log) {
        state.fold(offset, &record.encode().unwrap());
    }
    assert!(state.intents().holder(&key(1)).is_none(), "the key is pruned");

    let late = record(2, 13, 0, RecordBody::Intents(intent(200))).encode().unwrap();
    let outcome = state.fold(Offset(5), &late);

    let expired = vec![(RecordId(200), IntentVerdict::Expired)];
    assert_eq!(outcome, FoldOutcome::Intents(expired));
}

#[test]
fn one_fast_clock_expires_no_key() {
    // Guards against refusing all callers' keys as expired after one daemon's clock jumped hours
    // ahead, because log time follows the fastest clock.
    let mut state = FleetState::default();
    let log = [
        record(1, 1, 0, RecordBody::Join(member(1))),
        record(2, 2, 0, RecordBody::Join(member(2))),
        record(3, 3, 90_000_000, RecordBody::Join(member(3))),
    ];
    for (offset, record) in (0..).map(Offset).zip(&log) {
        state.fold(offset, &record.encode().unwrap());
    }

    let entries = vec![IntentEntry { id: RecordId(9), key: key(1) }];
    let outcome =
        state.fold(Offset(3), &record(1, 4, 0, RecordBody::Intents(entries)).encode().unwrap());

    assert_eq!(outcome, FoldOutcome::Intents(vec![(RecordId(9), IntentVerdict::Held)]));
}

#[test]
fn join_replaces_members_of_the_same_name() {
    // Guards against refusing all changes after a few restarts: a daemon is killed and started
    // several times within the eviction time, and if its earlier incarnations counted as members,
    // the running daemons would be no majority.
    let mut state = FleetState::default();
    for number in 0..5_u64 {
        let author = u8::try_from(number).unwrap();
        let body = RecordBody::Join(member(7));
        state.fold(Offset(number), &record(author, number.into(), 0, body).encode().unwrap());
    }

    assert_eq!(state.members().len(), 1);
    assert!(state.is_superseded(Incarnation(3)));
}

#[test]
fn repeated_change_keeps_its_verdict() {
    let mut state = FleetState::default();
    let change = record(1, 5, 0, weights(0, 3)).encode().unwrap();

    let first = state.fold(Offset(0), &change);
    let second = state.fold(Offset(1), &change);

    let verdict = ChangeVerdict::Accepted { revision: Offset(1) };
    assert_eq!(first, FoldOutcome::Change { id: RecordId(5), verdict });
    assert_eq!(first, second);
    assert_eq!(state.object(&ObjectKey::profile()).revision, Offset(1));
}

#[test]
fn quarantines_are_kept_until_released_up_to_a_limit() {
    let quarantine =
        |request: u128, times| RecordBody::Stop { request: RequestDigest(request), times };
    let mut state = FleetState::default();
    let mut fold = |number: u64, body| {
        let encoded = record(1, u128::from(number), 0, body).encode().unwrap();
        state.fold(Offset(number), &encoded);
    };

    fold(0, quarantine(1, 2));
    fold(1, quarantine(1, 1));
    fold(2, quarantine(2, 1));
    fold(3, RecordBody::Unstop { request: RequestDigest(2) });
    let kept = state.stops().clone();
    (0..1_000).for_each(|number| {
        let encoded = record(1, 100 + u128::from(number), 0, quarantine(u128::from(number) + 9, 1));
        state.fold(Offset(number + 4), &encoded.encode().unwrap());
    });

    assert_eq!(kept.into_iter().collect::<Vec<_>>(), [(RequestDigest(1), 2)]);
    assert!(state.stops().len() <= 256);
}
