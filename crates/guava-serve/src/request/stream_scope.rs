//! Which upstreams may take a request that goes on with a stream.
//!
//! What two software versions write does not fit together. Once an event has reached the caller, the
//! rest of its stream comes from upstreams of the version that began it, or not at all.

use guava_policy::StreamOrigin;
use guava_types::SoftwareVersion;

/// Upstreams that may take a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum StreamScope {
    /// Any of its route's: its caller has no event yet.
    #[default]
    Any,
    /// Those of the service and software version that began its stream.
    Only(StreamOrigin),
    /// None: it is not known which version began its stream.
    Nowhere,
}

impl StreamScope {
    /// The software version that an upstream must have; `None` if any may take the request.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Only(origin) => Some(&origin.software),
            Self::Any | Self::Nowhere => None,
        }
    }
}
