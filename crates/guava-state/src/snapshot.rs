//! Snapshots: the state as a record, because the log keeps records for a limited time.
//!
//! A snapshot counts only if every record after it is still readable. An old one, appended late by
//! a daemon that was paused, is therefore either unusable or followed by all that came after it;
//! it can't take anybody back.

use crate::{FleetState, LogRecord, RecordBody, SnapshotBody};
use guava_types::Offset;
use snafu::{ResultExt, Snafu, ensure};

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

/// The snapshot of a state.
pub fn snapshot_body(state: &FleetState) -> Result<SnapshotBody, SnapshotError> {
    let text: Box<str> = serde_json::to_string(state).context(SyntaxSnafu)?.into();
    Ok(SnapshotBody { next: state.next(), digest: state_digest(&text), state: text })
}

/// Reads a state back, checking its digest.
pub fn state_from_json(text: &str, expected: &str) -> Result<FleetState, SnapshotError> {
    let found = state_digest(text);
    ensure!(*found == *expected, DigestSnafu { found, expected });
    serde_json::from_str(text).context(SyntaxSnafu)
}

fn usable_snapshot(first: Offset, bytes: &[u8]) -> Option<FleetState> {
    let RecordBody::Snapshot(body) = LogRecord::decode(bytes).ok()?.body else { return None };
    let state = state_from_json(&body.state, &body.digest).ok()?;
    (state.next() == body.next && body.next >= first).then_some(state)
}

/// Folds everything readable, from the newest usable snapshot on.
///
/// `first` is the first offset that the log still keeps; `records` are all from there to its end.
pub fn restore(
    first: Offset,
    records: &[(Offset, Box<[u8]>)],
) -> Result<FleetState, SnapshotError> {
    let newest = records
        .iter()
        .filter_map(|(_, bytes)| usable_snapshot(first, bytes))
        .max_by_key(FleetState::next);
    let mut state = match newest {
        Some(state) => state,
        None if first == Offset(0) => FleetState::default(),
        None => return UncoveredSnafu { first }.fail(),
    };
    for (offset, bytes) in records {
        state.fold(*offset, bytes);
    }
    Ok(state)
}
