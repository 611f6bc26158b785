//! Saves of prompt parts that broke off, in stores that keep their room until they are told to free it.
//!
//! Only a store's list shows them, not its reports of changes, so it is listed when there is a sign of
//! them: a save that was ordered and never reported. A save in progress is listed too; one that makes
//! no progress for some seconds broke off.

use crate::parts::part_key::PartKey;
use guava_types::{FastMap, Moment, TokenCount};
use std::net::SocketAddr;

/// Interval between two lists of one store, in milliseconds.
const LIST_INTERVAL_MS: u64 = 5_000;
/// Age from which a list is ignored, in milliseconds.
const LIST_EXPIRY_MS: u64 = 2 * LIST_INTERVAL_MS;
/// Time without progress after which a save broke off, in milliseconds: longer than any takes.
const BROKEN_MS: u64 = 8_000;
/// Most partial parts kept for one store.
const MAX_PARTIALS: usize = 256;

/// A part that a store holds incompletely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartialPart {
    /// Its cache salt.
    pub salt: Box<str>,
    /// Its id.
    pub id: Box<str>,
    /// Tokens that the store has.
    pub complete: TokenCount,
    /// Room that it takes.
    pub reserved: TokenCount,
}

#[derive(Debug, Default)]
struct StorePartials {
    epoch: u64,
    asked: Moment,
    listed: Moment,
    /// Each with the moment since which it made no progress.
    parts: FastMap<PartKey, (PartialPart, Moment)>,
}

/// The partial parts of the stores for which this daemon decides what is freed.
#[derive(Debug, Default)]
pub struct PartialTable {
    stores: FastMap<SocketAddr, StorePartials>,
}

impl PartialTable {
    /// Whether a store is to be listed: a save to it was lost lately, or it had partial parts.
    pub fn is_due(&self, store: SocketAddr, has_lost_saves: bool, now: Moment) -> bool {
        let known = self.stores.get(&store);
        let is_recent = known.is_some_and(|it| now.millis_since(it.asked) < LIST_INTERVAL_MS);
        (has_lost_saves || known.is_some_and(|known| !known.parts.is_empty())) && !is_recent
    }

    /// Notes that a store is asked for its list.
    pub fn note_asked(&mut self, store: SocketAddr, now: Moment) {
        self.stores.entry(store).or_default().asked = now;
    }

    /// Applies a store's list as of a moment.
    pub fn note_list(
        &mut self,
        store: SocketAddr,
        epoch: u64,
        partial: Vec<PartialPart>,
        as_of: Moment,
    ) {
        let known = self.stores.entry(store).or_default();
        let before = std::mem::take(&mut known.parts);
        let is_restarted = known.epoch != epoch;
        let dated = partial.into_iter().take(MAX_PARTIALS).map(|part| {
            let key = PartKey::new(&part.salt, &part.id);
            let same = before.get(&key).filter(|(earlier, _)| *earlier == part && !is_restarted);
            let since = same.map_or(as_of, |(_, since)| *since);
            (key, (part, since))
        });
        (known.parts, known.epoch, known.listed) = (dated.collect(), epoch, as_of);
    }

    /// The saves that broke off, by a list of this epoch that is not expired.
    pub fn broken(
        &self,
        store: SocketAddr,
        epoch: u64,
        now: Moment,
    ) -> impl Iterator<Item = (PartKey, &PartialPart)> {
        let known = self.stores.get(&store).filter(|known| {
            known.epoch == epoch && now.millis_since(known.listed) < LIST_EXPIRY_MS
        });
        let parts = known.into_iter().flat_map(|known| &known.parts);
        let idle = parts.filter(move |(_, (_, since))| now.millis_since(*since) >= BROKEN_MS);
        idle.map(|(key, (part, _))| (*key, part))
    }

    /// A partial part of a store.
    pub fn part(&self, store: SocketAddr, key: PartKey) -> Option<&PartialPart> {
        Some(&self.stores.get(&store)?.parts.get(&key)?.0)
    }
}
