//! Retry budget: limits retries to a fraction of the first attempts.
//!
//! Without it every failure adds load just when there is least capacity, and an overload sustains
//! itself long after its cause has ended.

/// Retries that each first attempt adds to the budget, in hundredths.
const EARN_HUNDREDTHS: u32 = 10;
/// Upper bound of the budget, in hundredths of a retry.
const CAP_HUNDREDTHS: u32 = 2_000;
const COST_HUNDREDTHS: u32 = 100;

/// A budget of retries. The default is full and allows one retry for ten first attempts.
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
    /// A full budget. Each first attempt adds `earned` retries, up to `saved`; both may be
    /// fractions, of which hundredths count.
    pub fn new(earned: f64, saved: f64) -> Self {
        let hundredths = |retries: f64| (retries * f64::from(COST_HUNDREDTHS)) as u32;
        Self {
            hundredths: hundredths(saved),
            earn_hundredths: hundredths(earned),
            cap_hundredths: hundredths(saved),
        }
    }

    /// Changes how many retries may be saved up; what is in excess is lost.
    pub fn limit_saved(&mut self, saved: f64) {
        self.cap_hundredths = (saved * f64::from(COST_HUNDREDTHS)) as u32;
        self.hundredths = self.hundredths.min(self.cap_hundredths);
    }

    /// Records a first attempt, which adds to the budget.
    pub fn earn(&mut self) {
        self.hundredths = (self.hundredths + self.earn_hundredths).min(self.cap_hundredths);
    }

    /// Takes one retry from the budget; returns `false`, and takes nothing, if less than one is
    /// left.
    pub fn spend(&mut self) -> bool {
        match self.hundredths.checked_sub(COST_HUNDREDTHS) {
            Some(left) => {
                self.hundredths = left;
                true
            }
            None => false,
        }
    }
}
