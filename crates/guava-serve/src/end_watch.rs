//! Sends that broke off, until it is known whether their upstream ended.
//!
//! A connection that breaks off says little: upstreams cut connections, spoil answers and reset what
//! is too much for them, and go on. One that has ended refuses new connections at its address. So
//! the first send that breaks off has somebody look; those that break off meanwhile wait for what is
//! found.

use guava_types::{FastMap, RequestDigest, UpstreamId};

/// Requests whose sends broke off, by upstream.
#[derive(Debug, Default)]
pub struct EndWatch {
    broken: FastMap<UpstreamId, Vec<RequestDigest>>,
}

impl EndWatch {
    /// Notes a send that broke off after the upstream may have begun to run the request; whether it
    /// is the first there, and somebody must look whether the upstream has ended.
    pub fn note_break(&mut self, upstream: &UpstreamId, request: RequestDigest) -> bool {
        let waiting = self.broken.entry(upstream.clone()).or_default();
        waiting.push(request);
        waiting.len() == 1
    }

    /// Takes the requests that broke off at an upstream, once it is known whether it has ended.
    pub fn take(&mut self, upstream: &UpstreamId) -> Vec<RequestDigest> {
        self.broken.remove(upstream).unwrap_or_default()
    }
}
