//! Exponential retry delays after failed calls to the platform's store, and to peers.
//!
//! Every daemon of the deployment retries a store that is unavailable or refuses calls, and each
//! refused call is charged. The reader and its standbys retry often, since the others learn from them
//! that the store is available again; so does a daemon without a configuration, which can't serve.
//! The delays of all others grow longer.

use crate::members::shared_reads::STANDBYS;
use crate::serve_context::ServeContext;
use guava_types::Moment;
use std::time::Duration;

/// Delay after the first failure of an urgent read, in milliseconds. Lost answers and short refusals
/// are over by then.
const URGENT_MIN_MS: u64 = 250;
/// Delay after the first failure of any other read, in milliseconds. If the store is unavailable to
/// all daemons, the reader reports when it is available again.
const OTHER_MIN_MS: u64 = 800;
/// Maximum delay of an urgent read, in milliseconds. Listed upstreams that lapsed must be usable again
/// within two seconds after the store is available.
const URGENT_MAX_MS: u64 = 500;
/// Maximum delay of any other read, in milliseconds. A daemon's state may be stale for so long after
/// the store is available again, and must not be stale for more than about three seconds.
const OTHER_MAX_MS: u64 = 1_600;

/// Shortest and longest pause between two attempts to copy from peers, in milliseconds.
const MIN_COPY_PAUSE_MS: u64 = 20;
const MAX_COPY_PAUSE_MS: u64 = 350;

/// The delay after the next failed call; it doubles with each failure and is reset by a success.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPause {
    /// Zero after a success.
    next_ms: u64,
}

impl RetryPause {
    /// Records a successful call: the next failure gets the minimum delay again.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// The delay after one more failure: twice the previous one, within the bounds that `is_urgent`
    /// selects. `draw` in 0..1 adds up to a quarter, so that daemons that lost the store at the same
    /// moment don't retry at the same moment.
    pub fn after_failure(&mut self, is_urgent: bool, draw: f64) -> Duration {
        let (min_ms, max_ms) =
            if is_urgent { (URGENT_MIN_MS, URGENT_MAX_MS) } else { (OTHER_MIN_MS, OTHER_MAX_MS) };
        let delay_ms = self.next_ms.clamp(min_ms, max_ms);
        self.next_ms = delay_ms * 2;
        Duration::from_millis(delay_ms + (delay_ms as f64 * draw / 4.0) as u64)
    }
}

/// The pause after no peer gave what a daemon lacks; it doubles with each attempt. The first ones are
/// short, since a reader that has just started needs a few calls only.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyPause {
    /// Zero before the first attempt.
    next_ms: u64,
}

impl CopyPause {
    /// Records that a peer gave what was lacking.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// The pause after one more attempt; it grows only while peers are known that could be asked.
    pub fn after_attempt(&mut self, are_peers_known: bool) -> Duration {
        let pause_ms = self.next_ms.clamp(MIN_COPY_PAUSE_MS, MAX_COPY_PAUSE_MS);
        if are_peers_known {
            self.next_ms = pause_ms * 2;
        }
        Duration::from_millis(pause_ms)
    }
}

/// Whether other daemons rely on this daemon's reads of the store (it is the reader or a standby), or
/// it has no configuration and can't serve without a read.
pub fn is_read_urgent(context: &ServeContext) -> bool {
    let has_config = context.config.borrow().current().is_some();
    let rank = context.members.borrow().reader_rank(&context.identity.name, Moment::now());
    !has_config || rank <= STANDBYS
}
