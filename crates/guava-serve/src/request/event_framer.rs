//! Splits a stream into complete events (`text/event-stream`).
//!
//! A stream may be interrupted within an event. If bytes were relayed as they arrive, a stream that
//! is resumed at another upstream would join two halves of different events. So an event is relayed
//! only once the blank line that ends it has been received.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event; a larger one is not accepted as an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete events, and the id of the last of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// The events' bytes, unchanged.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<Box<str>>,
}

/// Buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: BytesMut,
    /// Length of the prefix that was already searched for the end of an event.
    searched_len: usize,
}

impl EventFramer {
    /// Appends received bytes; returns false if an incomplete event exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.pending.extend_from_slice(bytes);
        self.pending.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns all complete events.
    pub fn take_complete(&mut self) -> Option<EventBatch> {
        let end = self.last_event_end()?;
        let bytes = self.pending.split_to(end).freeze();
        self.searched_len = 0;
        let last_id = last_id(&bytes);
        Some(EventBatch { bytes, last_id })
    }

    /// Whether no bytes of an incomplete event are buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.searched_len = 0;
        self.pending.split().freeze()
    }

    /// The position after the last blank line.
    fn last_event_end(&mut self) -> Option<usize> {
        let bytes = &self.pending[..];
        // A blank line may be split between two reads, so the search starts before the new bytes.
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
