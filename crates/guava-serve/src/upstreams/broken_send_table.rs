//! Interrupted sends, kept until it is known whether their upstream crashed.
//!
//! An interrupted send is no proof of a crash: upstreams close connections, corrupt answers and
//! reset connections under overload, and go on running. An upstream that crashed refuses new
//! connections at its address. So the first interrupted send starts a check of the address, and
//! later ones are collected until its result is known.

use crate::request::accepted_request::AcceptedRequest;
use guava_policy::SuspectPart;
use guava_types::{FastMap, Moment, RequestDigest, UpstreamId};

/// Interrupted sends at one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InterruptedSends {
    /// When the first was interrupted.
    pub since: Moment,
    /// Digests of the requests, in the order of interruption.
    pub requests: Vec<RequestDigest>,
    /// Shared parts of their prompts, each once.
    pub parts: Vec<SuspectPart>,
}

impl InterruptedSends {
    /// No sends, as of a moment.
    pub fn none(since: Moment) -> Self {
        Self { since, requests: Vec::new(), parts: Vec::new() }
    }

    /// Adds a request.
    pub fn push(&mut self, request: &AcceptedRequest) {
        self.requests.push(request.digest());
        for part in request.shared_parts() {
            if !self.parts.iter().any(|known| known.digest == part.digest) {
                self.parts.push(part);
            }
        }
    }
}

/// Interrupted sends by upstream.
#[derive(Debug, Default)]
pub struct BrokenSendTable {
    by_upstream: FastMap<UpstreamId, InterruptedSends>,
}

impl BrokenSendTable {
    /// Notes an interrupted send; returns whether it is the first at this upstream, so that the
    /// caller must check whether the upstream crashed.
    pub fn note_interrupted(
        &mut self,
        upstream: &UpstreamId,
        request: &AcceptedRequest,
        now: Moment,
    ) -> bool {
        let none = || InterruptedSends::none(now);
        let sends = self.by_upstream.entry(upstream.clone()).or_insert_with(none);
        sends.push(request);
        sends.requests.len() == 1
    }

    /// Takes the interrupted sends at an upstream, once it is known whether it crashed.
    pub fn take(&mut self, upstream: &UpstreamId) -> Option<InterruptedSends> {
        self.by_upstream.remove(upstream)
    }
}
