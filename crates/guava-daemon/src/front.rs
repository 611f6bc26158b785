//! The callers' side: addresses, completions, plain services, keys, over HTTP/1.1 and HTTP/2.

use crate::address::{get_address, other_addresses, post_address};
use crate::completion::{
    CallerInfo, CompletionRequest, RunHolds, StartedRun, check_readiness, collect_run, note_import,
    start_completion,
};
use crate::context::{DaemonContext, DaemonPhase};
use crate::event_stream::{StreamOwner, stream_response, usage_json};
use crate::events;
use crate::outcome::{CallOutcome, OUTCOME_HEADER, Refusal, RefusalKind};
use crate::run_feed::{FeedStep, RunFeed};
use crate::service_front::call_service;
use crate::stream_id::token_hash;
use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, State};
use axum::http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use axum::response::IntoResponse;
use axum::routing::{any, get, post};
use axum::{Json, Router};
use guava_log::log_event;
use guava_outside::EngineClient;
use guava_types::{CallerKey, CustomerId, Deadline, Moment, PinnedKey, RequestDigest};
use std::sync::Arc;

/// Path of completions.
const COMPLETIONS_PATH: &str = "/v1/completions";
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;
const MAX_DEADLINE_MS: u64 = 600_000;
const DEFAULT_DEADLINE_MS: u64 = 30_000;
const COME_BACK_MS: u64 = 500;
/// Header with the milliseconds that the caller still waits.
pub const TIMEOUT_HEADER: &str = "guavatiller-timeout-ms";
/// Header with the number of the attempt, from one.
pub const ATTEMPT_HEADER: &str = "idempotency-attempt";
/// Header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the request's id, in each answer.
pub const REQUEST_HEADER: &str = "guavatiller-request";

pub(crate) type SharedContext = State<Arc<DaemonContext>>;

pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

pub(crate) fn bad_request(attempt: Option<u32>, reason: impl Into<Box<str>>) -> CallOutcome {
    let refusal = Refusal::final_one(RefusalKind::BAD_REQUEST, reason);
    CallOutcome::refused(attempt, refusal)
}

/// The customer of a bearer token. Only the token's hash is compared, as only that is kept.
pub(crate) fn authenticate(context: &DaemonContext, headers: &HeaderMap) -> Option<CustomerId> {
    let token = header(headers, "authorization")?.strip_prefix("Bearer ")?;
    let hash = token_hash(token);
    context.state.view().customers.get(hash.as_str()).cloned()
}

fn parse_attempt(headers: &HeaderMap) -> Result<Option<u32>, CallOutcome> {
    let has_key = headers.contains_key(KEY_HEADER);
    match header(headers, ATTEMPT_HEADER) {
        // Without a key nothing ties two requests together: each is a first attempt.
        None => Ok((!has_key).then_some(1)),
        Some(text) => match text.parse() {
            Ok(attempt @ 1..) => Ok(Some(attempt)),
            _ => Err(bad_request(None, format!("{ATTEMPT_HEADER}: a whole number from 1"))),
        },
    }
}

fn parse_deadline(headers: &HeaderMap) -> Result<Deadline, String> {
    let Some(text) = header(headers, TIMEOUT_HEADER) else {
        return Ok(Deadline::in_millis(DEFAULT_DEADLINE_MS));
    };
    match text.parse::<u64>() {
        Ok(millis) if (1..=MAX_DEADLINE_MS).contains(&millis) => Ok(Deadline::in_millis(millis)),
        _ => Err(format!("{TIMEOUT_HEADER}: found {text:?}, allowed: 1 to {MAX_DEADLINE_MS}")),
    }
}

pub(crate) fn caller_info(
    context: &DaemonContext,
    request: &str,
    headers: &HeaderMap,
) -> Result<CallerInfo, CallOutcome> {
    let attempt = parse_attempt(headers)?;
    let deadline = parse_deadline(headers).map_err(|reason| bad_request(attempt, reason))?;
    let Some(customer) = authenticate(context, headers) else {
        let known = context.freshness().is_fresh();
        let refusal = if known {
            Refusal::final_one(RefusalKind::NO_KEY, "authorization: no customer has this key")
        } else {
            let reason = "this daemon can't know the configuration in force";
            Refusal::later(RefusalKind::STALE, reason, COME_BACK_MS)
        };
        return Err(CallOutcome::refused(attempt, refusal));
    };
    Ok(CallerInfo { request: request.into(), customer, attempt, deadline, digest: None })
}

pub(crate) fn new_request_id() -> Box<str> {
    uuid::Uuid::new_v4().simple().to_string().into()
}

/// Adds what every answer carries; a refusal of a daemon that leaves names others to use.
pub(crate) fn finish(
    context: &DaemonContext,
    request: &str,
    outcome: CallOutcome,
) -> Response<Body> {
    let outcome = match outcome {
        CallOutcome::NotRun(refusal) => {
            log_event!(info, events::REFUSED, request = request, code = refusal.kind.code);
            let others = other_addresses(context);
            CallOutcome::NotRun(refusal.with_addresses(others))
        }
        other => other,
    };
    with_request(request, outcome.into_response())
}

fn with_request(request: &str, mut response: Response<Body>) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(request) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}

async fn complete(
    State(context): SharedContext,
    headers: HeaderMap,
    body: Bytes,
) -> Response<Body> {
    let request = new_request_id();
    let arrived = Moment::now();
    let caller = match caller_info(&context, &request, &headers) {
        Ok(caller) => caller,
        Err(outcome) => return finish(&context, &request, outcome),
    };
    let completion = match CompletionRequest::parse(&body) {
        Ok(completion) => completion,
        Err(reason) => {
            return finish(&context, &request, bad_request(caller.attempt, reason));
        }
    };
    context.metrics.count("completion.requests");
    let digest = RequestDigest::of(caller.customer.as_str(), COMPLETIONS_PATH, &body);
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
            owner.note_break(context, &run.upstream);
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
    let minted = caller_info(&context, &request, &headers).and_then(|caller| {
        check_readiness(&context, &caller)?;
        Ok(CallerKey::Pinned(PinnedKey {
            incarnation: context.me,
            minted: Moment::now(),
            nonce: rand::random(),
        }))
    });
    match minted {
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
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(context)
}
