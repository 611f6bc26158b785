//! The line of long prompts that wait here until an engine has memory for them.
//!
//! An engine that is sent more prompts than its memory holds fetches the parts of those that wait,
//! drops them again for the next ones, and reads them in the end; or preempts runs, whose prompts it
//! reads anew. In a burst of three times the load half of all tokens read had been read before. Here
//! a prompt costs nothing while it waits, keeps its place by rank, and can be refused truthfully.

use guava_types::Moment;

/// A prompt in line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedPrompt {
    rank: u8,
    arrived: Moment,
    ticket: u64,
}

/// Weight of the newest interval between two prompts that got memory.
const INTERVAL_WEIGHT: f64 = 0.25;
/// Intervals are known for so long after the last one, in milliseconds: what drained the line
/// seconds ago says little of the present load.
const INTERVAL_EXPIRY_MS: u64 = 3_000;

/// The line of one daemon.
#[derive(Clone, Debug, Default)]
pub struct MemoryQueue {
    places: Vec<QueuedPrompt>,
    next_ticket: u64,
    /// When the last prompt in line got memory.
    last_start: Option<Moment>,
    /// Mean time between two of them while prompts waited, in milliseconds.
    interval_ms: Option<f64>,
}

impl MemoryQueue {
    /// Takes a place: behind those of the same rank that arrived earlier. The ticket names it.
    pub fn join(&mut self, rank: u8, arrived: Moment) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let place = QueuedPrompt { rank, arrived, ticket };
        let index = self.places.partition_point(|other| *other < place);
        self.places.insert(index, place);
        ticket
    }

    /// Gives a place up.
    pub fn leave(&mut self, ticket: u64) {
        self.places.retain(|place| place.ticket != ticket);
    }

    /// Notes that the first in line got memory.
    pub fn note_start(&mut self, now: Moment) {
        let last = self.last_start.replace(now);
        let Some(last) = last else { return };
        let found = now.millis_since(last) as f64;
        if found > INTERVAL_EXPIRY_MS as f64 {
            // The line was empty meanwhile.
            self.interval_ms = None;
            return;
        }
        let known = self.interval_ms.unwrap_or(found);
        self.interval_ms = Some(known + (found - known) * INTERVAL_WEIGHT);
    }

    /// Milliseconds that a prompt which joins now would wait, as the line has lately drained;
    /// nothing if that is not known.
    pub fn expected_wait_ms(&self, rank: u8, now: Moment) -> Option<u64> {
        let last = self.last_start?;
        if now.millis_since(last) > INTERVAL_EXPIRY_MS {
            return None;
        }
        let ahead = self.places.iter().filter(|place| place.rank <= rank).count();
        Some((ahead as f64 * self.interval_ms?) as u64)
    }

    /// Whether it is a place's turn.
    pub fn is_first(&self, ticket: u64) -> bool {
        self.places.first().is_some_and(|place| place.ticket == ticket)
    }

    /// How many wait before a place.
    pub fn ahead_of(&self, ticket: u64) -> usize {
        self.places.iter().take_while(|place| place.ticket != ticket).count()
    }
}
