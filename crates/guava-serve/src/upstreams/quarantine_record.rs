//! Stored records of quarantined requests, and how recently this daemon obtained them.

use guava_types::{Moment, RequestDigest};

/// Stored record of a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// Digest of the request.
    pub request: RequestDigest,
    /// How often it has been quarantined.
    pub quarantine_count: u32,
}

/// Whether this daemon knows the records, and when a peer last confirmed them.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuarantineSync {
    /// Whether the records were read here or reported by a peer that knows them.
    pub is_known: bool,
    /// When the last message of a peer that knows them arrived.
    pub last_confirmed: Moment,
}
