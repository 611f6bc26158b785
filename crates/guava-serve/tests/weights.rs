//! Published weights: which may be used until when, and how engines get them.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    RolloutEngine, ServeContext, UpstreamTable, VersionLimits, VersionRollout, VersionTargets,
    VersionUse, WeightVersion, age_at_start, is_salt_unreferenced, max_concurrent_loads,
    next_orders,
};
use guava_types::Moment;
use support::{engine, id, model, serve_context};
use yare::parameterized;

const LIMIT_MS: u64 = 10_000;
const LIMITS: VersionLimits = VersionLimits { stretch_ms: LIMIT_MS, total_ms: 14_000 };

fn targets() -> VersionTargets {
    let mut targets = VersionTargets::default();
    targets.offer(&model(), WeightVersion(2), Moment(100_000));
    targets
}

#[parameterized(
    newest = { 2, 109_999, VersionUse::Newest },
    newer_than_known = { 3, 109_999, VersionUse::Newest },
    old_at_first = { 1, 101_000, VersionUse::Older },
    old_and_worth_less = { 1, 101_500, VersionUse::Stale },
    old_just_before_the_limit = { 1, 108_500, VersionUse::Forbidden },
)]
fn weights_are_judged_by_the_time_since_newer_ones(version: u64, at: u64, expected: VersionUse) {
    let verdict = targets().judge(&model(), WeightVersion(version), LIMITS, Moment(at));

    assert_eq!(verdict, expected);
}

#[test]
fn each_version_is_judged_from_the_publication_of_its_successor() {
    // Symptom: a request starts on weights 1 long after weights 2 were published.
    // Sequence: weights 2 are published, and weights 3 some seconds later.
    // Cause: the time was counted from the newest publication.
    let mut targets = targets();
    targets.offer(&model(), WeightVersion(3), Moment(106_000));

    let first = targets.judge(&model(), WeightVersion(1), LIMITS, Moment(109_000));
    let second = targets.judge(&model(), WeightVersion(2), LIMITS, Moment(109_000));

    assert_eq!(first, VersionUse::Forbidden);
    assert_eq!(second, VersionUse::Stale);
}

#[test]
fn earliest_word_of_a_publication_counts() {
    // Symptom: a daemon that has just started uses old weights past the time limit.
    // Sequence: it reads the newest version at its start, long after the publication; a peer knows
    // for how long it has been published.
    // Cause: the daemon counted from its own start.
    let mut targets = targets();

    let is_change = targets.offer(&model(), WeightVersion(2), Moment(95_000));

    assert!(!is_change);
    let verdict = targets.judge(&model(), WeightVersion(1), LIMITS, Moment(104_000));
    assert_eq!(verdict, VersionUse::Forbidden);
}

#[test]
fn age_of_weights_found_at_the_start_comes_from_their_record() {
    assert_eq!(age_at_start(Some(Some(22_000)), LIMIT_MS), 22_000);
}

#[test]
fn unreadable_age_leaves_old_weights_only_a_moment() {
    let age = age_at_start(Some(None), LIMIT_MS);

    let mut targets = VersionTargets::default();
    targets.offer(&model(), WeightVersion(2), Moment(100_000 - age));
    let later = targets.judge(&model(), WeightVersion(1), LIMITS, Moment(102_500));
    assert_eq!(later, VersionUse::Forbidden);
}

fn rollout_engine(name: &str, running: u32, ordered: Option<u64>) -> RolloutEngine {
    RolloutEngine { id: id(name), is_done: false, running, ordered: ordered.map(Moment) }
}

#[test]
fn engines_with_the_least_work_load_first() {
    let busy = rollout_engine("busy", 5, None);
    let idle = rollout_engine("idle", 0, None);

    let orders = next_orders(&[busy, idle], Moment(1_000));

    assert_eq!(orders[0], id("idle"));
}

#[test]
fn only_a_few_engines_load_at_once() {
    let engines: Vec<RolloutEngine> =
        (0..18).map(|index| rollout_engine(&format!("e{index}"), 0, None)).collect();

    let orders = next_orders(&engines, Moment(1_000));

    assert_eq!(max_concurrent_loads(18), 3);
    assert_eq!(orders.len(), 4);
}

#[test]
fn order_without_effect_is_given_again() {
    let engines = [rollout_engine("e", 0, Some(1_000))];

    assert!(next_orders(&engines, Moment(5_000)).is_empty());
    assert_eq!(next_orders(&engines, Moment(6_000)), [id("e")]);
}

fn parts_with_engines(versions: &[(&str, u64)]) -> ServeContext {
    let context = serve_context("d1");
    for (name, version) in versions {
        context.upstreams.borrow_mut().note_entry(engine(name, *version));
    }
    context
}

#[test]
fn engine_at_work_on_an_older_order_is_asked_again_soon() {
    // Symptom: new weights reach no engine for five seconds, and a request starts on old ones past
    // the time limit.
    // Sequence: weights 2 are being loaded when weights 3 are published; the engines that load
    // have the least work, so they are asked first, and are busy.
    // Cause: a busy engine was taken for one that had been given the new order, and held one of
    // the few places for loads until that order expired.
    let context = parts_with_engines(&[("e", 1)]);
    context.targets.borrow_mut().offer(&model(), WeightVersion(3), Moment(1_000));
    let mut rollout = VersionRollout::default();
    rollout.refresh(&context, Moment(1_000));

    rollout.note_busy(&model(), &id("e"), Moment(10_000));

    assert!(next_orders(&rollout.engines(&model()), Moment(10_100)).is_empty());
    assert_eq!(next_orders(&rollout.engines(&model()), Moment(10_300)), [id("e")]);
}

#[test]
fn rollout_ends_when_all_engines_have_the_weights() {
    let context = parts_with_engines(&[("a", 2), ("b", 1)]);
    context.targets.borrow_mut().offer(&model(), WeightVersion(2), Moment(1_000));
    let mut rollout = VersionRollout::default();

    let before = rollout.refresh(&context, Moment(2_000));
    rollout.note_done(&model(), &id("b"), Moment(2_000));
    let after = rollout.refresh(&context, Moment(2_000));

    assert!(before);
    assert!(!after);
}

#[parameterized(
    an_engine_has_them_still = { 1, 120_000, false },
    published_just_now = { 2, 101_000, false },
    all_engines_have_newer_ones = { 2, 120_000, true },
)]
fn parts_are_useless_once_no_request_can_fetch_them(oldest: u64, at: u64, expected: bool) {
    // Symptom: a request reads a part that is freed under it.
    // Sequence: weights 2 are published; an engine with weights 1 fetches a part of theirs; the
    // part is freed, since it belongs to old weights.
    // Cause: what is old was taken for what nobody uses.
    let mut upstreams = UpstreamTable::default();
    upstreams.note_entry(engine("a", 2));
    upstreams.note_entry(engine("b", oldest));

    let is_unreferenced = is_salt_unreferenced("m0/1", &upstreams, &targets(), Moment(at));

    assert_eq!(is_unreferenced, expected);
}

#[test]
fn time_in_which_nobody_reached_the_store_does_not_count() {
    // Symptom: after an outage of the store most requests for a model are refused for ten seconds.
    // Sequence: new weights are published; the store is away, so nobody can hold the lease and order
    // engines; the time limit ends, and with it the use of the old weights, which nearly all engines
    // still have.
    // Cause: the limit ran on while nothing could be done.
    let mut targets = targets();
    targets.note_store(Some(Moment(102_000)), Moment(105_500));
    targets.note_store(None, Moment(108_000));

    let judged = |at| targets.judge(&model(), WeightVersion(1), LIMITS, Moment(at));

    assert_eq!(judged(109_000), VersionUse::Stale);
    assert_eq!(judged(116_400), VersionUse::Stale);
    assert_eq!(judged(116_500), VersionUse::Forbidden);
}

#[test]
fn many_outages_do_not_put_new_weights_off_for_ever() {
    let mut targets = targets();
    for number in 0..2 {
        let from = 104_000 + number * 5_000;
        targets.note_store(Some(Moment(from)), Moment(from + 500));
        targets.note_store(None, Moment(from + 1_000));
    }

    let judged = |at| targets.judge(&model(), WeightVersion(1), LIMITS, Moment(at));

    assert_eq!(judged(114_400), VersionUse::Stale);
    assert_eq!(judged(114_500), VersionUse::Forbidden);
}
