//! Refused callers that are expected back, as daemons tell each other in their summaries.
//!
//! Messages to different groups of daemons have different intervals, so each group has its own position
//! in the list of what this daemon is to tell.

use crate::request::accepted_request::AcceptedRequest;
use crate::serve_context::ServeContext;
use guava_policy::{ReturnNotice, ReturnPlace};
use guava_types::{Deadline, Moment};
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

/// Notes that a request was refused and its caller told to return at `due`; peers are told too.
pub fn note_return(
    context: &ServeContext,
    request: &AcceptedRequest,
    first: Moment,
    due: Deadline,
    now: Moment,
) {
    let notice = ReturnNotice { request: request.digest(), first, due };
    if context.returns.borrow_mut().note(notice, now) {
        context.return_gossip.borrow_mut().note(notice);
        context.metrics.count_return("told");
    } else {
        context.metrics.count_return("not-kept");
    }
}

/// When the first attempt of the caller of a request arrived: that of an earlier request which was
/// refused, if the caller returns as it was told to, else that of this one.
pub fn first_attempt(context: &ServeContext, request: &AcceptedRequest, now: Moment) -> Moment {
    if context.returns.borrow().is_empty() {
        return request.arrived;
    }
    let place = context.returns.borrow_mut().claim(request.digest(), now);
    match place {
        ReturnPlace::New => {}
        ReturnPlace::Early => context.metrics.count_return("early"),
        ReturnPlace::Returned(_) => context.metrics.count_return("as-told"),
    }
    place.first_attempt(request.arrived)
}

/// Applies the notices of a peer.
pub(crate) fn note_peer_returns(context: &ServeContext, notices: &[ReturnNotice], now: Moment) {
    let mut returns = context.returns.borrow_mut();
    let ignored = notices.iter().filter(|notice| !returns.note(**notice, now)).count();
    context.metrics.count_ignored_reports("return", ignored);
}

/// Removes what is no longer needed of customers' use and of refused callers.
pub fn sweep_queue_state(context: &ServeContext, now: Moment) {
    guava_policy::sweep_ledgers(&mut context.customer_ledgers.borrow_mut(), now);
    context.returns.borrow_mut().sweep(now);
    context.return_gossip.borrow_mut().sweep(now);
}
