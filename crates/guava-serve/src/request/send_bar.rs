//! Why a request is not sent, or not sent again.

use std::fmt;

/// Why no further send of a request is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendBar {
    /// It may have run, and must not run again.
    MayHaveRun,
    /// All runs that its route, or the daemon that forwarded it, permits may have been used.
    Runs,
    /// It was sent too often, refusals and failed connections included.
    Attempts,
    /// The retry budget is exhausted.
    Budget,
    /// Its deadline has passed.
    Deadline,
    /// It is quarantined.
    Quarantined,
    /// The list of upstreams is too old.
    StaleList,
    /// No upstream may go on with its stream.
    StreamScope,
    /// A peer daemon may have begun its stream.
    PeerMayHaveBegun,
    /// No upstream may take it.
    NoUpstream,
    /// It could not start in time from the queue.
    Crowded,
    /// Neither this daemon nor a peer that it may be forwarded to reaches an upstream.
    NoReach,
}

impl SendBar {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may-have-run",
            Self::Runs => "runs",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
            Self::Deadline => "deadline",
            Self::Quarantined => "quarantined",
            Self::StaleList => "stale-list",
            Self::StreamScope => "stream-scope",
            Self::PeerMayHaveBegun => "peer-may-have-begun",
            Self::NoUpstream => "no-upstream",
            Self::Crowded => "crowded",
            Self::NoReach => "no-reach",
        }
    }
}

impl fmt::Display for SendBar {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// The bar that ended a request's sends, for log lines; `none` if no further send was sought.
pub fn bar_text(bar: Option<SendBar>) -> &'static str {
    bar.map_or("none", SendBar::name)
}
