//! Changes to the list of upstreams that this daemon read and sends to its peers.
//!
//! Each change is repeated in several messages. A peer that misses all of them finds that its
//! list's digest differs, and reads the list itself.

use crate::members::peer_message::ListChange;
use guava_types::{Deadline, Moment};
use std::collections::VecDeque;

/// How long a change is repeated, in milliseconds: in a few messages, so that the loss of one does
/// not matter.
const CHANGE_RETENTION_MS: u64 = 1_200;
/// Most changes in one datagram; each takes about a hundred bytes.
pub(crate) const MAX_CHANGES_PER_DATAGRAM: usize = 40;
/// Most changes sent at a time. A quarter of some hundred upstreams may be added or lost at once. If
/// there are more, none is sent: each peer copies what it lacks, which spreads over all that have it.
const MAX_SENT_CHANGES: usize = 200;

/// Changes that are sent to peers until their retention is over, in the order of arrival.
#[derive(Debug, Default)]
pub struct ListChangeGossip {
    changes: VecDeque<(ListChange, Deadline)>,
}

impl ListChangeGossip {
    /// Records a change. It replaces an earlier one of the same upstream.
    pub fn note(&mut self, change: ListChange, now: Moment) {
        self.changes.retain(|(known, _)| known.id() != change.id());
        if self.changes.len() > MAX_SENT_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((change, Deadline::after(now, CHANGE_RETENTION_MS)));
    }

    /// Changes to send now, the oldest first; none if there are too many. May exceed what fits into
    /// one datagram.
    pub fn told(&mut self, now: Moment) -> Vec<ListChange> {
        while self.changes.front().is_some_and(|(_, deadline)| deadline.passed(now)) {
            self.changes.pop_front();
        }
        if self.changes.len() > MAX_SENT_CHANGES {
            return Vec::new();
        }
        self.changes.iter().map(|(change, _)| change.clone()).collect()
    }
}
