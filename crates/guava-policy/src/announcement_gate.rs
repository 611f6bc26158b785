//! Whether an upstream may get work now, by what it has said of itself.

use crate::announcement_table::AnnouncementTable;
use crate::send_ledger::SendLedger;
use crate::send_share::SendShare;
use guava_types::{Deadline, LimitRate, Moment, UpstreamId};
use std::fmt;

/// Why an upstream may get nothing now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It is not listed as serving any more.
    Left,
    /// It has said that it leaves.
    Leaving,
    /// It asked for rest.
    BackOff,
    /// This daemon's share of its limit is used up.
    Limit,
    /// It is cold, and this daemon's share is used up.
    Cold,
    /// Its data centre is drained.
    Drained,
}

impl CloseReason {
    /// In a word, for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::Leaving => "leaving",
            Self::BackOff => "rest",
            Self::Limit => "limit",
            Self::Cold => "cold",
            Self::Drained => "drained",
        }
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.name())
    }
}

/// An upstream that may get nothing now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedUpstream {
    /// Why.
    pub reason: CloseReason,
    /// When it may get work again, if that is known.
    pub until: Option<Moment>,
}

/// What closes an upstream, if anything does; the share is this daemon's of a limit.
pub fn announcement_gate(
    announcements: &AnnouncementTable,
    sends: &SendLedger,
    upstream: &UpstreamId,
    share: impl FnOnce(LimitRate) -> SendShare,
    now: Moment,
) -> Option<ClosedUpstream> {
    let announcements = announcements.announcements(upstream)?;
    if announcements.is_leaving() {
        return Some(ClosedUpstream { reason: CloseReason::Leaving, until: None });
    }
    if let Some(Deadline(until)) = announcements.backoff_until(now) {
        return Some(ClosedUpstream { reason: CloseReason::BackOff, until: Some(until) });
    }
    share_gate(sends, upstream, share(announcements.limit?), CloseReason::Limit, now)
}

/// What closes an upstream whose share is used up.
pub fn share_gate(
    sends: &SendLedger,
    upstream: &UpstreamId,
    share: SendShare,
    reason: CloseReason,
    now: Moment,
) -> Option<ClosedUpstream> {
    let until = sends.opens(upstream, share, now);
    (until != Some(now)).then_some(ClosedUpstream { reason, until })
}
