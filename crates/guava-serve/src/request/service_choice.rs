//! Chooses the instance of a plain service, one without engines, for a request.

use crate::upstreams::upstream_table::{UpstreamEntry, UpstreamTable};
use crate::upstreams::work_table::WorkTable;
use guava_types::{DataCentre, MemberName, Moment, ServiceName, UpstreamId};

/// Requests added to the count of an instance in another data centre: the round trip is longer and
/// traffic between data centres is expensive, but waiting in a queue costs more.
const REMOTE_PENALTY_REQUESTS: f64 = 0.5;

/// Inputs of one choice of an instance.
pub struct ServiceInput<'a> {
    /// Service whose instances are candidates.
    pub service: &'a ServiceName,
    /// Known upstreams, including those of other services.
    pub upstreams: &'a UpstreamTable,
    /// Requests in flight at the upstreams, of this daemon and its peers.
    pub work: &'a WorkTable,
    /// Name of this daemon.
    pub local_daemon: &'a MemberName,
    /// Data centre of this daemon.
    pub data_centre: &'a DataCentre,
    /// Instances to which this request was already sent.
    pub tried: &'a [UpstreamId],
    /// Whether an instance may get no request now.
    pub is_closed: &'a dyn Fn(&UpstreamEntry) -> bool,
    /// The current moment.
    pub now: Moment,
    /// Random number that decides between instances of equal cost.
    pub draw: u64,
}

/// Chooses the instance with the fewest requests per slot, weighted by its slowness; `None` if no
/// instance may take the request.
pub fn choose_instance(input: &ServiceInput<'_>) -> Option<UpstreamId> {
    let mut costs: Vec<(f64, &UpstreamId)> = Vec::new();
    let ServiceInput { service, upstreams, local_daemon, data_centre, now, .. } = *input;
    for entry in upstreams.candidates(service, local_daemon, data_centre, now) {
        if input.tried.contains(&entry.id) || (input.is_closed)(entry) {
            continue;
        }
        let remote =
            if entry.data_centre == *input.data_centre { 0.0 } else { REMOTE_PENALTY_REQUESTS };
        let running = f64::from(input.work.total(&entry.id).running);
        let slots = f64::from(entry.slots.max(1));
        let slowness = input.work.load(&entry.id).slowness(input.now);
        costs.push(((1.0 + running + remote) * slowness / slots, &entry.id));
    }
    let min_cost = costs.iter().map(|(cost, _)| *cost).fold(f64::INFINITY, f64::min);
    costs.retain(|(cost, _)| *cost <= min_cost);
    let index = usize::try_from(input.draw % costs.len().max(1) as u64).unwrap_or(0);
    costs.get(index).map(|(_, id)| (*id).clone())
}
