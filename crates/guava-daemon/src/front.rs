//! The callers' side: addresses, completions, plain services, keys, over HTTP/1.1 and HTTP/2.

use crate::call_desk::{KeyedCall, call_once, service_instances};
use crate::completion::{
    CallerInfo, CompletionRequest, RunHolds, StartedRun, check_door, collect_run, start_completion,
};
use crate::context::{DaemonContext, DaemonPhase, locked};
use crate::event_stream::{StreamOwner, stream_response, usage_json};
use crate::outcome::{CallOutcome, OUTCOME_HEADER, Refusal, RefusalKind};
use crate::run_feed::{FeedStep, RunFeed};
use crate::stream_id::token_hash;
use axum::body::{Body, Bytes, to_bytes};
use axum::extract::{DefaultBodyLimit, Path, Query, Request, State};
use axum::http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use axum::response::IntoResponse;
use axum::routing::{any, get, post};
use axum::{Json, Router};
use guava_outside::{EngineClient, ServiceCall, ServiceClient};
use guava_policy::prefix_chain;
use guava_types::{
    CallKey, CallerKey, CustomerId, DataCentre, Deadline, ModelName, Moment, PinnedKey, ServiceName,
};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;

const MAX_BODY_BYTES: usize = 8 << 20;
const MAX_DEADLINE_MS: u64 = 600_000;
const DEFAULT_DEADLINE_MS: u64 = 30_000;
const COME_BACK_MS: u64 = 500;
const SERVICE_TRIES: usize = 3;
/// Header with the milliseconds that the caller still waits.
pub const TIMEOUT_HEADER: &str = "guavatiller-timeout-ms";
/// Header with the number of the attempt, from one.
pub const ATTEMPT_HEADER: &str = "idempotency-attempt";
/// Header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the request's id, in each answer.
pub const REQUEST_HEADER: &str = "guavatiller-request";

type SharedContext = State<Arc<DaemonContext>>;

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn bad_request(attempt: Option<u32>, reason: impl Into<Box<str>>) -> CallOutcome {
    let refusal = Refusal::final_one(RefusalKind::BAD_REQUEST, reason);
    CallOutcome::refused(attempt, refusal)
}

/// The customer of a bearer token. Only the token's hash is compared, as only that is kept.
fn authenticate(context: &DaemonContext, headers: &HeaderMap) -> Option<CustomerId> {
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

fn caller_info(
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
    Ok(CallerInfo { request: request.into(), customer, attempt, deadline })
}

fn new_request_id() -> Box<str> {
    uuid::Uuid::new_v4().simple().to_string().into()
}

/// Adds what every answer carries; a refusal of a daemon that leaves names others to use.
fn finish(context: &DaemonContext, request: &str, outcome: CallOutcome) -> Response<Body> {
    let outcome = match outcome {
        CallOutcome::NotRun(refusal) => {
            log_event!(info, REFUSED, request = request, code = refusal.kind.code);
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

fn other_addresses(context: &DaemonContext) -> Vec<SocketAddr> {
    let book = locked(&context.book);
    let serving = book.alive(Moment::now());
    serving
        .filter(|(_, entry)| entry.phase == DaemonPhase::Serving)
        .map(|(_, entry)| entry.identity.caller_address)
        .collect()
}

#[derive(Deserialize)]
struct AddressQuery {
    data_centre: Option<DataCentre>,
}

#[derive(Deserialize)]
struct AffinityBody {
    model: ModelName,
    prompt: Box<str>,
}

/// The daemon that owns a prompt's cache entries.
fn owner_address(
    context: &DaemonContext,
    customer: &CustomerId,
    body: &AffinityBody,
) -> Option<SocketAddr> {
    let model = context.state.read(|state| state.model(&body.model).cloned())?;
    let chain = prefix_chain(customer, &body.model, &model.current, &body.prompt);
    let book = locked(&context.book);
    match book.owner(context.me, chain.owner_seed(), Moment::now()) {
        Some(owner) => book.get(owner).map(|entry| entry.identity.caller_address),
        None => Some(context.settings.callers.advertise),
    }
}

fn address_answer(
    context: &DaemonContext,
    data_centre: Option<&DataCentre>,
    owner: Option<SocketAddr>,
) -> Response<Body> {
    let mut entries: Vec<(bool, bool, u32, DataCentre, SocketAddr)> = Vec::new();
    let mut add = |centre: &DataCentre, address: SocketAddr| {
        let is_far = data_centre.is_some_and(|wanted| wanted != centre);
        entries.push((Some(address) != owner, is_far, rand::random(), centre.clone(), address));
    };
    if context.phase() == DaemonPhase::Serving && context.freshness().is_fresh() {
        add(&context.settings.data_centre, context.settings.callers.advertise);
    }
    {
        let book = locked(&context.book);
        let alive = book.alive(Moment::now());
        for (_, entry) in alive.filter(|(_, entry)| entry.phase == DaemonPhase::Serving) {
            add(&entry.identity.data_centre, entry.identity.caller_address);
        }
    }
    entries.sort_unstable();
    let addresses: Vec<_> = entries
        .into_iter()
        .map(|(_, _, _, data_centre, address)| {
            serde_json::json!({ "address": address, "data_centre": data_centre })
        })
        .collect();
    let keep_ms = context.settings.address_keep_ms;
    Json(serde_json::json!({ "addresses": addresses, "keep_ms": keep_ms })).into_response()
}

async fn get_address(
    State(context): SharedContext,
    Query(query): Query<AddressQuery>,
) -> Response<Body> {
    address_answer(&context, query.data_centre.as_ref(), None)
}

async fn post_address(
    State(context): SharedContext,
    Query(query): Query<AddressQuery>,
    headers: HeaderMap,
    Json(body): Json<AffinityBody>,
) -> Response<Body> {
    let customer = authenticate(&context, &headers);
    let owner = customer.and_then(|customer| owner_address(&context, &customer, &body));
    address_answer(&context, query.data_centre.as_ref(), owner)
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
    match start_completion(&context, &caller, &completion).await {
        Ok(run) => {
            let first_token = Moment::now().millis_since(arrived);
            context.metrics.time_ms("completion.first_token", first_token);
            let owner = StreamOwner {
                request: request.clone(),
                customer: caller.customer,
                model: completion.model.clone(),
            };
            let response = if completion.stream {
                stream_response(&context, owner, run)
            } else {
                whole_response(&owner, run).await
            };
            with_request(&request, response)
        }
        Err(outcome) => {
            context.metrics.count("completion.unserved");
            finish(&context, &request, outcome)
        }
    }
}

async fn whole_response(owner: &StreamOwner, mut run: StartedRun) -> Response<Body> {
    match collect_run(&mut run).await {
        Ok((chunks, usage)) => {
            let text: String = chunks.iter().map(|chunk| &*chunk.text).collect();
            let body = serde_json::json!({
                "id": owner.request, "object": "text_completion", "model": owner.model,
                "version": run.version,
                "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
                "usage": usage_json(&usage),
            });
            ([(OUTCOME_HEADER, "done")], Json(body)).into_response()
        }
        Err(error) => CallOutcome::failed(format!("incomplete answer: {error}")).into_response(),
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
    log_event!(info, RESUMED, request = request, upstream = place.upstream, from = from);
    let owner = StreamOwner {
        request: request.into(),
        customer: caller.customer,
        model: place.model.clone(),
    };
    let run = StartedRun {
        feed,
        first: FeedStep::Chunks(Vec::new()),
        upstream: place.upstream,
        version: place.version,
        _holds: RunHolds::reading(work),
    };
    Ok(stream_response(context, owner, run))
}

/// Mints a key that this incarnation alone dispatches, without the log.
async fn mint_key(State(context): SharedContext, headers: HeaderMap) -> Response<Body> {
    let request = new_request_id();
    let minted = caller_info(&context, &request, &headers).and_then(|caller| {
        check_door(&context, &caller)?;
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

async fn call_service(
    State(context): SharedContext,
    Path((service, path)): Path<(String, String)>,
    incoming: Request,
) -> Response<Body> {
    let request = new_request_id();
    let outcome = route_call(&context, &request, &service, &path, incoming).await;
    context.metrics.count(match &outcome {
        CallOutcome::Done { .. } => "call.done",
        CallOutcome::NotRun(_) => "call.not_run",
        CallOutcome::Failed(_) => "call.failed",
        CallOutcome::Unknown(_) => "call.unknown",
    });
    finish(&context, &request, outcome)
}

async fn route_call(
    context: &Arc<DaemonContext>,
    request: &str,
    service: &str,
    path: &str,
    incoming: Request,
) -> CallOutcome {
    let (parts, body) = incoming.into_parts();
    let caller = match caller_info(context, request, &parts.headers) {
        Ok(caller) => caller,
        Err(outcome) => return outcome,
    };
    let name = service.parse::<ServiceName>().ok();
    let spec = name.and_then(|name| {
        context.state.read(|state| state.service(&name).cloned()).map(|spec| (name, spec))
    });
    let Some((service, spec)) = spec else {
        let reason = format!("service: no service {service:?} is configured");
        let refusal = Refusal::final_one(RefusalKind::NO_SUCH, reason);
        return CallOutcome::refused(caller.attempt, refusal);
    };
    let Ok(body) = to_bytes(body, MAX_BODY_BYTES).await else {
        let reason = format!("body: over {MAX_BODY_BYTES} bytes or broken off");
        let refusal = Refusal::final_one(RefusalKind::TOO_LARGE, reason);
        return CallOutcome::refused(caller.attempt, refusal);
    };
    let query = parts.uri.query().map_or(String::new(), |query| format!("?{query}"));
    let content_type = header(&parts.headers, "content-type").unwrap_or("application/octet-stream");
    let path = format!("/{path}{query}");
    if spec.is_idempotent(parts.method.as_str(), &path) {
        let call = ServiceCall {
            method: parts.method,
            path: path.into(),
            content_type: content_type.into(),
            body,
            customer: caller.customer.to_string().into(),
            key: header(&parts.headers, KEY_HEADER).unwrap_or("").into(),
        };
        return call_idempotent(context, &caller, &service, call).await;
    }
    let key = match header(&parts.headers, KEY_HEADER).map(str::parse::<CallerKey>) {
        Some(Ok(key)) => key,
        Some(Err(error)) => {
            return bad_request(caller.attempt, format!("{KEY_HEADER}: {error}"));
        }
        None => {
            let reason = format!("{KEY_HEADER}: a non-idempotent call needs one");
            return bad_request(caller.attempt, reason);
        }
    };
    let call = KeyedCall {
        request: request.into(),
        service,
        key: CallKey { customer: caller.customer, key },
        attempt: caller.attempt,
        deadline: caller.deadline,
        method: parts.method,
        path: path.into(),
        content_type: content_type.into(),
        body,
    };
    call_once(context, call).await
}

async fn call_idempotent(
    context: &Arc<DaemonContext>,
    caller: &CallerInfo,
    service: &ServiceName,
    call: ServiceCall,
) -> CallOutcome {
    let _work = context.work.enter();
    if let Err(outcome) = check_door(context, caller) {
        return outcome;
    }
    locked(&context.retries).earn();
    let mut instances = service_instances(context, service);
    let mut may_have_run = false;
    let mut last = String::from("no instance of the service takes work");
    for attempt in 0..SERVICE_TRIES {
        if instances.is_empty() || (attempt > 0 && !locked(&context.retries).spend()) {
            break;
        }
        let index = rand::random::<u32>() as usize % instances.len();
        let (upstream, address) = instances.swap_remove(index);
        log_event!(
            info,
            CALL_DISPATCHED,
            request = caller.request,
            service = service,
            choice = upstream,
            others = instances.len(),
            reason = "random",
        );
        match (ServiceClient { address }).call(&call, caller.deadline).await {
            Ok(answer) => {
                return CallOutcome::Done {
                    status: answer.status.as_u16(),
                    content_type: answer.content_type,
                    body: answer.body,
                };
            }
            Err(error) => {
                may_have_run |= error.may_have_run();
                last = error.to_string();
            }
        }
    }
    if may_have_run {
        return CallOutcome::failed(last);
    }
    let refusal = Refusal::later(RefusalKind::NO_UPSTREAM, last, COME_BACK_MS);
    CallOutcome::refused(caller.attempt, refusal)
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
        .route("/v1/completions", post(complete).get(resume))
        .route("/v1/keys", post(mint_key))
        .route("/v1/services/{service}/{*path}", any(call_service))
        .route("/readyz", get(ready))
        .fallback(no_route)
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(context)
}
