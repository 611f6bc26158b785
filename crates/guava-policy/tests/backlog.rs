//! Waits at engines, by the prompts they were sent.

use guava_policy::EngineBacklog;
use guava_types::Moment;

/// Prefill time of a heavy prompt, in milliseconds.
const HEAVY_MS: f64 = 600.0;
const NORMAL: u8 = 3;
const URGENT: u8 = 0;

fn at(millis: u64) -> Moment {
    Moment(10_000 + millis)
}

#[test]
fn idle_engine_has_no_wait() {
    let backlog = EngineBacklog::default();

    assert_eq!(backlog.wait_ms(NORMAL, at(0)), 0.0);
    assert!(backlog.is_idle(at(0)));
}

#[test]
fn prompt_in_prefill_counts_by_its_time_left() {
    // Symptom: heavy prompts wait for half a second though half of the engines have nearly
    // finished.
    // Sequence: two engines get a prompt each, one just now, one half a second ago; the first is
    // chosen as often as the second.
    // Cause: a prompt counted in full until its first token.
    let mut just_begun = EngineBacklog::default();
    just_begun.push_own(1, NORMAL, HEAVY_MS, at(500));
    let mut nearly_done = EngineBacklog::default();
    nearly_done.push_peer(NORMAL, HEAVY_MS, at(0));

    assert_eq!(just_begun.wait_ms(NORMAL, at(510)), 590.0);
    assert_eq!(nearly_done.wait_ms(NORMAL, at(510)), 90.0);
    assert!(nearly_done.is_idle(at(600)));
}

#[test]
fn urgent_prompt_passes_waiting_prompts_and_the_one_in_prefill() {
    let mut backlog = EngineBacklog::default();
    backlog.push_own(1, NORMAL, HEAVY_MS, at(0));
    backlog.push_own(2, NORMAL, HEAVY_MS, at(0));

    let urgent = backlog.wait_ms(URGENT, at(100));

    assert_eq!(urgent, 35.0);
    assert_eq!(backlog.wait_ms(NORMAL, at(100)), 1_100.0);
}

#[test]
fn less_urgent_prompts_do_not_count_before_more_urgent_ones() {
    let mut backlog = EngineBacklog::default();
    backlog.push_own(1, NORMAL, HEAVY_MS, at(0));
    backlog.push_own(2, 9, HEAVY_MS, at(0));
    backlog.push_own(3, NORMAL, HEAVY_MS, at(0));

    assert_eq!(backlog.wait_ms(NORMAL, at(0)), 1_200.0);
    assert_eq!(backlog.wait_ms(9, at(0)), 1_800.0);
}

#[test]
fn own_prompt_without_a_first_token_does_not_count_as_finished() {
    // Symptom: an engine that turned slow is sent more and more prompts.
    // Sequence: its first prompt should be in prefill for 0.6 s and takes longer.
    // Cause: by the expected time alone the engine looked idle again.
    let mut backlog = EngineBacklog::default();
    backlog.push_own(1, NORMAL, HEAVY_MS, at(0));

    assert_eq!(backlog.wait_ms(NORMAL, at(5_000)), 150.0);
    backlog.started(1, at(5_000));
    assert!(backlog.is_idle(at(5_000)));
}

#[test]
fn first_token_finishes_the_prompts_of_peers_before_it() {
    let mut backlog = EngineBacklog::default();
    backlog.push_peer(NORMAL, HEAVY_MS, at(0));
    backlog.push_own(1, NORMAL, HEAVY_MS, at(0));
    backlog.push_peer(NORMAL, HEAVY_MS, at(0));

    backlog.started(1, at(700));

    assert_eq!(backlog.wait_ms(NORMAL, at(800)), 500.0);
}

#[test]
fn refused_prompt_is_removed_from_the_backlog() {
    let mut backlog = EngineBacklog::default();
    backlog.push_own(1, NORMAL, HEAVY_MS, at(0));
    backlog.push_own(2, NORMAL, HEAVY_MS, at(0));

    backlog.remove(1, at(20));

    assert_eq!(backlog.wait_ms(NORMAL, at(20)), HEAVY_MS);
}
