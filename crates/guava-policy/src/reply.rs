//! Order of a streamed reply: repeats dropped, late chunks put in place, holes found.

use std::collections::BTreeMap;

/// Chunks held back behind a hole.
const MAX_HELD: usize = 256;

/// One chunk of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyChunk {
    /// Its place in the answer, from zero.
    pub position: u64,
    /// Its text.
    pub text: Box<str>,
}

/// What follows from a chunk or an end marker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyStep {
    /// These chunks go to the caller now, in order; may be none.
    Deliver(Vec<ReplyChunk>),
    /// Too much is held behind a hole: resume from this position.
    Resume {
        /// The first missing position.
        from: u64,
    },
}

/// The state of one answer.
#[derive(Clone, Debug, Default)]
pub struct ReplyAssembler {
    next: u64,
    held: BTreeMap<u64, Box<str>>,
    end: Option<u64>,
}

impl ReplyAssembler {
    /// An answer of which the caller already has everything before a position.
    pub fn starting_at(next: u64) -> Self {
        Self { next, ..Self::default() }
    }

    /// The first position not yet delivered.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Takes a chunk as it arrived.
    pub fn push(&mut self, chunk: ReplyChunk) -> ReplyStep {
        if chunk.position >= self.next {
            self.held.entry(chunk.position).or_insert(chunk.text);
        }
        let mut ready = Vec::new();
        while let Some(text) = self.held.remove(&self.next) {
            ready.push(ReplyChunk { position: self.next, text });
            self.next += 1;
        }
        if self.held.len() > MAX_HELD {
            self.held.clear();
            return ReplyStep::Resume { from: self.next };
        }
        ReplyStep::Deliver(ready)
    }

    /// Notes the end marker: how many chunks the whole answer has.
    pub fn note_end(&mut self, length: u64) {
        self.end = Some(length);
    }

    /// Whether the end marker came and no hole is left.
    ///
    /// A stream can end cleanly at the transport with chunks missing, when a middlebox closes it;
    /// judged by the close alone, a short answer would pass for a whole one.
    pub fn is_complete(&self) -> bool {
        self.end == Some(self.next)
    }
}
