//! The plan of one attempt.

use crate::parts::store_links::FetchWait;
use crate::request::dialect::SendPlan;
use crate::serve_config::ServiceRule;
use crate::upstreams::work_table::ExpectedLoad;
use guava_policy::LoadObservation;
use guava_types::{Deadline, SoftwareVersion};
use std::rc::Rc;

/// Everything that was decided for one attempt.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    /// The upstream, and what it is told besides the request.
    pub send: SendPlan,
    /// The service, from whose retry budget a further attempt is taken.
    pub service: Rc<ServiceRule>,
    /// Version of the upstream's software; `None` if it is not known.
    pub software: Option<SoftwareVersion>,
    /// Load that the attempt is expected to cause at the upstream.
    pub load: ExpectedLoad,
    /// Transfers from stores that the attempt waits for, if the engine fetches prompt parts.
    pub wait: Option<FetchWait>,
    /// Whether the prompt is long. Its time to the first token then adjusts the memory budget.
    pub is_long: bool,
    /// Whether the engine may hold parts of the prompt that it is not known to hold: its time to the
    /// first token then does not measure its speed.
    pub is_guess: bool,
    /// Load that the upstream reported, if it was chosen by that.
    pub report: Option<LoadObservation>,
    /// Factor by which work takes longer at the upstream than usual, by that report.
    pub pace: f64,
    /// When another upstream is tried, if a retry is permitted.
    pub answer_timeout: Option<Deadline>,
    /// When the request times out.
    pub deadline: Deadline,
}
