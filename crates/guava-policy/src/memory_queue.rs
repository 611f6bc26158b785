//! The queue of long prompts that wait in the daemon until an engine has memory for them.
//!
//! An engine that is sent more prompts than fit into its memory fetches the prompt parts of those
//! that wait, evicts them again for the next ones, and computes them in the end; or it preempts
//! runs, whose prompts it then computes again. In a burst of three times the load, half of all
//! computed prompt tokens had been computed before. In the daemon a prompt uses no engine memory
//! while it waits, keeps its position by priority, and can be refused without having started.

use guava_types::Moment;

/// A queued prompt. The order of the fields is the order of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedPrompt {
    priority: u8,
    arrived: Moment,
    ticket: u64,
}

/// Weight of the newest interval between two starts in their moving average.
const INTERVAL_WEIGHT: f64 = 0.25;
/// Age from which the last start is ignored, in milliseconds: how fast the queue drained seconds
/// ago says little about the present load.
const INTERVAL_EXPIRY_MS: u64 = 3_000;

/// The queue of one daemon.
#[derive(Clone, Debug, Default)]
pub struct MemoryQueue {
    prompts: Vec<QueuedPrompt>,
    next_ticket: u64,
    /// When the last queued prompt got memory.
    last_start: Option<Moment>,
    /// Moving average of the time between two starts while prompts waited, in milliseconds.
    interval_ms: Option<f64>,
}

impl MemoryQueue {
    /// Adds a prompt behind all of a lower priority number, which go first, and behind those of the
    /// same one that arrived earlier. The returned ticket identifies it.
    pub fn join(&mut self, priority: u8, arrived: Moment) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let prompt = QueuedPrompt { priority, arrived, ticket };
        let index = self.prompts.partition_point(|other| *other < prompt);
        self.prompts.insert(index, prompt);
        ticket
    }

    /// Removes a prompt, whether it starts or is abandoned.
    pub fn leave(&mut self, ticket: u64) {
        self.prompts.retain(|prompt| prompt.ticket != ticket);
    }

    /// Records that the first prompt got memory.
    pub fn note_start(&mut self, now: Moment) {
        let last = self.last_start.replace(now);
        let Some(last) = last else { return };
        let measured = now.millis_since(last) as f64;
        if measured > INTERVAL_EXPIRY_MS as f64 {
            // The queue was empty meanwhile.
            self.interval_ms = None;
            return;
        }
        let average = self.interval_ms.unwrap_or(measured);
        self.interval_ms = Some(average + (measured - average) * INTERVAL_WEIGHT);
    }

    /// Milliseconds that a prompt of this priority would wait if it joined now, by how fast the
    /// queue has recently drained; `None` if that is not known.
    pub fn expected_wait_ms(&self, priority: u8, now: Moment) -> Option<u64> {
        let last = self.last_start?;
        if now.millis_since(last) > INTERVAL_EXPIRY_MS {
            return None;
        }
        let ahead = self.prompts.iter().filter(|prompt| prompt.priority <= priority).count();
        Some((ahead as f64 * self.interval_ms?) as u64)
    }

    /// Whether a prompt is the first in the queue.
    pub fn is_first(&self, ticket: u64) -> bool {
        self.prompts.first().is_some_and(|prompt| prompt.ticket == ticket)
    }

    /// Number of prompts that wait before this one.
    pub fn ahead_of(&self, ticket: u64) -> usize {
        self.prompts.iter().take_while(|prompt| prompt.ticket != ticket).count()
    }
}
