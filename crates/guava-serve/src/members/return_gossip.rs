//! Refused callers that are expected back, as daemons tell each other in their summaries.
//!
//! Messages to different groups of daemons have different intervals, so each group has its own position
//! in the list of what this daemon is to tell.

use guava_policy::ReturnNotice;
use guava_types::Moment;
use std::collections::VecDeque;

/// Most notices in one message, of some thirty bytes each.
pub const MAX_TOLD_RETURNS: usize = 64;
/// Most notices that are yet to be told; beyond that the oldest are dropped.
const MAX_UNTOLD_RETURNS: usize = 1_024;

/// A group of daemons that gets the same messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageAudience {
    /// The core daemons that get each summary.
    Peers,
    /// The relays of other data centres.
    Relays,
    /// The daemons attached to this one.
    Attached,
}

/// Number of audiences.
const AUDIENCES: usize = 3;

/// This daemon's own notices, until all audiences were told.
#[derive(Clone, Debug, Default)]
pub struct ReturnGossip {
    notices: VecDeque<ReturnNotice>,
    /// Number of notices that were removed from the front.
    removed: u64,
    /// Number of notices that each audience was told or has missed.
    positions: [u64; AUDIENCES],
}

impl ReturnGossip {
    /// Adds a notice to tell.
    pub fn note(&mut self, notice: ReturnNotice) {
        if self.notices.len() >= MAX_UNTOLD_RETURNS {
            self.notices.pop_front();
            self.removed += 1;
        }
        self.notices.push_back(notice);
    }

    /// The next notices for an audience, oldest first, without those that are over.
    pub fn take(&mut self, audience: MessageAudience, now: Moment) -> Vec<ReturnNotice> {
        let position = &mut self.positions[audience as usize];
        let start = position.saturating_sub(self.removed) as usize;
        let mut told = Vec::new();
        *position = self.removed + start as u64;
        for notice in self.notices.iter().skip(start) {
            if told.len() >= MAX_TOLD_RETURNS {
                break;
            }
            *position += 1;
            if !notice.is_over(now) {
                told.push(*notice);
            }
        }
        told
    }

    /// Removes the notices that are over.
    pub fn sweep(&mut self, now: Moment) {
        while self.notices.front().is_some_and(|notice| notice.is_over(now)) {
            self.notices.pop_front();
            self.removed += 1;
        }
    }
}
