//! Reassembly of a streamed reply: drops repeated chunks, reorders late ones, and detects gaps.

use std::collections::BTreeMap;

/// Upper bound on the chunks buffered behind a gap.
const MAX_BUFFERED_CHUNKS: usize = 256;

/// One chunk of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyChunk {
    /// Its index in the reply, from zero.
    pub position: u64,
    /// The text of the chunk.
    pub text: Box<str>,
}

/// What the caller of [`ReplyAssembler::push`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyStep {
    /// Deliver these chunks in this order; may be empty.
    Deliver(Vec<ReplyChunk>),
    /// Resume the stream: too many chunks were buffered behind a gap, and they have been dropped.
    Resume {
        /// The first missing position, from which to resume.
        from: u64,
    },
}

/// Reassembles one reply.
#[derive(Clone, Debug, Default)]
pub struct ReplyAssembler {
    next: u64,
    buffered: BTreeMap<u64, Box<str>>,
    end_position: Option<u64>,
}

impl ReplyAssembler {
    /// Starts with a reply of which everything before this position has been delivered.
    pub fn starting_at(next: u64) -> Self {
        Self { next, ..Self::default() }
    }

    /// The first position not yet delivered.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Adds a chunk as it arrived, in any order; repeated chunks are ignored.
    pub fn push(&mut self, chunk: ReplyChunk) -> ReplyStep {
        if chunk.position >= self.next {
            self.buffered.entry(chunk.position).or_insert(chunk.text);
        }
        let mut ready = Vec::new();
        while let Some(text) = self.buffered.remove(&self.next) {
            ready.push(ReplyChunk { position: self.next, text });
            self.next += 1;
        }
        if self.buffered.len() > MAX_BUFFERED_CHUNKS {
            self.buffered.clear();
            return ReplyStep::Resume { from: self.next };
        }
        ReplyStep::Deliver(ready)
    }

    /// Records the end marker, which states how many chunks the complete reply has.
    pub fn note_end(&mut self, length: u64) {
        self.end_position = Some(length);
    }

    /// Whether the end marker has arrived and all chunks have been delivered.
    ///
    /// If a middlebox closes a stream, it can end cleanly at the transport with chunks missing.
    /// Judged by the close alone, a truncated reply would pass for a complete one.
    pub fn is_complete(&self) -> bool {
        self.end_position == Some(self.next)
    }
}
