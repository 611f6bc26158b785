//! Shares of an upstream's rate limit, which all daemons together must keep.

use guava_policy::{SendShare, SendWindow, call_share, limit_share};
use guava_types::{LimitRate, Moment};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

/// Requests in four seconds that an upstream tolerates beyond one and a half times its limit.
const SLACK_REQUESTS: f64 = 5.0;

fn rate(per_second: f64) -> LimitRate {
    LimitRate::per_second(per_second).unwrap_or_default()
}

fn tolerated_requests(per_second: f64) -> u64 {
    (per_second * 6.0 + SLACK_REQUESTS) as u64
}

/// Maximum number of requests in any four seconds under a share.
fn max_in_four_seconds(share: SendShare) -> u64 {
    if share.window_ms < 4_000 {
        share.requests * 4_000_u64.div_ceil(share.window_ms)
    } else {
        share.requests
    }
}

#[parameterized(
    half = { 0.5 },
    two = { 2.0 },
    twenty = { 20.0 },
    a_hundredth = { 0.01 },
    zero = { 0.0 },
)]
fn shares_of_all_daemons_together_keep_the_limit(per_second: f64) {
    for daemons in [1, 3, 6, 8, 79, 300] {
        let shares = (0..daemons).map(|rank| limit_share(rate(per_second), daemons, rank));

        let sum: u64 = shares.map(max_in_four_seconds).sum();

        assert!(sum <= (per_second * 4.0).max(1.0) as u64, "{daemons} daemons may send {sum}");
        assert!(
            sum >= 1,
            "{daemons} daemons: no share lets a request through, so no answer can raise the limit"
        );
    }
}

#[test]
fn large_limit_is_shared_by_all_daemons() {
    let shares = (0..8).map(|rank| limit_share(rate(1e9), 8, rank).requests);

    assert!(shares.sum::<u64>() >= 700_000_000);
}

#[test]
fn share_holds_in_any_window() {
    let mut window = SendWindow::default();
    let at = |millis: u64| Moment(50_000 + millis);
    let two = SendShare { requests: 2, window_ms: 1_100 };

    window.note(at(0));
    window.note(at(900));

    assert!(!window.has_capacity(two, at(1_000)), "two within the window");
    assert_eq!(window.next_send_at(two, at(1_000)), Some(at(1_100)));
    assert!(window.has_capacity(two, at(1_200)), "the first has left the window");
    assert!(!window.has_capacity(SendShare::default(), at(9_000)), "the share allows none");
    assert!(window.is_over(at(32_000)) && !window.is_over(at(2_100)));
}

#[test]
fn last_send_counts_in_a_window_longer_than_the_kept_sends() {
    let mut window = SendWindow::default();
    let one = SendShare { requests: 1, window_ms: 30_100 };

    (0..100).for_each(|second| window.note(Moment(second * 1_000)));

    assert_eq!(window.next_send_at(one, Moment(100_000)), Some(Moment(129_100)));
}

/// Requests that all daemons together may send in four seconds, each by its own roster: the daemons
/// that it knows, in their common order.
fn sum_of_shares(limit: LimitRate, rosters: &[(usize, Vec<usize>)]) -> u64 {
    let share = |(daemon, known): &(usize, Vec<usize>)| {
        let rank = known.iter().position(|other| other == daemon)?;
        Some(max_in_four_seconds(limit_share(limit, known.len(), rank)))
    };
    rosters.iter().filter_map(share).sum()
}

proptest! {
    /// Guards against exceeding a limit when two groups of daemons know different members.
    #[test]
    fn two_groups_with_different_rosters_keep_the_limit(
        daemons in prop::sample::select(vec![3_usize, 6, 8, 79, 300]),
        tenths in 1_u32..300,
        is_known in prop::collection::vec((any::<bool>(), any::<bool>()), 300),
        is_first in prop::collection::vec(any::<bool>(), 300),
    ) {
        let per_second = f64::from(tenths) / 10.0;
        let roster = |is_known: &dyn Fn(usize) -> bool| -> Vec<usize> {
            (0..daemons).filter(|daemon| is_known(*daemon)).collect()
        };
        let (first, second) =
            (roster(&|daemon| is_known[daemon].0), roster(&|daemon| is_known[daemon].1));
        let rosters: Vec<(usize, Vec<usize>)> = (0..daemons)
            .map(|daemon| (daemon, if is_first[daemon] { first.clone() } else { second.clone() }))
            .collect();

        let sum = sum_of_shares(rate(per_second), &rosters);

        prop_assert!(
            sum <= tolerated_requests(per_second),
            "{sum} of {}",
            tolerated_requests(per_second)
        );
    }

    /// Guards against exceeding a limit where each daemon lacks other members in its roster, and one
    /// calls the upstream besides.
    #[test]
    fn rosters_that_each_lack_other_members_keep_the_limit(
        daemons in prop::sample::select(vec![6_usize, 8, 62, 79, 300]),
        tenths in 1_u32..300,
        seed in any::<u64>(),
    ) {
        let per_second = f64::from(tenths) / 10.0;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rosters: Vec<(usize, Vec<usize>)> = (0..daemons)
            .map(|daemon| {
                let is_known = |other: &usize| *other == daemon || rng.random_range(0..10) > 0;
                (daemon, (0..daemons).filter(is_known).collect())
            })
            .collect();

        let sum = sum_of_shares(rate(per_second), &rosters) + max_in_four_seconds(call_share());

        prop_assert!(
            sum <= tolerated_requests(per_second),
            "{sum} of {}",
            tolerated_requests(per_second)
        );
    }

    /// Guards against exceeding a limit while some daemons do not know of a new peer yet, or have
    /// forgotten a member.
    #[test]
    fn daemons_known_only_to_some_keep_the_limit(
        daemons in prop::sample::select(vec![6_usize, 8, 79, 300]),
        tenths in 1_u32..300,
        new_peers in prop::collection::vec(0.0..1.0_f64, 0..4),
        knows in prop::collection::vec(any::<bool>(), 300),
    ) {
        let per_second = f64::from(tenths) / 10.0;
        let new_peers: Vec<usize> =
            new_peers.iter().map(|fraction| (fraction * daemons as f64) as usize).collect();
        let all: Vec<usize> = (0..daemons).collect();
        let before: Vec<usize> =
            all.iter().copied().filter(|daemon| !new_peers.contains(daemon)).collect();
        // A new peer has read the records of all members.
        let knows_all = |daemon: &usize| knows[*daemon] || new_peers.contains(daemon);
        let rosters: Vec<(usize, Vec<usize>)> = all
            .iter()
            .map(|daemon| (*daemon, if knows_all(daemon) { all.clone() } else { before.clone() }))
            .collect();

        let sum = sum_of_shares(rate(per_second), &rosters);

        prop_assert!(
            sum <= tolerated_requests(per_second),
            "{sum} of {}",
            tolerated_requests(per_second)
        );
    }
}
