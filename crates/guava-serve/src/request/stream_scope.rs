//! Which upstreams may take a request that goes on with a stream.
//!
//! What two software versions write does not fit together. Once an event has reached the caller, the
//! rest of its stream comes from upstreams of the version that began it, or not at all.

use crate::request::refusal_reason::RefusalReason;
use crate::serve_config::RouteRule;
use crate::upstreams::upstream_table::UpstreamTable;
use guava_policy::StreamOrigin;
use guava_types::{Moment, SoftwareVersion};

/// Upstreams that may take a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum StreamScope {
    /// Any of its route's: its caller has no event yet.
    #[default]
    Any,
    /// Those of the service and software version that began its stream.
    Only(StreamOrigin),
    /// None, for this reason.
    Nowhere(RefusalReason),
}

impl StreamScope {
    /// The scope of a stream that began there, on a route that may have been changed since.
    pub fn of_origin(origin: StreamOrigin, route: &RouteRule) -> Self {
        if route.services.iter().any(|(service, _)| *service == origin.service) {
            Self::Only(origin)
        } else {
            Self::Nowhere(RefusalReason::VersionGone)
        }
    }

    /// The software version that an upstream must have; `None` if any may take the request.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Only(origin) => Some(&origin.software),
            Self::Any | Self::Nowhere(_) => None,
        }
    }

    /// Whether no upstream serves at the only version that may take the request.
    pub fn is_version_gone(&self, upstreams: &UpstreamTable, now: Moment) -> bool {
        let Self::Only(StreamOrigin { service, software }) = self else { return false };
        !upstreams.serving(service, now).any(|entry| entry.software.as_ref() == Some(software))
    }
}
