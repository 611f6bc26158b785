//! Snapshots: the state as a record, because the log keeps records for a limited time.
//!
//! A snapshot counts only if every record after it is still readable. An old one, appended late by
//! a daemon that was paused, is therefore either unusable or followed by all that came after it;
//! it can't take anybody back.

use crate::{FleetState, LogRecord, RecordBody, SnapshotPart};
use guava_types::{FastMap, Offset};
use snafu::{ResultExt, Snafu, ensure};

/// Bytes of a state's text in one record.
pub const PART_BYTES: usize = 512 << 10;

/// A whole state as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateText {
    /// The first offset that the state does not contain.
    pub next: Offset,
    /// BLAKE3 digest of the text, in hexadecimal.
    pub digest: Box<str>,
    /// The state as JSON.
    pub text: Box<str>,
}

/// Why no state could be restored.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The text is no state.
    #[snafu(display("snapshot does not parse: {source}"))]
    Syntax {
        /// What the parser says.
        source: serde_json::Error,
    },
    /// The text is not what was written.
    #[snafu(display("snapshot's digest is {found}, expected {expected}"))]
    Digest {
        /// The digest of what was read.
        found: Box<str>,
        /// The digest that was written.
        expected: Box<str>,
    },
    /// Old records have expired and no usable snapshot is left.
    #[snafu(display("records before {first} have expired and no snapshot covers them"))]
    Uncovered {
        /// The first readable offset.
        first: Offset,
    },
}

/// Digest of a state's text, in hexadecimal.
pub fn state_digest(text: &str) -> Box<str> {
    blake3::hash(text.as_bytes()).to_hex().as_str().into()
}

/// A state's text.
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

/// A state's text in parts of at most so many bytes each.
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

/// Reads a state back, checking its digest.
pub fn state_from_json(text: &str, expected: &str) -> Result<FleetState, SnapshotError> {
    let found = state_digest(text);
    ensure!(*found == *expected, DigestSnafu { found, expected });
    serde_json::from_str(text).context(SyntaxSnafu)
}

/// Parts found so far, by the whole that they belong to.
#[derive(Default)]
struct PartCollector {
    wholes: FastMap<(Offset, Box<str>), Vec<SnapshotPart>>,
}

impl PartCollector {
    fn take(&mut self, bytes: &[u8]) {
        let Ok(record) = LogRecord::decode(bytes) else { return };
        if let RecordBody::Snapshot(part) = record.body {
            self.wholes.entry((part.next, part.digest.clone())).or_default().push(part);
        }
    }

    /// The newest whole state after which every record is still readable.
    fn newest(self, first: Offset) -> Option<FleetState> {
        let mut wholes: Vec<_> = self.wholes.into_iter().collect();
        wholes.sort_by_key(|((next, _), _)| std::cmp::Reverse(*next));
        wholes
            .into_iter()
            .take_while(|((next, _), _)| *next >= first)
            .find_map(|((next, digest), parts)| join_parts(next, &digest, parts))
    }
}

fn join_parts(next: Offset, digest: &str, mut parts: Vec<SnapshotPart>) -> Option<FleetState> {
    // A part whose append was repeated is there twice.
    parts.sort_by_key(|part| part.part);
    parts.dedup_by_key(|part| part.part);
    let text: String = parts.iter().map(|part| &*part.text).collect();
    // A missing part gives another digest.
    let state = state_from_json(&text, digest).ok()?;
    (state.next() == next).then_some(state)
}

/// Folds everything readable, from the newest usable snapshot on.
///
/// `first` is the first offset that the log still keeps; `records` are all from there to its end.
pub fn restore(
    first: Offset,
    records: &[(Offset, Box<[u8]>)],
) -> Result<FleetState, SnapshotError> {
    let mut parts = PartCollector::default();
    records.iter().for_each(|(_, bytes)| parts.take(bytes));
    let mut state = match parts.newest(first) {
        Some(state) => state,
        None if first == Offset(0) => FleetState::default(),
        None => return UncoveredSnafu { first }.fail(),
    };
    for (offset, bytes) in records {
        state.fold(*offset, bytes);
    }
    Ok(state)
}
