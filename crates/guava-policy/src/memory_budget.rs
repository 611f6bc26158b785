//! How much of the engines' memory is planned with, as told by what became of what was sent.
//!
//! Load answered: a part of the engines is gone, or callers come in a burst. Each daemon plans by what
//! it knows of the others' prompts, some tenths of a second late; engines get more than their memory
//! holds, preempt runs, drop what was fetched for those that wait, and read it again. That makes the
//! next prompts late, and the overload outlives its cause by ten seconds. What a daemon sees of it is
//! that first tokens come much later than expected. So its share of the memory shrinks with each
//! of these and grows with each that is in time, as a sender's window does on a link of unknown rate.

use guava_types::{Moment, TokenCount};

/// Part of the memory at best; the rest covers estimates that were too low.
const MOST_PART: f64 = 0.95;
/// Part of the memory at least. Some three long prompts fit into it, enough to keep an engine reading
/// while others decode.
const LEAST_PART: f64 = 0.35;
/// What a late first token leaves of the part.
const LATE_TIMES: f64 = 0.85;
/// What one in time adds to it.
const IN_TIME_STEP: f64 = 0.015;
/// A first token is late after so many times what was expected, and so many milliseconds more: slow
/// links and short prompts that come in between delay one by less.
const LATE_FACTOR: f64 = 3.0;
const LATE_SLACK_MS: f64 = 600.0;

/// Part of an engine's memory that others may have taken, however much a prompt needs itself and
/// however little is planned with. Without it the longest prompts would fit only into an engine with
/// nothing at all to do, and none of them would be served while the part is small.
const ALWAYS_TAKEN_PART: f64 = 0.15;

/// Whether an engine of which so much memory is taken has room for a prompt, where a part of its memory
/// is planned with.
pub fn has_capacity(memory: TokenCount, part: f64, taken: TokenCount, needed: TokenCount) -> bool {
    let memory = memory.0 as f64;
    let needed = needed.0 as f64;
    let at_best = memory * MOST_PART - needed;
    let planned = memory * part - needed;
    taken.0 as f64 <= planned.max(at_best.min(memory * ALWAYS_TAKEN_PART))
}

#[derive(Clone, Copy, Debug)]
struct AwaitedStart {
    ticket: u64,
    late_at: Moment,
}

/// The part of the engines' memory that one daemon plans with.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    part: f64,
    awaited: Vec<AwaitedStart>,
}

impl Default for MemoryBudget {
    fn default() -> Self {
        Self { part: MOST_PART, awaited: Vec::new() }
    }
}

impl MemoryBudget {
    /// Notes a long prompt that was sent; the ticket names it until it is over.
    pub fn begin(&mut self, ticket: u64, expected_ms: f64, now: Moment) {
        let late_ms = expected_ms * LATE_FACTOR + LATE_SLACK_MS;
        self.awaited.push(AwaitedStart { ticket, late_at: Moment(now.0 + late_ms as u64) });
    }

    /// Notes the first token.
    pub fn started(&mut self, ticket: u64, now: Moment) {
        self.note_late(now);
        if self.forget(ticket) {
            self.part = (self.part + IN_TIME_STEP).min(MOST_PART);
        }
    }

    /// Notes that nobody awaits the first token any more.
    pub fn dropped(&mut self, ticket: u64, now: Moment) {
        self.note_late(now);
        self.forget(ticket);
    }

    /// The part of the memory to plan with.
    pub fn fraction(&mut self, now: Moment) -> f64 {
        self.note_late(now);
        self.part
    }

    /// Counts what is late by now, each once.
    fn note_late(&mut self, now: Moment) {
        let before = self.awaited.len();
        self.awaited.retain(|awaited| awaited.late_at > now);
        for _ in self.awaited.len()..before {
            self.part = (self.part * LATE_TIMES).max(LEAST_PART);
        }
    }

    /// Whether it was still awaited.
    fn forget(&mut self, ticket: u64) -> bool {
        let before = self.awaited.len();
        self.awaited.retain(|awaited| awaited.ticket != ticket);
        self.awaited.len() < before
    }
}
