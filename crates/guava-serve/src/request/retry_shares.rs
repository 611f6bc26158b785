//! Each daemon's share of the retries that a service may get.
//!
//! The limit holds for all daemons together, and they don't coordinate before a retry, so each daemon
//! uses only its own share. If each used the complete budget, a failing service would get the permitted
//! load multiplied by the number of daemons.

use guava_policy::RetryBudget;
use guava_types::{FastMap, ServiceName};

/// Fraction of the limit's retries per request that is used. Retries earned in a window are bounded
/// by the requests of that window, so nearly all of them can be used.
const EARNED_FRACTION: f64 = 0.9;
/// Fraction of the limit's slack that budgets may save up. The remainder covers daemons that restart
/// with a full budget, and daemons that this one does not know yet.
const SAVED_FRACTION: f64 = 0.5;
/// Fraction of the slack that is handed out as whole retries where there are fewer than daemons. The
/// remainder covers that daemons' places are drawn, so that a few more than expected may get one.
const WHOLE_FRACTION: f64 = 0.9;

/// Limit on the retries of all daemons together to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries permitted per request.
    pub ratio: f64,
    /// Retries permitted in one window in addition to the ratio.
    pub slack: f64,
    /// Whether this daemon starts together with the complete deployment, for the first time.
    pub is_first_start: bool,
}

/// This daemon's retry budgets by service.
#[derive(Debug)]
pub struct RetryShares {
    limit: RetryLimit,
    daemons: usize,
    /// This daemon's place among all, from 0 to 1.
    place: f64,
    budgets: FastMap<ServiceName, RetryBudget>,
}

impl RetryShares {
    /// Creates budgets under a limit that a number of daemons share, at least one. The daemons' places
    /// are spread evenly from 0 to 1, and each has the same one at each start.
    pub fn new(limit: RetryLimit, daemons: usize, place: f64) -> Self {
        Self { limit, daemons: daemons.max(1), place, budgets: FastMap::default() }
    }

    /// Records the number of daemons. A larger number reduces all budgets to the smaller share; a
    /// smaller one is ignored, since silent daemons may still be retrying.
    pub fn note_daemons(&mut self, daemons: usize) {
        if daemons > self.daemons {
            self.daemons = daemons;
            let most_saved = self.most_saved();
            self.budgets.values_mut().for_each(|budget| budget.limit_saved(most_saved));
        }
    }

    /// This daemon's share of the slack that may be saved up.
    fn share(&self) -> f64 {
        self.limit.slack * SAVED_FRACTION / self.daemons as f64
    }

    /// The most retries that this daemon may save up: its share, or where that is less than one, a
    /// whole one. Of a smaller share none could ever be spent. Where the slack has fewer than one for
    /// each daemon, the places decide who gets one.
    fn most_saved(&self) -> f64 {
        let for_each = self.limit.slack / self.daemons as f64;
        let has_whole = for_each >= 1.0 || self.place < for_each * WHOLE_FRACTION;
        let whole = if has_whole { 1.0 } else { 0.0 };
        if self.share() < 1.0 { whole } else { self.share() }
    }

    /// What a budget starts with. A retry that exceeds this daemon's share is given once: a daemon that
    /// restarts may have spent it just before.
    fn initially_saved(&self) -> f64 {
        let is_given = self.limit.is_first_start || self.most_saved() <= self.share();
        if is_given { self.most_saved() } else { 0.0 }
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let (initial, most_saved) = (self.initially_saved(), self.most_saved());
        let earned = self.limit.ratio * EARNED_FRACTION;
        self.budgets.entry(service.clone()).or_insert_with(|| {
            let mut budget = RetryBudget::new(earned, initial);
            budget.limit_saved(most_saved);
            budget
        })
    }

    /// Records a request to a service, which earns a fraction of a retry.
    pub fn earn(&mut self, service: &ServiceName) {
        self.budget(service).earn();
    }

    /// Spends one retry of a service's budget; returns `false` if the budget doesn't suffice.
    pub fn spend(&mut self, service: &ServiceName) -> bool {
        self.budget(service).spend()
    }
}
