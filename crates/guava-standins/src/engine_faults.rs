//! What goes wrong with an engine.

use serde::{Deserialize, Serialize};

/// What goes wrong with the engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// So many times slower; 0 for none.
    pub slower: u64,
    /// The report says that it is leaving.
    pub leaving: bool,
    /// Chunks come repeated and out of order.
    pub shuffle: bool,
    /// A stream falls silent after so many chunks, the first time; 0 for never.
    pub stall_after: u64,
    /// A stream ends cleanly after so many chunks, the first time; 0 for never.
    pub close_after: u64,
    /// Every other cache event is lost.
    pub gap_events: bool,
    /// The version that its report names, whichever it has loaded; empty for the right one.
    pub reports_version: Box<str>,
    /// It ends soon after it has begun to run a prompt that begins with this; empty for none.
    pub ends_on: Box<str>,
}
