//! What upstreams have said of themselves, and what this daemon has sent them.

use guava_policy::{AnnouncementTable, SendLedger};
use guava_types::Moment;

/// The words and the sends.
#[derive(Debug)]
pub struct AnnouncementState {
    /// By the upstream's start.
    pub table: AnnouncementTable,
    /// By the upstream's start as well.
    pub sends: SendLedger,
}

impl Default for AnnouncementState {
    fn default() -> Self {
        Self { table: AnnouncementTable::default(), sends: SendLedger::new(Moment::now()) }
    }
}
