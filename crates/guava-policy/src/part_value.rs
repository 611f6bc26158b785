//! Which parts a store of prompt parts keeps when not all find room.
//!
//! GreedyDual-Size-Frequency: a part is worth what it saves for each token of room. A use saves an
//! engine the part's tokens, less those that it reads anyway while a transfer begins; uses are counted
//! with decay (`PartUses`), which takes the place of the rising age of the original algorithm and
//! needs no state in the store. Some room is kept free ahead of need, by retiring the parts that are
//! worth least; a new part may take of it only if it is worth more than what goes next, so that parts
//! that are used once push out none that return.

use guava_types::TokenCount;

/// Tokens that an engine reads while a transfer begins: a fetch does not save them.
const UNSAVED_TOKENS: u64 = 128;
/// Part of a store that is kept free: enough for the saves of the time in which room is made.
const RESERVE_DIVISOR: u64 = 16;
/// Largest part of a store that is kept free, where single parts are large.
const MAX_RESERVE_DIVISOR: u64 = 4;

/// A part that a store holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedPart {
    /// Key of the part.
    pub key: u64,
    /// Room that it takes.
    pub tokens: TokenCount,
    /// What it saves for each token of room; see [`part_value`].
    pub value: f64,
    /// Whether it was used so lately that it must not go.
    pub is_busy: bool,
}

/// Room in a store, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRoom {
    /// All of it.
    pub total: TokenCount,
    /// What parts and saves in flight take.
    pub used: TokenCount,
    /// Length of the longest part that it holds.
    pub longest: TokenCount,
}

impl StoreRoom {
    /// Room that is to be free.
    pub fn reserve(&self) -> TokenCount {
        let least = (self.total.0 / RESERVE_DIVISOR).max(self.longest.0);
        TokenCount(least.min(self.total.0 / MAX_RESERVE_DIVISOR))
    }

    /// Room that lacks until the reserve is free.
    pub fn lacking(&self) -> TokenCount {
        TokenCount((self.used.0 + self.reserve().0).saturating_sub(self.total.0))
    }
}

/// What a part with so many recent uses saves for each token of its room.
pub fn part_value(uses: f64, tokens: TokenCount) -> f64 {
    let saved = tokens.0.saturating_sub(UNSAVED_TOKENS);
    uses * saved as f64 / tokens.0.max(1) as f64
}

/// The parts to retire from a store until its reserve is free, those worth least first; at most
/// `limit`.
pub fn parts_to_retire(parts: &[RankedPart], room: StoreRoom, limit: usize) -> Vec<u64> {
    let mut lacking = room.lacking().0;
    let mut idle: Vec<&RankedPart> = parts.iter().filter(|part| !part.is_busy).collect();
    idle.sort_unstable_by(|one, other| one.value.total_cmp(&other.value));
    let is_needed = |part: &&&RankedPart| {
        let is_needed = lacking > 0;
        lacking = lacking.saturating_sub(part.tokens.0);
        is_needed
    };
    idle.iter().take_while(is_needed).take(limit).map(|part| part.key).collect()
}

/// The value that a new part must exceed to take room of the reserve: that of the part that goes next.
pub fn admission_floor(parts: &[RankedPart]) -> f64 {
    parts.iter().map(|part| part.value).reduce(f64::min).unwrap_or(0.0)
}

/// Whether a new part is worth more than the part that goes next. `earlier_uses` are those before the
/// use for which it is considered: any part has that one.
pub fn is_worth_room(earlier_uses: f64, tokens: TokenCount, floor: f64) -> bool {
    part_value(earlier_uses, tokens) > floor
}
