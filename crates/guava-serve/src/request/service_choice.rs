//! Chooses the instance of a plain service, one without engines, for a request.
//!
//! Instances that report nothing are compared by the requests that daemons know to be in flight there.
//! Of others the report counts while it is fresh. Later it tells nothing of that instance, nor do
//! peers' counts, which are older than a request takes: all instances are then taken to have the mean
//! load, and one is drawn. Daemons that all chose the least loaded instance by old counts would
//! overload it in turns.
//!
//! A request waits in the daemon while all instances are full. How long a full instance stays so is
//! known only from the next answer, so one request of each daemon is sent after a while; under
//! overload the daemons do this in turns, as many at a time as instances have places.

use crate::upstreams::service_rings::RingPosition;
use crate::upstreams::upstream_table::{UpstreamEntry, UpstreamTable};
use crate::upstreams::work_table::WorkTable;
use guava_policy::{LoadEstimate, ReportTable, request_bound};
use guava_types::{DataCentre, MemberName, Moment, ServiceName, SoftwareVersion, UpstreamId};

/// Requests added to the count of an instance in another data centre: the round trip is longer and
/// traffic between data centres is expensive, but waiting in a queue costs more.
const REMOTE_PENALTY_REQUESTS: f64 = 0.5;
/// Fraction of the instances' places from which daemons send in turns. Below it, counts of peers' work
/// vary as much by chance.
const OVERLOAD_FRACTION: f64 = 1.25;
/// Length of a daemon's turn, in milliseconds: a request is answered within it.
const TURN_MS: u64 = 60;

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
    /// Counts the daemons.
    pub daemons: &'a dyn Fn() -> usize,
    /// Name of this daemon.
    pub local_daemon: &'a MemberName,
    /// Data centre of this daemon.
    pub data_centre: &'a DataCentre,
    /// Software version that an instance must have; `None` if any may take the request.
    pub software: Option<&'a SoftwareVersion>,
    /// Instances to which this request was already sent.
    pub tried: &'a [UpstreamId],
    /// Whether an instance may get no request now.
    pub is_closed: &'a dyn Fn(&UpstreamEntry) -> bool,
    /// The current moment.
    pub now: Moment,
    /// Random number that decides between instances.
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

/// Requests in flight at all instances that may take the request, and the most that they may have;
/// nothing if none of them reports its load.
#[derive(Default)]
struct ServiceLoad {
    own: u32,
    total: u32,
    slots: u32,
    places: u32,
}

impl ServiceLoad {
    fn new(input: &ServiceInput<'_>, open: &[&UpstreamEntry]) -> Self {
        let reports =
            |entry: &&UpstreamEntry| input.reports.reported(&entry.id, input.now).is_some();
        if !open.iter().any(reports) {
            return Self::default();
        }
        open.iter().fold(Self::default(), |sum, entry| {
            let known = input.work.known_requests(&entry.id, input.now);
            Self {
                own: sum.own + known.own,
                total: sum.total + known.total,
                slots: sum.slots + entry.slots.max(1),
                places: sum.places + request_bound(entry.slots),
            }
        })
    }

    fn mean_per_slot(&self) -> f64 {
        f64::from(self.total) / f64::from(self.slots.max(1))
    }

    fn has_peers(&self) -> bool {
        self.total > self.own
    }

    /// Whether this daemon may send a request to an instance that was full when it last reported.
    fn may_probe(&self, input: &ServiceInput<'_>) -> bool {
        if self.total < self.slots {
            // The reports are older than what has ended since.
            return true;
        }
        let places = f64::from(self.places);
        if self.own > 0 {
            return false;
        }
        if f64::from(self.total) < places * OVERLOAD_FRACTION {
            return true;
        }
        let turn = format!("{} {}", input.local_daemon, input.now.0 / TURN_MS);
        RingPosition::of(&turn).as_fraction() * ((input.daemons)() as f64) < places
    }
}

struct InstanceCost<'a> {
    upstream: &'a UpstreamId,
    estimate: Option<LoadEstimate>,
    /// Expected time of a request, as far as instances differ in it.
    cost: f64,
    /// Requests that it serves in a millisecond.
    rate: f64,
    /// Whether it is in this daemon's data centre.
    is_local: bool,
}

impl InstanceCost<'_> {
    fn is_full(&self) -> bool {
        self.estimate.is_some_and(|estimate| estimate.is_full)
    }

    fn was_full(&self) -> bool {
        self.estimate.is_some_and(|estimate| estimate.is_full || estimate.was_full)
    }
}

/// Chooses an instance that is not full, if there is one, by the fewest requests per slot, weighted by
/// the time that a request takes there; `None` if no instance may take the request.
///
/// The time is the one that is measured at usual pace, times the stated pace, times the measured
/// slowness. Answers are expected by the stated load, so the slowness covers what it leaves out.
pub fn choose_instance(input: &ServiceInput<'_>) -> Option<InstanceChoice> {
    let ServiceInput { service, upstreams, local_daemon, data_centre, now, .. } = *input;
    let entries = match input.software {
        None => upstreams.candidates(service, local_daemon, data_centre, now),
        Some(software) => upstreams.candidates_of(service, software, local_daemon, now),
    };
    let is_open =
        |entry: &&UpstreamEntry| !input.tried.contains(&entry.id) && !(input.is_closed)(entry);
    let open: Vec<&UpstreamEntry> = entries.into_iter().filter(is_open).collect();
    let load = ServiceLoad::new(input, &open);
    let mean = load.mean_per_slot();
    let mut costs: Vec<InstanceCost<'_>> =
        open.iter().map(|entry| instance_cost(input, entry, mean)).collect();
    let is_all_full = costs.iter().all(InstanceCost::is_full);
    let is_crowded =
        is_all_full || (costs.iter().all(InstanceCost::was_full) && !load.may_probe(input));
    costs.retain(|cost| is_all_full || !cost.is_full());
    let chosen = if load.has_peers() {
        cheaper_of_two(&costs, input.draw)?
    } else {
        cheapest(&costs, input.draw)?
    };
    let upstream = chosen.upstream.clone();
    Some(InstanceChoice { upstream, estimate: chosen.estimate, is_crowded })
}

fn instance_cost<'a>(
    input: &ServiceInput<'_>,
    entry: &'a UpstreamEntry,
    mean_per_slot: f64,
) -> InstanceCost<'a> {
    let upstream = &entry.id;
    let is_local = entry.data_centre == *input.data_centre;
    let remote = if is_local { 0.0 } else { REMOTE_PENALTY_REQUESTS };
    let slowness = input.work.load(upstream).slowness(input.now);
    let estimate = input.reports.reported(upstream, input.now).and_then(|reported| {
        let known = input.work.known_requests(upstream, reported);
        input.reports.estimate(upstream, entry.slots, known, mean_per_slot, input.now)
    });
    let (running, slots, service_ms) = match &estimate {
        Some(estimate) => (estimate.requests, estimate.slots, estimate.service_ms * estimate.pace),
        None => {
            let running = f64::from(input.work.total(upstream).running);
            (running, entry.slots, ReportTable::INITIAL_SERVICE_MS)
        }
    };
    let rate = f64::from(slots.max(1)) / (service_ms * slowness);
    InstanceCost { upstream, estimate, cost: (1.0 + running + remote) / rate, rate, is_local }
}

/// The instance of the lowest cost; of several the one drawn.
fn cheapest<'a, 'b>(costs: &'a [InstanceCost<'b>], draw: u64) -> Option<&'a InstanceCost<'b>> {
    let least = costs.iter().map(|cost| cost.cost).fold(f64::INFINITY, f64::min);
    let equal: Vec<&InstanceCost<'_>> = costs.iter().filter(|cost| cost.cost <= least).collect();
    let index = usize::try_from(draw % equal.len().max(1) as u64).unwrap_or(0);
    equal.get(index).copied()
}

/// The cheaper of two instances that are drawn in proportion to the requests that they serve: one of
/// this data centre, if there is any, and one of all others. While instances are idle requests thus
/// stay in their data centre.
fn cheaper_of_two<'a, 'b>(
    costs: &'a [InstanceCost<'b>],
    draw: u64,
) -> Option<&'a InstanceCost<'b>> {
    let has_local = costs.iter().any(|cost| cost.is_local);
    let first = draw_by_rate(costs.iter().filter(|cost| cost.is_local == has_local), draw)?;
    let others = costs.iter().filter(|cost| cost.upstream != first.upstream);
    let second = draw_by_rate(others, draw.rotate_left(32));
    Some(second.filter(|second| second.cost < first.cost).unwrap_or(first))
}

fn draw_by_rate<'a, 'b: 'a>(
    costs: impl Iterator<Item = &'a InstanceCost<'b>> + Clone,
    draw: u64,
) -> Option<&'a InstanceCost<'b>> {
    let total: f64 = costs.clone().map(|cost| cost.rate).sum();
    let mut left = draw as f64 / u64::MAX as f64 * total;
    let mut last = None;
    for cost in costs {
        last = Some(cost);
        left -= cost.rate;
        if left < 0.0 {
            break;
        }
    }
    last
}
