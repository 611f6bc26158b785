//! What is known of upstreams that ended under requests.

use guava_policy::CrashLedger;
use guava_types::{Deadline, FastMap, FastSet, Moment, RequestDigest, UpstreamId};
use std::sync::Mutex;

/// A request that broke off at an upstream.
#[derive(Clone, Debug)]
pub struct BrokenSend {
    /// Which.
    pub request: RequestDigest,
    /// The upstream's instance then, as last reported.
    pub instance: Box<str>,
    /// When it broke off.
    pub at: Moment,
    /// Until when a sign is waited for.
    pub until: Deadline,
}

/// What is known of ends.
#[derive(Debug, Default)]
pub struct CrashTable {
    /// Who has ended what.
    pub ledger: Mutex<CrashLedger>,
    /// Sends that broke off, by upstream, until it is known whether it ended.
    pub broken: Mutex<FastMap<UpstreamId, Vec<BrokenSend>>>,
    /// Stopped requests of the shared state that were taken in.
    pub taken: Mutex<FastSet<(RequestDigest, u32)>>,
}
