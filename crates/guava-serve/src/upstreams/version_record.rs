//! Records of the software versions at which streams may have begun.
//!
//! They survive the loss of all daemons: a daemon that has just started knows from them which versions
//! had upstreams before it listed any.

use guava_types::{ServiceName, SoftwareVersion};

/// A software version of a service's upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionRecord {
    /// The service.
    pub service: ServiceName,
    /// The version; `None` for upstreams that don't state theirs.
    pub software: Option<SoftwareVersion>,
}

/// All records in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionLog {
    /// Records that could be read, in no particular order.
    pub records: Vec<VersionRecord>,
    /// Number of records that could not be read: any service may have further versions.
    pub unreadable: usize,
    /// Where the log ended before it was read.
    pub end: u64,
}
