//! Which engines load new weights next.
//!
//! Loads beyond a few at a time slow each other down, and an engine that loads serves nothing. The
//! engines with the least work go first, so that their runs are over soonest.

use guava_types::{Deadline, Moment, UpstreamId};

/// One engine in this many may load at the same time; at least [`LEAST_AT_ONCE`]. More share the
/// rate-limited source of weights, and each takes longer.
const ENGINES_PER_LOAD: usize = 5;
/// Loads that are always allowed at the same time.
const LEAST_AT_ONCE: usize = 3;
/// Engines that are ordered beyond that: they first finish their runs, about a quarter of the time
/// from order to new weights, and load nothing meanwhile.
const FINISHING: usize = 1;
/// An order that had no effect for so long is given again, in milliseconds. Loading takes about a
/// second, longer with several at once, after the runs at hand have ended.
pub(crate) const ORDER_EXPIRY_MS: u64 = 5_000;

/// What the holder of the lease knows of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutEngine {
    /// Which.
    pub id: UpstreamId,
    /// Whether it has the newest weights.
    pub is_done: bool,
    /// Requests that run there.
    pub running: u32,
    /// When the last order went out.
    pub ordered: Option<Moment>,
}

impl RolloutEngine {
    /// Whether its order is still expected to take effect.
    pub fn is_loading(&self, now: Moment) -> bool {
        let expected = |since| !Deadline::after(since, ORDER_EXPIRY_MS).passed(now);
        !self.is_done && self.ordered.is_some_and(expected)
    }
}

/// Loads that may run at the same time among so many engines.
pub fn max_concurrent_loads(engines: usize) -> usize {
    (engines / ENGINES_PER_LOAD).max(LEAST_AT_ONCE)
}

/// The engines to order next.
pub fn next_orders(engines: &[RolloutEngine], now: Moment) -> Vec<UpstreamId> {
    let loading = engines.iter().filter(|engine| engine.is_loading(now)).count();
    let free = (max_concurrent_loads(engines.len()) + FINISHING).saturating_sub(loading);
    let mut waiting: Vec<&RolloutEngine> =
        engines.iter().filter(|engine| !engine.is_done && !engine.is_loading(now)).collect();
    waiting.sort_by_key(|engine| (engine.ordered.is_some(), engine.running));
    waiting.into_iter().take(free).map(|engine| engine.id.clone()).collect()
}
