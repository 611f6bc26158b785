//! The notice of an upstream's crash that daemons exchange.

use guava_policy::SuspectPart;
use guava_types::{Moment, RequestDigest, UpstreamId};

/// A crash of an upstream, with the sender's requests that were in flight there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashNotice {
    /// Id of the start that crashed.
    pub upstream: UpstreamId,
    /// When it crashed; messages carry it as an age.
    pub at: Moment,
    /// Digests of the sender's requests that the crash interrupted.
    pub requests: Vec<RequestDigest>,
    /// Shared parts of their prompts.
    pub parts: Vec<SuspectPart>,
}
