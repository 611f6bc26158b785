//! Which of the suspects at crashes is blamed, over drawn histories of parts that crash upstreams.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{CrashLedger, SuspectPart};
use guava_types::{Moment, RequestDigest, UpstreamId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Moment = Moment(1_000_000);
/// Crashes by which the part must be known: five, and three more that are allowed.
const MOST_CRASHES: usize = 8;
const HISTORIES: u64 = 2_000;
/// Digests of parts; those of requests follow.
const FIRST: RequestDigest = RequestDigest(1);
const FATAL: RequestDigest = RequestDigest(2);
const SOUND: u128 = 10;
const REQUESTS: u128 = 1_000;

fn id(number: usize) -> UpstreamId {
    format!("e{number}").parse().unwrap()
}

fn part(digest: RequestDigest, depth: u8) -> SuspectPart {
    SuspectPart { digest, depth }
}

fn crash(ledger: &mut CrashLedger, number: usize, requests: &[u128], parts: &[SuspectPart]) {
    let at = Moment(START.0 + 1_000 * number as u64);
    let requests: Vec<RequestDigest> =
        requests.iter().map(|number| RequestDigest(*number)).collect();
    ledger.note_crash_with_parts(&id(number), &requests, parts, at, at);
}

fn is_quarantined(ledger: &CrashLedger, suspect: RequestDigest) -> bool {
    ledger.quarantined_until(suspect, Moment(START.0 + 60_000)).is_some()
}

#[test]
fn part_at_three_crashes_is_quarantined_though_no_two_requests_are_alike() {
    let mut ledger = CrashLedger::default();
    (0..3).for_each(|number| {
        crash(&mut ledger, number, &[REQUESTS + number as u128], &[part(FATAL, 1)]);
    });

    assert!(is_quarantined(&ledger, FATAL));
    assert!(!is_quarantined(&ledger, RequestDigest(REQUESTS)));
}

#[test]
fn part_that_others_precede_is_blamed_before_these() {
    let mut ledger = CrashLedger::default();
    (0..3).for_each(|number| {
        let request = REQUESTS + number as u128;
        crash(&mut ledger, number, &[request], &[part(FIRST, 0), part(FATAL, 1)]);
    });

    assert!(is_quarantined(&ledger, FATAL));
    assert!(!is_quarantined(&ledger, FIRST));
}

#[test]
fn wrongly_blamed_part_is_released_by_a_crash_without_it() {
    let mut ledger = CrashLedger::default();
    let innocent = RequestDigest(SOUND);
    (0..3).for_each(|number| {
        let request = REQUESTS + number as u128;
        crash(&mut ledger, number, &[request], &[part(FATAL, 0), part(innocent, 1)]);
    });
    assert!(is_quarantined(&ledger, innocent));

    crash(&mut ledger, 3, &[REQUESTS + 3], &[part(FATAL, 0)]);

    assert!(is_quarantined(&ledger, FATAL));
    assert!(!is_quarantined(&ledger, innocent));
}

#[test]
fn request_that_comes_again_is_blamed_before_its_parts() {
    let mut ledger = CrashLedger::default();
    (0..3).for_each(|number| crash(&mut ledger, number, &[REQUESTS], &[part(FIRST, 0)]));

    assert!(is_quarantined(&ledger, RequestDigest(REQUESTS)));
    assert!(!is_quarantined(&ledger, FIRST));
}

#[test]
fn part_that_is_answered_in_between_is_not_quarantined() {
    let mut ledger = CrashLedger::default();
    for number in 0..6 {
        crash(&mut ledger, number, &[REQUESTS + number as u128], &[part(FIRST, 0)]);
        ledger.note_answer(FIRST, Moment(START.0 + 1_000 * number as u64 + 500));
    }

    assert!(!is_quarantined(&ledger, FIRST));
}

/// Errors of one history: crashes until the fatal part was quarantined, and sound parts that were.
struct HistoryErrors {
    crashes: usize,
    stopped: usize,
}

/// Crashes by a fatal part, each beside other requests that share parts; in between, sound requests
/// are answered.
fn play(seed: u64) -> HistoryErrors {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ledger = CrashLedger::default();
    let depth = rng.random_range(0..3);
    let sound = |rng: &mut ChaCha8Rng| {
        // Low numbers are in more requests.
        let number = rng.random_range(0..30_u128).min(rng.random_range(0..30));
        part(RequestDigest(SOUND + number), 1 + (number % 2) as u8)
    };
    for number in 0..MOST_CRASHES {
        let beside = rng.random_range(0..24);
        let mut parts: Vec<SuspectPart> = (0..beside).map(|_| sound(&mut rng)).collect();
        parts.extend([part(FIRST, 0), part(FATAL, depth)]);
        let requests: Vec<u128> =
            (0..=beside as u128).map(|one| REQUESTS + 100 * number as u128 + one).collect();
        crash(&mut ledger, number, &requests, &parts);
        if is_quarantined(&ledger, FATAL) {
            let stopped = (0..30).filter(|one| is_quarantined(&ledger, RequestDigest(SOUND + one)));
            let stopped = stopped.count() + usize::from(is_quarantined(&ledger, FIRST));
            return HistoryErrors { crashes: number + 1, stopped };
        }
        let answered = Moment(START.0 + 1_000 * number as u64 + 500);
        for _ in 0..rng.random_range(0..40) {
            let part = sound(&mut rng);
            ledger.note_answer(part.digest, answered);
            ledger.note_answer(FIRST, answered);
        }
    }
    HistoryErrors { crashes: MOST_CRASHES + 1, stopped: 0 }
}

#[test]
fn fatal_part_is_known_in_time_and_sound_ones_are_not_stopped() {
    let errors: Vec<HistoryErrors> = (0..HISTORIES).map(play).collect();

    let late = errors.iter().filter(|one| one.crashes > MOST_CRASHES).count();
    let stopped: usize = errors.iter().map(|one| one.stopped).sum();
    let crashes: usize = errors.iter().map(|one| one.crashes).sum();
    println!("{late} late, {stopped} sound parts stopped, {crashes} crashes in {HISTORIES}");
    assert_eq!(late, 0);
    // A hundredth: less than one sound part in as many waves.
    assert!(stopped as u64 * 100 <= HISTORIES, "{stopped}");
}

#[test]
fn part_is_not_cleared_for_a_request_with_it_that_was_at_as_many_crashes() {
    let mut ledger = CrashLedger::default();
    let part = [part(FATAL, 1)];
    for number in 0..3 {
        // Of two reports of a crash, that of the parts comes first.
        crash(&mut ledger, number, &[], &part);
        crash(&mut ledger, number, &[REQUESTS], &part);
    }
    let cleared_by_first = ledger.cleared().count();
    // Another request with the same part.
    crash(&mut ledger, 3, &[REQUESTS + 1], &part);

    assert_eq!(cleared_by_first, 0);
    assert!(is_quarantined(&ledger, FATAL));
}
