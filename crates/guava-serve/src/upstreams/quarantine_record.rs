//! Records of stopped requests, and how much is known of them.

use guava_types::{Moment, RequestDigest};

/// A stopped request's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// Which.
    pub request: RequestDigest,
    /// How often it has been stopped.
    pub quarantine_count: u32,
}

/// When the records were last read, or told by a peer that knows them.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuarantineSync {
    /// Whether this daemon knows the records.
    pub is_known: bool,
    /// When a peer that knows them last spoke.
    pub last_confirmed: Moment,
}
