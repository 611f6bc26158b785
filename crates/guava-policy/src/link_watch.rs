//! Estimates how much slower than configured a link is, from the fetches over it.
//!
//! A store's link at times becomes four to eight times slower for some seconds. Its queue,
//! simulated at the configured rate, looks short while it grows by seconds, and every prompt that
//! fetches from the store is late: of 100 reused prompts in such a period 30 were late. No service
//! reports the rate. But a first token that came in time had its prompt parts in time, so each
//! finished fetch bounds the slowness from above, and an overdue one bounds it from below while it
//! is awaited.

use guava_types::Moment;
use std::collections::VecDeque;

/// Number of fetches in an estimate. The smallest bound counts: a single fetch may be late for
/// another reason, such as an engine that stalls, but hardly three in a row.
const MAX_SAMPLES: usize = 3;
/// Number of fetches below which there is no estimate.
const MIN_SAMPLES: usize = 2;
/// Age from which finished fetches are ignored, in milliseconds. Without newer ones the link is
/// used again: no daemon fetches over a link that looks slow, so none would observe its recovery.
const EXPIRY_MS: u64 = 2_000;
/// An awaited fetch counts once it has taken this many times what was expected.
const OVERDUE_FACTOR: f64 = 2.0;
/// Expected times are taken as at least this, in milliseconds: shorter ones, of a few network hops
/// and engine steps, are no measure.
const MIN_EXPECTED_MS: f64 = 30.0;
/// Largest slowness estimated. At a higher one no daemon would fetch anyway.
const MAX_SLOWNESS: f64 = 32.0;

/// A fetch that has not finished.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AwaitedFetch {
    /// When the prompt was sent.
    pub sent: Moment,
    /// Portion of the expected time to the first token that doesn't depend on the fetch, in
    /// milliseconds.
    pub other_ms: f64,
    /// Expected time of the fetch, in milliseconds, waits for the link included.
    pub expected_ms: f64,
    /// Slowness of the link that was assumed in `expected_ms`, at least one.
    pub slowness: f64,
}

impl AwaitedFetch {
    /// Upper bound on the link's slowness if the first token comes now.
    fn bound(&self, now: Moment) -> f64 {
        let taken_ms = (now.millis_since(self.sent) as f64 - self.other_ms).max(0.0);
        let ratio = taken_ms / self.expected_ms.max(MIN_EXPECTED_MS);
        (self.slowness * ratio).clamp(1.0, MAX_SLOWNESS)
    }

    fn is_overdue(&self, now: Moment) -> bool {
        self.bound(now) >= self.slowness * OVERDUE_FACTOR
    }
}

/// Fetches over one link and the bounds on its slowness that follow.
#[derive(Clone, Debug, Default)]
pub struct LinkWatch {
    awaited: Vec<(u64, AwaitedFetch)>,
    /// Bounds from finished fetches with the moment each finished, newest last.
    finished: VecDeque<(Moment, f64)>,
}

impl LinkWatch {
    /// Records a fetch; `arrived` or `dropped` with the same ticket finishes it.
    pub fn begin(&mut self, ticket: u64, fetch: AwaitedFetch) {
        self.awaited.push((ticket, fetch));
    }

    /// Records the first token of the prompt, before which the fetch must have finished.
    pub fn arrived(&mut self, ticket: u64, now: Moment) {
        if let Some(fetch) = self.take(ticket) {
            self.note(fetch.bound(now), now);
        }
    }

    /// Records that the prompt's first token is no longer awaited. An overdue fetch still counts.
    pub fn dropped(&mut self, ticket: u64, now: Moment) {
        if let Some(fetch) = self.take(ticket).filter(|fetch| fetch.is_overdue(now)) {
            self.note(fetch.bound(now), now);
        }
    }

    fn take(&mut self, ticket: u64) -> Option<AwaitedFetch> {
        let index = self.awaited.iter().position(|(other, _)| *other == ticket)?;
        Some(self.awaited.swap_remove(index).1)
    }

    fn note(&mut self, bound: f64, now: Moment) {
        if self.finished.len() >= MAX_SAMPLES {
            self.finished.pop_front();
        }
        self.finished.push_back((now, bound));
    }

    /// How many times slower than configured the link is, at least one; `None` if too few fetches
    /// are fresh or overdue.
    pub fn slowness(&self, now: Moment) -> Option<f64> {
        let overdue = self.awaited.iter().map(|(_, fetch)| fetch);
        let overdue = overdue.filter(|fetch| fetch.is_overdue(now)).map(|fetch| fetch.bound(now));
        let is_recent = |(at, _): &&(Moment, f64)| now.millis_since(*at) < EXPIRY_MS;
        let finished = self.finished.iter().rev().filter(is_recent).map(|(_, bound)| *bound);
        let samples: Vec<f64> = overdue.chain(finished).take(MAX_SAMPLES).collect();
        let is_known = samples.len() >= MIN_SAMPLES;
        is_known.then(|| samples.into_iter().fold(MAX_SLOWNESS, f64::min))
    }
}
