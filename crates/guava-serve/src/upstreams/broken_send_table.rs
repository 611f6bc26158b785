//! Sends that broke off, until it is known whether their upstream ended.
//!
//! A connection that breaks off says little: upstreams cut connections, spoil answers and reset what
//! is too much for them, and go on. One that has ended refuses new connections at its address. So
//! the first send that breaks off has somebody look; those that break off meanwhile wait for what is
//! found.

use guava_types::{FastMap, Moment, RequestDigest, UpstreamId};

/// Requests whose sends broke off at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenSends {
    /// When the first did.
    pub since: Moment,
    /// Which.
    pub requests: Vec<RequestDigest>,
}

/// Requests whose sends broke off, by upstream.
#[derive(Debug, Default)]
pub struct BrokenSendTable {
    broken: FastMap<UpstreamId, BrokenSends>,
}

impl BrokenSendTable {
    /// Notes a send that broke off after the upstream may have begun to run the request; whether it
    /// is the first there, and somebody must look whether the upstream has ended.
    pub fn note_interrupted(
        &mut self,
        upstream: &UpstreamId,
        request: RequestDigest,
        now: Moment,
    ) -> bool {
        let nothing = || BrokenSends { since: now, requests: Vec::new() };
        let sends = self.broken.entry(upstream.clone()).or_insert_with(nothing);
        sends.requests.push(request);
        sends.requests.len() == 1
    }

    /// Takes what broke off at an upstream, once it is known whether it has ended.
    pub fn take(&mut self, upstream: &UpstreamId) -> Option<BrokenSends> {
        self.broken.remove(upstream)
    }
}
