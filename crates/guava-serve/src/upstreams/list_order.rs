//! The order of the records that make up the list of upstreams.
//!
//! A daemon learns of records by its own reads, which come in order, and from peers, which may be
//! ahead of it or behind. A peer's word on a record before this daemon's own position is never news:
//! the record was taken in, or a later one replaced it. Of the records after that position the
//! newest of each upstream counts, whoever told it and in which order.

use guava_types::FastMap;
use std::fmt;

/// Upstreams of which peers told records after this daemon's position, at most.
const MOST_TOLD: usize = 4_096;

/// Position of a record in the list's history; later records have higher ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListRevision(pub u64);

impl fmt::Display for ListRevision {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

/// How far the list's records are known.
#[derive(Debug, Default)]
pub struct ListOrder {
    /// All records before this one were taken in.
    position: ListRevision,
    /// The newest record after it that peers told, by the upstream's name.
    told: FastMap<Box<str>, ListRevision>,
}

impl ListOrder {
    /// Where this daemon's next read begins.
    pub fn position(&self) -> ListRevision {
        self.position
    }

    /// Whether a record that a peer tells may change the list.
    pub fn admit_from_peer(&mut self, name: &str, revision: ListRevision) -> bool {
        if revision < self.position || !self.admit_read(name, revision) {
            return false;
        }
        if let Some(told) = self.told.get_mut(name) {
            *told = revision;
            return true;
        }
        if self.told.len() >= MOST_TOLD {
            self.forget_oldest();
        }
        self.told.insert(name.into(), revision);
        true
    }

    /// Whether a record that this daemon reads may change the list: unless a peer told a newer one.
    pub fn admit_read(&self, name: &str, revision: ListRevision) -> bool {
        self.told.get(name).is_none_or(|told| *told <= revision)
    }

    /// Whether a peer told a record of an upstream that this daemon has not reached.
    pub fn is_told(&self, name: &str) -> bool {
        self.told.contains_key(name)
    }

    /// Notes that all records before a revision were taken in.
    pub fn note_position(&mut self, position: ListRevision) {
        self.position = position;
        self.told.retain(|_, told| *told >= position);
    }

    /// Passes over the older half of what peers told. A record that is still missing then shows as a
    /// difference to the readers' digest, and is read.
    fn forget_oldest(&mut self) {
        let mut revisions: Vec<ListRevision> = self.told.values().copied().collect();
        let middle = revisions.len() / 2;
        let (_, median, _) = revisions.select_nth_unstable(middle);
        let position = *median;
        self.note_position(position);
    }
}
