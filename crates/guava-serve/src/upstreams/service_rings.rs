//! The upstreams of one service on hash rings, on which each daemon has a place.
//!
//! Upstreams are arranged by their names, so all daemons see the same rings. Each data centre has a ring
//! of its own, so that a daemon finds upstreams near it without looking at the others.

use guava_types::{DataCentre, FastMap, UpstreamId};
use std::collections::BTreeMap;

/// Position of a key on the hash rings: half of a digest, so that no two names share one. All daemons
/// compute the same positions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RingPosition(pub u128);

impl RingPosition {
    /// Position of an upstream's name, or of any other text.
    pub fn of(key: &str) -> Self {
        let mut half = [0; 16];
        blake3::Hasher::new().update(key.as_bytes()).finalize_xof().fill(&mut half);
        Self(u128::from_be_bytes(half))
    }

    /// Place on the ring, from 0 to 1.
    pub fn as_fraction(self) -> f64 {
        self.0 as f64 / u128::MAX as f64
    }
}

type UpstreamRing = BTreeMap<RingPosition, UpstreamId>;

/// The rings of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceRings {
    all: UpstreamRing,
    by_data_centre: FastMap<DataCentre, UpstreamRing>,
}

impl ServiceRings {
    pub(crate) fn insert(&mut self, id: &UpstreamId, data_centre: &DataCentre) {
        let position = RingPosition::of(id.name());
        self.all.insert(position, id.clone());
        let local = self.by_data_centre.entry(data_centre.clone()).or_default();
        local.insert(position, id.clone());
    }

    pub(crate) fn remove(&mut self, id: &UpstreamId, data_centre: &DataCentre) {
        let position = RingPosition::of(id.name());
        self.all.remove(&position);
        if let Some(local) = self.by_data_centre.get_mut(data_centre) {
            local.remove(&position);
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.all.len()
    }

    /// All upstreams, in the order of their positions.
    pub(crate) fn all(&self) -> impl Iterator<Item = &UpstreamId> {
        self.all.values()
    }

    /// All upstreams from a position on, once around.
    pub(crate) fn from(&self, start: RingPosition) -> impl Iterator<Item = &UpstreamId> {
        around(&self.all, start)
    }

    /// The upstreams of one data centre from a position on, once around.
    pub(crate) fn local_from(
        &self,
        data_centre: &DataCentre,
        start: RingPosition,
    ) -> impl Iterator<Item = &UpstreamId> {
        let ring = self.by_data_centre.get(data_centre);
        ring.map(|ring| around(ring, start)).into_iter().flatten()
    }
}

fn around(ring: &UpstreamRing, start: RingPosition) -> impl Iterator<Item = &UpstreamId> {
    ring.range(start..).chain(ring.range(..start)).map(|(_, id)| id)
}
