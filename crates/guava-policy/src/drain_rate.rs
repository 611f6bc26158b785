//! How fast a queue drains, measured only while requests wait in it.
//!
//! A rate is measured between two starts with the queue never empty in between: the time before the
//! first start of such a period, and that without a waiting request, say nothing of how fast places
//! become free. Once the queue was empty for long, the load has changed and the measured intervals
//! are forgotten.

use guava_types::Moment;
use std::collections::VecDeque;

/// Time for which an interval is measured by, in milliseconds.
const WINDOW_MS: u64 = 3_000;
/// Most intervals that a rate is measured from.
const MAX_INTERVALS: usize = 32;
/// Shortest time that a rate is measured over, in milliseconds: places often become free several at
/// a time.
const MIN_MEASURED_MS: u64 = 20;
/// Time without a waiting request after which the intervals before it are forgotten, in milliseconds.
const IDLE_RESET_MS: u64 = 1_000;

/// Time between two starts.
#[derive(Clone, Copy, Debug)]
struct DrainInterval {
    ended: Moment,
    millis: u64,
    /// Cost of all that started at its end.
    cost: f64,
}

/// Time in which the queue is not empty.
#[derive(Clone, Copy, Debug)]
struct BusyPeriod {
    /// Its last start or, before the first one, its beginning.
    since: Moment,
    has_starts: bool,
}

/// The rate at which waiting requests start.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    intervals: VecDeque<DrainInterval>,
    /// `None` while the queue is empty.
    period: Option<BusyPeriod>,
    /// When the queue became empty.
    emptied: Moment,
}

impl DrainRate {
    /// Records that a request waits.
    pub fn note_waiting(&mut self, now: Moment) {
        if self.period.is_some() {
            return;
        }
        if now.millis_since(self.emptied) >= IDLE_RESET_MS {
            self.intervals.clear();
        }
        self.period = Some(BusyPeriod { since: now, has_starts: false });
    }

    /// Records that no request waits any more.
    pub fn note_empty(&mut self, now: Moment) {
        if self.period.take().is_some() {
            self.emptied = now;
        }
    }

    /// Records that a waiting request of this cost starts.
    pub fn note_start(&mut self, cost: f64, now: Moment) {
        let period = BusyPeriod { since: now, has_starts: true };
        let Some(last) = self.period.replace(period).filter(|last| last.has_starts) else { return };
        let millis = now.millis_since(last.since);
        if millis > 0 {
            self.intervals.push_back(DrainInterval { ended: now, millis, cost });
        } else if let Some(same) = self.intervals.back_mut().filter(|same| same.ended == now) {
            same.cost += cost;
        }
        if self.intervals.len() > MAX_INTERVALS {
            self.intervals.pop_front();
        }
    }

    /// Cost that starts in a millisecond; `None` if it is not known.
    pub fn per_ms(&self, now: Moment) -> Option<f64> {
        let is_recent = |it: &&DrainInterval| now.millis_since(it.ended) <= WINDOW_MS;
        let (mut count, mut cost, mut measured_ms) = (0, 0.0, 0);
        for interval in self.intervals.iter().filter(is_recent) {
            count += 1;
            cost += interval.cost;
            measured_ms += interval.millis;
        }
        if count == 0 {
            return None;
        }
        // A next start that is overdue counts as a slower rate, even before it comes.
        let pause_ms = self.period.map_or(0, |period| now.millis_since(period.since));
        measured_ms += pause_ms.saturating_sub(measured_ms / count);
        (measured_ms >= MIN_MEASURED_MS).then(|| cost / measured_ms as f64)
    }
}
