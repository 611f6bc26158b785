//! Whether an upstream may get requests now, given its announcements and this daemon's send share.

use crate::announcement_table::AnnouncementTable;
use crate::send_ledger::SendLedger;
use crate::send_share::SendShare;
use guava_types::{Deadline, LimitRate, Moment, UpstreamId};
use std::fmt;

/// Why an upstream may get no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It is no longer listed as serving.
    Left,
    /// The list may miss that it is leaving.
    Unconfirmed,
    /// It has announced that it is leaving.
    Leaving,
    /// It asked this daemon for a back-off, which has not ended.
    BackOff,
    /// This daemon has used up its share of the upstream's rate limit.
    Limit,
    /// It is cold, and this daemon has used up its share of the cold-start limit.
    Cold,
    /// It is brittle, and this daemon has used up its share of its slots.
    Brittle,
    /// Its data centre is drained.
    Drained,
    /// The time limit of its weights has come.
    Superseded,
}

impl CloseReason {
    /// The label for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::Unconfirmed => "unconfirmed",
            Self::Leaving => "leaving",
            Self::BackOff => "rest",
            Self::Limit => "limit",
            Self::Cold => "cold",
            Self::Brittle => "brittle",
            Self::Drained => "drained",
            Self::Superseded => "superseded",
        }
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.name())
    }
}

/// An upstream that may get no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedUpstream {
    /// Why it is closed.
    pub reason: CloseReason,
    /// When it may get requests again, if that is known.
    pub until: Option<Moment>,
}

/// Whether its announcements close an upstream; `None` if it may get a request.
///
/// `share` computes this daemon's share of a limit and is called only if the upstream has one.
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
    share_gate(sends, upstream, share(announcements.limit()?), CloseReason::Limit, now)
}

/// Whether an upstream is closed because this daemon's share of its limit is used up.
///
/// `reason` is the reason that a closed upstream gets.
pub fn share_gate(
    sends: &SendLedger,
    upstream: &UpstreamId,
    share: SendShare,
    reason: CloseReason,
    now: Moment,
) -> Option<ClosedUpstream> {
    let until = sends.next_send_at(upstream, share, now);
    (until != Some(now)).then_some(ClosedUpstream { reason, until })
}
