//! How many lines may be written: a token bucket.
//!
//! In an overload every request is refused, and each refusal is a line. Unbounded, the lines would
//! take the processor time that is missing already, and the refusals would come late.

/// Lines that may be written in a burst and each second after it.
#[derive(Clone, Copy, Debug)]
pub struct LineBudget {
    per_second: f64,
    saved: f64,
    filled_ms: u64,
}

/// Seconds' worth of lines that can be saved up for a burst.
const BURST_SECONDS: f64 = 2.0;

impl LineBudget {
    /// So many lines a second, counted from a moment in milliseconds on a steady clock.
    pub fn new(per_second: u32, now_ms: u64) -> Self {
        let per_second = f64::from(per_second);
        Self { per_second, saved: per_second * BURST_SECONDS, filled_ms: now_ms }
    }

    /// Takes one line's worth, if there is any.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let earned = now_ms.saturating_sub(self.filled_ms) as f64 * self.per_second / 1_000.0;
        self.saved = (self.saved + earned).min(self.per_second * BURST_SECONDS);
        self.filled_ms = self.filled_ms.max(now_ms);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
