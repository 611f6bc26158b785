//! What upstreams have said of themselves, and what this daemon has sent them.

use guava_policy::{SendLedger, WordTable};
use guava_types::Moment;

/// The words and the sends.
#[derive(Debug)]
pub struct WordState {
    /// By the upstream's start.
    pub table: WordTable,
    /// By the upstream's start as well.
    pub sends: SendLedger,
}

impl Default for WordState {
    fn default() -> Self {
        Self { table: WordTable::default(), sends: SendLedger::new(Moment::now()) }
    }
}
