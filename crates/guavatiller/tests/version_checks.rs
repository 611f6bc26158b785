//! The soak's checks of superseded weights, on made-up observations.

use guava_platform_standins::{Publication, VersionBounds, VersionChecks};
use std::time::{Duration, Instant};

const BOUNDS: VersionBounds = VersionBounds {
    stretch: Duration::from_secs(10),
    total: Duration::from_secs(14),
    settle: Duration::from_secs(3),
};

/// Checks of publications and outages, each at seconds after a moment; returns that moment too.
fn checks(publications: &[(u64, u64)], outages: &[(u64, u64)]) -> (VersionChecks, Instant) {
    let zero = Instant::now();
    let at = |seconds: u64| zero + Duration::from_secs(seconds);
    let publication =
        |(version, acked): &(u64, u64)| Publication { version: *version, acked: at(*acked) };
    let checks = VersionChecks {
        publications: publications.iter().map(publication).collect(),
        outages: outages.iter().map(|(from, end)| (at(*from), at(*end))).collect(),
        bounds: BOUNDS,
    };
    (checks, zero)
}

#[yare::parameterized(
    in_time = { 1, 9, None },
    late = { 1, 12, Some(2) },
    by_its_own_successor = { 2, 13, None },
    newest = { 3, 60, None },
)]
fn start_is_late_by_the_time_since_the_successor(version: u64, at: u64, expected: Option<u64>) {
    let (checks, zero) = checks(&[(2, 0), (3, 5)], &[]);

    let lateness = checks.lateness(version, zero + Duration::from_secs(at));

    assert_eq!(lateness, expected.map(Duration::from_secs));
}

#[yare::parameterized(
    stretch_begins_anew = { 21, None },
    stretch_is_over = { 23, Some(1) },
)]
fn outage_and_the_time_after_it_do_not_count(at: u64, expected: Option<u64>) {
    let (checks, zero) = checks(&[(2, 0)], &[(1, 9)]);

    let lateness = checks.lateness(1, zero + Duration::from_secs(at));

    assert_eq!(lateness, expected.map(Duration::from_secs));
}

#[test]
fn spans_between_outages_add_up() {
    let (checks, zero) = checks(&[(2, 0)], &[(8, 9), (20, 21)]);

    let in_time = checks.lateness(1, zero + Duration::from_secs(24));
    let late = checks.lateness(1, zero + Duration::from_secs(27));

    assert_eq!((in_time, late), (Some(Duration::from_secs(2)), Some(Duration::from_secs(5))));
}

#[test]
fn engine_must_have_the_newest_weights_after_one_and_a_half_limits_of_its_own() {
    let (checks, zero) = checks(&[(2, 0)], &[]);
    let at = |seconds| zero + Duration::from_secs(seconds);

    assert!(!checks.must_be_newest(zero, at(14)));
    assert!(checks.must_be_newest(zero, at(15)));
    assert!(!checks.must_be_newest(at(4), at(15)));
}
