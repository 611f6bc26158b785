//! How much of what an upstream takes from all daemons together one daemon may send.
//!
//! Daemons can't ask each other before a send. So a few of them, by rendezvous hashing among all that
//! are known, may send to an upstream whose requests are limited, each a whole number of requests in
//! any span of a length. Who is chosen depends on records that last, not on who was heard lately: with
//! the living only, daemons of two sides of a cut would choose twice as many.
//!
//! **A limit of its own** may be far below one request a second for each daemon. With an equal share of
//! the rate, each daemon that has rested has a whole request to send: 79 daemons send 79 at once
//! where 17 are allowed. So a share is never less than a request: there are as many senders as
//! requests in a span, or all daemons if these are fewer.
//!
//! **Views differ.** Two groups of daemons that do not know of each other share out the limit twice. An
//! upstream bears one and a half times its limit in four seconds, and five requests more; all shares
//! of one view together are at most half of that, so that two views together keep it whatever they
//! are.

use guava_types::{LimitRate, Moment};
use std::collections::VecDeque;

/// The spans in which shares of a limit count, in milliseconds: the long one where a second brings
/// less than a request for each daemon. Both are a little longer than a second and four, since sends
/// may come closer together on their way.
const SHORT_MS: u64 = 1_050;
const LONG_MS: u64 = 4_100;
/// Half of the five requests that an upstream bears beyond one and a half times its limit, in
/// thousandths.
const HALF_SLACK: u64 = 2_500;
const THOUSAND: u64 = 1_000;
/// Longest pause between two requests to an upstream that takes next to none, in milliseconds: its
/// answers are the only sign that it takes more again.
const LONGEST_PAUSE_MS: u64 = 30_000;

/// One daemon's part in the requests to an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendShare {
    /// Requests in any span.
    pub requests: u64,
    /// Length of the span, in milliseconds.
    pub span_ms: u64,
}

impl SendShare {
    /// The share in requests a second.
    pub fn per_second(self) -> f64 {
        self.requests as f64 * 1_000.0 / self.span_ms.max(1) as f64
    }

    /// Part of so many requests in a span that the daemon at a place gets, 0 first, where so many
    /// daemons send.
    pub(crate) fn of(requests: u64, span_ms: u64, senders: u64, place: u64) -> Self {
        let senders = senders.max(1);
        let rest = u64::from(place < requests % senders);
        let share = if place < senders { requests / senders + rest } else { 0 };
        Self { requests: share, span_ms }
    }
}

/// Part of an upstream's own limit that one daemon gets, by its place among all daemons, 0 first.
pub fn limit_share(limit: LimitRate, daemons: usize, place: usize) -> SendShare {
    let (daemons, place) = (daemons.max(1) as u64, place as u64);
    let rate = limit.thousandths();
    // What half of the daemons may send in four seconds, if the other half does not know of them.
    let half = rate.saturating_mul(3).saturating_add(HALF_SLACK);
    let in_short = rate.min(half / 4) / THOUSAND;
    if in_short >= daemons {
        return SendShare::of(in_short, SHORT_MS, daemons, place);
    }
    match rate.saturating_mul(4).min(half) / THOUSAND {
        0 => SendShare::of(1, pause_ms(limit), 1, place),
        requests => SendShare::of(requests, LONG_MS, daemons.min(requests), place),
    }
}

/// Time for one request, in milliseconds, where the long span brings less.
fn pause_ms(limit: LimitRate) -> u64 {
    let one = (THOUSAND * THOUSAND).checked_div(limit.thousandths());
    one.unwrap_or(LONGEST_PAUSE_MS).clamp(LONG_MS, LONGEST_PAUSE_MS)
}

/// One daemon's sends to an upstream, as far back as shares count.
#[derive(Clone, Debug, Default)]
pub struct SendWindow {
    sent: VecDeque<Moment>,
}

impl SendWindow {
    /// Whether one more may be sent under a share.
    pub fn has_capacity(&self, share: SendShare, now: Moment) -> bool {
        self.opens(share, now) == Some(now)
    }

    /// When one more may be sent under a share: now, or later; never without a share.
    pub fn opens(&self, share: SendShare, now: Moment) -> Option<Moment> {
        let requests = usize::try_from(share.requests).unwrap_or(usize::MAX);
        if requests == 0 {
            return None;
        }
        // Once the oldest of the last so many is over, there is room.
        let oldest = self.sent.len().checked_sub(requests).and_then(|index| self.sent.get(index));
        Some(oldest.map_or(now, |oldest| Moment(oldest.0 + share.span_ms).max(now)))
    }

    /// Notes a send.
    pub fn note(&mut self, now: Moment) {
        // Of a share that counts over longer spans there is one request.
        while self.sent.len() > 1 && self.sent.front().is_some_and(|first| is_over(*first, now)) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Whether all sends were so long ago that no share counts them.
    pub fn is_over(&self, now: Moment) -> bool {
        self.sent.back().is_none_or(|last| now.millis_since(*last) >= LONGEST_PAUSE_MS)
    }

    /// Sends within the last milliseconds, as far back as shares of several requests count.
    pub fn count(&self, millis: u64, now: Moment) -> usize {
        self.sent.iter().rev().take_while(|sent| now.millis_since(**sent) < millis).count()
    }
}

fn is_over(sent: Moment, now: Moment) -> bool {
    now.millis_since(sent) >= LONG_MS
}
