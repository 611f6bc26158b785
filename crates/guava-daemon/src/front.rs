//! The callers' side: addresses, completions, plain services, keys, over HTTP/1.1 and HTTP/2.

use crate::address::{get_address, post_address};
use crate::caller_request::{
    SharedContext, bad_request, caller_info, drain_body, finish, header, new_request_id,
    parse_attempt, read_body, with_request,
};
use crate::completion::{
    CallerInfo, CompletionRequest, RunHolds, StartedRun, check_readiness, collect_run, note_import,
    start_completion,
};
use crate::context::DaemonContext;
use crate::daemon_phase::DaemonPhase;
use crate::event_stream::{StreamOwner, stream_response, usage_json};
use crate::events;
use crate::outcome::{CallOutcome, OUTCOME_HEADER, Refusal, RefusalKind};
use crate::run_feed::{FeedStep, RunFeed};
use crate::service_front::call_service;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, Method, Response, StatusCode};
use axum::response::IntoResponse;
use axum::routing::{any, get, post};
use axum::{Json, Router};
use guava_log::log_event;
use guava_outside::EngineClient;
use guava_types::{CallerKey, Moment, PinnedKey, RequestDigest};
use std::sync::Arc;

/// Path of completions.
const COMPLETIONS_PATH: &str = "/v1/completions";
async fn complete(State(context): SharedContext, incoming: Request) -> Response<Body> {
    let request = new_request_id();
    let arrived = Moment::now();
    let (parts, body) = incoming.into_parts();
    let caller = match caller_info(&context, &request, &parts.headers) {
        Ok(caller) => caller,
        Err(outcome) => {
            drain_body(body).await;
            return finish(&context, &request, outcome);
        }
    };
    let account = parts.extensions.get();
    let body = match read_body(body, account, caller.deadline).await {
        Ok(body) => body,
        Err(fault) => {
            let outcome = CallOutcome::refused(caller.attempt, fault.refusal());
            return finish(&context, &request, outcome);
        }
    };
    let completion = match CompletionRequest::parse(&body.bytes) {
        Ok(completion) => completion,
        Err(reason) => {
            return finish(&context, &request, bad_request(caller.attempt, reason));
        }
    };
    context.metrics.count("completion.requests");
    let digest = RequestDigest::of(caller.customer.as_str(), COMPLETIONS_PATH, &body.bytes);
    let caller = CallerInfo { digest: Some(digest), ..caller };
    match start_completion(&context, &caller, &completion).await {
        Ok(run) => {
            let first_token = Moment::now().millis_since(arrived);
            context.metrics.time_ms("completion.first_token", first_token);
            let owner = StreamOwner {
                request: request.clone(),
                customer: caller.customer,
                model: completion.model.clone(),
                digest: Some(digest),
            };
            let response = if completion.stream {
                stream_response(&context, owner, run)
            } else {
                whole_response(&context, &owner, run).await
            };
            with_request(&request, response)
        }
        Err(outcome) => {
            context.metrics.count("completion.unserved");
            finish(&context, &request, outcome)
        }
    }
}

async fn whole_response(
    context: &Arc<DaemonContext>,
    owner: &StreamOwner,
    mut run: StartedRun,
) -> Response<Body> {
    match collect_run(&mut run).await {
        Ok((chunks, usage)) => {
            note_import(context, run.import.as_ref(), &usage);
            owner.note_answer(context);
            let text: String = chunks.iter().map(|chunk| &*chunk.text).collect();
            let body = serde_json::json!({
                "id": owner.request, "object": "text_completion", "model": owner.model,
                "version": run.version,
                "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
                "usage": usage_json(&usage),
            });
            ([(OUTCOME_HEADER, "done")], Json(body)).into_response()
        }
        Err(error) => {
            owner.note_interrupted(context, &run.upstream);
            CallOutcome::failed(format!("incomplete answer: {error}")).into_response()
        }
    }
}

/// Reads a streamed answer on after the event that the caller saw last, at any daemon.
async fn resume(State(context): SharedContext, headers: HeaderMap) -> Response<Body> {
    let request = new_request_id();
    let response = resume_run(&context, &request, &headers).await;
    match response {
        Ok(response) => with_request(&request, response),
        Err(outcome) => finish(&context, &request, outcome),
    }
}

async fn resume_run(
    context: &Arc<DaemonContext>,
    request: &str,
    headers: &HeaderMap,
) -> Result<Response<Body>, CallOutcome> {
    let work = context.work.enter();
    let caller = caller_info(context, request, headers)?;
    // The run exists already, whatever becomes of this reading of it.
    let not_first = None;
    let Some(id) = header(headers, "last-event-id") else {
        return Err(bad_request(not_first, "last-event-id: the id of the last event seen"));
    };
    let Some(place) = context.secret.place(&caller.customer, id) else {
        return Err(bad_request(not_first, "last-event-id: no event of this customer's"));
    };
    let spec = context.state.view().upstream(&place.upstream).cloned();
    let Some(spec) = spec else {
        return Err(CallOutcome::failed("the engine of this run is gone"));
    };
    let client = EngineClient { upstream: place.upstream.clone(), address: spec.address };
    let from = place.position + 1;
    let feed = RunFeed::attached(client, place.run.clone(), place.version.clone(), from).await;
    let feed = feed.map_err(|error| CallOutcome::failed(format!("run lost: {error}")))?;
    log_event!(info, events::RESUMED, request = request, upstream = place.upstream, from = from);
    let owner = StreamOwner {
        request: request.into(),
        customer: caller.customer,
        model: place.model.clone(),
        digest: None,
    };
    let run = StartedRun {
        feed,
        first: FeedStep::Chunks(Vec::new()),
        upstream: place.upstream,
        version: place.version,
        import: None,
        holds: RunHolds::reading(work),
    };
    Ok(stream_response(context, owner, run))
}

/// Mints a key that this incarnation alone dispatches, without the log.
async fn mint_key(State(context): SharedContext, headers: HeaderMap) -> Response<Body> {
    let request = new_request_id();
    let issued = caller_info(&context, &request, &headers).and_then(|caller| {
        check_readiness(&context, &caller)?;
        Ok(CallerKey::Pinned(PinnedKey {
            incarnation: context.me,
            issued: Moment::now(),
            nonce: rand::random(),
        }))
    });
    match issued {
        Ok(key) => {
            let address = context.settings.callers.advertise;
            Json(serde_json::json!({ "key": key, "address": address })).into_response()
        }
        Err(outcome) => finish(&context, &request, outcome),
    }
}

async fn ready(State(context): SharedContext) -> Response<Body> {
    let is_ready = context.phase() == DaemonPhase::Serving && context.freshness().is_fresh();
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (status, context.phase().name()).into_response()
}

async fn no_route(
    State(context): SharedContext,
    method: Method,
    headers: HeaderMap,
) -> Response<Body> {
    let attempt = parse_attempt(&headers).unwrap_or(None);
    let reason = format!("path: nothing answers {method} there; see docs/CALLERS.md");
    let refusal = Refusal::final_one(RefusalKind::NO_SUCH, reason);
    finish(&context, &new_request_id(), CallOutcome::refused(attempt, refusal))
}

/// The callers' routes.
pub fn router(context: Arc<DaemonContext>) -> Router {
    Router::new()
        .route("/v1/address", get(get_address).post(post_address))
        .route(COMPLETIONS_PATH, post(complete).get(resume))
        .route("/v1/keys", post(mint_key))
        .route("/v1/services/{service}/{*path}", any(call_service))
        .route("/readyz", get(ready))
        .fallback(no_route)
        .with_state(context)
}
