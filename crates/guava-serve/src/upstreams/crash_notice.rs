//! What daemons tell each other of an upstream that ended.

use guava_types::{Moment, RequestDigest, UpstreamId};

/// An upstream's end, as daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashNotice {
    /// Which start of which upstream.
    pub upstream: UpstreamId,
    /// When it ended; as an age between daemons.
    pub at: Moment,
    /// The speaker's requests that broke off with it.
    pub requests: Vec<RequestDigest>,
}
