//! Where a stream began.

use guava_types::{ServiceName, SoftwareVersion};

/// Where a stream began: which upstreams its next events may come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of the upstream's software.
    pub software: SoftwareVersion,
}
