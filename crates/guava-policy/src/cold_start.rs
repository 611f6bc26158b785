//! How many requests a cold upstream gets in a second, from all daemons together.
//!
//! **The load.** An engine that has just started is empty and slow, and ends of more than some requests
//! a second. To each daemon it looks idle, so all of them send to it at once: dozens of daemons with
//! one request each are more than it bears. Its end is noticed as one more start some seconds later,
//! and nothing is won.
//!
//! Daemons can't ask each other before a send. So a few of them, chosen by rendezvous hashing among
//! all that are known, may send to a cold upstream, each a known number of requests in any second
//! ([`cold_share`]). Who is chosen depends on records that last, not on who was heard lately: with
//! the living only, daemons of two sides of a cut would choose twice as many.
//!
//! A whole share for each daemon would be less than one request a second in a large fleet, and
//! daemons that act at the same moment would break the limit together.

use guava_types::Moment;
use std::collections::VecDeque;

/// Daemons that may send to one cold upstream: enough that the loss of some leaves it used.
const SENDERS: usize = 10;
/// Span in which a share counts, in milliseconds: a second, and the time by which two sends of a busy
/// daemon may come closer together on their way.
const WINDOW_MS: u64 = 1_100;

/// What a service's upstreams bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// How long one stays cold, in milliseconds.
    pub lasts_ms: u64,
    /// Requests in any second, of all daemons together.
    pub per_second: u32,
}

/// Requests in any second that one daemon may send to a cold upstream, by its place among all
/// daemons, 0 first.
pub fn cold_share(per_second: u32, daemons: usize, place: usize) -> u32 {
    let limit = per_second as usize;
    let senders = SENDERS.min(daemons).min(limit).max(1);
    if place >= senders {
        return 0;
    }
    let rest = usize::from(place < limit % senders);
    u32::try_from(limit / senders + rest).unwrap_or(u32::MAX)
}

/// One daemon's sends to a cold upstream within the last second.
#[derive(Clone, Debug, Default)]
pub struct SendWindow {
    sent: VecDeque<Moment>,
}

impl SendWindow {
    /// Whether one more may be sent under a share.
    pub fn has_room(&self, share: u32, now: Moment) -> bool {
        let is_recent = |sent: &&Moment| now.millis_since(**sent) < WINDOW_MS;
        self.sent.iter().filter(is_recent).count() < share as usize
    }

    /// Notes a send.
    pub fn note(&mut self, now: Moment) {
        while self.sent.front().is_some_and(|first| now.millis_since(*first) >= WINDOW_MS) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Whether all sends were long ago.
    pub fn is_over(&self, now: Moment) -> bool {
        self.sent.back().is_none_or(|last| now.millis_since(*last) >= WINDOW_MS)
    }
}
