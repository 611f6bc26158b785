//! What is known of the other daemons, by gossip.
//!
//! Each daemon makes a new version of its own entry now and then; entries travel from daemon to
//! daemon with their age, so that two clocks are never compared. An entry is passed on only a few
//! times, enough to reach everybody with high probability, and then rests until a newer version.

use crate::daemon_phase::DaemonPhase;
use guava_policy::PrefixHash;
use guava_state::{LogObservation, PeerObservation};
use guava_types::{
    CustomerId, DataCentre, FastMap, Incarnation, MemberName, Moment, Offset, TokenCount,
    UpstreamId,
};
use std::net::SocketAddr;

/// A daemon not heard for longer is silent, in milliseconds; longer in a large fleet.
const SILENT_AFTER_MS: u64 = 6_000;
/// Versions of an entry that must have been missed before its daemon is silent.
const MISSED_VERSIONS: u64 = 4;
/// A daemon makes a new version of its entry every so many milliseconds for each daemon there is:
/// the number of versions that travel, and so the bytes, stay bounded as the fleet grows.
const VERSION_MS_A_DAEMON: u64 = 25;
const VERSION_AT_LEAST_EVERY_MS: u64 = 10_000;
const FORGET_AFTER_MS: u64 = 120_000;

/// Who a daemon is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Its name.
    pub name: MemberName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where daemons reach it.
    pub peer_address: SocketAddr,
}

/// A daemon's gossiped entry.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerEntry {
    /// Counts up with each version that the daemon makes.
    pub version: u64,
    /// When that version was made, on this daemon's clock.
    pub made: Moment,
    /// Where it is in its life.
    pub phase: DaemonPhase,
    /// The first offset that it has not applied.
    pub next: Offset,
    /// Its last sight of the log's end.
    pub log: Option<LogObservation>,
    /// Who it is.
    pub identity: PeerIdentity,
    /// Tokens that it has waiting, by short hash of the upstream.
    pub loads: Vec<(u32, TokenCount)>,
    /// Requests of its that wait for their first token.
    pub starting: u32,
    /// Requests that it runs, by short hash of the customer.
    pub customers: Vec<(u32, u32)>,
    /// Upstreams that it knows to be leaving, with the instance that leaves.
    pub leaving: Vec<(UpstreamId, Box<str>)>,
}

struct KnownPeer {
    entry: PeerEntry,
    sends: u32,
}

/// All entries, this daemon's own left out.
#[derive(Default)]
pub struct PeerTable {
    peers: FastMap<Incarnation, KnownPeer>,
}

/// How long a fleet of this size takes between two versions of an entry, in milliseconds.
pub fn version_every_ms(fleet: usize) -> u64 {
    (fleet as u64 * VERSION_MS_A_DAEMON).min(VERSION_AT_LEAST_EVERY_MS)
}

/// A short hash of a name, for gossip.
pub fn short_hash(name: &str) -> u32 {
    let hash = blake3::hash(name.as_bytes());
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(bytes)
}

/// Weight of a daemon for a prefix; the daemon with the largest owns it.
fn rendezvous(member: Incarnation, seed: PrefixHash) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&member.0.to_le_bytes());
    hasher.update(&seed.0);
    *hasher.finalize().as_bytes()
}

impl PeerTable {
    /// Takes an entry in if it is newer than what is known.
    pub fn learn(&mut self, incarnation: Incarnation, entry: PeerEntry) -> bool {
        let is_newer =
            self.peers.get(&incarnation).is_none_or(|known| known.entry.version < entry.version);
        if is_newer {
            self.peers.insert(incarnation, KnownPeer { entry, sends: 0 });
        }
        is_newer
    }

    /// Takes entries to pass on: those passed on least, each at most `max_sends` times.
    pub fn take_updates(&mut self, limit: usize, max_sends: u32) -> Vec<(Incarnation, PeerEntry)> {
        let mut fresh: Vec<_> =
            self.peers.iter_mut().filter(|(_, known)| known.sends < max_sends).collect();
        fresh.sort_by_key(|(_, known)| (known.sends, std::cmp::Reverse(known.entry.made)));
        fresh
            .into_iter()
            .take(limit)
            .map(|(incarnation, known)| {
                known.sends += 1;
                (*incarnation, known.entry.clone())
            })
            .collect()
    }

    /// Forgets those silent for long.
    pub fn forget_old(&mut self, now: Moment) {
        self.peers.retain(|_, known| now.millis_since(known.entry.made) < FORGET_AFTER_MS);
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = (Incarnation, &PeerEntry)> {
        self.peers.iter().map(|(incarnation, known)| (*incarnation, &known.entry))
    }

    /// An entry.
    pub fn get(&self, incarnation: Incarnation) -> Option<&PeerEntry> {
        self.peers.get(&incarnation).map(|known| &known.entry)
    }

    fn silent_after_ms(&self) -> u64 {
        let missed = version_every_ms(self.peers.len() + 1) * MISSED_VERSIONS;
        missed.max(SILENT_AFTER_MS)
    }

    /// Entries of daemons heard lately.
    pub fn alive(&self, now: Moment) -> impl Iterator<Item = (Incarnation, &PeerEntry)> {
        let silent_after = self.silent_after_ms();
        self.iter().filter(move |(_, entry)| now.millis_since(entry.made) < silent_after)
    }

    /// Whether a daemon was heard lately.
    pub fn is_reachable(&self, incarnation: Incarnation, now: Moment) -> bool {
        let silent_after = self.silent_after_ms();
        self.get(incarnation).is_some_and(|entry| now.millis_since(entry.made) < silent_after)
    }

    /// What the freshness rule needs.
    pub fn sights(&self) -> Vec<PeerObservation> {
        self.iter()
            .map(|(incarnation, entry)| PeerObservation {
                incarnation,
                last_contact: entry.made,
                log: entry.log,
            })
            .collect()
    }

    /// The largest offset that a peer has applied up to.
    pub fn max_next(&self) -> Offset {
        self.iter().map(|(_, entry)| entry.next).max().unwrap_or_default()
    }

    /// Where to fetch newer state: the daemon that has applied most.
    pub fn most_advanced(&self) -> Option<SocketAddr> {
        let best = self.iter().max_by_key(|(_, entry)| (entry.next, entry.made))?;
        Some(best.1.identity.peer_address)
    }

    /// The owner of a prefix among the serving daemons; nothing if that is this one.
    pub fn owner(&self, me: Incarnation, seed: PrefixHash, now: Moment) -> Option<Incarnation> {
        let serving = self.alive(now).filter(|(_, entry)| entry.phase == DaemonPhase::Serving);
        let best = serving.map(|(peer, _)| peer).max_by_key(|peer| rendezvous(*peer, seed))?;
        (rendezvous(best, seed) > rendezvous(me, seed)).then_some(best)
    }

    /// The next owner of a prefix if this daemon goes.
    pub fn successor(&self, seed: PrefixHash, now: Moment) -> Option<(Incarnation, SocketAddr)> {
        self.alive(now)
            .filter(|(_, entry)| entry.phase == DaemonPhase::Serving)
            .max_by_key(|(peer, _)| rendezvous(*peer, seed))
            .map(|(peer, entry)| (peer, entry.identity.peer_address))
    }

    /// Requests that peers run for a customer.
    pub fn customer_running(&self, customer: &CustomerId, now: Moment) -> u32 {
        let hash = short_hash(customer.as_str());
        let loads = self.alive(now).flat_map(|(_, entry)| entry.customers.iter());
        loads.filter(|(other, _)| *other == hash).map(|(_, running)| running).sum()
    }

    /// Requests of peers that wait for their first token.
    pub fn all_starting(&self, now: Moment) -> u32 {
        self.alive(now).map(|(_, entry)| entry.starting).sum()
    }

    /// Tokens that peers have waiting at an upstream.
    pub fn upstream_tokens(&self, upstream: &UpstreamId, now: Moment) -> TokenCount {
        let hash = short_hash(upstream.as_str());
        let loads = self.alive(now).flat_map(|(_, entry)| entry.loads.iter());
        TokenCount(loads.filter(|(other, _)| *other == hash).map(|(_, tokens)| tokens.0).sum())
    }
}
