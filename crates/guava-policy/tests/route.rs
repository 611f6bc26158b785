//! Routing decisions on late and partial knowledge.

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
    resident_beats_idle = { 100.0, 8_000, "held" },
    long_queue_beats_resident = { 5_000.0, 8_000, "idle" },
)]
fn residence_against_queue(wait_ms: f64, resident: u64, expected: &str) {
    let candidates = [candidate("held", wait_ms, resident), candidate("idle", 0.0, 0)];

    let decision = decide_route(&input(&candidates, None, FAST)).unwrap();

    assert_eq!(decision.chosen.upstream, upstream(expected));
}

#[parameterized(
    wide_link = { FAST, 100_000_000, 0, true },
    narrow_link = { FAST, 100_000, 0, false },
    queued_link = { FAST, 100_000_000, 500_000_000, false },
    thrifty_customer_on_a_narrow_link = { THRIFTY, 400_000, 0, true },
)]
fn import_or_recompute(profile: WeightProfile, rate: u64, queued: u64, expected: bool) {
    let candidates = [candidate("idle", 0.0, 0)];
    let offer = offer(7_936, rate, queued);

    let decision = decide_route(&input(&candidates, Some(&offer), profile)).unwrap();

    assert_eq!(decision.chosen.import, expected, "{decision:?}");
}

#[test]
fn thrifty_customer_waits_longer_for_an_import() {
    // Symptom: a narrow link is used in vain: imports are given up half way and recomputed.
    // Sequence: imports queue on a narrow link; recomputed tokens weigh most.
    // Cause: an import is given up by time alone, whatever the weights.
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
fn nothing_to_choose_from() {
    assert_eq!(decide_route(&input(&[], None, FAST)), None);
}

#[test]
fn equal_choices_are_spread() {
    // Symptom: all daemons choose the one upstream that reported idle.
    // Sequence: many requests are decided on the same report.
    // Cause: the decision takes the first of the best.
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
fn own_upstreams_go_first_among_equals_only() {
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
fn own_work_since_a_report_counts() {
    let mut loads = LoadTable::default();
    let engine = upstream("e0");
    let idle = LoadReport { measured: Moment(1_000), slots: 8, ..LoadReport::default() };
    loads.note_report(&engine, idle);

    loads.sent(&engine, TokenCount(8_000), 800.0, Moment(1_100));

    let wait = loads.load(&engine).wait_ms(Moment(1_110), PREFILL);
    assert!(wait >= 800.0, "{wait}");
}

#[test]
fn slow_upstream_is_left_by_degrees_and_tried_again() {
    // Symptom: a slow, not dead, upstream keeps its full share, or never gets work again.
    // Sequence: its first tokens come ten times later than expected; later it is well.
    // Cause: reports say nothing of speed; or a bad mark stays.
    let mut loads = LoadTable::default();
    let engine = upstream("e0");
    let mut seen = Vec::new();
    for round in 0..4_u64 {
        let sent = Moment(1_000 + round * 1_000);
        let ticket = loads.sent(&engine, TokenCount(1_000), 100.0, sent);
        loads.started(&engine, ticket, Moment(sent.0 + 1_000));
        loads.finished(&engine, ticket);
        seen.push(loads.load(&engine).slowness(Moment(sent.0 + 1_000)));
    }

    let later = loads.load(&engine).slowness(Moment(60_000));

    assert!(seen.windows(2).all(|pair| pair[0] < pair[1]), "{seen:?}");
    assert!(later < 1.1, "{later}");
}

#[test]
fn silent_work_counts_as_slow_before_its_first_token() {
    let mut loads = LoadTable::default();
    let engine = upstream("e0");

    loads.sent(&engine, TokenCount(1_000), 100.0, Moment(1_000));

    assert!(loads.load(&engine).slowness(Moment(2_000)) >= 9.0);
}
