//! Counts of losses by what they are about, with a bound on how many are told apart.

use guava_types::FastMap;
use std::hash::Hash;

/// Different keys of one kind that are told apart at most; what comes later is counted together.
pub const MOST_KEYS: usize = 20_000;

/// Losses of one key.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LossSum {
    /// How many.
    pub count: u64,
    /// What they cost.
    pub worth: f64,
}

/// Losses by key.
#[derive(Debug)]
pub struct LossCounts<K: Hash + Eq> {
    sums: FastMap<K, LossSum>,
}

impl<K: Hash + Eq> Default for LossCounts<K> {
    fn default() -> Self {
        Self { sums: FastMap::default() }
    }
}

impl<K: Hash + Eq> LossCounts<K> {
    /// Counts a loss; `others` is the key of those beyond the bound.
    pub fn add(&mut self, key: K, worth: f64, others: impl FnOnce() -> K) {
        let has_room = self.sums.len() < MOST_KEYS || self.sums.contains_key(&key);
        let sum = self.sums.entry(if has_room { key } else { others() }).or_default();
        sum.count += 1;
        sum.worth += worth;
    }

    /// Rows of a report.
    pub fn rows<R>(&self, row: impl Fn(&K, LossSum) -> R) -> Vec<R> {
        self.sums.iter().map(|(key, sum)| row(key, *sum)).collect()
    }
}

/// Losses of one second.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SecondKey {
    /// Seconds of Unix time.
    pub second: u64,
    /// Kind of request.
    pub kind: Box<str>,
    /// What became of it.
    pub outcome: Box<str>,
}

/// Losses of one cause.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CauseKey {
    /// Kind of request.
    pub kind: Box<str>,
    /// What became of it.
    pub outcome: Box<str>,
    /// Why.
    pub cause: Box<str>,
}

/// Losses of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CustomerKey {
    /// Which.
    pub customer: Box<str>,
    /// The rest.
    pub cause: CauseKey,
}

/// Losses at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamKey {
    /// Which.
    pub upstream: Box<str>,
    /// What became of the request there.
    pub outcome: Box<str>,
}
