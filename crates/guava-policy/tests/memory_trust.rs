//! How much memory is planned with, by what became of what was sent.

use guava_policy::{MemoryBudget, has_capacity};
use guava_types::{Moment, TokenCount};
use yare::parameterized;

const EXPECTED_MS: f64 = 300.0;

/// Sends prompts one every 100 ms whose first tokens take so long.
fn play(trust: &mut MemoryBudget, from: u64, taken_ms: &[u64]) -> Moment {
    let mut events: Vec<(u64, u64, bool)> = Vec::new();
    for (ticket, taken_ms) in (0..).zip(taken_ms) {
        let sent = from + ticket * 100;
        events.push((sent, ticket, true));
        events.push((sent + taken_ms, ticket, false));
    }
    events.sort_unstable();
    for (at, ticket, is_sent) in &events {
        if *is_sent {
            trust.begin(*ticket, EXPECTED_MS, Moment(*at));
        } else {
            trust.started(*ticket, Moment(*at));
        }
    }
    Moment(events.last().map_or(from, |(at, ..)| *at))
}

#[test]
fn memory_shrinks_while_first_tokens_are_late_and_grows_back() {
    // Symptom: engines go on preempting runs ten seconds after the cause of an overload is gone.
    // Sequence: a quarter of the engines is lost; what is known of the others' memory is late, so
    // they are sent more than they hold; each prompt takes ten times as long and makes the next late.
    // Cause: what became of the prompts changed nothing in what was sent.
    let mut trust = MemoryBudget::default();
    let before = trust.fraction(Moment(0));

    let overloaded = play(&mut trust, 1_000, &[3_000; 8]);
    let during = trust.fraction(overloaded);
    let recovered = play(&mut trust, 10_000, &[250; 40]);
    let after = trust.fraction(recovered);

    assert!(before > 0.9, "{before}");
    assert!((0.3..0.6).contains(&during), "{during}");
    assert!(after > 0.9, "{after}");
}

#[test]
fn late_first_token_counts_before_it_comes_and_only_once() {
    let mut trust = MemoryBudget::default();
    trust.begin(1, EXPECTED_MS, Moment(1_000));
    let best = trust.fraction(Moment(2_400));

    let awaited = trust.fraction(Moment(2_600));
    trust.dropped(1, Moment(6_000));

    assert!(awaited < best, "{awaited} {best}");
    assert!((trust.fraction(Moment(6_000)) - awaited).abs() < 1e-9);
}

#[test]
fn some_memory_is_always_planned_with() {
    let mut trust = MemoryBudget::default();

    let end = play(&mut trust, 1_000, &[9_000; 200]);

    assert!(trust.fraction(end) > 0.3);
}

#[test]
fn prompt_that_was_given_up_in_time_says_nothing() {
    let mut trust = MemoryBudget::default();
    let best = trust.fraction(Moment(0));

    trust.begin(1, EXPECTED_MS, Moment(1_000));
    trust.dropped(1, Moment(1_200));

    assert!((trust.fraction(Moment(9_000)) - best).abs() < 1e-9);
}

#[parameterized(
    empty = { 0.95, 0, 12_000, true },
    beside_others = { 0.95, 50_000, 12_000, true },
    too_much = { 0.95, 60_000, 12_000, false },
    less_is_planned_with = { 0.35, 20_000, 12_000, false },
    less_is_planned_with_and_taken = { 0.35, 10_000, 12_000, true },
    longest_beside_short_ones = { 0.35, 9_000, 35_000, true },
    longest_beside_a_long_one = { 0.35, 14_000, 35_000, false },
    larger_than_the_rest = { 0.35, 9_000, 60_000, false },
)]
fn prompt_fits_by_what_is_planned_with(part: f64, taken: u64, needed: u64, expected: bool) {
    // Symptom: in an overload the longest prompts are all refused, and the others served.
    // Sequence: a third of the memory is planned with, less than such a prompt needs; every engine
    // runs short prompts all the time.
    // Cause: it fitted only into an engine with nothing to do.
    let room = has_capacity(TokenCount(70_000), part, TokenCount(taken), TokenCount(needed));

    assert_eq!(room, expected);
}
