//! Reasons for which requests are refused.

use std::fmt;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The configuration has no service for its route, or no upstream may take it.
    NoUpstream,
    /// All upstreams are closed, and it is known when the first one reopens.
    UpstreamsClosed,
    /// The upstreams that were asked are full.
    UpstreamsFull,
    /// No upstream could be reached.
    Unreachable,
    /// No upstream has room for it, and it could not start in time from the queue.
    Crowded,
    /// This daemon reaches no upstream, and no other daemon that does.
    NoReach,
    /// Its deadline passed.
    TooLate,
    /// This daemon holds too many bytes of request bodies.
    Overloaded,
    /// The daemon has no configuration yet, or none recent enough to reject a route or key by, or no
    /// list of upstreams recent enough to send by.
    NotReady,
    /// This daemon stops before the request's time is over, and could cut it off.
    Leaving,
    /// It takes up a stream, and no daemon that may know where that began knows it.
    StreamUnknown,
    /// The same, and none of those daemons answers.
    StreamUnconfirmed,
    /// It takes up a stream, and no upstream serves at the software version that began it.
    VersionGone,
    /// It is quarantined, as it was in flight at several crashes of upstreams.
    Quarantined,
}

impl RefusalReason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoUpstream => "no-upstream",
            Self::UpstreamsClosed => "upstreams-closed",
            Self::UpstreamsFull => "upstreams-full",
            Self::Unreachable => "unreachable",
            Self::Crowded => "crowded",
            Self::NoReach => "no-reach",
            Self::TooLate => "too-late",
            Self::Overloaded => "overloaded",
            Self::NotReady => "not-ready",
            Self::Leaving => "leaving",
            Self::StreamUnknown => "stream-unknown",
            Self::StreamUnconfirmed => "stream-unconfirmed",
            Self::VersionGone => "version-gone",
            Self::Quarantined => "stopped",
        }
    }

    /// Whether no upstream had room for the request, so that its caller keeps its place if it returns
    /// as told.
    pub fn is_for_room(self) -> bool {
        matches!(self, Self::Crowded | Self::UpstreamsFull | Self::UpstreamsClosed)
    }

    /// Whether another daemon may still serve the request now.
    pub fn is_local(self) -> bool {
        matches!(
            self,
            Self::Unreachable
                | Self::NoReach
                | Self::NotReady
                | Self::Overloaded
                | Self::Leaving
                | Self::StreamUnconfirmed
        )
    }

    /// Whether nothing is known that would let the request be served later.
    pub fn is_final(self) -> bool {
        matches!(self, Self::StreamUnknown | Self::VersionGone)
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.name())
    }
}
