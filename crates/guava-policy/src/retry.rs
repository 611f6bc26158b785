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
    earn_hundredths: u32,
    cap_hundredths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            hundredths: CAP_HUNDREDTHS,
            earn_hundredths: EARN_HUNDREDTHS,
            cap_hundredths: CAP_HUNDREDTHS,
        }
    }
}

impl RetryBudget {
    /// A full budget: retries earned by each first attempt, and the most that can be saved up.
    pub fn new(earned: f64, saved: f64) -> Self {
        let hundredths = |retries: f64| (retries * f64::from(COST_HUNDREDTHS)) as u32;
        Self {
            hundredths: hundredths(saved),
            earn_hundredths: hundredths(earned),
            cap_hundredths: hundredths(saved),
        }
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.hundredths = (self.hundredths + self.earn_hundredths).min(self.cap_hundredths);
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
