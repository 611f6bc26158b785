//! Which daemons are core daemons.
//!
//! The core daemons of a data centre are those that registered in the platform's store first: fewer
//! where each daemon uses a subset of the upstreams. They exchange messages with each other and share
//! tasks; all others are attached to a few of them. So the messages that a daemon sends and receives
//! don't grow with the deployment beyond the size of the core, and neither does the number of records.
//! All daemons that read the same records agree on the core.

use crate::members::member_descriptor::MemberDescriptor;
use guava_types::{CoreShare, DataCentre, FastMap, RequestRate};
use std::time::Duration;

/// Most core daemons of a data centre where all daemons use the same upstreams: each is to know the
/// loads of the others, and their number bounds what each sends and receives.
pub const MAX_LOCAL_CORE: usize = 64;
/// The same where each daemon uses a subset of the upstreams, and the loads of most others don't
/// concern it.
pub const SPARSE_LOCAL_CORE: usize = 24;

/// Time over which the first registrations are spread when all daemons start for the first time, in
/// milliseconds for each write that the store takes in a second. The store is made for the size of the
/// deployment; it appends the records one after the other, and refuses them when too many wait.
const REGISTRATION_SPREAD_MS: f64 = 1.0;

/// Part of that time by which daemons of strong VMs are ahead of those of weak ones.
const STRONG_LEAD: f64 = 0.3;

/// A daemon's record, with its place in the order of registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoreRecord {
    /// The registered daemon.
    pub member: MemberDescriptor,
    /// Offset of its record in the store's log.
    pub registered: u64,
}

/// The core daemons among the registered ones: of each data centre the first `limit`.
/// Records of daemons that are lost for good don't count.
///
/// Also returns whether the daemon whose record is `own` is one of them; `None` if it has no record
/// and its data centre has places left, so that it is to register.
pub fn core_records(
    mut records: Vec<CoreRecord>,
    own: Option<u64>,
    local: &DataCentre,
    limit: usize,
    is_lost: impl Fn(&CoreRecord) -> bool,
) -> (Vec<CoreRecord>, Option<bool>) {
    records.retain(|record| !is_lost(record));
    records.sort_unstable_by_key(|record| record.registered);
    let is_before = |record: &&CoreRecord| {
        record.member.data_centre == *local && own.is_none_or(|own| record.registered < own)
    };
    let has_place = records.iter().filter(is_before).count() < limit;
    let own_places = usize::from(own.is_some() && has_place);
    let mut counts = FastMap::from_iter([(local.clone(), own_places)]);
    records.retain(|record| {
        let count = counts.entry(record.member.data_centre.clone()).or_default();
        *count += 1;
        *count <= limit
    });
    let is_core = (own.is_some() || !has_place).then_some(has_place);
    (records, is_core)
}

/// How long a daemon waits before it registers when all start for the first time. Daemons of strong
/// VMs register first and so become core daemons. `writes` is what the store takes, and `draw` in 0..1
/// spreads daemons of equal VMs.
pub fn registration_pause(capacity: CoreShare, writes: RequestRate, draw: f64) -> Duration {
    let weakness = 1.0 - (capacity.0 as f64 / 1_000.0).min(1.0);
    let spread_ms = REGISTRATION_SPREAD_MS * writes.0 as f64;
    let place = STRONG_LEAD * weakness + (1.0 - STRONG_LEAD) * draw;
    Duration::from_millis((spread_ms * place) as u64)
}
