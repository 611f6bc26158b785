//! Snapshots: the state as records of the log, because the log keeps records for a limited time.
//!
//! A snapshot is used only if every record after it is still readable. An old one, appended late
//! by a daemon that was paused, is therefore either unusable or completed by the records after it;
//! it can't restore an outdated state.

use crate::{FleetState, LogRecord, RecordBody, SnapshotPart};
use guava_types::{FastMap, Offset};
use snafu::{ResultExt, Snafu, ensure};

/// Size limit of a chunk of a state's text in one record, in bytes.
pub const PART_BYTES: usize = 512 << 10;

/// A complete state as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateText {
    /// The first offset that the state does not contain.
    pub next: Offset,
    /// BLAKE3 digest of the text, in hexadecimal.
    pub digest: Box<str>,
    /// The state as JSON.
    pub text: Box<str>,
}

/// Why a state can't be written or restored.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The JSON of a state can't be written or parsed.
    #[snafu(display("snapshot does not parse: {source}"))]
    Syntax {
        /// The JSON error.
        source: serde_json::Error,
    },
    /// The digest of the text is not the one that was written.
    #[snafu(display("snapshot's digest is {found}, expected {expected}"))]
    Digest {
        /// Digest of the text that was read.
        found: Box<str>,
        /// Digest that was written.
        expected: Box<str>,
    },
    /// Old records have expired and there is no usable snapshot.
    #[snafu(display("records before {first} have expired and no snapshot covers them"))]
    Uncovered {
        /// The first readable offset.
        first: Offset,
    },
}

/// BLAKE3 digest of a state's text, in hexadecimal.
pub fn state_digest(text: &str) -> Box<str> {
    blake3::hash(text.as_bytes()).to_hex().as_str().into()
}

/// Encodes a state as text with its digest.
pub fn state_text(state: &FleetState) -> Result<StateText, SnapshotError> {
    let text: Box<str> = serde_json::to_string(state).context(SyntaxSnafu)?.into();
    Ok(StateText { next: state.next(), digest: state_digest(&text), text })
}

fn split(text: &str, part_bytes: usize) -> Vec<&str> {
    let mut rest = text;
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let end = rest.floor_char_boundary(part_bytes.max(4));
        let (part, after) = rest.split_at(end);
        parts.push(part);
        rest = after;
    }
    parts
}

/// Splits a state's text into chunks of at most `part_bytes` bytes; at least 4, the length of the
/// longest UTF-8 character.
pub fn snapshot_parts(state: &StateText, part_bytes: usize) -> Vec<SnapshotPart> {
    let texts = split(&state.text, part_bytes);
    let parts = u32::try_from(texts.len()).unwrap_or(u32::MAX);
    (0..)
        .zip(texts)
        .map(|(part, text)| SnapshotPart {
            next: state.next,
            digest: state.digest.clone(),
            part,
            parts,
            text: text.into(),
        })
        .collect()
}

/// Decodes a state; fails if the text does not have the expected digest.
pub fn state_from_json(text: &str, expected: &str) -> Result<FleetState, SnapshotError> {
    let found = state_digest(text);
    ensure!(*found == *expected, DigestSnafu { found, expected });
    serde_json::from_str(text).context(SyntaxSnafu)
}

/// Chunks found in the log, by the snapshot that they belong to.
#[derive(Default)]
struct ChunkCollector {
    snapshots: FastMap<(Offset, Box<str>), Vec<SnapshotPart>>,
}

impl ChunkCollector {
    fn note_record(&mut self, bytes: &[u8]) {
        let Ok(record) = LogRecord::decode(bytes) else { return };
        if let RecordBody::Snapshot(part) = record.body {
            self.snapshots.entry((part.next, part.digest.clone())).or_default().push(part);
        }
    }

    /// The newest complete state after which every record is still readable.
    fn newest(self, first: Offset) -> Option<FleetState> {
        let mut snapshots: Vec<_> = self.snapshots.into_iter().collect();
        snapshots.sort_by_key(|((next, _), _)| std::cmp::Reverse(*next));
        snapshots
            .into_iter()
            .take_while(|((next, _), _)| *next >= first)
            .find_map(|((next, digest), parts)| join_chunks(next, &digest, parts))
    }
}

fn join_chunks(next: Offset, digest: &str, mut parts: Vec<SnapshotPart>) -> Option<FleetState> {
    // A chunk whose append was retried can be in the log twice.
    parts.sort_by_key(|part| part.part);
    parts.dedup_by_key(|part| part.part);
    let text: String = parts.iter().map(|part| &*part.text).collect();
    // A missing chunk shows as a different digest.
    let state = state_from_json(&text, digest).ok()?;
    (state.next() == next).then_some(state)
}

/// Restores the state from the newest usable snapshot and the records after it.
///
/// `first` is the first readable offset of the log; `records` are all records from there to its
/// end. Fails if `first` is not zero and no snapshot is usable.
pub fn restore(
    first: Offset,
    records: &[(Offset, Box<[u8]>)],
) -> Result<FleetState, SnapshotError> {
    let mut collector = ChunkCollector::default();
    records.iter().for_each(|(_, bytes)| collector.note_record(bytes));
    let mut state = match collector.newest(first) {
        Some(state) => state,
        None if first == Offset(0) => FleetState::default(),
        None => return UncoveredSnafu { first }.fail(),
    };
    for (offset, bytes) in records {
        state.fold(*offset, bytes);
    }
    Ok(state)
}
