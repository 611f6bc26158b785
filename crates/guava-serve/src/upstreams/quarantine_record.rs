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

/// What the log of the records says of a request at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Digest of the request.
    pub request: RequestDigest,
    /// How often it has been quarantined; `None` if its record was dropped.
    pub quarantine_count: Option<u32>,
    /// Position in the log.
    pub offset: u64,
}

/// The newest record of each request, or what follows an offset, in the log's order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineLog {
    /// Records, and from an offset on also what was dropped.
    pub changes: Vec<QuarantineChange>,
    /// Offset from which to read what follows; `None` if that is no longer retained.
    pub next: Option<u64>,
}

/// Whether this daemon knows the records, and when a peer last confirmed them.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuarantineSync {
    /// Whether the records were read here or reported by a peer that knows them.
    pub is_known: bool,
    /// When the last message of a peer that knows them arrived.
    pub last_confirmed: Moment,
}
