//! Outages of the store, in which time limits for new weights stand still.
//!
//! A daemon knows that the store was available when anybody read it: its own reads and the marks of
//! other daemons' reads show that. It must not take its own trouble for an outage. A process that did
//! not run has heard of no reads, but has not tried either; one that was cut off has tried in vain,
//! and learns from its peers later that they read all the while.

use guava_types::Moment;

/// Longest time between two known reads by any daemon while the store is available, in milliseconds:
/// reads are up to two seconds old in a healthy deployment.
const MAX_READ_GAP_MS: u64 = 3_500;
/// Difference between the ends of an outage, as two daemons saw it, that is not worth a log line, in
/// milliseconds: reads of different daemons succeed again at different moments.
const OUTAGE_END_TOLERANCE_MS: u64 = 1_000;
/// Outages that are kept.
const MAX_OUTAGES: usize = 16;

/// Interval in which no daemon reached the store.
#[derive(Clone, Copy, Debug)]
struct StoreOutage {
    from: Moment,
    until: Moment,
}

/// Time in which the store was available between two moments, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AvailableTime {
    /// Since the last outage.
    pub current_ms: u64,
    /// The longest time without an outage.
    pub longest_ms: u64,
    /// In all.
    pub total_ms: u64,
}

/// Change of what this daemon believes of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageChange {
    /// An outage begins.
    Began,
    /// An outage ends.
    Ended,
    /// Peers read the store in what counted as an outage.
    Refuted,
}

impl OutageChange {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Began => "began",
            Self::Ended => "ended",
            Self::Refuted => "refuted",
        }
    }
}

/// The outages that this daemon believes in.
#[derive(Debug, Default)]
pub struct StoreOutages {
    /// Those that are over, oldest first.
    past: Vec<StoreOutage>,
    unavailable_since: Option<Moment>,
    /// Since when known reads have followed each other without a gap.
    available_since: Option<Moment>,
    freshest: Option<Moment>,
}

impl StoreOutages {
    /// Records the freshest known read by any daemon, and whether this daemon's own last read failed.
    ///
    /// An outage begins only if this daemon itself failed to read for as long as no other did.
    pub fn note_reads(
        &mut self,
        freshest: Moment,
        has_failed: bool,
        now: Moment,
    ) -> Option<OutageChange> {
        let is_gap = |before: Moment| freshest.millis_since(before) > MAX_READ_GAP_MS;
        if self.freshest.is_none_or(is_gap) {
            self.available_since = Some(freshest);
        }
        self.freshest = self.freshest.max(Some(freshest));
        let is_unavailable = now.millis_since(freshest) > MAX_READ_GAP_MS;
        match self.unavailable_since {
            None if is_unavailable && has_failed => {
                self.unavailable_since = Some(freshest);
                Some(OutageChange::Began)
            }
            Some(from) if !is_unavailable => {
                self.unavailable_since = None;
                self.past.push(StoreOutage { from, until: freshest });
                if self.past.len() > MAX_OUTAGES {
                    self.past.remove(0);
                }
                Some(OutageChange::Ended)
            }
            _ => None,
        }
    }

    /// Since when the store is known to have been available without a gap; `None` before the first
    /// read, and while it is unavailable.
    pub fn available_since(&self) -> Option<Moment> {
        self.available_since.filter(|_| self.unavailable_since.is_none())
    }

    /// Records a peer's report that the store has been available since a moment. Whatever this daemon
    /// took for an outage since then was its own.
    pub fn note_available(&mut self, since: Moment) -> Option<OutageChange> {
        let is_earlier = |known: Moment| since < known;
        if self.available_since.is_some_and(is_earlier) {
            self.available_since = Some(since);
        }
        let is_wrong =
            |outage: &StoreOutage| outage.until.millis_since(since) > OUTAGE_END_TOLERANCE_MS;
        let is_refuted = self.past.iter().any(is_wrong);
        self.past.iter_mut().for_each(|outage| outage.until = outage.until.min(since));
        self.past.retain(|outage| outage.from < outage.until);
        is_refuted.then_some(OutageChange::Refuted)
    }

    /// Time since a moment in which the store was available.
    pub(crate) fn elapsed(&self, since: Moment, now: Moment) -> AvailableTime {
        let present = self.unavailable_since.map(|from| StoreOutage { from, until: now });
        let outages = self.past.iter().copied().chain(present);
        let (mut begin, mut longest_ms, mut total_ms) = (since, 0, 0);
        for outage in outages.filter(|outage| outage.until > since) {
            let span_ms = outage.from.millis_since(begin);
            longest_ms = longest_ms.max(span_ms);
            total_ms += span_ms;
            begin = begin.max(outage.until);
        }
        let current_ms = now.millis_since(begin);
        AvailableTime {
            current_ms,
            longest_ms: longest_ms.max(current_ms),
            total_ms: total_ms + current_ms,
        }
    }
}
