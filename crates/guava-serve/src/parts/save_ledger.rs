//! Saves of prompt parts to stores that are in flight, ordered by this daemon or by its peers.
//!
//! A store reserves capacity when a save begins and reports the part when it is complete, about a
//! second later. Until then its reports show more capacity than it has. A save that finds no capacity
//! is lost, and the next prompt that needs the part has it prefilled again.

use crate::parts::part_key::PartKey;
use guava_types::{Deadline, FastMap, Moment, TokenCount};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Age, in milliseconds, from which a save that the store has not reported counts as lost. Stores
/// reserve capacity at once, and the longest transfers take about a second.
const SAVE_EXPIRY_MS: u64 = 4_000;
/// Time for which a lost save is remembered, in milliseconds.
const LOST_RETENTION_MS: u64 = 60_000;
/// Number of saves from which expired ones are removed.
const MAX_PENDING_SAVES: usize = 10_000;

/// A save of one prompt part to one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartSave {
    /// Key of the part.
    pub key: PartKey,
    /// Address of the store.
    pub store: SocketAddr,
    /// Length of the part.
    pub tokens: TokenCount,
    /// When it has begun at the latest, if it ever does: it may wait in an engine's queue, and then for
    /// the store's link.
    pub begins_by: Deadline,
}

/// Most orders of one part that are told apart.
const MAX_ORDERS: usize = 8;

#[derive(Clone, Copy, Debug)]
struct PendingSave {
    save: PartSave,
    since: Moment,
    /// Distinguishes this save from an earlier one of the same part.
    number: u64,
}

impl PendingSave {
    fn is_expired(&self, now: Moment) -> bool {
        now.millis_since(self.since) >= SAVE_EXPIRY_MS
    }
}

/// The saves in flight, by part and by store.
#[derive(Debug, Default)]
pub struct SaveLedger {
    /// The last save of each part.
    pending: FastMap<PartKey, PendingSave>,
    /// For each part the orders of saves that may still begin, in the order in which they were given.
    orders: FastMap<PartKey, Vec<PartSave>>,
    /// In order of their start; expired and superseded saves are ignored.
    by_store: FastMap<SocketAddr, VecDeque<PendingSave>>,
    /// When each store's last save expired that it has not reported.
    lost: FastMap<SocketAddr, Moment>,
    last_number: u64,
}

impl SaveLedger {
    /// Records a new save; it supersedes an earlier one of the same part.
    pub fn begin(&mut self, save: PartSave, now: Moment) {
        if self.pending.len() > MAX_PENDING_SAVES {
            self.pending.retain(|_, pending| !pending.is_expired(now));
        }
        self.note_order(save, now);
        self.last_number += 1;
        let pending = PendingSave { save, since: now, number: self.last_number };
        self.remove_expired(save.store, now);
        self.pending.insert(save.key, pending);
        self.by_store.entry(save.store).or_default().push_back(pending);
    }

    fn note_order(&mut self, save: PartSave, now: Moment) {
        if self.orders.len() > MAX_PENDING_SAVES {
            self.orders.retain(|_, orders| orders.iter().any(|it| !it.begins_by.passed(now)));
        }
        let orders = self.orders.entry(save.key).or_default();
        orders.retain(|order| !order.begins_by.passed(now));
        if orders.len() < MAX_ORDERS {
            orders.push(save);
        } else if let Some(last) = orders.last_mut() {
            last.begins_by = last.begins_by.max(save.begins_by);
        }
    }

    /// Notes that a store reported a part: one of the orders to save it there has begun.
    pub fn note_begun(&mut self, key: &PartKey, store: SocketAddr) {
        let Some(orders) = self.orders.get_mut(key) else { return };
        if let Some(first) = orders.iter().position(|order| order.store == store) {
            orders.remove(first);
        }
        if orders.is_empty() {
            self.orders.remove(key);
        }
    }

    /// Whether a save of a part to a store may still begin, by the orders that are known.
    pub fn may_begin(&self, key: &PartKey, store: SocketAddr, now: Moment) -> bool {
        let orders = self.orders.get(key).into_iter().flatten();
        orders.into_iter().any(|order| order.store == store && !order.begins_by.passed(now))
    }

    /// Whether a store did not report a save lately.
    pub fn has_lost(&mut self, store: SocketAddr, now: Moment) -> bool {
        self.remove_expired(store, now);
        let lost = self.lost.get(&store);
        lost.is_some_and(|lost| now.millis_since(*lost) < LOST_RETENTION_MS)
    }

    fn remove_expired(&mut self, store: SocketAddr, now: Moment) {
        let Some(queue) = self.by_store.get_mut(&store) else { return };
        while let Some(first) = queue.pop_front_if(|first| first.is_expired(now)) {
            let last = self.pending.get(&first.save.key);
            if last.is_some_and(|last| last.number == first.number) {
                self.lost.insert(store, now);
            }
        }
    }

    /// Removes the save of a part that a store reported.
    pub fn end(&mut self, key: &PartKey) {
        self.pending.remove(key);
    }

    /// Whether a part has a save that is not expired.
    pub fn is_in_flight(&self, key: &PartKey, now: Moment) -> bool {
        self.pending.get(key).is_some_and(|pending| !pending.is_expired(now))
    }

    /// Capacity that a store has reserved for saves in flight.
    pub fn reserved(&self, store: SocketAddr, now: Moment) -> TokenCount {
        let is_last = |pending: &&PendingSave| {
            let last = self.pending.get(&pending.save.key);
            last.is_some_and(|last| last.number == pending.number)
        };
        let queue = self.by_store.get(&store).into_iter().flatten();
        let in_flight = queue.filter(|pending| !pending.is_expired(now)).filter(is_last);
        TokenCount(in_flight.map(|pending| pending.save.tokens.0).sum())
    }
}
