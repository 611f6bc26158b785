//! What callers' requests say of themselves, and what every answer to them carries.

use crate::completion::CallerInfo;
use crate::context::DaemonContext;
use crate::events;
use crate::other_addresses::other_addresses;
use crate::outcome::{CallOutcome, Refusal, RefusalKind};
use crate::stream_id::token_hash;
use axum::body::{Body, BodyDataStream, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, HeaderValue, Response};
use axum::response::IntoResponse;
use bytes::BytesMut;
use futures_util::StreamExt;
use guava_clients::{ConnectionAccount, HeldBytes};
use guava_log::log_event;
use guava_types::{CustomerId, Deadline};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Largest body of a request, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;
/// Bytes of a refused request's body that are read, and for how long, in milliseconds.
const MAX_DRAINED_BYTES: usize = 64 << 20;
const DRAIN_MS: u64 = 5_000;
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

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFault {
    /// It is longer than accepted.
    TooLong,
    /// It broke off, or its caller's time ended first.
    Incomplete,
    /// Clients hold as much as they may.
    NoMemory,
}

impl BodyFault {
    /// The refusal of the body's request.
    pub(crate) fn refusal(self) -> Refusal {
        match self {
            Self::TooLong => {
                let reason = format!("body: over {MAX_BODY_BYTES} bytes");
                Refusal::final_one(RefusalKind::TOO_LARGE, reason)
            }
            Self::Incomplete => {
                let reason = "body: broken off, or not complete within the request's time";
                Refusal::final_one(RefusalKind::BAD_REQUEST, reason)
            }
            Self::NoMemory => {
                let reason = "this daemon holds as much for its clients as it may";
                Refusal::later(RefusalKind::OVERLOADED, reason, COME_BACK_MS)
            }
        }
    }
}

/// A body that was read to its end, and its share of what clients may hold.
pub(crate) struct ReadBody {
    pub(crate) bytes: Bytes,
    _held: Option<HeldBytes>,
}

/// Reads a body to its end, on account of the connection that it came on.
pub(crate) async fn read_body(
    body: Body,
    account: Option<&ConnectionAccount>,
    deadline: Deadline,
) -> Result<ReadBody, BodyFault> {
    let _reading = account.map(ConnectionAccount::begin_body);
    let mut held = account.map(ConnectionAccount::hold_nothing);
    let mut data = body.into_data_stream();
    let mut bytes = BytesMut::new();
    loop {
        let piece = match timeout(deadline.time_left(), data.next()).await {
            Ok(Some(Ok(piece))) => piece,
            Ok(None) => return Ok(ReadBody { bytes: bytes.freeze(), _held: held }),
            Ok(Some(Err(_))) | Err(_) => return Err(BodyFault::Incomplete),
        };
        if bytes.len() + piece.len() > MAX_BODY_BYTES {
            drop((bytes, held));
            drain(data).await;
            return Err(BodyFault::TooLong);
        }
        if held.as_mut().is_some_and(|held| !held.grow(piece.len())) {
            return Err(BodyFault::NoMemory);
        }
        bytes.extend_from_slice(&piece);
    }
}

/// Reads the body of a request that is refused without it.
pub(crate) async fn drain_body(body: Body) {
    drain(body.into_data_stream()).await;
}

/// Reads on without keeping anything: a connection that is closed with bytes unread is reset, and the
/// answer before that may be lost.
async fn drain(mut data: BodyDataStream) {
    let reading = async {
        let mut left = MAX_DRAINED_BYTES;
        while let Some(Ok(piece)) = data.next().await {
            left = left.saturating_sub(piece.len());
            if left == 0 {
                return;
            }
        }
    };
    // Whoever sends for longer may lose its answer.
    drop(timeout(Duration::from_millis(DRAIN_MS), reading).await);
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

pub(crate) fn parse_attempt(headers: &HeaderMap) -> Result<Option<u32>, CallOutcome> {
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

pub(crate) fn with_request(request: &str, mut response: Response<Body>) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(request) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}
