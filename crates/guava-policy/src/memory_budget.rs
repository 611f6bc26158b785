//! The fraction of the engines' memory that a daemon plans with, adapted to observed first tokens.
//!
//! When some of the engines are lost, or callers send a burst, each daemon plans by what it knows of
//! the others' prompts, some tenths of a second late. Engines are then sent more than their memory
//! holds: they preempt runs, drop the prompt parts that were fetched for waiting prompts, and fetch
//! them again. That makes the next prompts late, and the overload outlasts its cause by ten
//! seconds. A daemon observes that first tokens come much later than expected. So its fraction of
//! the memory shrinks with each late first token and grows with each that is in time, as a
//! congestion window does on a link of unknown rate.

use guava_types::{Moment, TokenCount};

/// Largest fraction of the memory planned with. The remainder covers estimates that were too low.
const MAX_FRACTION: f64 = 0.95;
/// Smallest fraction of the memory planned with. About three long prompts fit into it, enough to
/// keep an engine busy with prefill while others decode.
const MIN_FRACTION: f64 = 0.35;
/// Factor applied to the fraction for each late first token.
const LATE_DECREASE_FACTOR: f64 = 0.85;
/// Increase of the fraction for each first token that is in time.
const IN_TIME_INCREASE: f64 = 0.015;
/// A first token is late after this many times its expected time and `LATE_SLACK_MS` more. Slow
/// links and short prompts that are served in between delay it by less.
const LATE_FACTOR: f64 = 3.0;
const LATE_SLACK_MS: f64 = 600.0;

/// Fraction of an engine's memory that other prompts may always use, whatever a prompt needs itself
/// and however small the fraction planned with. Without it the longest prompts would fit only into
/// an idle engine, and none of them would be served while the fraction is small.
const TOLERATED_USE_FRACTION: f64 = 0.15;

/// Whether an engine of which `taken` is in use has capacity for a prompt that needs `needed`,
/// where `fraction` of its `memory` is planned with.
pub fn has_capacity(
    memory: TokenCount,
    fraction: f64,
    taken: TokenCount,
    needed: TokenCount,
) -> bool {
    let memory = memory.0 as f64;
    let needed = needed.0 as f64;
    let max_allowed = memory * MAX_FRACTION - needed;
    let planned = memory * fraction - needed;
    taken.0 as f64 <= planned.max(max_allowed.min(memory * TOLERATED_USE_FRACTION))
}

#[derive(Clone, Copy, Debug)]
struct AwaitedStart {
    ticket: u64,
    late_at: Moment,
}

/// Adaptive fraction of the engines' memory that one daemon plans with.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    fraction: f64,
    awaited: Vec<AwaitedStart>,
}

impl Default for MemoryBudget {
    fn default() -> Self {
        Self { fraction: MAX_FRACTION, awaited: Vec::new() }
    }
}

impl MemoryBudget {
    /// Records a long prompt that was sent; `started` or `dropped` with the same ticket ends the
    /// wait for its first token.
    pub fn begin(&mut self, ticket: u64, expected_ms: f64, now: Moment) {
        let late_ms = expected_ms * LATE_FACTOR + LATE_SLACK_MS;
        self.awaited.push(AwaitedStart { ticket, late_at: Moment(now.0 + late_ms as u64) });
    }

    /// Records the first token. Increases the fraction if it is in time.
    pub fn started(&mut self, ticket: u64, now: Moment) {
        self.note_late(now);
        if self.stop_awaiting(ticket) {
            self.fraction = (self.fraction + IN_TIME_INCREASE).min(MAX_FRACTION);
        }
    }

    /// Records that the first token is no longer awaited. Decreases the fraction only if it is late
    /// by now.
    pub fn dropped(&mut self, ticket: u64, now: Moment) {
        self.note_late(now);
        self.stop_awaiting(ticket);
    }

    /// The fraction of the memory to plan with at `now`, between 0.35 and 0.95.
    pub fn fraction(&mut self, now: Moment) -> f64 {
        self.note_late(now);
        self.fraction
    }

    /// Decreases the fraction for each first token that is late by now, each once.
    fn note_late(&mut self, now: Moment) {
        let before = self.awaited.len();
        self.awaited.retain(|awaited| awaited.late_at > now);
        for _ in self.awaited.len()..before {
            self.fraction = (self.fraction * LATE_DECREASE_FACTOR).max(MIN_FRACTION);
        }
    }

    /// Stops awaiting a first token. Returns whether it was still awaited.
    fn stop_awaiting(&mut self, ticket: u64) -> bool {
        let before = self.awaited.len();
        self.awaited.retain(|awaited| awaited.ticket != ticket);
        self.awaited.len() < before
    }
}
