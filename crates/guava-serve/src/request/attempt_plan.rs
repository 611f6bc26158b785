//! One send as it was decided.

use crate::parts::store_links::FetchWait;
use crate::request::dialect::SendPlan;
use crate::serve_config::ServiceRule;
use crate::upstreams::work_table::ExpectedLoad;
use guava_types::Deadline;
use std::rc::Rc;

/// One send with all that was decided for it.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    /// What is sent where.
    pub send: SendPlan,
    /// Its service, whose budget pays for another try.
    pub service: Rc<ServiceRule>,
    /// What it is expected to cost.
    pub load: ExpectedLoad,
    /// What it waits for at the links of stores, if it fetches parts.
    pub wait: Option<FetchWait>,
    /// Whether it is a long prompt, which shows how full engines are.
    pub is_long: bool,
    /// When another upstream is tried, if one may be.
    pub answer_timeout: Option<Deadline>,
    /// When nobody waits any more.
    pub deadline: Deadline,
}
