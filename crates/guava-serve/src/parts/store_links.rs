//! What the links of stores of cached parts have to carry.

use crate::serve_config::StoreTraits;
use guava_policy::{AwaitedFetch, LinkQueue, LinkWatch};
use guava_types::{DataCentre, FastMap, MemberName, Moment, TokenCount};
use std::net::SocketAddr;

/// How many times longer a transfer to another data centre takes. The upstreams' contract.
pub(crate) const REMOTE_TIMES: f64 = 2.0;

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

/// What a prompt waits for at the links of stores.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FetchWait {
    /// The stores that it fetches from.
    pub stores: Vec<SocketAddr>,
    /// Milliseconds that the fetches are expected to take, waits for the links included.
    pub expected_ms: f64,
    /// Milliseconds of the way to the first token that have nothing to do with them.
    pub other_ms: f64,
}

/// Names a wait until it is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchTicket {
    stores: Vec<SocketAddr>,
    number: u64,
}

/// How long a peer's word on a link counts, in milliseconds; peers speak four times a second.
const TOLD_EXPIRY_MS: u64 = 700;
/// Peers that must say so before a link is taken to be slow.
const TOLD_BY: usize = 2;
/// Slowness from which peers are told of a link, in hundredths.
const TOLD_HUNDREDTHS: u32 = 150;

/// A link that is slow, as daemons tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowLink {
    /// Which store's.
    pub store: SocketAddr,
    /// How many times slower than configured, in hundredths.
    pub hundredths: u32,
}

/// The links of all stores.
#[derive(Debug, Default)]
pub struct StoreLinks {
    queues: FastMap<SocketAddr, LinkQueue>,
    watches: FastMap<SocketAddr, LinkWatch>,
    /// What each peer said last of a link, and when.
    told: FastMap<SocketAddr, FastMap<MemberName, (u32, Moment)>>,
    next_ticket: u64,
}

impl StoreLinks {
    /// Notes a transfer. Daemons of a large deployment hear only of those begun in their own data
    /// centre; each stands for as many as there are daemons for one of these.
    pub fn note(&mut self, transfer: StoreTransfer, sampling_factor: f64, now: Moment) {
        let slowness = self.slowness(transfer.store, now);
        let queue = self.queues.entry(transfer.store).or_default();
        queue.push(f64::from(transfer.transfer_ms) * slowness * sampling_factor, now);
    }

    /// How many times slower than configured a store's link is: by this daemon's own fetches, or if
    /// there are too few, by those of two peers. Each daemon fetches from a store about twice a
    /// second; alone it would need a second to notice, and its prompts would be late meanwhile.
    pub fn slowness(&self, store: SocketAddr, now: Moment) -> f64 {
        let own = self.watches.get(&store).and_then(|watch| watch.slowness(now));
        own.or_else(|| self.told_slowness(store, now)).map_or(1.0, |slowness| slowness.max(1.0))
    }

    /// What at least [`TOLD_BY`] peers say; one alone may be wrong, and its mistake would spread.
    fn told_slowness(&self, store: SocketAddr, now: Moment) -> Option<f64> {
        let told = self.told.get(&store)?.values();
        let recent = told.filter(|(_, noted)| now.millis_since(*noted) < TOLD_EXPIRY_MS);
        let mut hundredths: Vec<u32> = recent.map(|(hundredths, _)| *hundredths).collect();
        hundredths.sort_unstable_by(|left, right| right.cmp(left));
        hundredths.get(TOLD_BY - 1).map(|hundredths| f64::from(*hundredths) / 100.0)
    }

    /// The links that this daemon's own fetches show to be slow.
    pub fn slow_links(&self, now: Moment) -> Vec<SlowLink> {
        let slow = self.watches.iter().filter_map(|(store, watch)| {
            let hundredths = (watch.slowness(now)? * 100.0) as u32;
            (hundredths >= TOLD_HUNDREDTHS).then_some(SlowLink { store: *store, hundredths })
        });
        slow.collect()
    }

    /// Takes in that a peer's fetches show a link to be slow.
    pub fn note_from_peer(&mut self, peer: &MemberName, link: SlowLink, now: Moment) {
        let told = self.told.entry(link.store).or_default();
        told.retain(|_, (_, noted)| now.millis_since(*noted) < TOLD_EXPIRY_MS);
        told.insert(peer.clone(), (link.hundredths, now));
    }

    /// Notes that a prompt is sent and waits for its parts.
    pub fn begin(&mut self, wait: &FetchWait, now: Moment) -> FetchTicket {
        let number = self.next_ticket;
        self.next_ticket += 1;
        for store in &wait.stores {
            let slowness = self.slowness(*store, now);
            let (other_ms, expected_ms) = (wait.other_ms, wait.expected_ms);
            let fetch = AwaitedFetch { sent: now, other_ms, expected_ms, slowness };
            self.watches.entry(*store).or_default().begin(number, fetch);
        }
        FetchTicket { stores: wait.stores.clone(), number }
    }

    /// Notes that the first token is there, and the parts were before it.
    pub fn arrived(&mut self, ticket: &FetchTicket, now: Moment) {
        self.each_watch(ticket, |watch, number| watch.arrived(number, now));
    }

    /// Notes that nobody waits for the parts any more.
    pub fn dropped(&mut self, ticket: &FetchTicket, now: Moment) {
        self.each_watch(ticket, |watch, number| watch.dropped(number, now));
    }

    fn each_watch(&mut self, ticket: &FetchTicket, note: impl Fn(&mut LinkWatch, u64)) {
        for store in &ticket.stores {
            if let Some(watch) = self.watches.get_mut(store) {
                note(watch, ticket.number);
            }
        }
    }

    /// Milliseconds that a transfer waits at a store's link.
    pub fn wait_ms(&self, store: SocketAddr, now: Moment) -> f64 {
        self.queues.get(&store).map_or(0.0, |queue| queue.wait_ms(now))
    }
}
