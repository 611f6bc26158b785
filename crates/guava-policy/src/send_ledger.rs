//! This daemon's recent sends to each upstream.

use crate::send_share::{SendShare, SendWindow, call_share};
use guava_types::{Deadline, FastMap, Moment, UpstreamId};

/// Interval between two sweeps for upstreams whose sends no share counts any more, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 10_000;

/// This daemon's sends to all upstreams, for its shares of their limits.
#[derive(Debug)]
pub struct SendLedger {
    windows: FastMap<UpstreamId, SendWindow>,
    /// Of the sends, those that were calls.
    calls: FastMap<UpstreamId, SendWindow>,
    /// Requests that were sent and are not finished.
    in_flight: FastMap<UpstreamId, u32>,
    started: Moment,
    swept: Moment,
}

impl SendLedger {
    /// An empty ledger of a daemon that started at this moment.
    pub fn new(started: Moment) -> Self {
        let (windows, calls) = (FastMap::default(), FastMap::default());
        Self { windows, calls, in_flight: FastMap::default(), started, swept: started }
    }

    /// Whether one more request may be sent to an upstream now under this daemon's share.
    pub fn has_capacity(&self, upstream: &UpstreamId, share: SendShare, now: Moment) -> bool {
        self.next_send_at(upstream, share, now) == Some(now)
    }

    /// The moment from which one more request may be sent under a share, `now` at the earliest;
    /// `None` if the share allows no requests.
    ///
    /// The previous process on this VM may have used up the share, so nothing is sent within the
    /// first window after the start.
    pub fn next_send_at(
        &self,
        upstream: &UpstreamId,
        share: SendShare,
        now: Moment,
    ) -> Option<Moment> {
        let Deadline(first_window_end) = Deadline::after(self.started, share.window_ms);
        let next_send = match self.windows.get(upstream) {
            Some(window) => window.next_send_at(share, now),
            None => (share.requests > 0).then_some(now),
        };
        next_send.map(|next_send| next_send.max(first_window_end))
    }

    /// Whether one more call may be made to an upstream with a limit now.
    pub fn has_call_capacity(&self, upstream: &UpstreamId, now: Moment) -> bool {
        let window = self.calls.get(upstream);
        window.is_none_or(|window| window.has_capacity(call_share(), now))
    }

    /// Records a call, which is a send too.
    pub fn note_call(&mut self, upstream: &UpstreamId, now: Moment) {
        self.note(upstream, now);
        note_in(&mut self.calls, upstream, now);
    }

    /// Records a send.
    pub fn note(&mut self, upstream: &UpstreamId, now: Moment) {
        if Deadline::after(self.swept, SWEEP_INTERVAL_MS).passed(now) {
            self.swept = now;
            self.windows.retain(|_, window| !window.is_over(now));
            self.calls.retain(|_, window| !window.is_over(now));
        }
        note_in(&mut self.windows, upstream, now);
    }

    /// Records that a request that was sent is in flight at an upstream.
    pub fn begin(&mut self, upstream: &UpstreamId) {
        match self.in_flight.get_mut(upstream) {
            Some(count) => *count += 1,
            None => drop(self.in_flight.insert(upstream.clone(), 1)),
        }
    }

    /// Records that a request in flight at an upstream has finished.
    pub fn finish(&mut self, upstream: &UpstreamId) {
        let Some(count) = self.in_flight.get_mut(upstream) else { return };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(upstream);
        }
    }

    /// Number of requests in flight at an upstream.
    pub fn in_flight(&self, upstream: &UpstreamId) -> u32 {
        self.in_flight.get(upstream).copied().unwrap_or(0)
    }

    /// Number of sends to an upstream within the last `millis` milliseconds. `millis` is a few
    /// thousand at most, since older sends may be missing.
    pub fn count(&self, upstream: &UpstreamId, millis: u64, now: Moment) -> usize {
        self.windows.get(upstream).map_or(0, |window| window.count(millis, now))
    }
}

fn note_in(windows: &mut FastMap<UpstreamId, SendWindow>, upstream: &UpstreamId, now: Moment) {
    match windows.get_mut(upstream) {
        Some(window) => window.note(now),
        None => windows.entry(upstream.clone()).or_default().note(now),
    }
}
