//! Splits a stream into complete events (`text/event-stream`).
//!
//! A stream may be interrupted within an event. If bytes were relayed as they arrive, a stream that
//! is resumed at another upstream would join two halves of different events. So an event is relayed
//! only once the blank line that ends it has been received.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event; a larger one is not accepted as an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Largest batch that shares the buffer it arrived in, in bytes. A longer one would keep a buffer of up
/// to twice its size for as long as its caller does not take it.
const MAX_SHARED_BYTES: usize = 16 << 10;

/// Complete events, and the id of the last of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// The events' bytes, unchanged.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<Box<str>>,
}

/// Buffers bytes until they form complete events.
///
/// Comments and blank lines are no events: they are passed on with the next one.
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: BytesMut,
    /// Length of the prefix whose lines are known.
    scanned_len: usize,
    /// Length of the prefix that ends with the last complete event.
    event_end: usize,
    /// Whether the block of lines that is not complete has a line that is no comment.
    has_field: bool,
    /// First byte of the line that is not complete.
    line_begin: Option<u8>,
    /// Whether the last scanned byte is a carriage return, which a line feed may follow.
    is_after_return: bool,
}

impl EventFramer {
    /// Appends received bytes; returns false if those that are no complete event exceed the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.pending.extend_from_slice(bytes);
        self.scan();
        self.pending.len() - self.event_end <= MAX_EVENT_BYTES
    }

    /// Whether nothing is buffered.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Size of the buffer, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.pending.capacity()
    }

    /// Removes and returns all complete events.
    pub fn take_complete(&mut self) -> Option<EventBatch> {
        let end = std::mem::take(&mut self.event_end);
        if end == 0 {
            return None;
        }
        self.scanned_len -= end;
        let bytes = match end {
            0..=MAX_SHARED_BYTES => self.pending.split_to(end).freeze(),
            _ => {
                let bytes = Bytes::copy_from_slice(&self.pending[..end]);
                self.pending = BytesMut::from(&self.pending[end..]);
                bytes
            }
        };
        let last_id = last_id(&bytes);
        Some(EventBatch { bytes, last_id })
    }

    /// Whether no part of an incomplete event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        !self.has_field && self.line_begin.is_none()
    }

    /// Removes and returns the bytes that are no complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        std::mem::take(self).pending.freeze()
    }

    fn scan(&mut self) {
        for place in self.scanned_len..self.pending.len() {
            let byte = self.pending[place];
            let is_line_end = matches!(byte, b'\r' | b'\n');
            if byte == b'\n' && std::mem::take(&mut self.is_after_return) {
                // It belongs to the line end before.
                if self.event_end == place {
                    self.event_end += 1;
                }
                continue;
            }
            self.is_after_return = byte == b'\r';
            if !is_line_end {
                self.line_begin.get_or_insert(byte);
                continue;
            }
            match self.line_begin.take() {
                Some(begin) => self.has_field |= begin != b':',
                None if std::mem::take(&mut self.has_field) => self.event_end = place + 1,
                None => {}
            }
        }
        self.scanned_len = self.pending.len();
    }
}

fn last_id(bytes: &[u8]) -> Option<Box<str>> {
    let lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| std::str::from_utf8(id).ok()).next().map(|id| id.trim().into())
}
