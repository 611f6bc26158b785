//! How much slower than configured a link is, as told by what was fetched over it.
//!
//! Load answered: a store's link turns four to eight times slower for some seconds. Its queue, played
//! at the configured rate, looks short while it grows by seconds, and every prompt that fetches
//! from it is late: of 100 prompts that returned in such a stretch 30 were. Nobody reports the rate. But
//! a first token that came in time had its parts in time, so each fetch bounds the slowness from
//! above, and an overdue one bounds it from below while it is awaited.

use guava_types::Moment;
use std::collections::VecDeque;

/// Fetches judged together. The least of them counts: one may be late for another reason, as an
/// engine that stands still, and hardly three in a row.
const JUDGED: usize = 3;
/// Fetches without which nothing is said.
const LEAST_JUDGED: usize = 2;
/// How long a fetch speaks for its link, in milliseconds. Without newer ones the link is tried
/// again: nobody fetches over a link that looks slow, so nobody would see it recover.
const EXPIRY_MS: u64 = 2_000;
/// A fetch that is awaited speaks once it has taken so many times what was expected.
const OVERDUE_TIMES: f64 = 2.0;
/// Expected times below this are no measure, in milliseconds: a few hops and steps of the engine.
const LEAST_EXPECTED_MS: f64 = 30.0;
/// Largest slowness that is believed: beyond it nobody fetches anyway.
const MOST_SLOWNESS: f64 = 32.0;

/// A fetch that is awaited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AwaitedFetch {
    /// When the prompt was sent.
    pub sent: Moment,
    /// Milliseconds of the way to the first token that have nothing to do with the fetch.
    pub other_ms: f64,
    /// Milliseconds that the fetch was expected to take, waits for the link included.
    pub expected_ms: f64,
    /// How slow the link was believed to be then.
    pub slowness: f64,
}

impl AwaitedFetch {
    /// How slow the link is at most if the first token comes now.
    fn bound(&self, now: Moment) -> f64 {
        let taken_ms = (now.millis_since(self.sent) as f64 - self.other_ms).max(0.0);
        let times = taken_ms / self.expected_ms.max(LEAST_EXPECTED_MS);
        (self.slowness * times).clamp(1.0, MOST_SLOWNESS)
    }

    fn is_overdue(&self, now: Moment) -> bool {
        self.bound(now) >= self.slowness * OVERDUE_TIMES
    }
}

/// What is learnt of one link.
#[derive(Clone, Debug, Default)]
pub struct LinkWatch {
    awaited: Vec<(u64, AwaitedFetch)>,
    /// Bounds by fetches that are over, newest last.
    seen: VecDeque<(Moment, f64)>,
}

impl LinkWatch {
    /// Notes a fetch; the ticket names it until it is over.
    pub fn begin(&mut self, ticket: u64, fetch: AwaitedFetch) {
        self.awaited.push((ticket, fetch));
    }

    /// Notes that the first token is there, and the parts were before it.
    pub fn arrived(&mut self, ticket: u64, now: Moment) {
        if let Some(fetch) = self.take(ticket) {
            self.note(fetch.bound(now), now);
        }
    }

    /// Notes that nobody awaits a fetch any more; if it was overdue by then, that stays known.
    pub fn dropped(&mut self, ticket: u64, now: Moment) {
        if let Some(fetch) = self.take(ticket).filter(|fetch| fetch.is_overdue(now)) {
            self.note(fetch.bound(now), now);
        }
    }

    fn take(&mut self, ticket: u64) -> Option<AwaitedFetch> {
        let place = self.awaited.iter().position(|(other, _)| *other == ticket)?;
        Some(self.awaited.swap_remove(place).1)
    }

    fn note(&mut self, bound: f64, now: Moment) {
        if self.seen.len() >= JUDGED {
            self.seen.pop_front();
        }
        self.seen.push_back((now, bound));
    }

    /// How many times slower than configured the link is, at least one; nothing if too few fetches
    /// speak for it.
    pub fn slowness(&self, now: Moment) -> Option<f64> {
        let overdue = self.awaited.iter().map(|(_, fetch)| fetch);
        let overdue = overdue.filter(|fetch| fetch.is_overdue(now)).map(|fetch| fetch.bound(now));
        let is_recent = |(at, _): &&(Moment, f64)| now.millis_since(*at) < EXPIRY_MS;
        let seen = self.seen.iter().rev().filter(is_recent).map(|(_, bound)| *bound);
        let judged: Vec<f64> = overdue.chain(seen).take(JUDGED).collect();
        let is_known = judged.len() >= LEAST_JUDGED;
        is_known.then(|| judged.into_iter().fold(MOST_SLOWNESS, f64::min))
    }
}
