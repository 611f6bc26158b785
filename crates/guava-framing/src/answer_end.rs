//! State of the answer on a caller's connection whose end only the connection's end tells.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

#[derive(Debug, Default)]
struct EndState {
    has_begun: AtomicBool,
    is_complete: AtomicBool,
}

/// Whether a connection carries an answer that only its close ends, and whether that is complete;
/// clones share it.
///
/// Such an answer is the last one on its connection.
#[derive(Clone, Debug, Default)]
pub struct AnswerEnd(Arc<EndState>);

impl AnswerEnd {
    pub(crate) fn note_begun(&self) {
        self.0.has_begun.store(true, Ordering::Release);
    }

    pub(crate) fn note_complete(&self) {
        self.0.is_complete.store(true, Ordering::Release);
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.0.has_begun.load(Ordering::Acquire)
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.0.is_complete.load(Ordering::Acquire)
    }
}
