//! The notice of a prompt that was just sent, as daemons exchange it.

use crate::parts::part_key::PartKey;
use crate::parts::save_ledger::PartSave;
use crate::parts::store_links::StoreTransfer;
use guava_types::{TokenCount, UpstreamId};

/// A prompt that a peer sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentPrompt {
    /// The engine that it was sent to.
    pub engine: UpstreamId,
    /// Keys of its shared parts.
    pub parts: Vec<PartKey>,
    /// Engine memory that it takes, in tokens.
    pub tokens: TokenCount,
    /// Tokens of it that the engine must prefill.
    pub waiting: TokenCount,
    /// Its priority at the engine; 0 is served first.
    pub priority: u8,
    /// Its shared parts that the engine prefills for the first time and saves to stores.
    pub saves: Vec<PartSave>,
    /// Its transfers over the links of stores.
    pub transfers: Vec<StoreTransfer>,
    /// Whether the notice is sent immediately to daemons of all data centres, instead of only the
    /// local ones and those of the engine's data centre. Set for parts that other engines should not
    /// prefill again, and for long prompts.
    pub is_for_all: bool,
}
