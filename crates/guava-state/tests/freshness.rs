//! The freshness rule: which observations of the log and of peers make a daemon fresh.

use guava_state::{
    FRESHNESS_LIMIT_MS, FreshnessInput, FreshnessVerdict, LogObservation, PeerObservation,
};
use guava_types::{Incarnation, Moment, Offset};
use yare::parameterized;

const NOW: Moment = Moment(100_000);

fn peer(id: u128, age_ms: u64, log: Option<(u64, u64)>) -> PeerObservation {
    PeerObservation {
        incarnation: Incarnation(id),
        last_contact: NOW.minus_millis(age_ms),
        log: log.map(|(end, age)| LogObservation { end: Offset(end), seen: NOW.minus_millis(age) }),
    }
}

fn judge(own: Option<(u64, u64)>, peers: &[PeerObservation], members: u128) -> FreshnessVerdict {
    let roster: Vec<Incarnation> = (1..=members).map(Incarnation).collect();
    let own =
        own.map(|(end, age)| LogObservation { end: Offset(end), seen: NOW.minus_millis(age) });
    let input = FreshnessInput {
        now: NOW,
        me: Incarnation(1),
        next: Offset(10),
        confirmed: None,
        own,
        peers,
        roster: &roster,
    };
    input.judge()
}

#[test]
fn new_record_does_not_make_a_following_daemon_stale_at_once() {
    // Guards against a daemon that follows the log through its peers and sporadically refuses work.
    // It had applied all records; a new one is written, and the peer's next observation includes it
    // before this daemon has fetched it. That observation replaces the older one, which was still
    // recent.
    let peers = [peer(2, 100, Some((11, 100)))];
    let roster = [Incarnation(1), Incarnation(2)];
    let input = |confirmed_age_ms: u64| FreshnessInput {
        now: NOW,
        me: Incarnation(1),
        next: Offset(10),
        confirmed: Some(NOW.minus_millis(confirmed_age_ms)),
        own: None,
        peers: &peers,
        roster: &roster,
    };

    let soon = input(1_000).judge();
    let late = input(FRESHNESS_LIMIT_MS + 1).judge();

    assert_eq!((soon, late), (FreshnessVerdict::LogSeen, FreshnessVerdict::Stale));
}

#[parameterized(
    reads_the_log = { Some((10, 100)), vec![], 5, FreshnessVerdict::LogSeen },
    own_read_is_old = { Some((10, FRESHNESS_LIMIT_MS + 1)), vec![], 5, FreshnessVerdict::Stale },
    peer_reads_it = { None, vec![peer(2, 100, Some((10, 200)))], 5, FreshnessVerdict::LogSeen },
    peer_is_ahead = { None, vec![peer(2, 100, Some((11, 200)))], 5, FreshnessVerdict::Stale },
    majority_without_log = {
        Some((10, 60_000)), vec![peer(2, 100, None), peer(3, 100, None)], 5,
        FreshnessVerdict::MajorityReachable
    },
    majority_that_knows_a_newer_record = {
        None, vec![peer(2, 100, Some((12, 60_000))), peer(3, 100, None)], 5,
        FreshnessVerdict::Stale
    },
    half_is_no_majority = { None, vec![peer(2, 100, None)], 4, FreshnessVerdict::Stale },
    silent_peers_do_not_count = {
        None, vec![peer(2, 9_000, None), peer(3, 9_000, None)], 5, FreshnessVerdict::Stale
    },
    peers_off_the_roster_do_not_count = {
        None, vec![peer(8, 100, None), peer(9, 100, None)], 5, FreshnessVerdict::Stale
    },
    empty_roster = { None, vec![], 0, FreshnessVerdict::Stale },
)]
fn freshness_verdict(
    own: Option<(u64, u64)>,
    peers: Vec<PeerObservation>,
    members: u128,
    expected: FreshnessVerdict,
) {
    let found = judge(own, &peers, members);

    assert_eq!(found, expected);
}
