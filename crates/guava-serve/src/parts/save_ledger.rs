//! Saves of parts to stores that are under way, by this daemon's orders and its peers'.
//!
//! A store sets room aside when a save begins and reports the part when it is whole, about a second
//! later. What it reports shows more room than it has meanwhile, and a save that finds none is lost:
//! the part is read once more by the next prompt that needs it.

use crate::parts::part_key::PartKey;
use guava_types::{FastMap, Moment, TokenCount};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// A save that was not reported for so long is taken as lost, in milliseconds. Stores set room aside
/// at once, and the longest transfers take about a second.
const EXPIRY_MS: u64 = 4_000;
/// Saves remembered before those that are over are dropped.
const REMEMBERED: usize = 10_000;

/// A part on its way to a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartSave {
    /// Which part.
    pub key: PartKey,
    /// Where to.
    pub store: SocketAddr,
    /// Its length.
    pub tokens: TokenCount,
}

#[derive(Clone, Copy, Debug)]
struct BegunSave {
    save: PartSave,
    since: Moment,
    /// Tells this save from an earlier one of the same part.
    number: u64,
}

impl BegunSave {
    fn is_over(&self, now: Moment) -> bool {
        now.millis_since(self.since) >= EXPIRY_MS
    }
}

/// The saves under way.
#[derive(Debug, Default)]
pub struct SaveLedger {
    /// The last save of each part.
    begun: FastMap<PartKey, BegunSave>,
    /// In the order in which they began; those that are over, or were begun again, count no more.
    by_store: FastMap<SocketAddr, VecDeque<BegunSave>>,
    last_number: u64,
}

impl SaveLedger {
    /// Notes that a save begins.
    pub fn begin(&mut self, save: PartSave, now: Moment) {
        if self.begun.len() > REMEMBERED {
            self.begun.retain(|_, begun| !begun.is_over(now));
        }
        self.last_number += 1;
        let begun = BegunSave { save, since: now, number: self.last_number };
        self.begun.insert(save.key, begun);
        let queue = self.by_store.entry(save.store).or_default();
        while queue.front().is_some_and(|first| first.is_over(now)) {
            queue.pop_front();
        }
        queue.push_back(begun);
    }

    /// Notes that a store reported a part.
    pub fn end(&mut self, key: &PartKey) {
        self.begun.remove(key);
    }

    /// Whether a part is being saved.
    pub fn is_under_way(&self, key: &PartKey, now: Moment) -> bool {
        self.begun.get(key).is_some_and(|begun| !begun.is_over(now))
    }

    /// Room that a store has set aside for parts under way.
    pub fn reserved(&self, store: SocketAddr, now: Moment) -> TokenCount {
        let is_last = |begun: &&BegunSave| {
            let last = self.begun.get(&begun.save.key);
            last.is_some_and(|last| last.number == begun.number)
        };
        let queue = self.by_store.get(&store).into_iter().flatten();
        let under_way = queue.filter(|begun| !begun.is_over(now)).filter(is_last);
        TokenCount(under_way.map(|begun| begun.save.tokens.0).sum())
    }
}
