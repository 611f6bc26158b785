//! What links to the memory and disk tiers really carry, as seen by finished imports.
//!
//! A link that has become slow still has its configured rate in every estimate. Believed, imports
//! pile up behind each other on it, and each waits longer than recomputing would have taken.

use guava_types::{ByteCount, FastMap, LinkRate, Moment, UpstreamId};

/// Weight of a new observation, as one over this.
const SMOOTHING: f64 = 3.0;
/// An observation counts half after this time, so that a link that has recovered is tried again.
const HALF_LIFE_MS: f64 = 5_000.0;

#[derive(Clone, Copy, Debug)]
struct SeenRate {
    /// Configured rate over the rate seen; at least one.
    slowness: f64,
    noted: Moment,
}

/// Observed slowness of each store's link.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    seen: FastMap<UpstreamId, SeenRate>,
}

impl LinkTable {
    fn slowness(&self, store: &UpstreamId, now: Moment) -> f64 {
        let Some(seen) = self.seen.get(store) else { return 1.0 };
        let age = now.millis_since(seen.noted) as f64;
        1.0 + (seen.slowness - 1.0) * 0.5_f64.powf(age / HALF_LIFE_MS)
    }

    /// Takes in that so many bytes took so long, waiting included.
    pub fn note(
        &mut self,
        store: &UpstreamId,
        bytes: ByteCount,
        millis: u64,
        configured: LinkRate,
        now: Moment,
    ) {
        let expected = bytes.0 as f64 * 1_000.0 / configured.0.max(1) as f64;
        let found = (millis as f64 / expected.max(1.0)).max(1.0);
        let known = self.slowness(store, now);
        let slowness = known + (found - known) / SMOOTHING;
        self.seen.insert(store.clone(), SeenRate { slowness, noted: now });
    }

    /// The rate to count on.
    pub fn rate(&self, store: &UpstreamId, configured: LinkRate, now: Moment) -> LinkRate {
        LinkRate((configured.0 as f64 / self.slowness(store, now)) as u64)
    }
}
