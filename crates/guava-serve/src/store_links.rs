//! What the links of stores of cached parts have to carry.

use crate::serve_config::StoreTraits;
use guava_policy::LinkQueue;
use guava_types::{DataCentre, FastMap, Moment, TokenCount};
use std::net::SocketAddr;

/// How many times longer a transfer to another data centre takes. The upstreams' contract.
const REMOTE_TIMES: f64 = 2.0;

/// A transfer over a store's link, as daemons tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTransfer {
    /// Which store.
    pub store: SocketAddr,
    /// How long it takes alone, in milliseconds.
    pub transfer_ms: u32,
}

/// Milliseconds in which a part goes between a store and an engine in a data centre.
pub fn transfer_ms(
    store: &StoreTraits,
    tokens: TokenCount,
    token_bytes: u64,
    centre: &DataCentre,
) -> f64 {
    let bytes = (tokens.0 * token_bytes) as f64;
    let times = if store.data_centre == *centre { 1.0 } else { REMOTE_TIMES };
    store.first_byte_ms + times * bytes * 1_000.0 / store.bytes_per_s.max(1) as f64
}

/// The links of all stores.
#[derive(Debug, Default)]
pub struct StoreLinks {
    queues: FastMap<SocketAddr, LinkQueue>,
}

impl StoreLinks {
    /// Notes a transfer. Daemons of a large deployment hear only of those begun in their own data
    /// centre; each stands for as many as there are daemons for one of these.
    pub fn note(&mut self, transfer: StoreTransfer, stands_for: f64, now: Moment) {
        let queue = self.queues.entry(transfer.store).or_default();
        queue.push(f64::from(transfer.transfer_ms) * stands_for, now);
    }

    /// Milliseconds that a transfer waits at a store's link.
    pub fn wait_ms(&self, store: SocketAddr, now: Moment) -> f64 {
        self.queues.get(&store).map_or(0.0, |queue| queue.wait_ms(now))
    }
}
