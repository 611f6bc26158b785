//! Rates of the links to the memory and disk tiers, as observed on finished imports.
//!
//! A link that has become slow still has its configured rate. If estimates used that rate, imports
//! would queue behind each other on the link, and each would wait longer than a recomputation
//! takes.

use guava_types::{ByteCount, FastMap, LinkRate, Moment, UpstreamId};

/// Inverse weight of a new observation.
const SMOOTHING: f64 = 3.0;
/// Half-life of an observation, in milliseconds, so that a link that has recovered is used again.
const HALF_LIFE_MS: f64 = 5_000.0;

#[derive(Clone, Copy, Debug)]
struct ObservedRate {
    /// Configured rate divided by the observed rate; at least one.
    slowness: f64,
    updated: Moment,
}

/// Observed slowness of each store's link.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    observed: FastMap<UpstreamId, ObservedRate>,
}

impl LinkTable {
    fn slowness(&self, store: &UpstreamId, now: Moment) -> f64 {
        let Some(observed) = self.observed.get(store) else { return 1.0 };
        let age = now.millis_since(observed.updated) as f64;
        1.0 + (observed.slowness - 1.0) * 0.5_f64.powf(age / HALF_LIFE_MS)
    }

    /// Records a finished import of `bytes` that took `millis`, waiting included.
    pub fn note(
        &mut self,
        store: &UpstreamId,
        bytes: ByteCount,
        millis: u64,
        configured: LinkRate,
        now: Moment,
    ) {
        let expected = bytes.0 as f64 * 1_000.0 / configured.0.max(1) as f64;
        let measured = (millis as f64 / expected.max(1.0)).max(1.0);
        let estimated = self.slowness(store, now);
        let slowness = estimated + (measured - estimated) / SMOOTHING;
        self.observed.insert(store.clone(), ObservedRate { slowness, updated: now });
    }

    /// The rate to use in estimates: the configured rate divided by the observed slowness.
    pub fn rate(&self, store: &UpstreamId, configured: LinkRate, now: Moment) -> LinkRate {
        LinkRate((configured.0 as f64 / self.slowness(store, now)) as u64)
    }
}
