//! What this daemon has lately sent to cold upstreams.

use guava_policy::SendWindow;
use guava_types::{Deadline, FastMap, Moment, UpstreamId};

/// How long a daemon that has just started sends nothing to cold upstreams, in milliseconds: the
/// process before it on its VM may have used its share of this second.
const FIRST_MS: u64 = 1_100;

/// This daemon's sends to cold upstreams.
#[derive(Debug)]
pub struct ColdSends {
    windows: FastMap<UpstreamId, SendWindow>,
    started: Moment,
}

impl ColdSends {
    /// Nothing sent yet, by a daemon that started at some moment.
    pub fn new(started: Moment) -> Self {
        Self { windows: FastMap::default(), started }
    }

    /// Whether one more may be sent to an upstream under this daemon's share.
    pub fn has_room(&self, upstream: &UpstreamId, share: u32, now: Moment) -> bool {
        let is_settled = Deadline::after(self.started, FIRST_MS).passed(now);
        let window = self.windows.get(upstream);
        let has_room = window.map_or(share > 0, |window| window.has_room(share, now));
        is_settled && has_room
    }

    /// Notes a send.
    pub fn note(&mut self, upstream: &UpstreamId, now: Moment) {
        self.windows.retain(|_, window| !window.is_over(now));
        self.windows.entry(upstream.clone()).or_default().note(now);
    }
}
