//! A clock that counts only the time in which the process ran.
//!
//! What a client sent while the process was suspended lies in its socket when the process goes on. A
//! client must not be taken for slow because of that, so a suspension counts as one step of the clock.

use guava_types::Moment;

/// Longest step, in milliseconds; the clock is advanced several times in it while the process runs.
const MAX_STEP_MS: u64 = 500;

/// Milliseconds for which the process ran, as of the last advance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunClock {
    advanced: Option<Moment>,
    run_ms: u64,
}

impl RunClock {
    /// Counts the time since the last advance.
    pub(crate) fn advance(&mut self, now: Moment) {
        let elapsed_ms = self.advanced.map_or(0, |advanced| now.millis_since(advanced));
        self.run_ms += elapsed_ms.min(MAX_STEP_MS);
        self.advanced = Some(now);
    }

    /// The time of the last advance.
    pub(crate) fn run_ms(&self) -> u64 {
        self.run_ms
    }
}
