//! Cuts a stream into whole events (`text/event-stream`).
//!
//! An upstream may stop in the middle of an event. If its bytes were passed on as they came, a
//! stream that goes on at another upstream would join two halves of different events. So an event
//! is passed on only once its blank line is in.

use bytes::{Bytes, BytesMut};

/// Bytes of one event that are held back while it is not whole; more is no event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Whole events, and the id of the last of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// The events' bytes as they came.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<Box<str>>,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: BytesMut,
    /// Where the search for the next end goes on.
    searched_len: usize,
}

impl EventFramer {
    /// Takes bytes in; false if they can't be an event stream.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.pending.extend_from_slice(bytes);
        self.pending.len() <= MAX_EVENT_BYTES
    }

    /// All events that are whole by now.
    pub fn take_complete(&mut self) -> Option<EventBatch> {
        let end = self.last_event_end()?;
        let bytes = self.pending.split_to(end).freeze();
        self.searched_len = 0;
        let last_id = last_id(&bytes);
        Some(EventBatch { bytes, last_id })
    }

    /// Whether nothing of a further event has come.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// What is left of an event that is not whole.
    pub fn take_remainder(&mut self) -> Bytes {
        self.searched_len = 0;
        self.pending.split().freeze()
    }

    /// The place after the last blank line.
    fn last_event_end(&mut self) -> Option<usize> {
        let bytes = &self.pending[..];
        // A blank line may straddle two reads, so the search starts a little before the new bytes.
        let from = self.searched_len.saturating_sub(3);
        let is_end = |position: usize| {
            let before = &bytes[..position];
            before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n") || before.ends_with(b"\r\r")
        };
        let found = (from + 1..=bytes.len()).rev().find(|position| is_end(*position));
        self.searched_len = bytes.len();
        found
    }
}

fn last_id(bytes: &[u8]) -> Option<Box<str>> {
    let lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| std::str::from_utf8(id).ok()).next().map(|id| id.trim().into())
}
