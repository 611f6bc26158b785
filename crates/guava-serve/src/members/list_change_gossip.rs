//! Changes of the list of upstreams that this daemon read and tells its peers.

use crate::members::peer_message::ListChange;
use guava_types::{Deadline, Moment};
use std::collections::VecDeque;

/// For how long a change is told, in milliseconds: a few messages, so that a lost one is made up
/// for. Who misses all of them notices by the list's digest, and reads the list.
const TOLD_MS: u64 = 1_200;
/// Changes told in one datagram at most; about a hundred bytes each.
pub(crate) const MOST_TOLD: usize = 40;
/// Changes remembered at most. A quarter of some hundred upstreams may be lost or added in one moment,
/// and whoever is not told of each reads the list.
const MOST_KEPT: usize = 1_000;

/// The changes.
#[derive(Debug, Default)]
pub struct ListChangeGossip {
    changes: VecDeque<(ListChange, Deadline)>,
}

impl ListChangeGossip {
    /// Notes a change; an earlier one of the same upstream is told no more.
    pub fn note(&mut self, change: ListChange, now: Moment) {
        self.changes.retain(|(before, _)| before.id() != change.id());
        if self.changes.len() >= MOST_KEPT {
            self.changes.pop_front();
        }
        self.changes.push_back((change, Deadline::after(now, TOLD_MS)));
    }

    /// The changes to tell now; more than one datagram holds, if many came at once.
    pub fn told(&mut self, now: Moment) -> Vec<ListChange> {
        while self.changes.front().is_some_and(|(_, until)| until.passed(now)) {
            self.changes.pop_front();
        }
        self.changes.iter().map(|(change, _)| change.clone()).collect()
    }
}
