//! What a request comes to, and how its runs are accounted for.

use crate::request::answer_body::AnswerBody;
use guava_types::{Deadline, UpstreamId};
use http::Response;
use std::fmt;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No upstream may take it.
    NoUpstream,
    /// All upstreams may get nothing at present, by what they have said of themselves.
    UpstreamsClosed,
    /// The upstreams that were asked are full.
    UpstreamsFull,
    /// No upstream could be reached.
    Unreachable,
    /// It waited for memory at an engine until it could not be in time any more.
    MemoryFull,
    /// It can't be answered before its caller gives up.
    TooLate,
    /// Too many requests are held here.
    Overloaded,
    /// No configuration is known yet.
    NotReady,
    /// Upstreams end under it.
    Quarantined,
}

impl RefusalReason {
    /// In a word, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoUpstream => "no-upstream",
            Self::UpstreamsClosed => "upstreams-closed",
            Self::UpstreamsFull => "upstreams-full",
            Self::Unreachable => "unreachable",
            Self::MemoryFull => "crowded",
            Self::TooLate => "too-late",
            Self::Overloaded => "overloaded",
            Self::NotReady => "not-ready",
            Self::Quarantined => "stopped",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.name())
    }
}

/// The final answer to a request.
pub enum ServeOutcome {
    /// An upstream's answer.
    Answered(Response<AnswerBody>),
    /// It has not run and never will.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds.
        return_after_ms: u64,
    },
    /// It may have run, and no answer came before its time was over.
    TimedOut,
    /// It may have run, and its answer is lost.
    Lost,
}

/// What is known of the sends of one request.
///
/// "Not run" may be said only if every send is accounted for: either no byte was written, or the
/// upstream said that it did not run it. One send that ended in silence makes it a lie for good.
#[derive(Clone, Debug, Default)]
pub struct SendRecord {
    /// Upstreams that are not asked again.
    pub tried: Vec<UpstreamId>,
    /// Requests that reached an upstream, refused ones included.
    pub reached: u32,
    /// Sends that may have run.
    pub runs: u32,
    /// Tries that never reached an upstream.
    pub unreached: u32,
    /// Refusals by upstreams.
    pub refusals: u32,
    /// Whether it was held here until its time to start was over.
    pub was_shed: bool,
    /// Until when it is stopped, if upstreams end under it.
    pub quarantined_until: Option<Deadline>,
}

impl SendRecord {
    /// Why it has not run, if it surely has not.
    pub fn refusal(&self) -> Option<RefusalReason> {
        if self.runs > 0 {
            return None;
        }
        Some(if self.quarantined_until.is_some() {
            RefusalReason::Quarantined
        } else if self.was_shed {
            RefusalReason::MemoryFull
        } else if self.refusals > 0 {
            RefusalReason::UpstreamsFull
        } else if self.unreached > 0 {
            RefusalReason::Unreachable
        } else {
            RefusalReason::NoUpstream
        })
    }
}
