//! Which instance of a plain service gets a request.

use crate::upstreams::upstream_table::UpstreamTable;
use crate::upstreams::work_table::WorkTable;
use guava_types::{DataCentre, Moment, ServiceName, UpstreamId};

/// Work of an instance in another data centre counts as so much more, in requests: the round trip
/// is longer and traffic between data centres is dear, but a queue is worse.
const REMOTE_WORK: f64 = 0.5;

/// What a choice is made on.
pub struct ServiceInput<'a> {
    /// Which service.
    pub service: &'a ServiceName,
    /// The upstreams.
    pub upstreams: &'a UpstreamTable,
    /// Their work.
    pub work: &'a WorkTable,
    /// Where this daemon stands.
    pub data_centre: &'a DataCentre,
    /// Instances that were tried for this request.
    pub tried: &'a [UpstreamId],
    /// Upstreams that may get nothing at present.
    pub closed: &'a [UpstreamId],
    /// The current moment.
    pub now: Moment,
    /// A random number that spreads equal choices.
    pub draw: u64,
}

/// Chooses an instance: the least work for its slots, times how slow it has been.
pub fn choose_instance(input: &ServiceInput<'_>) -> Option<UpstreamId> {
    let mut costs: Vec<(f64, &UpstreamId)> = Vec::new();
    for entry in input.upstreams.serving(input.service, input.now) {
        if input.tried.contains(&entry.id) || input.closed.contains(&entry.id) {
            continue;
        }
        let remote = if entry.data_centre == *input.data_centre { 0.0 } else { REMOTE_WORK };
        let running = f64::from(input.work.total(&entry.id).running);
        let slots = f64::from(entry.slots.max(1));
        let slowness = input.work.load(&entry.id).slowness(input.now);
        costs.push(((1.0 + running + remote) * slowness / slots, &entry.id));
    }
    let least = costs.iter().map(|(cost, _)| *cost).fold(f64::INFINITY, f64::min);
    costs.retain(|(cost, _)| *cost <= least);
    let index = usize::try_from(input.draw % costs.len().max(1) as u64).unwrap_or(0);
    costs.get(index).map(|(_, id)| (*id).clone())
}
