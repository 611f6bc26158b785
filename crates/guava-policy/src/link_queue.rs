//! How long transfers wait for a link that carries one after the other.
//!
//! Nobody tells how much waits at a link; but what was sent over it is known, and how long each
//! transfer takes alone. So the link's queue is played here.

use guava_types::Moment;

/// Longest wait at a link, in milliseconds: a transfer that would wait longer is not begun. The stores'
/// contract. Played without this bound, a link believed slow was thought to have 36 s of work waiting
/// seconds after it had recovered.
const LONGEST_WAIT_MS: f64 = 2_000.0;

/// One link.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkQueue {
    /// When what is known to wait will be over, in milliseconds.
    free_at_ms: f64,
}

impl LinkQueue {
    /// Notes a transfer that takes so many milliseconds alone.
    pub fn push(&mut self, transfer_ms: f64, now: Moment) {
        if self.wait_ms(now) <= LONGEST_WAIT_MS {
            self.free_at_ms = self.free_at_ms.max(now.0 as f64) + transfer_ms;
        }
    }

    /// Milliseconds that a transfer waits before it begins.
    pub fn wait_ms(&self, now: Moment) -> f64 {
        (self.free_at_ms - now.0 as f64).max(0.0)
    }
}
