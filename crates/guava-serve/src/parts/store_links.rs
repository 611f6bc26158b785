//! The load and the slowness of the links of part stores.
//!
//! Each link has a queue of transfers, from which waits are estimated, and a watch that compares the
//! arrival of fetched parts with what was expected.

use crate::serve_config::StoreTraits;
use guava_policy::{AwaitedFetch, LinkQueue, LinkWatch};
use guava_types::{DataCentre, FastMap, MemberName, Moment, TokenCount};
use std::net::SocketAddr;

/// How many times as long a transfer to another data centre takes, by the upstreams' contract.
pub(crate) const REMOTE_FACTOR: f64 = 2.0;

/// A transfer over a store's link, as daemons exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTransfer {
    /// Address of the store.
    pub store: SocketAddr,
    /// How long it takes on an otherwise idle link, in milliseconds.
    pub transfer_ms: u32,
}

/// Milliseconds for the transfer of `tokens` between a store and an engine in `centre`, on an
/// otherwise idle link.
pub fn transfer_ms(
    store: &StoreTraits,
    tokens: TokenCount,
    token_bytes: u64,
    centre: &DataCentre,
) -> f64 {
    let bytes = (tokens.0 * token_bytes) as f64;
    let factor = if store.data_centre == *centre { 1.0 } else { REMOTE_FACTOR };
    store.first_byte_ms + factor * bytes * 1_000.0 / store.bytes_per_s.max(1) as f64
}

/// The fetches of a prompt from stores, and how long they are expected to take.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FetchWait {
    /// The stores that it fetches from.
    pub stores: Vec<SocketAddr>,
    /// Milliseconds that the fetches are expected to take, including waits for the links.
    pub expected_ms: f64,
    /// Milliseconds until the first token that don't depend on the fetches.
    pub other_ms: f64,
}

/// Identifies a wait from [`StoreLinks::begin`] until it arrives or is dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchTicket {
    stores: Vec<SocketAddr>,
    number: u64,
}

/// Age from which a peer's report on a link is ignored, in milliseconds; peers report four times a
/// second.
const PEER_REPORT_EXPIRY_MS: u64 = 700;
/// Number of peers that must report a link before it counts as slow.
const MIN_REPORTING_PEERS: usize = 2;
/// Slowness from which a link is reported to peers, in hundredths.
const MIN_REPORTED_HUNDREDTHS: u32 = 150;

/// A slow link, as daemons report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowLink {
    /// Address of the link's store.
    pub store: SocketAddr,
    /// Ratio of actual to configured transfer time, in hundredths.
    pub hundredths: u32,
}

/// The links of all stores.
#[derive(Debug, Default)]
pub struct StoreLinks {
    queues: FastMap<SocketAddr, LinkQueue>,
    watches: FastMap<SocketAddr, LinkWatch>,
    /// Each peer's last report on a link, in hundredths, and when it was received.
    peer_reports: FastMap<SocketAddr, FastMap<MemberName, (u32, Moment)>>,
    next_ticket: u64,
}

impl StoreLinks {
    /// Adds a transfer to a link's queue. Daemons of a large deployment receive notices only of
    /// transfers begun in their own data centre; `sampling_factor` is the number of transfers that
    /// each of these represents.
    pub fn note(&mut self, transfer: StoreTransfer, sampling_factor: f64, now: Moment) {
        let slowness = self.slowness(transfer.store, now);
        let queue = self.queues.entry(transfer.store).or_default();
        queue.push(f64::from(transfer.transfer_ms) * slowness * sampling_factor, now);
    }

    /// Ratio of actual to configured transfer time of a store's link, at least 1.0. It is measured by
    /// this daemon's own fetches or, if there are too few, by those of two peers. Each daemon fetches
    /// from a store about twice a second; alone it would need a second to detect a slow link, and its
    /// prompts would be late meanwhile.
    pub fn slowness(&self, store: SocketAddr, now: Moment) -> f64 {
        let own = self.watches.get(&store).and_then(|watch| watch.slowness(now));
        own.or_else(|| self.peer_slowness(store, now)).map_or(1.0, |slowness| slowness.max(1.0))
    }

    /// The slowness that at least [`MIN_REPORTING_PEERS`] peers report; a wrong report by a single peer
    /// must not spread.
    fn peer_slowness(&self, store: SocketAddr, now: Moment) -> Option<f64> {
        let peer_reports = self.peer_reports.get(&store)?.values();
        let recent = peer_reports
            .filter(|(_, received)| now.millis_since(*received) < PEER_REPORT_EXPIRY_MS);
        let mut hundredths: Vec<u32> = recent.map(|(hundredths, _)| *hundredths).collect();
        hundredths.sort_unstable_by(|left, right| right.cmp(left));
        hundredths.get(MIN_REPORTING_PEERS - 1).map(|hundredths| f64::from(*hundredths) / 100.0)
    }

    /// The links that this daemon's own fetches show to be slow.
    pub fn slow_links(&self, now: Moment) -> Vec<SlowLink> {
        let slow = self.watches.iter().filter_map(|(store, watch)| {
            let hundredths = (watch.slowness(now)? * 100.0) as u32;
            (hundredths >= MIN_REPORTED_HUNDREDTHS)
                .then_some(SlowLink { store: *store, hundredths })
        });
        slow.collect()
    }

    /// Records a peer's report of a slow link.
    pub fn note_from_peer(&mut self, peer: &MemberName, link: SlowLink, now: Moment) {
        let peer_reports = self.peer_reports.entry(link.store).or_default();
        peer_reports.retain(|_, (_, received)| now.millis_since(*received) < PEER_REPORT_EXPIRY_MS);
        peer_reports.insert(peer.clone(), (link.hundredths, now));
    }

    /// Records that a prompt was sent and waits for its parts.
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

    /// Records that the first token arrived, so the parts arrived before it.
    pub fn arrived(&mut self, ticket: &FetchTicket, now: Moment) {
        self.each_watch(ticket, |watch, number| watch.arrived(number, now));
    }

    /// Records that the wait was abandoned.
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

    /// Milliseconds that a new transfer waits in the queue of a store's link.
    pub fn wait_ms(&self, store: SocketAddr, now: Moment) -> f64 {
        self.queues.get(&store).map_or(0.0, |queue| queue.wait_ms(now))
    }
}
