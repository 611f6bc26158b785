//! Selects the engines that load new weights next.
//!
//! More than a few concurrent loads slow each other down, and an engine that loads serves no
//! requests. Engines with the fewest running requests are selected first, since these finish
//! soonest.

use guava_types::{Deadline, Moment, UpstreamId};

/// One engine in this many may load at the same time, but at least [`MIN_CONCURRENT_LOADS`].
/// Further loads share the rate-limited source of weights, so that each takes longer.
const ENGINES_PER_LOAD: usize = 5;
/// Concurrent loads that are allowed for any number of engines.
const MIN_CONCURRENT_LOADS: usize = 3;
/// Engines that are ordered in addition to the concurrent loads. An ordered engine first finishes
/// its running requests, which takes about a quarter of the time from the order to the new weights,
/// and loads nothing meanwhile.
const FINISHING_ENGINES: usize = 1;
/// Age from which an order without effect is repeated, in milliseconds. Loading begins when the
/// running requests have finished, and takes about a second, or more with concurrent loads.
pub(crate) const ORDER_EXPIRY_MS: u64 = 5_000;

/// State of one engine in a rollout, as the lease holder knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutEngine {
    /// The engine, with its start if that is known.
    pub id: UpstreamId,
    /// Whether it has loaded the newest published weights.
    pub is_loaded: bool,
    /// Requests that run on it, from all daemons.
    pub running: u32,
    /// When the last order was sent; `None` if it was never ordered to load this version.
    pub ordered: Option<Moment>,
}

impl RolloutEngine {
    /// Whether it was ordered to load, has not finished, and the order has not expired.
    pub fn is_loading(&self, now: Moment) -> bool {
        let expected = |since| !Deadline::after(since, ORDER_EXPIRY_MS).passed(now);
        !self.is_loaded && self.ordered.is_some_and(expected)
    }
}

/// Loads that may run at the same time, given the number of engines of a model.
pub fn max_concurrent_loads(engines: usize) -> usize {
    (engines / ENGINES_PER_LOAD).max(MIN_CONCURRENT_LOADS)
}

/// Engines to order next, in the order of sending. Engines without an earlier order precede those
/// whose order expired; among these, the fewest running requests decide.
pub fn next_orders(engines: &[RolloutEngine], now: Moment) -> Vec<UpstreamId> {
    let loading = engines.iter().filter(|engine| engine.is_loading(now)).count();
    let available =
        (max_concurrent_loads(engines.len()) + FINISHING_ENGINES).saturating_sub(loading);
    let mut waiting: Vec<&RolloutEngine> =
        engines.iter().filter(|engine| !engine.is_loaded && !engine.is_loading(now)).collect();
    waiting.sort_by_key(|engine| (engine.ordered.is_some(), engine.running));
    waiting.into_iter().take(available).map(|engine| engine.id.clone()).collect()
}
