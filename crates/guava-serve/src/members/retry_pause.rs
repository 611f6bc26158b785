//! How long a daemon pauses between calls to the platform's store that fail.
//!
//! A store that is down or turns a daemon away is asked again by every daemon of the deployment, and
//! each refused call is paid for. The reader and its standbys ask often, since the others learn from
//! them that the store is back; so does a daemon that has no configuration and serves nothing. The
//! others ask ever more rarely.

use crate::members::shared_reads::STANDBYS;
use crate::serve_context::ServeContext;
use guava_types::Moment;
use std::time::Duration;

/// The first pause of a daemon on which others wait, in milliseconds: lost answers and short
/// refusals are over by then.
const FIRST_MS: u64 = 250;
/// The first pause of the others, in milliseconds: if the store is away for all, the reader tells
/// when it is back.
const OTHER_FIRST_MS: u64 = 800;
/// The longest pause of a daemon on which others wait, in milliseconds: listed upstreams that lapsed
/// are to be back two seconds after the store is.
const URGENT_MOST_MS: u64 = 500;
/// The longest pause of the others, in milliseconds. They may be behind for so long after the store
/// is back, and must not be for longer than about three seconds.
const MOST_MS: u64 = 1_600;

/// The pause after the next failure.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPause {
    /// Zero after a success.
    next_ms: u64,
}

impl RetryPause {
    /// Notes that a call succeeded.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// The pause after one more failure, twice as long as the one before; `draw` in 0..1 spreads
    /// daemons that lost the store together by a quarter, so that they don't return together.
    pub fn after_failure(&mut self, is_urgent: bool, draw: f64) -> Duration {
        let (first_ms, most_ms) =
            if is_urgent { (FIRST_MS, URGENT_MOST_MS) } else { (OTHER_FIRST_MS, MOST_MS) };
        let pause_ms = self.next_ms.clamp(first_ms, most_ms);
        self.next_ms = pause_ms * 2;
        Duration::from_millis(pause_ms + (pause_ms as f64 * draw / 4.0) as u64)
    }
}

/// Whether others wait for what this daemon reads of the store, or it can't serve without.
pub fn is_read_urgent(context: &ServeContext) -> bool {
    let has_config = context.config.borrow().current().is_some();
    let turn = context.members.borrow().reader_rank(&context.identity.name, Moment::now());
    !has_config || turn <= STANDBYS
}
