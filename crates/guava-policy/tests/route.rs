//! Routing decisions on stale and incomplete information.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{
    ImportOffer, LoadReport, LoadTable, NEAR_BEST_FRACTION, RouteCandidate, RouteInput,
    decide_route,
};
use guava_state::WeightProfile;
use guava_types::{ByteCount, LinkRate, Moment, TokenCount, TokenRate, UpstreamId};
use yare::parameterized;

const PREFILL: TokenRate = TokenRate(10_000);

fn upstream(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

fn candidate(name: &str, wait_ms: f64, resident: u64) -> RouteCandidate {
    RouteCandidate {
        upstream: upstream(name),
        wait_ms,
        prefill: PREFILL,
        over_slots: 0,
        resident: TokenCount(resident),
        missing: None,
        slowness: 1.0,
        is_preferred: false,
    }
}

fn offer(tokens: u64, rate: u64, queued: u64) -> ImportOffer {
    ImportOffer {
        tokens: TokenCount(tokens),
        bytes: ByteCount(tokens * 100),
        rate: LinkRate(rate),
        queued: ByteCount(queued),
    }
}

fn input<'a>(
    candidates: &'a [RouteCandidate],
    import: Option<&'a ImportOffer>,
    profile: WeightProfile,
) -> RouteInput<'a> {
    RouteInput {
        prompt: TokenCount(8_000),
        candidates,
        import,
        profile,
        near_best_fraction: NEAR_BEST_FRACTION,
        draw: 0,
    }
}

const FAST: WeightProfile = WeightProfile { first_token: 10, recompute: 1, link: 1 };
const THRIFTY: WeightProfile = WeightProfile { first_token: 1, recompute: 10, link: 10 };

#[parameterized(
    cached_prompt_beats_idle = { 100.0, 8_000, "cached" },
    long_queue_beats_cached_prompt = { 5_000.0, 8_000, "idle" },
)]
fn cached_prompt_is_weighed_against_queueing(wait_ms: f64, resident: u64, expected: &str) {
    let candidates = [candidate("cached", wait_ms, resident), candidate("idle", 0.0, 0)];

    let decision = decide_route(&input(&candidates, None, FAST)).unwrap();

    assert_eq!(decision.chosen.upstream, upstream(expected));
}

#[parameterized(
    wide_link = { FAST, 100_000_000, 0, true },
    narrow_link = { FAST, 100_000, 0, false },
    queued_link = { FAST, 100_000_000, 500_000_000, false },
    thrifty_customer_on_a_narrow_link = { THRIFTY, 400_000, 0, true },
)]
fn import_is_weighed_against_recomputing(
    profile: WeightProfile,
    rate: u64,
    queued: u64,
    expected: bool,
) {
    let candidates = [candidate("idle", 0.0, 0)];
    let offer = offer(7_936, rate, queued);

    let decision = decide_route(&input(&candidates, Some(&offer), profile)).unwrap();

    assert_eq!(decision.chosen.import, expected, "{decision:?}");
}

#[test]
fn thrifty_customer_waits_longer_for_an_import() {
    // Guards against imports over a narrow link that are abandoned halfway and then recomputed.
    // This happens when recomputed tokens weigh most but imports time out regardless of the
    // weights.
    let candidates = [candidate("idle", 0.0, 0)];
    let offer = offer(7_936, 400_000, 0);
    let budget = |profile| {
        let decision = decide_route(&input(&candidates, Some(&offer), profile)).unwrap();
        decision.chosen.import_budget_ms
    };

    let thrifty = budget(THRIFTY);
    let fast = budget(FAST);

    assert!(thrifty > 10.0 * fast, "{thrifty} {fast}");
    assert!(fast > 0.0);
}

#[test]
fn no_candidates_give_no_decision() {
    assert_eq!(decide_route(&input(&[], None, FAST)), None);
}

#[test]
fn requests_are_spread_over_equal_candidates() {
    // Guards against all daemons choosing the same idle upstream. This happens when many requests
    // are routed by the same report and the first of several equal candidates is taken.
    let candidates: Vec<RouteCandidate> =
        (0..4).map(|number| candidate(&format!("e{number}"), 0.0, 0)).collect();
    let mut counts = [0; 4];

    for draw in 0..400 {
        let decision =
            decide_route(&RouteInput { draw, ..input(&candidates, None, FAST) }).unwrap();
        let index = candidates.iter().position(|c| c.upstream == decision.chosen.upstream).unwrap();
        counts[index] += 1;
    }

    assert!(counts.iter().all(|count| *count >= 80), "{counts:?}");
}

#[test]
fn preferred_upstream_is_chosen_only_among_equal_candidates() {
    let mut candidates: Vec<RouteCandidate> =
        (0..4).map(|number| candidate(&format!("e{number}"), 0.0, 0)).collect();
    candidates[2].is_preferred = true;

    let idle = decide_route(&input(&candidates, None, FAST)).unwrap();
    candidates[2].wait_ms = 500.0;
    let busy = decide_route(&input(&candidates, None, FAST)).unwrap();

    assert_eq!(idle.chosen.upstream, upstream("e2"));
    assert_ne!(busy.chosen.upstream, upstream("e2"));
}

#[test]
fn requests_sent_since_a_report_add_to_the_wait() {
    let mut loads = LoadTable::default();
    let engine = upstream("e0");
    let idle = LoadReport { measured: Moment(1_000), slots: 8, ..LoadReport::default() };
    loads.note_report(&engine, idle);

    loads.sent(&engine, TokenCount(8_000), 800.0, Moment(1_100));

    let wait = loads.load(&engine).wait_ms(Moment(1_110), PREFILL);
    assert!(wait >= 800.0, "{wait}");
}

#[test]
fn slowness_grows_with_late_first_tokens_and_decays() {
    // Guards against a slow upstream that keeps its full share of requests, or never gets requests
    // again after it recovered. Its first tokens come ten times later than expected, which load
    // reports do not show; the measured slowness must rise, and decay afterwards.
    let mut loads = LoadTable::default();
    let engine = upstream("e0");
    let mut samples = Vec::new();
    for round in 0..4_u64 {
        let sent = Moment(1_000 + round * 1_000);
        let ticket = loads.sent(&engine, TokenCount(1_000), 100.0, sent);
        loads.started(&engine, ticket, Moment(sent.0 + 1_000));
        loads.finished(&engine, ticket);
        samples.push(loads.load(&engine).slowness(Moment(sent.0 + 1_000)));
    }

    let later = loads.load(&engine).slowness(Moment(60_000));

    assert!(samples.windows(2).all(|pair| pair[0] < pair[1]), "{samples:?}");
    assert!(later < 1.1, "{later}");
}

#[test]
fn overdue_first_token_counts_as_slowness() {
    let mut loads = LoadTable::default();
    let engine = upstream("e0");

    loads.sent(&engine, TokenCount(1_000), 100.0, Moment(1_000));

    assert!(loads.load(&engine).slowness(Moment(2_000)) >= 9.0);
}
