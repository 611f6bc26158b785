//! Each daemon's share of the retries that a service may get.
//!
//! The limit holds for all daemons together, and they don't ask each other before a retry. Each
//! keeps to its own part: if all used a budget of the whole, a failing service would get as many
//! times the allowed load as there are daemons, just when it can bear it least.

use guava_policy::RetryBudget;
use guava_types::{FastMap, ServiceName};

/// Part of the retries for each request that is used. What daemons earn in a window is bounded by
/// the requests of that window, so nearly all of it can be.
const EARNED_PART: f64 = 0.9;
/// Part of the retries beyond that which can be saved up: a daemon that restarts begins with a full
/// budget, and daemons that this one has not heard of yet have budgets too.
const SAVED_PART: f64 = 0.5;

/// The limit on retries to one service, of all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in one window beyond the ratio.
    pub slack: f64,
}

/// Budgets by service.
#[derive(Debug)]
pub struct RetryShares {
    limit: RetryLimit,
    daemons: usize,
    budgets: FastMap<ServiceName, RetryBudget>,
}

impl RetryShares {
    /// Budgets under a limit, for the only daemon known so far.
    pub fn new(limit: RetryLimit, daemons: usize) -> Self {
        Self { limit, daemons: daemons.max(1), budgets: FastMap::default() }
    }

    /// Takes in how many daemons there are. A share only ever shrinks: daemons that fell silent
    /// may still be retrying.
    pub fn note_daemons(&mut self, daemons: usize) {
        if daemons > self.daemons {
            self.daemons = daemons;
            self.budgets.clear();
        }
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let saved = self.limit.slack * SAVED_PART / self.daemons as f64;
        let earned = self.limit.ratio * EARNED_PART;
        self.budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(earned, saved))
    }

    /// Notes a request for a service.
    pub fn earn(&mut self, service: &ServiceName) {
        self.budget(service).earn();
    }

    /// Pays for one retry, if there is enough.
    pub fn spend(&mut self, service: &ServiceName) -> bool {
        self.budget(service).spend()
    }
}
