//! Chooses the instance of a plain service, one without engines, for a request.

use crate::upstreams::upstream_table::{UpstreamEntry, UpstreamTable};
use crate::upstreams::work_table::WorkTable;
use guava_policy::{LoadEstimate, ReportTable};
use guava_types::{DataCentre, MemberName, Moment, ServiceName, UpstreamId};

/// Requests added to the count of an instance in another data centre: the round trip is longer and
/// traffic between data centres is expensive, but waiting in a queue costs more.
const REMOTE_PENALTY_REQUESTS: f64 = 0.5;
/// Instances that report their load, and whose cost exceeds the lowest by no more than this fraction,
/// count as equal to the best: daemons that have the same reports would all choose one instance.
const NEAR_BEST_FRACTION: f64 = 0.25;

/// Inputs of one choice of an instance.
pub struct ServiceInput<'a> {
    /// Service whose instances are candidates.
    pub service: &'a ServiceName,
    /// Known upstreams, including those of other services.
    pub upstreams: &'a UpstreamTable,
    /// Requests in flight at the upstreams, of this daemon and its peers.
    pub work: &'a WorkTable,
    /// Load that the upstreams report.
    pub reports: &'a ReportTable,
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

/// The chosen instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceChoice {
    /// The instance.
    pub upstream: UpstreamId,
    /// Its load; `None` if it reports none.
    pub estimate: Option<LoadEstimate>,
    /// Whether all instances that may take the request have as many as they may get.
    pub is_crowded: bool,
}

struct InstanceCost<'a> {
    upstream: &'a UpstreamId,
    estimate: Option<LoadEstimate>,
    cost: f64,
}

impl InstanceCost<'_> {
    fn is_full(&self) -> bool {
        self.estimate.is_some_and(|estimate| estimate.is_full)
    }
}

/// Chooses an instance that is not full, if there is one, by the fewest requests per slot, weighted by
/// the time that a request takes there; `None` if no instance may take the request.
///
/// The time is the one that is measured at usual pace, times the stated pace, times the measured
/// slowness. Answers are expected by the stated load, so the slowness covers what it leaves out.
pub fn choose_instance(input: &ServiceInput<'_>) -> Option<InstanceChoice> {
    let ServiceInput { service, upstreams, local_daemon, data_centre, now, .. } = *input;
    let entries = upstreams.candidates(service, local_daemon, data_centre, now);
    let is_open =
        |entry: &&UpstreamEntry| !input.tried.contains(&entry.id) && !(input.is_closed)(entry);
    let open: Vec<&UpstreamEntry> = entries.into_iter().filter(is_open).collect();
    let mut costs: Vec<InstanceCost<'_>> =
        open.iter().map(|entry| instance_cost(input, entry)).collect();
    let is_crowded = costs.iter().all(InstanceCost::is_full);
    costs.retain(|cost| is_crowded || !cost.is_full());
    let is_reported = costs.iter().any(|cost| cost.estimate.is_some());
    let near_best = if is_reported { 1.0 + NEAR_BEST_FRACTION } else { 1.0 };
    let least = costs.iter().map(|cost| cost.cost).fold(f64::INFINITY, f64::min);
    costs.retain(|cost| cost.cost <= least * near_best);
    let index = usize::try_from(input.draw % costs.len().max(1) as u64).unwrap_or(0);
    let InstanceCost { upstream, estimate, .. } = costs.get(index)?;
    Some(InstanceChoice { upstream: (*upstream).clone(), estimate: *estimate, is_crowded })
}

fn instance_cost<'a>(input: &ServiceInput<'_>, entry: &'a UpstreamEntry) -> InstanceCost<'a> {
    let upstream = &entry.id;
    let remote =
        if entry.data_centre == *input.data_centre { 0.0 } else { REMOTE_PENALTY_REQUESTS };
    let slowness = input.work.load(upstream).slowness(input.now);
    let estimate = input.reports.reported(upstream, input.now).and_then(|reported| {
        let known = input.work.known_requests(upstream, reported);
        input.reports.estimate(upstream, entry.slots, known, input.now)
    });
    let (running, slots, service_ms) = match &estimate {
        Some(estimate) => (estimate.requests, estimate.slots, estimate.service_ms * estimate.pace),
        None => {
            let running = f64::from(input.work.total(upstream).running);
            (running, entry.slots, ReportTable::INITIAL_SERVICE_MS)
        }
    };
    let requests_per_slot = (1.0 + running + remote) / f64::from(slots.max(1));
    InstanceCost { upstream, estimate, cost: requests_per_slot * service_ms * slowness }
}
