//! What this daemon has lately sent to each upstream.

use crate::send_share::{SendShare, SendWindow};
use guava_types::{Deadline, FastMap, Moment, UpstreamId};

/// Pause between two looks for upstreams to which nothing was sent for long, in milliseconds.
const SWEEP_MS: u64 = 10_000;

/// This daemon's sends.
#[derive(Debug)]
pub struct SendLedger {
    windows: FastMap<UpstreamId, SendWindow>,
    started: Moment,
    swept: Moment,
}

impl SendLedger {
    /// Nothing sent yet, by a daemon that started at some moment.
    pub fn new(started: Moment) -> Self {
        Self { windows: FastMap::default(), started, swept: started }
    }

    /// Whether one more may be sent to an upstream under this daemon's share.
    pub fn has_capacity(&self, upstream: &UpstreamId, share: SendShare, now: Moment) -> bool {
        self.opens(upstream, share, now) == Some(now)
    }

    /// When one more may be sent under a share: now, or later; never without a share.
    ///
    /// The process before this one on its VM may have used its share, so the first span is waited for.
    pub fn opens(&self, upstream: &UpstreamId, share: SendShare, now: Moment) -> Option<Moment> {
        let Deadline(settled) = Deadline::after(self.started, share.span_ms);
        let opens = match self.windows.get(upstream) {
            Some(window) => window.opens(share, now),
            None => (share.requests > 0).then_some(now),
        };
        opens.map(|opens| opens.max(settled))
    }

    /// Notes a send.
    pub fn note(&mut self, upstream: &UpstreamId, now: Moment) {
        if Deadline::after(self.swept, SWEEP_MS).passed(now) {
            self.swept = now;
            self.windows.retain(|_, window| !window.is_over(now));
        }
        match self.windows.get_mut(upstream) {
            Some(window) => window.note(now),
            None => self.windows.entry(upstream.clone()).or_default().note(now),
        }
    }

    /// Sends to an upstream within the last milliseconds, a few thousand at most.
    pub fn count(&self, upstream: &UpstreamId, millis: u64, now: Moment) -> usize {
        self.windows.get(upstream).map_or(0, |window| window.count(millis, now))
    }
}
