//! Which new parts nearly full stores take, by what this daemon knows of the uses of parts.

use crate::parts::part_key::PartKey;
use crate::serve_config::StoreTraits;
use guava_policy::{
    PartUses, RankedPart, StoreRoom, admission_floor, is_worth_room, part_value, parts_to_retire,
};
use guava_types::{FastMap, Moment, TokenCount};
use std::cell::Cell;
use std::net::SocketAddr;

/// Time for which uses are counted before parts are retired by them, in milliseconds: a daemon that
/// has just started would take all parts for unused.
const MIN_WATCHED_MS: u64 = 30_000;

/// What a new part must be worth in a store that is nearly full.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreFloor {
    /// Room that is left to parts that are worth more than `value`.
    reserve: TokenCount,
    value: f64,
}

impl StoreFloor {
    /// The floor of a store that holds these parts; `None` if it has room to spare.
    pub(crate) fn new(room: StoreRoom, parts: impl FnOnce() -> Vec<RankedPart>) -> Option<Self> {
        let reserve = room.reserve();
        // A second reserve, since saves go on until the next time.
        let is_short = room.used.0 + 2 * reserve.0 > room.total.0;
        is_short.then(|| Self { reserve, value: admission_floor(&parts()) })
    }
}

/// The uses of parts, and the floors of stores without room to spare.
#[derive(Debug, Default)]
pub(crate) struct PartAdmission {
    uses: PartUses,
    floors: FastMap<SocketAddr, StoreFloor>,
    /// Parts not saved because they are worth less than what has to go.
    refused: Cell<u64>,
}

impl PartAdmission {
    /// Counts a use of a part.
    pub(crate) fn note_use(&mut self, part: PartKey, now: Moment) {
        self.uses.note(part.0, now);
    }

    /// Replaces the floors of all stores.
    pub(crate) fn note_floors(&mut self, floors: FastMap<SocketAddr, StoreFloor>) {
        self.floors = floors;
    }

    /// Whether a store, of which `taken` is in use, has room for a part beside its reserve, or the
    /// part is worth more than what goes next.
    pub(crate) fn admits(
        &self,
        store: &StoreTraits,
        taken: TokenCount,
        part: (PartKey, TokenCount),
        now: Moment,
    ) -> bool {
        let Some(floor) = self.floors.get(&store.address) else { return true };
        let (PartKey(key), tokens) = part;
        taken.0 + tokens.0 + floor.reserve.0 <= store.memory.0
            || is_worth_room(self.uses.uses(key, now), tokens, floor.value)
    }

    /// A part that a store holds, with its value.
    pub(crate) fn rank(
        &self,
        part: PartKey,
        tokens: TokenCount,
        is_busy: bool,
        now: Moment,
    ) -> RankedPart {
        let value = part_value(self.uses.uses(part.0, now), tokens);
        RankedPart { key: part.0, tokens, value, is_busy }
    }

    /// The parts to retire from a store that holds these; none while too little is known of uses.
    pub(crate) fn to_retire(
        &self,
        parts: &[RankedPart],
        room: StoreRoom,
        limit: usize,
        now: Moment,
    ) -> Vec<PartKey> {
        if self.uses.watched_ms(now) < MIN_WATCHED_MS {
            return Vec::new();
        }
        parts_to_retire(parts, room, limit).into_iter().map(PartKey).collect()
    }

    /// Counts a part that no store admitted.
    pub(crate) fn count_refused(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// Number of those since the last call.
    pub(crate) fn take_refused(&self) -> u64 {
        self.refused.take()
    }
}
