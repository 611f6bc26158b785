//! How many requests a cold upstream gets in a second, from all daemons together.
//!
//! **The load.** An engine that has just started is empty and slow, and ends of more than some requests
//! a second. To each daemon it looks idle, so all of them send to it at once: dozens of daemons with
//! one request each are more than it bears. Its end is noticed as one more start some seconds later,
//! and nothing is won. So a few daemons share what it bears ([`SendShare`]).

use crate::send_share::SendShare;

/// Daemons that may send to one cold upstream: enough that the loss of some leaves it used.
const SENDERS: u64 = 10;
/// Span in which a share counts, in milliseconds: a second, and the time by which two sends of a busy
/// daemon may come closer together on their way.
const SPAN_MS: u64 = 1_100;

/// What a service's upstreams bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// How long one stays cold, in milliseconds.
    pub lasts_ms: u64,
    /// Requests in any second, of all daemons together.
    pub per_second: u32,
}

/// Part of what a cold upstream bears that one daemon gets, by its place among all daemons, 0 first.
pub fn cold_share(per_second: u32, daemons: usize, place: usize) -> SendShare {
    let limit = u64::from(per_second);
    let senders = SENDERS.min(daemons as u64).min(limit);
    SendShare::of(limit, SPAN_MS, senders, place as u64)
}
