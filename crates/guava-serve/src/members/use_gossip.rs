//! When daemons report their customers' use to each other.
//!
//! The reports order the queues of requests that wait for a service. While nobody waits, no daemon
//! needs them: a daemon reports while requests wait at it, which it says, and while they wait at one
//! of its peers.

use guava_types::{Deadline, Moment};

/// How long use is reported after a request has waited, in milliseconds. Bursts of demand come and go
/// within seconds, and the reports are to be there when the next one comes.
const CROWDED_MS: u64 = 3_000;

/// Until when this daemon reports its customers' use.
#[derive(Clone, Copy, Debug, Default)]
pub struct UseGossip {
    own_crowd_until: Deadline,
    peer_crowd_until: Deadline,
}

impl UseGossip {
    /// Notes that a request waits at this daemon, or is refused for want of room.
    pub fn note_crowd(&mut self, now: Moment) {
        self.own_crowd_until = Deadline::after(now, CROWDED_MS);
    }

    /// Notes that requests wait at a peer.
    pub fn note_peer_crowd(&mut self, now: Moment) {
        self.peer_crowd_until = Deadline::after(now, CROWDED_MS);
    }

    /// Whether requests waited at this daemon lately.
    pub fn is_crowded(&self, now: Moment) -> bool {
        !self.own_crowd_until.passed(now)
    }

    /// Whether a report is to be sent.
    pub fn is_due(&self, now: Moment) -> bool {
        self.is_crowded(now) || !self.peer_crowd_until.passed(now)
    }
}
