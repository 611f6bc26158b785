//! Records of the platform's log and their codec.

use crate::{ConfigObject, ObjectKey};
use guava_types::{
    CallKey, DataCentre, Incarnation, MemberName, Offset, RecordId, RequestDigest, WallTime,
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use std::net::SocketAddr;

/// Largest record that is written or read, in bytes.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

/// Why bytes of the log are no record.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// Over the bound.
    #[snafu(display("record of {length} bytes is over the bound of {MAX_RECORD_BYTES}"))]
    TooLarge {
        /// Its length.
        length: usize,
    },
    /// Not a record's JSON.
    #[snafu(display("record does not parse: {source}"))]
    Syntax {
        /// What the parser says.
        source: serde_json::Error,
    },
}

/// A record: who wrote it, when by its own wall clock, and what it says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Kept across retries of the append, so that a second copy is seen as one.
    pub id: RecordId,
    /// The incarnation that wrote it.
    pub author: Incarnation,
    /// The author's wall clock; only ever moves the pruning of expired keys.
    pub wall: WallTime,
    /// What it says.
    pub body: RecordBody,
}

impl LogRecord {
    /// The bytes to append.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let bytes = serde_json::to_vec(self).context(SyntaxSnafu)?;
        ensure!(bytes.len() <= MAX_RECORD_BYTES, TooLargeSnafu { length: bytes.len() });
        Ok(bytes)
    }

    /// Reads a record from the log's bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        ensure!(bytes.len() <= MAX_RECORD_BYTES, TooLargeSnafu { length: bytes.len() });
        serde_json::from_slice(bytes).context(SyntaxSnafu)
    }
}

/// What a record says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordBody {
    /// An operator's change.
    Change(ChangeRequest),
    /// Intents to dispatch non-idempotent calls, committed together.
    Intents(Vec<IntentEntry>),
    /// The author's intents that it gave up before any byte was sent.
    Releases(Vec<IntentEntry>),
    /// A daemon starts.
    Join(MemberEntry),
    /// The author leaves in order; its successor keeps the answers it held.
    Leave {
        /// The incarnation that took over its answers.
        successor: Option<Incarnation>,
    },
    /// A daemon has been silent too long.
    Evict {
        /// Which one.
        incarnation: Incarnation,
    },
    /// A lease is taken or renewed by the author.
    Lease(LeaseRequest),
    /// A request is stopped: upstreams end under it.
    Stop {
        /// Which.
        request: RequestDigest,
        /// How often it has been stopped.
        times: u32,
    },
    /// A request is not stopped any more.
    Unstop {
        /// Which.
        request: RequestDigest,
    },
    /// A part of the whole state as of an offset.
    Snapshot(SnapshotPart),
}

/// A change of one configured object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Who asked, for the history.
    pub operator: Box<str>,
    /// Which object.
    pub object: ObjectKey,
    /// The revision that the change was made against.
    pub against: Offset,
    /// The new object, or nothing to delete it.
    pub value: Option<ConfigObject>,
}

/// One intent, or the release of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentEntry {
    /// Identity of the intent.
    pub id: RecordId,
    /// The call's key.
    pub key: CallKey,
}

/// A daemon on the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Its configured name.
    pub name: MemberName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where the other daemons reach it.
    pub peer_address: SocketAddr,
}

/// A lease taken or renewed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Which lease.
    pub name: Box<str>,
    /// Offset after the record that the author read last for this lease; zero for none.
    pub against: Offset,
    /// How long it holds, in milliseconds from before the append was sent.
    pub term_ms: u64,
}

/// One part of a snapshot of the state: a large state does not fit into one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The first offset that the state does not contain.
    pub next: Offset,
    /// BLAKE3 digest of the whole state's text, in hexadecimal.
    pub digest: Box<str>,
    /// Which part this is, from zero.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// This part of the state's JSON text.
    pub text: Box<str>,
}
