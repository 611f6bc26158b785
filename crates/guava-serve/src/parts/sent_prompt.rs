//! A prompt that was just sent, as daemons tell each other.

use crate::parts::part_key::PartKey;
use crate::parts::save_ledger::PartSave;
use crate::parts::store_links::StoreTransfer;
use guava_types::{TokenCount, UpstreamId};

/// A prompt that a peer sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentPrompt {
    /// Which engine.
    pub engine: UpstreamId,
    /// Its shared parts.
    pub parts: Vec<PartKey>,
    /// Memory that it takes.
    pub tokens: TokenCount,
    /// Tokens of it that the engine must read.
    pub waiting: TokenCount,
    /// Rank at the engine; 0 goes first.
    pub priority: u8,
    /// Its shared parts that are read for the first time, and saved to stores.
    pub saves: Vec<PartSave>,
    /// What it puts on the links of stores.
    pub transfers: Vec<StoreTransfer>,
    /// Whether daemons of all data centres are told at once, not only those near by and those where
    /// the engine stands: of parts that they should not read again, and of long prompts.
    pub is_for_all: bool,
}
