//! Where streams began, as far as this daemon was told.
//!
//! Upstreams of several software versions may serve side by side, and a stream may go on only at the
//! version that began it. A caller that takes a stream up names the attempt that began it, at any
//! daemon. What is not known here is unknown, never assumed.

use crate::stream_origin::StreamOrigin;
use guava_types::{Deadline, FastMap, Moment, StreamKey};

/// Most streams of a table.
pub const MAX_ORIGINS: usize = 8_192;
/// Streams that a full table forgets at once, those that expire first.
const EVICTED_ORIGINS: usize = MAX_ORIGINS / 8;
/// Longest time for which a stream is kept, in milliseconds.
const MAX_RETENTION_MS: u64 = 60_000;

/// What a daemon knows of where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginRecord {
    /// It began there.
    Known(StreamOrigin),
    /// It was begun at several places, and it is not known which of them its caller has events of.
    Ambiguous,
    /// Nothing is known of it.
    Unknown,
}

/// A stream, where it began, and until when its caller may take it up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginNotice {
    /// The stream.
    pub stream: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// End of its caller's time.
    pub until: Deadline,
}

#[derive(Debug)]
struct OriginEntry {
    /// `None` if there are several.
    origin: Option<StreamOrigin>,
    until: Deadline,
}

/// Streams that began at this daemon, or of which peers told it.
#[derive(Debug, Default)]
pub struct OriginTable {
    entries: FastMap<StreamKey, OriginEntry>,
}

impl OriginTable {
    /// Records where a stream began. A second place makes the stream ambiguous.
    pub fn note(&mut self, notice: OriginNotice, now: Moment) {
        let until = notice.until.earlier(Deadline::after(now, MAX_RETENTION_MS));
        if let Some(entry) = self.entries.get_mut(&notice.stream) {
            entry.until = entry.until.max(until);
            if entry.origin.as_ref().is_some_and(|origin| *origin != notice.origin) {
                entry.origin = None;
            }
            return;
        }
        if self.entries.len() >= MAX_ORIGINS {
            self.make_room(now);
        }
        let entry = OriginEntry { origin: Some(notice.origin), until };
        self.entries.insert(notice.stream, entry);
    }

    /// What is known of a stream.
    pub fn find(&self, stream: StreamKey, now: Moment) -> OriginRecord {
        match self.entries.get(&stream).filter(|entry| !entry.until.passed(now)) {
            None => OriginRecord::Unknown,
            Some(OriginEntry { origin: None, .. }) => OriginRecord::Ambiguous,
            Some(OriginEntry { origin: Some(origin), .. }) => OriginRecord::Known(origin.clone()),
        }
    }

    /// Forgets streams whose callers' time is over.
    pub fn sweep(&mut self, now: Moment) {
        self.entries.retain(|_, entry| !entry.until.passed(now));
    }

    /// Number of streams.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    fn make_room(&mut self, now: Moment) {
        self.sweep(now);
        if self.entries.len() < MAX_ORIGINS {
            return;
        }
        let mut ends: Vec<Deadline> = self.entries.values().map(|entry| entry.until).collect();
        let (_, last, _) = ends.select_nth_unstable(EVICTED_ORIGINS);
        let last = *last;
        self.entries.retain(|_, entry| entry.until > last);
    }
}
