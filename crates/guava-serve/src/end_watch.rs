//! Upstreams that ended under requests, told from those that only cut a connection.
//!
//! A connection that breaks off says little: upstreams cut connections, spoil answers and reset what
//! is too much for them, and go on. One that has ended refuses new connections at its address. So
//! the first send that breaks off has somebody look; those that break off meanwhile wait for what is
//! found.

use guava_types::{Deadline, FastMap, Moment, RequestDigest, UpstreamId};

/// For how long an upstream counts as ended, in milliseconds: its entry lapses after three of its
/// heartbeats, and is read within a second of that. One that was taken for ended by mistake is used
/// again after that time.
pub const ENDED_MS: u64 = 4_500;

/// What to do about a send that broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakStep {
    /// Look whether somebody listens at the upstream's address.
    Look,
    /// Somebody looks.
    Wait,
    /// The upstream has ended, as is known already.
    Ended,
}

/// Sends that broke off, and upstreams that have ended.
#[derive(Debug, Default)]
pub struct EndWatch {
    broken: FastMap<UpstreamId, Vec<RequestDigest>>,
    ended: FastMap<UpstreamId, Deadline>,
}

impl EndWatch {
    /// Notes a send that broke off after the upstream may have begun to run the request.
    pub fn note_break(
        &mut self,
        upstream: &UpstreamId,
        request: RequestDigest,
        now: Moment,
    ) -> BreakStep {
        if self.has_ended(upstream, now) {
            return BreakStep::Ended;
        }
        let waiting = self.broken.entry(upstream.clone()).or_default();
        waiting.push(request);
        if waiting.len() == 1 { BreakStep::Look } else { BreakStep::Wait }
    }

    /// Notes that an upstream has ended; the requests that broke off there and waited for that, and
    /// whether it is news.
    pub fn note_ended(&mut self, upstream: &UpstreamId, now: Moment) -> (Vec<RequestDigest>, bool) {
        let is_news = !self.has_ended(upstream, now);
        self.ended.insert(upstream.clone(), Deadline::after(now, ENDED_MS));
        (self.broken.remove(upstream).unwrap_or_default(), is_news)
    }

    /// Notes that an upstream lives, or that it can't be told: what broke off there is nobody's fault.
    pub fn note_living(&mut self, upstream: &UpstreamId) {
        self.broken.remove(upstream);
    }

    /// Whether an upstream is known to have ended.
    pub fn has_ended(&self, upstream: &UpstreamId, now: Moment) -> bool {
        self.ended.get(upstream).is_some_and(|until| !until.passed(now))
    }

    /// Forgets what is over.
    pub fn sweep(&mut self, now: Moment) {
        self.ended.retain(|_, until| !until.passed(now));
    }
}
