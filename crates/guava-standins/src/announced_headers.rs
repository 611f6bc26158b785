//! What an upstream says of itself in its answers, and the work that reached it.
//!
//! `POST /words` sets what it says; `GET /received` tells when work came, in milliseconds since then.

use crate::serve::Shared;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// Paths that tests and reports use; all others are work.
const NO_WORK: [&str; 7] =
    ["/words", "/received", "/fault", "/stats", "/evict", "/report", "/events"];

/// What it says, as written; nothing where that is empty.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SaidWords {
    /// Requests a second from all daemons together.
    pub limit: Box<str>,
    /// Whether it leaves.
    pub leaving: bool,
    /// Seconds of rest; it then refuses all work.
    pub rest: Box<str>,
}

#[derive(Clone, Default)]
struct AnnouncementState {
    said: Shared<SaidWords>,
    since: Shared<Option<Instant>>,
    received: Shared<Vec<u64>>,
}

async fn set_announcements(
    State(state): State<AnnouncementState>,
    Json(announcements): Json<SaidWords>,
) {
    *state.said.lock() = announcements;
    *state.since.lock() = Some(Instant::now());
    state.received.lock().clear();
}

async fn received(State(state): State<AnnouncementState>) -> Json<Vec<u64>> {
    Json(state.received.lock().clone())
}

async fn say(State(state): State<AnnouncementState>, request: Request, next: Next) -> Response {
    if NO_WORK.contains(&request.uri().path()) {
        return next.run(request).await;
    }
    let announcements = state.said.lock().clone();
    if let Some(since) = *state.since.lock() {
        let millis = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
        state.received.lock().push(millis);
    }
    let mut response = if announcements.rest.is_empty() {
        next.run(request).await
    } else {
        StatusCode::SERVICE_UNAVAILABLE.into_response()
    };
    let headers = response.headers_mut();
    add(headers, "upstream-limit", &announcements.limit);
    add(headers, "upstream-leaving", if announcements.leaving { "1" } else { "" });
    add(headers, "retry-after", &announcements.rest);
    response
}

fn add(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Some(value) = HeaderValue::from_str(value).ok().filter(|value| !value.is_empty()) {
        headers.insert(name, value);
    }
}

/// The same server, which says of itself what it is told to.
pub fn with_words(router: Router) -> Router {
    let state = AnnouncementState::default();
    let own =
        Router::new().route("/words", post(set_announcements)).route("/received", get(received));
    own.with_state(state.clone()).fallback_service(router).layer(from_fn_with_state(state, say))
}
