//! Published weights: until when older versions may be used, and how engines load new ones.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    OfferEffect, PublicationSource, RolloutEngine, ServeContext, UpstreamTable, VersionLimits,
    VersionRollout, VersionTarget, VersionTargets, VersionUse, WeightVersion, assumed_targets,
    is_salt_unreferenced, max_concurrent_loads, next_orders,
};
use guava_types::Moment;
use support::{engine, id, model, published, serve_context};
use yare::parameterized;

const LIMIT_MS: u64 = 10_000;
const LIMITS: VersionLimits = VersionLimits { stretch_ms: LIMIT_MS, total_ms: 14_000 };

fn targets() -> VersionTargets {
    let mut targets = VersionTargets::default();
    targets.offer(&model(), published(2, Moment(100_000)));
    targets
}

#[parameterized(
    newest = { 2, 109_999, VersionUse::Newest },
    newer_than_known = { 3, 109_999, VersionUse::Newest },
    just_superseded = { 1, 101_000, VersionUse::Older },
    superseded_and_stale = { 1, 101_500, VersionUse::Stale },
    superseded_and_close_to_the_limit = { 1, 108_500, VersionUse::Forbidden },
)]
fn version_is_judged_by_the_time_since_its_successor(version: u64, at: u64, expected: VersionUse) {
    let verdict = targets().judge(&model(), WeightVersion(version), LIMITS, Moment(at));

    assert_eq!(verdict, expected);
}

#[test]
fn each_version_is_judged_from_the_publication_of_its_successor() {
    // Guards against a request that starts on version 1 long after version 2 was published.
    // Version 3 follows version 2 some seconds later; the time limit of version 1 was then counted
    // from the newest publication.
    let mut targets = targets();
    targets.offer(&model(), published(3, Moment(106_000)));

    let first = targets.judge(&model(), WeightVersion(1), LIMITS, Moment(109_000));
    let second = targets.judge(&model(), WeightVersion(2), LIMITS, Moment(109_000));

    assert_eq!(first, VersionUse::Forbidden);
    assert_eq!(second, VersionUse::Stale);
}

#[test]
fn moment_that_a_peer_knows_replaces_that_of_a_daemon_that_has_just_started() {
    // Guards against a daemon that uses old weights past the time limit after its start. It reads
    // the newest version long after the publication, whose moment a peer knows, and counted the limit
    // from its own start.
    let mut targets = VersionTargets::default();
    targets.offer(&model(), assumed(2, Moment(100_000)));

    let effect = targets.offer(&model(), published(2, Moment(91_000)));

    assert_eq!(effect, OfferEffect::Corrected);
    let verdict = targets.judge(&model(), WeightVersion(1), LIMITS, Moment(100_000));
    assert_eq!(verdict, VersionUse::Forbidden);
}

#[test]
fn exchange_of_a_publication_does_not_make_it_older() {
    // Guards against old weights that are given up too early: each message is dated at the earliest
    // moment at which it may have arrived, and daemons report the moment to each other many times.
    let mut targets = targets();

    targets.offer(&model(), published(2, Moment(99_000)));

    assert_eq!(targets.target(&model()).unwrap().published, Moment(100_000));
}

#[test]
fn publication_is_not_dated_after_it_was_heard_of() {
    // Guards against a peer that reports a publication as more recent than this daemon knows it to be.
    let mut targets = targets();

    targets.offer(&model(), published(2, Moment(105_000)));

    assert_eq!(targets.target(&model()).unwrap().published, Moment(100_000));
}

#[test]
fn publication_learnt_after_a_newer_one_counts_for_the_version_before_it() {
    // Guards against a version whose time is counted from a later publication than its successor's.
    let mut targets = VersionTargets::default();
    targets.offer(&model(), published(3, Moment(104_000)));

    targets.offer(&model(), published(2, Moment(100_000)));

    assert_eq!(targets.target(&model()).unwrap().version, WeightVersion(3));
    let verdict = targets.judge(&model(), WeightVersion(1), LIMITS, Moment(109_500));
    assert_eq!(verdict, VersionUse::Forbidden);
}

#[test]
fn publications_that_are_no_longer_kept_still_count() {
    // Guards against old weights that become usable again with the next of many publications.
    let mut targets = targets();
    for version in 3..40 {
        targets.offer(&model(), published(version, Moment(100_000 + version)));
    }

    let superseded = targets.superseded(&model(), WeightVersion(1), Moment(109_000)).unwrap();

    assert_eq!(superseded.age_ms, 9_000);
}

#[test]
fn weights_of_unknown_age_permit_older_ones_only_briefly() {
    // Guards against old weights in use past the time limit after all daemons were away for long.
    let started = Moment(100_000);
    let mut targets = VersionTargets::default();
    targets.offer(&model(), assumed(2, started));

    let verdict_at = |at| targets.judge(&model(), WeightVersion(1), LIMITS, Moment(at));

    assert_ne!(verdict_at(101_500), VersionUse::Forbidden);
    assert_eq!(verdict_at(102_500), VersionUse::Forbidden);
}

/// Weights that a daemon finds at its start without a moment of their publication.
fn assumed(version: u64, started: Moment) -> VersionTarget {
    assumed_targets(WeightVersion(version), LIMIT_MS, started)[1]
}

#[test]
fn weights_before_the_newest_stay_of_unknown_age_once_that_of_the_newest_is_known() {
    // Guards against weights that were superseded several times while all daemons were away.
    let mut targets = VersionTargets::default();
    for target in assumed_targets(WeightVersion(8), LIMIT_MS, Moment(100_000)) {
        targets.offer(&model(), target);
    }

    targets.offer(&model(), published(8, Moment(99_900)));

    let verdict =
        |version| targets.judge(&model(), WeightVersion(version), LIMITS, Moment(102_500));
    assert_eq!(verdict(4), VersionUse::Forbidden);
    assert_ne!(verdict(7), VersionUse::Forbidden);
}

#[test]
fn known_moment_replaces_an_assumed_one() {
    // Guards against refusals at a daemon that has started right after a publication.
    let mut targets = VersionTargets::default();
    targets.offer(&model(), assumed(2, Moment(100_000)));

    targets.offer(&model(), published(2, Moment(99_000)));
    targets.offer(&model(), assumed(2, Moment(100_000)));

    let target = targets.target(&model()).unwrap();
    assert_eq!((target.published, target.source), (Moment(99_000), PublicationSource::Store));
}

#[test]
fn assumed_moment_is_not_told_to_peers() {
    // Guards against a guess that makes all daemons refuse old weights.
    let mut targets = VersionTargets::default();
    targets.offer(&model(), assumed(2, Moment(100_000)));

    assert_eq!(targets.told(Moment(100_000)).count(), 0);
    assert_eq!(targets.unrecorded().count(), 0);
}

#[test]
fn publication_is_unrecorded_until_its_record_is_written() {
    let mut targets = targets();
    let unrecorded = |targets: &VersionTargets| targets.unrecorded().count();
    assert_eq!(unrecorded(&targets), 1);

    targets.note_recorded(&model(), WeightVersion(1));
    assert_eq!(unrecorded(&targets), 1);

    targets.note_recorded(&model(), WeightVersion(2));
    assert_eq!(unrecorded(&targets), 0);
}

fn rollout_engine(name: &str, running: u32, ordered: Option<u64>) -> RolloutEngine {
    RolloutEngine { id: id(name), is_loaded: false, running, ordered: ordered.map(Moment) }
}

#[test]
fn engines_with_the_fewest_running_requests_load_first() {
    let busy = rollout_engine("busy", 5, None);
    let idle = rollout_engine("idle", 0, None);

    let orders = next_orders(&[busy, idle], Moment(1_000));

    assert_eq!(orders[0], id("idle"));
}

#[test]
fn concurrent_loads_are_limited() {
    let engines: Vec<RolloutEngine> =
        (0..18).map(|index| rollout_engine(&format!("e{index}"), 0, None)).collect();

    let orders = next_orders(&engines, Moment(1_000));

    assert_eq!(max_concurrent_loads(18), 3);
    assert_eq!(orders.len(), 4);
}

#[test]
fn order_without_effect_is_repeated() {
    let engines = [rollout_engine("e", 0, Some(1_000))];

    assert!(next_orders(&engines, Moment(5_000)).is_empty());
    assert_eq!(next_orders(&engines, Moment(6_000)), [id("e")]);
}

fn context_with_engines(versions: &[(&str, u64)]) -> ServeContext {
    let context = serve_context("d1");
    for (name, version) in versions {
        context.upstreams.borrow_mut().note_entry(engine(name, *version));
    }
    context
}

#[test]
fn engine_busy_with_an_older_order_is_ordered_again_soon() {
    // Guards against new weights that reach no engine for five seconds, so that a request starts on
    // old ones past the time limit. Version 3 is published while engines load version 2. These run
    // the fewest requests, so they are selected first, and are busy. A busy engine counted as
    // ordered, and used up one of the few concurrent loads until that order expired.
    let context = context_with_engines(&[("e", 1)]);
    context.targets.borrow_mut().offer(&model(), published(3, Moment(1_000)));
    let mut rollout = VersionRollout::default();
    rollout.refresh(&context, Moment(1_000));

    rollout.note_busy(&model(), &id("e"), Moment(10_000));

    assert!(next_orders(&rollout.engines(&model()), Moment(10_100)).is_empty());
    assert_eq!(next_orders(&rollout.engines(&model()), Moment(10_300)), [id("e")]);
}

#[test]
fn rollout_is_complete_when_all_engines_have_loaded_the_weights() {
    let context = context_with_engines(&[("a", 2), ("b", 1)]);
    context.targets.borrow_mut().offer(&model(), published(2, Moment(1_000)));
    let mut rollout = VersionRollout::default();

    let before = rollout.refresh(&context, Moment(2_000));
    rollout.note_version_loaded(&model(), &id("b"), Moment(2_000));
    let after = rollout.refresh(&context, Moment(2_000));

    assert!(before);
    assert!(!after);
}

#[parameterized(
    one_engine_has_the_older_version = { 1, 120_000, false },
    newer_version_was_just_published = { 2, 101_000, false },
    all_engines_have_the_newer_version = { 2, 120_000, true },
)]
fn prompt_parts_are_unreferenced_once_no_request_can_fetch_them(
    oldest: u64,
    at: u64,
    expected: bool,
) {
    // Guards against a prompt part that is freed while a request reads it. Version 2 is published
    // while an engine with version 1 fetches a part of version 1. All parts of older versions were
    // freed, although some were still in use.
    let mut upstreams = UpstreamTable::default();
    upstreams.note_entry(engine("a", 2));
    upstreams.note_entry(engine("b", oldest));

    let is_unreferenced = is_salt_unreferenced("m0/1", &upstreams, &targets(), Moment(at));

    assert_eq!(is_unreferenced, expected);
}

#[test]
fn prompt_parts_of_an_engine_that_was_removed_from_the_list_are_kept_for_a_while() {
    // Guards against a part that is freed while an engine that is not listed any more fetches it.
    let mut upstreams = UpstreamTable::default();
    upstreams.note_read(Moment(100_000), false);
    upstreams.note_entry(engine("a", 2));
    upstreams.note_entry(engine("b", 1));
    upstreams.note_removed(&id("b"), Moment(120_000));
    upstreams.drop_lapsed(Moment(123_000));
    let targets = targets();

    let is_unreferenced_at = |at| is_salt_unreferenced("m0/1", &upstreams, &targets, Moment(at));

    assert!(!is_unreferenced_at(125_900));
    assert!(is_unreferenced_at(126_100));
}

#[test]
fn prompt_parts_are_kept_for_a_while_after_a_publication_that_was_heard_late() {
    // Guards against a part that is freed while a request reads it, by a daemon that has just heard.
    let mut upstreams = UpstreamTable::default();
    upstreams.note_entry(engine("a", 2));
    let mut targets = VersionTargets::default();
    let target = VersionTarget { heard: Moment(120_000), ..published(2, Moment(100_000)) };
    targets.offer(&model(), target);

    let is_unreferenced_at = |at| is_salt_unreferenced("m0/1", &upstreams, &targets, Moment(at));

    assert!(!is_unreferenced_at(125_000));
    assert!(is_unreferenced_at(126_100));
}

/// Plays an outage of the store in which this daemon tries to read in vain.
fn play_outage(targets: &mut VersionTargets, from: u64, until: u64) {
    let outages = targets.outages();
    outages.note_reads(Moment(from), true, Moment(from + 3_501));
    outages.note_reads(Moment(until), false, Moment(until));
}

#[test]
fn time_in_which_the_store_is_unavailable_does_not_count() {
    // Guards against most requests for a model being refused for ten seconds after an outage of the
    // store. New weights are published and the store becomes unavailable, so that no daemon can
    // hold the lease and order engines. The time limit for the old weights, which nearly all
    // engines still have, included the outage.
    let mut targets = targets();
    play_outage(&mut targets, 102_000, 108_000);

    let verdict_at = |at| targets.judge(&model(), WeightVersion(1), LIMITS, Moment(at));

    assert_eq!(verdict_at(109_000), VersionUse::Stale);
    assert_eq!(verdict_at(116_400), VersionUse::Stale);
    assert_eq!(verdict_at(116_500), VersionUse::Forbidden);
}

#[test]
fn weights_do_not_become_usable_again_by_an_outage_after_their_time_limit() {
    // Guards against old weights in use in an outage, and after it, though the limit had been reached.
    let mut targets = targets();
    targets.outages().note_reads(Moment(111_000), true, Moment(114_501));

    let in_outage = targets.judge(&model(), WeightVersion(1), LIMITS, Moment(115_000));
    targets.outages().note_reads(Moment(116_000), false, Moment(116_000));
    let after = targets.judge(&model(), WeightVersion(1), LIMITS, Moment(117_000));
    let withdrawal = targets.withdrawal(&model(), WeightVersion(1), LIMITS, Moment(117_000));

    assert_eq!((in_outage, after), (VersionUse::Forbidden, VersionUse::Forbidden));
    assert!(withdrawal.unwrap().passed(Moment(117_000)));
}

#[test]
fn total_time_limit_holds_across_several_outages() {
    let mut targets = targets();
    play_outage(&mut targets, 102_000, 106_000);
    play_outage(&mut targets, 109_000, 113_000);

    let verdict_at = |at| targets.judge(&model(), WeightVersion(1), LIMITS, Moment(at));

    assert_eq!(verdict_at(120_400), VersionUse::Stale);
    assert_eq!(verdict_at(120_500), VersionUse::Forbidden);
}
