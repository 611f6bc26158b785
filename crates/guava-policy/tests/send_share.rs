//! How much of an upstream's limit each daemon may send, and that all together keep it.

use guava_policy::{SendShare, SendWindow, limit_share};
use guava_types::{LimitRate, Moment};
use proptest::prelude::*;
use yare::parameterized;

/// Requests in four seconds beyond one and a half times the limit that an upstream bears.
const SLACK: f64 = 5.0;

fn rate(per_second: f64) -> LimitRate {
    LimitRate::per_second(per_second).unwrap_or_default()
}

fn bears(per_second: f64) -> u64 {
    (per_second * 6.0 + SLACK) as u64
}

/// Most requests in any four seconds that a share allows.
fn in_four_seconds(share: SendShare) -> u64 {
    if share.span_ms < 4_000 {
        share.requests * 4_000_u64.div_ceil(share.span_ms)
    } else {
        share.requests
    }
}

#[parameterized(
    half = { 0.5 },
    two = { 2.0 },
    twenty = { 20.0 },
    a_hundredth = { 0.01 },
    nothing = { 0.0 },
)]
fn shares_of_all_daemons_keep_the_limit(per_second: f64) {
    for daemons in [1, 3, 6, 8, 79, 300] {
        let shares = (0..daemons).map(|place| limit_share(rate(per_second), daemons, place));

        let sum: u64 = shares.map(in_four_seconds).sum();

        assert!(sum <= (per_second * 4.0).max(1.0) as u64, "{daemons}: {sum}");
        assert!(sum >= 1, "{daemons}: its answers must be seen");
    }
}

#[test]
fn large_limit_is_shared_by_all() {
    let shares = (0..8).map(|place| limit_share(rate(1e9), 8, place).requests);

    assert!(shares.sum::<u64>() >= 700_000_000);
}

#[test]
fn share_counts_in_any_span() {
    let mut window = SendWindow::default();
    let at = |millis: u64| Moment(50_000 + millis);
    let two = SendShare { requests: 2, span_ms: 1_100 };

    window.note(at(0));
    window.note(at(900));

    assert!(!window.has_capacity(two, at(1_000)), "two within the last second");
    assert_eq!(window.opens(two, at(1_000)), Some(at(1_100)));
    assert!(window.has_capacity(two, at(1_200)), "the first one is over");
    assert!(!window.has_capacity(SendShare::default(), at(9_000)), "no share at all");
    assert!(window.is_over(at(32_000)) && !window.is_over(at(2_100)));
}

#[test]
fn rare_send_counts_though_others_followed_long_ago() {
    let mut window = SendWindow::default();
    let one = SendShare { requests: 1, span_ms: 30_100 };

    (0..100).for_each(|second| window.note(Moment(second * 1_000)));

    assert_eq!(window.opens(one, Moment(100_000)), Some(Moment(129_100)));
}

/// What the daemons of a fleet may send in four seconds, each by its own view: the daemons that it
/// knows, in their common order.
fn sum_of_views(limit: LimitRate, views: &[(usize, Vec<usize>)]) -> u64 {
    let share = |(daemon, known): &(usize, Vec<usize>)| {
        let place = known.iter().position(|other| other == daemon)?;
        Some(in_four_seconds(limit_share(limit, known.len(), place)))
    };
    views.iter().filter_map(share).sum()
}

proptest! {
    /// Guards against daemons that overrun a limit because some know of members that others do not.
    #[test]
    fn pairs_of_differing_views_keep_the_limit(
        daemons in prop::sample::select(vec![3_usize, 6, 8, 79, 300]),
        tenths in 1_u32..300,
        is_known in prop::collection::vec((any::<bool>(), any::<bool>()), 300),
        is_first in prop::collection::vec(any::<bool>(), 300),
    ) {
        let per_second = f64::from(tenths) / 10.0;
        let view = |is_known: &dyn Fn(usize) -> bool| -> Vec<usize> {
            (0..daemons).filter(|daemon| is_known(*daemon)).collect()
        };
        let (first, second) = (view(&|daemon| is_known[daemon].0), view(&|daemon| is_known[daemon].1));
        let views: Vec<(usize, Vec<usize>)> = (0..daemons)
            .map(|daemon| (daemon, if is_first[daemon] { first.clone() } else { second.clone() }))
            .collect();

        let sum = sum_of_views(rate(per_second), &views);

        prop_assert!(sum <= bears(per_second), "{sum} of {}", bears(per_second));
    }

    /// Guards against daemons that overrun a limit while one of them has just come, or is forgotten.
    #[test]
    fn daemons_that_only_some_know_of_keep_the_limit(
        daemons in prop::sample::select(vec![6_usize, 8, 79, 300]),
        tenths in 1_u32..300,
        new_peers in prop::collection::vec(0.0..1.0_f64, 0..4),
        knows in prop::collection::vec(any::<bool>(), 300),
    ) {
        let per_second = f64::from(tenths) / 10.0;
        let new_peers: Vec<usize> =
            new_peers.iter().map(|part| (part * daemons as f64) as usize).collect();
        let all: Vec<usize> = (0..daemons).collect();
        let before: Vec<usize> =
            all.iter().copied().filter(|daemon| !new_peers.contains(daemon)).collect();
        // A newcomer has read the records of all.
        let knows_all = |daemon: &usize| knows[*daemon] || new_peers.contains(daemon);
        let views: Vec<(usize, Vec<usize>)> = all
            .iter()
            .map(|daemon| (*daemon, if knows_all(daemon) { all.clone() } else { before.clone() }))
            .collect();

        let sum = sum_of_views(rate(per_second), &views);

        prop_assert!(sum <= bears(per_second), "{sum} of {}", bears(per_second));
    }
}
