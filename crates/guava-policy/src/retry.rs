//! Retry budget: retries are a bounded share of first attempts.
//!
//! Without it every failure turns into more load just when there is least room, and an overload
//! feeds itself long after its cause is gone.

/// Retries earned by each first attempt, in hundredths.
const EARN_HUNDREDTHS: u32 = 10;
/// Most that can be saved up, in hundredths.
const CAP_HUNDREDTHS: u32 = 2_000;
const COST_HUNDREDTHS: u32 = 100;

/// A daemon's budget of retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    hundredths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { hundredths: CAP_HUNDREDTHS }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.hundredths = (self.hundredths + EARN_HUNDREDTHS).min(CAP_HUNDREDTHS);
    }

    /// Pays for one retry, if there is enough.
    pub fn spend(&mut self) -> bool {
        match self.hundredths.checked_sub(COST_HUNDREDTHS) {
            Some(rest) => {
                self.hundredths = rest;
                true
            }
            None => false,
        }
    }
}
