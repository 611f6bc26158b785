//! Finds out which upstreams may go on with a stream that its caller takes up.
//!
//! The daemon that began the stream, or one that it told, knows where. If none does, or the caller does
//! not name the attempt that began it, the stream can go on only if all upstreams that can have begun
//! it have one software version. What its caller has left of its time tells nothing of when it began,
//! as callers may give each attempt its full time.

use crate::events;
use crate::members::origin_search::{OriginSearch, find_origin};
use crate::request::accepted_request::AcceptedRequest;
use crate::request::freshness_wait::await_list_since;
use crate::request::refusal_reason::RefusalReason;
use crate::request::stream_scope::StreamScope;
use crate::serve_context::ServeContext;
use crate::upstreams::software_census::LONGEST_TAKE_UP_MS;
use guava_log::log_event;
use guava_policy::StreamOrigin;
use guava_types::{Moment, SoftwareVersion};

/// The upstreams that may go on with the stream that the request takes up.
pub async fn find_scope(context: &ServeContext, request: &AcceptedRequest) -> StreamScope {
    let asked = Moment::now();
    let search = match &request.resumes {
        Some(attempt) => {
            let stream = request.stream_key(attempt);
            Some(find_origin(context, stream, request.deadline).await)
        }
        None => None,
    };
    let mut source = search.as_ref().map_or("unnamed", OriginSearch::name);
    let scope = match search {
        Some(OriginSearch::Here(origin) | OriginSearch::Peer(origin)) => {
            StreamScope::of_origin(origin, &request.route)
        }
        // A daemon that hears no peer may not know the upstreams either.
        Some(OriginSearch::Unanswered) => StreamScope::Nowhere(RefusalReason::StreamUnconfirmed),
        Some(OriginSearch::Unknown) | None => match only_origin(context, request).await {
            Some(origin) => {
                source = "only-version";
                StreamScope::Only(origin)
            }
            None => StreamScope::Nowhere(unknown_reason(context, request)),
        },
    };
    context.metrics.count_resumption(source);
    let now = Moment::now();
    let (followed_since, records_read) = {
        let upstreams = context.upstreams.borrow();
        (upstreams.census().followed_since(), upstreams.census().records_read())
    };
    log_event!(
        info,
        events::TAKEN_UP,
        request = request.id,
        resumes = request.resumes.as_deref().unwrap_or_default(),
        after = request.resume_after.as_deref().unwrap_or("the beginning"),
        source = source,
        software = scope.software().map_or("unknown", SoftwareVersion::as_str),
        asked_ms = now.millis_since(asked),
        looked_back_ms = LONGEST_TAKE_UP_MS,
        followed_ms = age_text(followed_since, now),
        records_ms = age_text(records_read, now),
        versions = version_list(context, request, now),
        left_ms = request.deadline.millis_left(now)
    );
    scope
}

/// Why a stream of unknown origin is refused: what the records tell is known soon, and another daemon
/// may be in touch where this one isn't.
fn unknown_reason(context: &ServeContext, request: &AcceptedRequest) -> RefusalReason {
    let awaits_records = context.upstreams.borrow().census().awaits_records();
    let is_unconfirmed = request.resumes.is_none() && known_origin(context, request).is_some();
    if awaits_records || is_unconfirmed {
        RefusalReason::StreamUnconfirmed
    } else {
        RefusalReason::StreamUnknown
    }
}

/// Milliseconds since a moment, as a log value.
fn age_text(since: Option<Moment>, now: Moment) -> Box<str> {
    since.map_or("unknown".into(), |since| now.millis_since(since).to_string().into())
}

/// Software versions that can have begun the stream, as a log value.
fn version_list(context: &ServeContext, request: &AcceptedRequest, now: Moment) -> String {
    let [(service, _)] = &request.route.services[..] else { return String::new() };
    let upstreams = context.upstreams.borrow();
    let names = upstreams.census().present(service, now);
    let names = names.map(|software| software.map_or("unknown", SoftwareVersion::as_str));
    names.collect::<Vec<_>>().join(" ")
}

/// Where a stream began if all upstreams that can have begun it have one version.
async fn only_origin(context: &ServeContext, request: &AcceptedRequest) -> Option<StreamOrigin> {
    known_origin(context, request)?;
    // An upstream that began the stream was listed before the request arrived.
    let is_confirmed = await_list_since(context, request.arrived, request.deadline).await;
    let may_go_on = is_confirmed || (request.resumes.is_none() && knows_what_others_know(context));
    known_origin(context, request).filter(|_| may_go_on)
}

/// Whether no other daemon is known to have read a list that this one doesn't have, and all are heard.
///
/// Callers that name no attempt have no other way to go on while nobody reads the list. But then a daemon
/// that is cut off, or has just stood still, must not take what it lists for all there is: others may
/// have begun streams at upstreams that it has not heard of.
fn knows_what_others_know(context: &ServeContext) -> bool {
    let reads = context.reads.borrow();
    let has_latest = reads.list.freshest() <= reads.list.confirmed();
    has_latest && context.members.borrow().hears_all(Moment::now())
}

/// The same by the list as it is known now.
fn known_origin(context: &ServeContext, request: &AcceptedRequest) -> Option<StreamOrigin> {
    let [(service, _)] = &request.route.services[..] else { return None };
    let upstreams = context.upstreams.borrow();
    let software = upstreams.census().only_version(service, Moment::now())?.clone();
    Some(StreamOrigin { service: service.clone(), software })
}
