//! How long transfers wait for a link that carries one after the other.
//!
//! No service reports how much waits at a link. But what was sent over it is known, and so is the
//! time each transfer takes alone, so the link's queue is simulated here.

use guava_types::Moment;

/// Longest wait at a link, in milliseconds. By their contract stores don't begin a transfer that
/// would wait longer. Without this bound, the simulated queue of a link with a high estimated
/// slowness still held 36 s of work seconds after the link had recovered.
const MAX_WAIT_MS: f64 = 2_000.0;

/// Simulated queue of one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkQueue {
    /// When the link will have carried all known transfers, in milliseconds.
    free_at_ms: f64,
}

impl LinkQueue {
    /// Adds a transfer that takes `transfer_ms` alone. Has no effect if the transfer would wait
    /// longer than the stores allow.
    pub fn push(&mut self, transfer_ms: f64, now: Moment) {
        if self.wait_ms(now) <= MAX_WAIT_MS {
            self.free_at_ms = self.free_at_ms.max(now.0 as f64) + transfer_ms;
        }
    }

    /// Expected wait of a new transfer, in milliseconds.
    pub fn wait_ms(&self, now: Moment) -> f64 {
        (self.free_at_ms - now.0 as f64).max(0.0)
    }
}
