//! Order in which the records of the list of upstreams take effect.
//!
//! A daemon obtains records by its own reads, which arrive in order, and from peers, which may be
//! ahead of it or behind. A record that a peer reports from before this daemon's read position is
//! ignored: it was applied already, or a later one replaced it. Of the records after that position
//! the newest of each upstream applies, whatever its source and the order of arrival.

use guava_types::FastMap;
use std::fmt;

/// Largest number of upstreams for which records from peers are kept.
const MAX_PEER_RECORDS: usize = 4_096;

/// Position of a record in the list's history; later records have higher positions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListRevision(pub u64);

impl fmt::Display for ListRevision {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

/// Read position in the list, and the newer records that peers reported.
#[derive(Debug, Default)]
pub struct ListOrder {
    /// All records before this position were applied.
    position: ListRevision,
    /// Newest record from a peer at or after it, by the upstream's name.
    from_peers: FastMap<Box<str>, ListRevision>,
    /// Position after the newest record that was applied.
    end: ListRevision,
}

impl ListOrder {
    /// Position at which this daemon's next read begins.
    pub fn position(&self) -> ListRevision {
        self.position
    }

    /// Position after the newest record that was applied, whatever its source.
    pub fn end(&self) -> ListRevision {
        self.end
    }

    /// Whether a record reported by a peer is to be applied; if so, it is noted as the newest one
    /// of its upstream.
    pub fn admit_from_peer(&mut self, name: &str, revision: ListRevision) -> bool {
        if revision < self.position || !self.admit_read(name, revision) {
            return false;
        }
        self.end = self.end.max(ListRevision(revision.0 + 1));
        if let Some(known) = self.from_peers.get_mut(name) {
            *known = revision;
            return true;
        }
        if self.from_peers.len() >= MAX_PEER_RECORDS {
            self.drop_older_half();
        }
        self.from_peers.insert(name.into(), revision);
        true
    }

    /// Whether a record that this daemon read is to be applied: not if a peer reported a newer one.
    pub fn admit_read(&self, name: &str, revision: ListRevision) -> bool {
        self.from_peers.get(name).is_none_or(|known| *known <= revision)
    }

    /// Whether a peer reported a record of this upstream that is at or after the read position.
    pub fn has_peer_record(&self, name: &str) -> bool {
        self.from_peers.contains_key(name)
    }

    /// Notes that all records before a position were applied.
    pub fn note_position(&mut self, position: ListRevision) {
        self.position = position;
        self.end = self.end.max(position);
        self.from_peers.retain(|_, known| *known >= position);
    }

    /// Drops the older half of the records from peers and moves the position past them. A record
    /// that this skips shows as a difference from the readers' digest, and is then read.
    fn drop_older_half(&mut self) {
        let mut revisions: Vec<ListRevision> = self.from_peers.values().copied().collect();
        let middle = revisions.len() / 2;
        let (_, median, _) = revisions.select_nth_unstable(middle);
        let position = *median;
        self.note_position(position);
    }
}
