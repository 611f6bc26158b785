//! How many requests a cold upstream gets in a second, from all daemons together.
//!
//! An engine that has just started has an empty cache and is slow, and crashes under more than a
//! few requests a second. To each daemon it looks idle, so all of them would send to it at once:
//! one request from each of dozens of daemons is more than it can serve. Its crash is noticed as
//! one more start some seconds later, and the cycle repeats. So a few daemons share the number of
//! requests it can serve ([`SendShare`]).

use crate::send_share::SendShare;

/// Daemons that may send to one cold upstream: enough that it stays in use when some of them are
/// lost.
const MAX_SENDERS: u64 = 10;
/// Span in which a share counts, in milliseconds: a second, and the time by which two sends of a
/// busy daemon may come closer together in transit.
const SPAN_MS: u64 = 1_100;

/// Limit on the requests to a service's upstreams while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// How long an upstream stays cold, in milliseconds.
    pub lasts_ms: u64,
    /// Requests in any second, from all daemons together.
    pub per_second: u32,
}

/// One daemon's share of the requests to a cold upstream, by its rank among all daemons, 0 first.
/// Shares of all ranks add up to `per_second`; a rank beyond the senders gets none.
pub fn cold_share(per_second: u32, daemons: usize, rank: usize) -> SendShare {
    let limit = u64::from(per_second);
    let senders = MAX_SENDERS.min(daemons as u64).min(limit);
    SendShare::of(limit, SPAN_MS, senders, rank as u64)
}
