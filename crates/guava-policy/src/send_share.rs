//! How much of the rate that an upstream accepts from all daemons together one daemon may send.
//!
//! Daemons can't ask each other before a send. So a few of them, chosen by rendezvous hashing among
//! all known daemons, may send to a rate-limited upstream, each a whole number of requests in any
//! window of a given length. The choice depends on lasting records, not on which daemons are
//! reachable: if only reachable daemons counted, the two sides of a network partition would
//! together choose twice as many.
//!
//! **An upstream's own limit** may be far below one request per second for each daemon. With an
//! equal share of the rate, every daemon that has sent nothing for a while may send one request at
//! once: 79 daemons would send 79 where 17 are allowed. So a share is never less than one request:
//! there are as many senders as requests in a window, or all daemons if these are fewer.
//!
//! **Daemons may know of different members.** Two groups of daemons that do not know of each other
//! each share out the complete limit. An upstream tolerates one and a half times its limit in four
//! seconds, plus five requests. The shares within one group add up to at most half of that, so two
//! groups together stay within it, whichever daemons they consist of.
//!
//! **Calls** (reports and orders of the daemon that rolls out weights) reach an upstream as requests do.
//! That daemon may have no share, so calls have one of their own. It fits into what one group leaves.

use guava_types::{LimitRate, Moment};
use std::collections::VecDeque;

/// Lengths of the windows in which shares of a limit count, in milliseconds. The long one applies
/// where one second allows less than one request for each daemon. They are a little longer than one
/// and four seconds, since requests may arrive closer together than they were sent.
const SHORT_WINDOW_MS: u64 = 1_050;
const LONG_WINDOW_MS: u64 = 4_100;
/// Calls that one daemon may make to an upstream with a limit in the long window: enough for a report
/// and an order that relies on it.
const CALLS: u64 = 2;
/// Half of the five requests that an upstream tolerates beyond one and a half times its limit, in
/// thousandths of a request.
const HALF_SLACK_THOUSANDTHS: u64 = 2_500;
const THOUSAND: u64 = 1_000;
/// Longest interval between two requests to an upstream whose limit is close to zero, in
/// milliseconds: only its answers show that it accepts more again.
const MAX_INTERVAL_MS: u64 = 30_000;

/// One daemon's share of the requests to an upstream. The default allows none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendShare {
    /// Requests allowed in any window of this length.
    pub requests: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl SendShare {
    /// The share in requests per second.
    pub fn per_second(self) -> f64 {
        self.requests as f64 * 1_000.0 / self.window_ms.max(1) as f64
    }

    /// The share that the daemon of a rank (from 0) gets of `requests` in a window, divided among
    /// `senders` daemons. A rank that is not among the senders gets none.
    pub(crate) fn of(requests: u64, window_ms: u64, senders: u64, rank: u64) -> Self {
        let senders = senders.max(1);
        let extra = u64::from(rank < requests % senders);
        let share = if rank < senders { requests / senders + extra } else { 0 };
        Self { requests: share, window_ms }
    }
}

/// The share of an upstream's own limit that one daemon gets, given its rank (from 0) among
/// `daemons` daemons.
pub fn limit_share(limit: LimitRate, daemons: usize, rank: usize) -> SendShare {
    let (daemons, rank) = (daemons.max(1) as u64, rank as u64);
    let rate = limit.thousandths();
    // What a group of daemons may send in four seconds, if another group does not know of it.
    let group_thousandths = rate.saturating_mul(3).saturating_add(HALF_SLACK_THOUSANDTHS);
    let short_requests = rate.min(group_thousandths / 4) / THOUSAND;
    if short_requests >= daemons {
        return SendShare::of(short_requests, SHORT_WINDOW_MS, daemons, rank);
    }
    match rate.saturating_mul(4).min(group_thousandths) / THOUSAND {
        0 => SendShare::of(1, interval_ms(limit), 1, rank),
        requests => SendShare::of(requests, LONG_WINDOW_MS, daemons.min(requests), rank),
    }
}

/// The calls that one daemon may make to an upstream with a limit.
pub fn call_share() -> SendShare {
    SendShare { requests: CALLS, window_ms: LONG_WINDOW_MS }
}

/// Interval between two requests, in milliseconds, where the long window allows less than one.
fn interval_ms(limit: LimitRate) -> u64 {
    let uncapped_ms = (THOUSAND * THOUSAND).checked_div(limit.thousandths());
    uncapped_ms.unwrap_or(MAX_INTERVAL_MS).clamp(LONG_WINDOW_MS, MAX_INTERVAL_MS)
}

/// One daemon's sends to an upstream, as far back as any share counts them.
#[derive(Clone, Debug, Default)]
pub struct SendWindow {
    sent: VecDeque<Moment>,
}

impl SendWindow {
    /// Whether one more request may be sent now under a share.
    pub fn has_capacity(&self, share: SendShare, now: Moment) -> bool {
        self.next_send_at(share, now) == Some(now)
    }

    /// The moment from which one more request may be sent under a share, `now` at the earliest;
    /// `None` if the share allows no requests.
    pub fn next_send_at(&self, share: SendShare, now: Moment) -> Option<Moment> {
        let requests = usize::try_from(share.requests).unwrap_or(usize::MAX);
        if requests == 0 {
            return None;
        }
        // There is capacity once the oldest of the last `requests` sends has left the window.
        let oldest = self.sent.len().checked_sub(requests).and_then(|index| self.sent.get(index));
        Some(oldest.map_or(now, |oldest| Moment(oldest.0 + share.window_ms).max(now)))
    }

    /// Records a send.
    pub fn note(&mut self, now: Moment) {
        // A share with a longer window allows one request, so the last send suffices for it.
        while self.sent.len() > 1
            && self.sent.front().is_some_and(|first| has_left_window(*first, now))
        {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Whether all sends are so old that no share counts them any more.
    pub fn is_over(&self, now: Moment) -> bool {
        self.sent.back().is_none_or(|last| now.millis_since(*last) >= MAX_INTERVAL_MS)
    }

    /// Number of sends within the last `millis` milliseconds; sends older than the long window may
    /// be missing.
    pub fn count(&self, millis: u64, now: Moment) -> usize {
        self.sent.iter().rev().take_while(|sent| now.millis_since(**sent) < millis).count()
    }
}

fn has_left_window(sent: Moment, now: Moment) -> bool {
    now.millis_since(sent) >= LONG_WINDOW_MS
}
