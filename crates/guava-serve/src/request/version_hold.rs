//! Holds requests that would begin a stream at a software version without a record.
//!
//! A version's record is what tells daemons that have just started that its streams may be taken up.
//! While a new version has none, streams begin at upstreams of other versions, or wait for a moment if
//! there are no others.

use crate::request::accepted_request::AcceptedRequest;
use crate::serve_context::ServeContext;
use guava_types::{Moment, ServiceName, SoftwareVersion};
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two checks for a record, in milliseconds.
const POLL_INTERVAL_MS: u64 = 10;

/// Versions at which the request must begin no stream now; `None` for those that are not stated.
pub fn held_versions(
    context: &ServeContext,
    request: &AcceptedRequest,
    service: &ServiceName,
    now: Moment,
) -> Vec<Option<SoftwareVersion>> {
    if request.begins_stream() {
        context.upstreams.borrow().census().held(service, now)
    } else {
        Vec::new()
    }
}

/// Waits while all upstreams of the service have versions without a record, until the request's
/// deadline.
pub async fn await_recorded(
    context: &ServeContext,
    request: &AcceptedRequest,
    service: &ServiceName,
) {
    while is_all_held(context, request, service) && !request.deadline.passed(Moment::now()) {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

fn is_all_held(context: &ServeContext, request: &AcceptedRequest, service: &ServiceName) -> bool {
    let now = Moment::now();
    let held = held_versions(context, request, service, now);
    let upstreams = context.upstreams.borrow();
    !held.is_empty() && upstreams.serving(service, now).all(|it| held.contains(&it.software))
}
