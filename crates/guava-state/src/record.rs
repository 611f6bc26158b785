//! Records of the platform's log, and their encoding as JSON.

use crate::{ConfigObject, ObjectKey};
use guava_types::{
    CallKey, DataCentre, Incarnation, MemberName, Offset, RecordId, RequestDigest, WallTime,
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use std::net::SocketAddr;

/// Size limit of an encoded record, in bytes; larger ones are neither written nor read.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

/// Why a record can't be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The record is over [`MAX_RECORD_BYTES`].
    #[snafu(display("record of {length} bytes is over the limit of {MAX_RECORD_BYTES}"))]
    TooLarge {
        /// The record's length in bytes.
        length: usize,
    },
    /// The JSON of a record can't be written or parsed.
    #[snafu(display("record does not parse: {source}"))]
    Syntax {
        /// The JSON error.
        source: serde_json::Error,
    },
}

/// One record of the log with its author and the author's wall-clock time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Stays the same across retries of the append, so that a duplicate is recognised.
    pub id: RecordId,
    /// The incarnation that wrote it.
    pub author: Incarnation,
    /// The author's wall clock. Used only to advance log time, which prunes expired keys.
    pub wall: WallTime,
    /// The record's content.
    pub body: RecordBody,
}

impl LogRecord {
    /// Encodes the record for the log; fails if it is over [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let bytes = serde_json::to_vec(self).context(SyntaxSnafu)?;
        ensure!(bytes.len() <= MAX_RECORD_BYTES, TooLargeSnafu { length: bytes.len() });
        Ok(bytes)
    }

    /// Decodes a record; fails on bytes that are too long or no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        ensure!(bytes.len() <= MAX_RECORD_BYTES, TooLargeSnafu { length: bytes.len() });
        serde_json::from_slice(bytes).context(SyntaxSnafu)
    }
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordBody {
    /// An operator changes a configured object.
    Change(ChangeRequest),
    /// Intents to dispatch non-idempotent calls, committed together.
    Intents(Vec<IntentEntry>),
    /// The author's intents that it abandoned before it sent any byte of the calls.
    Releases(Vec<IntentEntry>),
    /// A daemon starts.
    Join(MemberEntry),
    /// The author leaves; its successor holds its answers from now on.
    Leave {
        /// The incarnation that took over the answers, if any.
        successor: Option<Incarnation>,
    },
    /// A silent daemon is taken off the roster.
    Evict {
        /// The evicted daemon.
        incarnation: Incarnation,
    },
    /// The author takes or renews a lease.
    Lease(LeaseRequest),
    /// A request is quarantined: it was in flight at several crashes of upstreams.
    Stop {
        /// The quarantined request.
        request: RequestDigest,
        /// How often it has been quarantined.
        times: u32,
    },
    /// A request is released from quarantine.
    Unstop {
        /// The released request.
        request: RequestDigest,
    },
    /// A chunk of the complete state as of an offset.
    Snapshot(SnapshotPart),
}

/// A change of one configured object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Operator that requested the change, for the history.
    pub operator: Box<str>,
    /// The object to change.
    pub object: ObjectKey,
    /// Revision that the change was made against; the change is refused if another one is in force.
    pub against: Offset,
    /// The new object, or `None` to delete it.
    pub value: Option<ConfigObject>,
}

/// One intent to dispatch a call, or the release of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentEntry {
    /// Identity of the intent.
    pub id: RecordId,
    /// The idempotency key of the call.
    pub key: CallKey,
}

/// A daemon on the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The daemon's configured name.
    pub name: MemberName,
    /// Data centre that the daemon runs in.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the other daemons.
    pub peer_address: SocketAddr,
}

/// A request to take or renew a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the lease.
    pub name: Box<str>,
    /// Offset after the last record that the author read for this lease; zero for none. The request
    /// is refused if a later one was accepted.
    pub against: Offset,
    /// Term in milliseconds, counted from a moment before the append was sent.
    pub term_ms: u64,
}

/// One chunk of a snapshot: a large state does not fit into one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The first offset that the state does not contain.
    pub next: Offset,
    /// BLAKE3 digest of the complete state's text, in hexadecimal.
    pub digest: Box<str>,
    /// Index of this chunk, from zero.
    pub part: u32,
    /// Number of chunks in the snapshot.
    pub parts: u32,
    /// This chunk of the state's JSON text.
    pub text: Box<str>,
}
