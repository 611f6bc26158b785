//! The fraction of memory planned with, by the first tokens of the prompts that were sent.

use guava_policy::{MemoryBudget, has_capacity};
use guava_types::{Moment, TokenCount};
use yare::parameterized;

const EXPECTED_MS: f64 = 300.0;

/// Sends a prompt every 100 ms; their first tokens take these times. Returns when the last one
/// came.
fn run_prompts(budget: &mut MemoryBudget, from: u64, taken_ms: &[u64]) -> Moment {
    let mut events: Vec<(u64, u64, bool)> = Vec::new();
    for (ticket, taken_ms) in (0..).zip(taken_ms) {
        let sent = from + ticket * 100;
        events.push((sent, ticket, true));
        events.push((sent + taken_ms, ticket, false));
    }
    events.sort_unstable();
    for (at, ticket, is_sent) in &events {
        if *is_sent {
            budget.begin(*ticket, EXPECTED_MS, Moment(*at));
        } else {
            budget.started(*ticket, Moment(*at));
        }
    }
    Moment(events.last().map_or(from, |(at, ..)| *at))
}

#[test]
fn fraction_shrinks_while_first_tokens_are_late_and_grows_back() {
    // Symptom: engines go on preempting runs for ten seconds after the cause of an overload is
    // removed.
    // Sequence: a quarter of the engines is lost; what is known of the others' memory is late, so
    // they are sent more than they hold; each prompt takes ten times as long and makes the next
    // late.
    // Cause: late first tokens did not reduce what was sent.
    let mut budget = MemoryBudget::default();
    let before = budget.fraction(Moment(0));

    let overloaded = run_prompts(&mut budget, 1_000, &[3_000; 8]);
    let during = budget.fraction(overloaded);
    let recovered = run_prompts(&mut budget, 10_000, &[250; 40]);
    let after = budget.fraction(recovered);

    assert!(before > 0.9, "{before}");
    assert!((0.3..0.6).contains(&during), "{during}");
    assert!(after > 0.9, "{after}");
}

#[test]
fn late_first_token_counts_before_it_arrives_and_only_once() {
    let mut budget = MemoryBudget::default();
    budget.begin(1, EXPECTED_MS, Moment(1_000));
    let best = budget.fraction(Moment(2_400));

    let awaited = budget.fraction(Moment(2_600));
    budget.dropped(1, Moment(6_000));

    assert!(awaited < best, "{awaited} {best}");
    assert!((budget.fraction(Moment(6_000)) - awaited).abs() < 1e-9);
}

#[test]
fn fraction_has_a_lower_bound() {
    let mut budget = MemoryBudget::default();

    let end = run_prompts(&mut budget, 1_000, &[9_000; 200]);

    assert!(budget.fraction(end) > 0.3);
}

#[test]
fn abandoned_prompt_that_is_not_late_leaves_the_fraction_unchanged() {
    let mut budget = MemoryBudget::default();
    let best = budget.fraction(Moment(0));

    budget.begin(1, EXPECTED_MS, Moment(1_000));
    budget.dropped(1, Moment(1_200));

    assert!((budget.fraction(Moment(9_000)) - best).abs() < 1e-9);
}

#[parameterized(
    empty = { 0.95, 0, 12_000, true },
    with_other_prompts = { 0.95, 50_000, 12_000, true },
    too_much = { 0.95, 60_000, 12_000, false },
    smaller_fraction = { 0.35, 20_000, 12_000, false },
    smaller_fraction_and_less_taken = { 0.35, 10_000, 12_000, true },
    longest_with_short_prompts = { 0.35, 9_000, 35_000, true },
    longest_with_a_long_prompt = { 0.35, 14_000, 35_000, false },
    larger_than_the_remaining_memory = { 0.35, 9_000, 60_000, false },
)]
fn prompt_fits_by_the_planned_fraction(fraction: f64, taken: u64, needed: u64, expected: bool) {
    // Symptom: in an overload the longest prompts are all refused, and the others served.
    // Sequence: a third of the memory is planned with, less than such a prompt needs; every engine
    // runs short prompts all the time.
    // Cause: it fitted only into an idle engine.
    let is_accepted =
        has_capacity(TokenCount(70_000), fraction, TokenCount(taken), TokenCount(needed));

    assert_eq!(is_accepted, expected);
}
