//! The four final outcomes of a request, and their HTTP form.
//!
//! "Not run" is a statement on the request, not on this attempt: it is said only if no attempt can
//! have been, or can yet be, dispatched anywhere.

use axum::Json;
use axum::body::Body;
use axum::http::{HeaderValue, Response, StatusCode};
use axum::response::IntoResponse;
use bytes::Bytes;
use guava_schema::peers::CallReply;
use guava_schema::peers::call_reply::Outcome;
use std::net::SocketAddr;

/// Header that names the outcome.
pub const OUTCOME_HEADER: &str = "guavatiller-outcome";
const RETRY_AFTER_MS_HEADER: &str = "guavatiller-retry-after-ms";

/// Why a request is not answered with a result, with its HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalKind {
    /// HTTP status.
    pub status: StatusCode,
    /// Short code for programs.
    pub code: &'static str,
}

macro_rules! refusals {
    ($($name:ident $status:ident $code:literal;)*) => {
        impl RefusalKind {
            $(
                #[doc = $code]
                pub const $name: Self = Self { status: StatusCode::$status, code: $code };
            )*
        }
    };
}

refusals! {
    BAD_REQUEST BAD_REQUEST "bad_request";
    NO_KEY UNAUTHORIZED "unauthorized";
    NO_SUCH NOT_FOUND "not_found";
    MISMATCH UNPROCESSABLE_ENTITY "key_for_another_request";
    TOO_LARGE PAYLOAD_TOO_LARGE "too_large";
    OVER_LIMIT TOO_MANY_REQUESTS "over_limit";
    OVERLOADED SERVICE_UNAVAILABLE "overloaded";
    STALE SERVICE_UNAVAILABLE "configuration_unknown";
    LEAVING SERVICE_UNAVAILABLE "leaving";
    STOPPED SERVICE_UNAVAILABLE "stopped";
    NO_UPSTREAM SERVICE_UNAVAILABLE "no_upstream";
    LOG_OUT SERVICE_UNAVAILABLE "log_out";
    FAILED BAD_GATEWAY "failed";
    UNKNOWN GATEWAY_TIMEOUT "unknown";
}

/// A request's final outcome other than a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It ran and this is its answer.
    Done {
        /// The upstream's status.
        status: u16,
        /// Type of the body.
        content_type: Box<str>,
        /// The body.
        body: Bytes,
    },
    /// It did not run and will not.
    NotRun(Refusal),
    /// It may have run; its answer is lost.
    Failed(Refusal),
    /// Whether it ran is not known here, or not yet.
    Unknown(Refusal),
}

/// What a caller is told besides the outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What kind.
    pub kind: RefusalKind,
    /// For people.
    pub reason: Box<str>,
    /// When to come back, in milliseconds from now; nothing if that is no use.
    pub after_ms: Option<u64>,
    /// Other addresses to use.
    pub addresses: Vec<SocketAddr>,
}

impl Refusal {
    /// A refusal that says when to come back.
    pub fn later(kind: RefusalKind, reason: impl Into<Box<str>>, after_ms: u64) -> Self {
        Self { kind, reason: reason.into(), after_ms: Some(after_ms), addresses: Vec::new() }
    }

    /// A refusal that will be the same next time.
    pub fn final_one(kind: RefusalKind, reason: impl Into<Box<str>>) -> Self {
        Self { kind, reason: reason.into(), after_ms: None, addresses: Vec::new() }
    }

    /// Adds other addresses to use.
    pub fn with_addresses(self, addresses: Vec<SocketAddr>) -> Self {
        Self { addresses, ..self }
    }
}

impl CallOutcome {
    /// "Failed", for an answer that was lost after the request was sent.
    pub fn failed(reason: impl Into<Box<str>>) -> Self {
        Self::Failed(Refusal::final_one(RefusalKind::FAILED, reason))
    }

    /// "Unknown", to be asked again.
    pub fn unknown(reason: impl Into<Box<str>>, after_ms: u64) -> Self {
        Self::Unknown(Refusal::later(RefusalKind::UNKNOWN, reason, after_ms))
    }

    /// A refusal before anything was sent. It is "not run" only if the caller says that this is
    /// the first attempt: an earlier one may be under way at a daemon that is frozen or cut off.
    pub fn refused(attempt: Option<u32>, refusal: Refusal) -> Self {
        if attempt == Some(1) {
            return Self::NotRun(refusal);
        }
        let reason = format!("{}; an earlier attempt may have run", refusal.reason).into();
        // What the caller has to mend keeps its status; only the outcome is not known.
        let is_callers =
            refusal.kind.status.is_client_error() && refusal.kind != RefusalKind::OVER_LIMIT;
        let kind = if is_callers { refusal.kind } else { RefusalKind::UNKNOWN };
        Self::Unknown(Refusal { kind, reason, ..refusal })
    }

    /// Its name, as in the outcome header.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::NotRun(_) => "not-run",
            Self::Failed(_) => "failed",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Why there is no answer; empty if there is one.
    pub fn reason(&self) -> &str {
        self.refusal().map_or("", |refusal| &refusal.reason)
    }

    /// The outcome as passed between daemons.
    pub fn to_reply(&self) -> CallReply {
        let (outcome, refusal) = match self {
            Self::Done { status, content_type, body } => {
                return CallReply {
                    outcome: Outcome::Done.into(),
                    status: u32::from(*status),
                    content_type: content_type.to_string(),
                    body: body.to_vec(),
                    ..CallReply::default()
                };
            }
            Self::NotRun(refusal) if refusal.kind == RefusalKind::MISMATCH => {
                (Outcome::Mismatch, refusal)
            }
            Self::NotRun(refusal) => (Outcome::NotRun, refusal),
            Self::Failed(refusal) => (Outcome::Failed, refusal),
            Self::Unknown(refusal) => (Outcome::Unknown, refusal),
        };
        CallReply {
            outcome: outcome.into(),
            reason: refusal.reason.to_string(),
            after_ms: refusal.after_ms.and_then(|ms| u32::try_from(ms).ok()).unwrap_or(0),
            ..CallReply::default()
        }
    }

    /// The outcome as another daemon passed it.
    pub fn from_reply(reply: CallReply) -> Self {
        let outcome = reply.outcome();
        let after_ms = Some(u64::from(reply.after_ms)).filter(|ms| *ms > 0);
        let refusal = |kind| Refusal {
            kind,
            reason: reply.reason.clone().into(),
            after_ms,
            addresses: Vec::new(),
        };
        match outcome {
            Outcome::Done => Self::Done {
                status: u16::try_from(reply.status).unwrap_or(200),
                content_type: reply.content_type.into(),
                body: reply.body.into(),
            },
            Outcome::NotRun => Self::NotRun(refusal(RefusalKind::OVERLOADED)),
            Outcome::Mismatch => Self::NotRun(refusal(RefusalKind::MISMATCH)),
            Outcome::Failed => Self::Failed(refusal(RefusalKind::FAILED)),
            Outcome::Unknown | Outcome::Unspecified => Self::Unknown(refusal(RefusalKind::UNKNOWN)),
        }
    }

    fn refusal(&self) -> Option<&Refusal> {
        match self {
            Self::Done { .. } => None,
            Self::NotRun(refusal) | Self::Failed(refusal) | Self::Unknown(refusal) => Some(refusal),
        }
    }
}

fn with_retry(response: &mut Response<Body>, after_ms: u64) {
    let headers = response.headers_mut();
    headers.insert("retry-after", HeaderValue::from(after_ms.div_ceil(1_000)));
    headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(after_ms));
}

/// The refusal's body: code, reason, outcome, when to come back, where else to go.
pub fn refusal_json(outcome: &CallOutcome) -> serde_json::Value {
    let refusal = outcome.refusal();
    serde_json::json!({ "error": {
        "outcome": outcome.name(),
        "code": refusal.map_or("", |refusal| refusal.kind.code),
        "message": refusal.map_or("", |refusal| &refusal.reason),
        "retry_after_ms": refusal.and_then(|refusal| refusal.after_ms),
        "addresses": refusal.map_or(Vec::new(), |refusal| refusal.addresses.clone()),
    }})
}

impl IntoResponse for CallOutcome {
    fn into_response(self) -> Response<Body> {
        let name = HeaderValue::from_static(self.name());
        let mut response = match &self {
            Self::Done { status, content_type, body } => {
                let status = StatusCode::from_u16(*status).unwrap_or(StatusCode::OK);
                let headers = [("content-type", content_type.to_string())];
                (status, headers, body.clone()).into_response()
            }
            Self::NotRun(refusal) | Self::Failed(refusal) | Self::Unknown(refusal) => {
                (refusal.kind.status, Json(refusal_json(&self))).into_response()
            }
        };
        response.headers_mut().insert(OUTCOME_HEADER, name);
        if let Some(after_ms) = self.refusal().and_then(|refusal| refusal.after_ms) {
            with_retry(&mut response, after_ms);
        }
        response
    }
}
