//! Holds requests that would begin a stream at a software version without a record.
//!
//! A version's record is what tells daemons that have just started that its streams may be taken up.
//! While a new version has none, streams begin at upstreams of other versions, or wait for a moment if
//! there are no others.

use crate::request::accepted_request::AcceptedRequest;
use crate::request::stream_scope::StreamScope;
use crate::serve_context::ServeContext;
use guava_types::{Moment, ServiceName, SoftwareVersion};
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two checks for a record, in milliseconds.
const POLL_INTERVAL_MS: u64 = 10;

/// Versions at which the request must begin no stream now; `None` for those that are not stated. A
/// stream that has begun, within its answer too, goes on without regard to records.
pub fn held_versions(
    context: &ServeContext,
    request: &AcceptedRequest,
    scope: &StreamScope,
    service: &ServiceName,
    now: Moment,
) -> Vec<Option<SoftwareVersion>> {
    if request.begins_stream() && *scope == StreamScope::Any {
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
    scope: &StreamScope,
    service: &ServiceName,
) {
    while is_all_held(context, request, scope, service) && !request.deadline.passed(Moment::now()) {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Whether upstreams serve, and all of them have versions without a record.
fn is_all_held(
    context: &ServeContext,
    request: &AcceptedRequest,
    scope: &StreamScope,
    service: &ServiceName,
) -> bool {
    let now = Moment::now();
    let held = held_versions(context, request, scope, service, now);
    let upstreams = context.upstreams.borrow();
    let mut serving = upstreams.serving(service, now).peekable();
    !held.is_empty() && serving.peek().is_some() && serving.all(|it| held.contains(&it.software))
}
