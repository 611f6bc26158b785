//! The platform's append-only log: offsets, retention, outages, lost answers, late effects.

use crate::serve::Shared;
use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use guava_outside::{LogPage, PageRecord};
use guava_types::Offset;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

const PAGE_RECORDS: usize = 512;

/// What goes wrong with the log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Everything answers 503.
    pub outage: bool,
    /// Appends take effect, then the connection closes without an answer.
    pub lose_answers: bool,
    /// Appends answer 504 at once and take effect so many milliseconds later.
    pub late_effect_ms: u64,
    /// Each append takes so many milliseconds.
    pub append_ms: u64,
}

#[derive(Default)]
struct LogState {
    first: u64,
    records: VecDeque<Box<str>>,
    keep: usize,
    faults: LogFaults,
    appends: u64,
}

impl LogState {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, body: Box<str>) -> u64 {
        let offset = self.end();
        self.records.push_back(body);
        self.appends += 1;
        self.expire();
        offset
    }

    fn expire(&mut self) {
        while self.records.len() > self.keep {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Clone)]
struct LogServer {
    state: Shared<LogState>,
    appended: Arc<Notify>,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// Counters of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogStats {
    /// Appends that took effect.
    pub appends: u64,
    /// First kept offset.
    pub first: u64,
    /// End of the log.
    pub end: u64,
}

async fn append(State(server): State<LogServer>, body: Bytes) -> Response {
    let Ok(body) = std::str::from_utf8(&body).map(Box::<str>::from) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let faults = server.state.lock().faults.clone();
    if faults.outage {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if faults.late_effect_ms > 0 {
        tokio::spawn(async move {
            sleep(Duration::from_millis(faults.late_effect_ms)).await;
            server.state.lock().append(body);
            server.appended.notify_waiters();
        });
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    if faults.append_ms > 0 {
        sleep(Duration::from_millis(faults.append_ms)).await;
    }
    let offset = server.state.lock().append(body);
    server.appended.notify_waiters();
    if faults.lose_answers {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(serde_json::json!({ "offset": Offset(offset) })).into_response()
}

fn page(state: &LogState, from: u64) -> LogPage {
    let start = from.max(state.first);
    let skip = usize::try_from(start - state.first).unwrap_or(usize::MAX);
    let records = state.records.iter().skip(skip).take(PAGE_RECORDS).enumerate();
    LogPage {
        first: Offset(state.first),
        end: Offset(state.end()),
        records: records
            .map(|(index, body)| PageRecord {
                offset: Offset(start + index as u64),
                body: body.clone(),
            })
            .collect(),
    }
}

async fn read(State(server): State<LogServer>, Query(query): Query<ReadQuery>) -> Response {
    let appended = server.appended.notified();
    let is_empty = {
        let state = server.state.lock();
        if state.faults.outage {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        query.from >= state.end()
    };
    if is_empty {
        drop(timeout(Duration::from_millis(query.wait_ms), appended).await);
    }
    let state = server.state.lock();
    if state.faults.outage {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(page(&state, query.from)).into_response()
}

async fn set_faults(State(server): State<LogServer>, Json(faults): Json<LogFaults>) {
    server.state.lock().faults = faults;
    server.appended.notify_waiters();
}

async fn set_keep(State(server): State<LogServer>, Json(keep): Json<usize>) {
    let mut state = server.state.lock();
    state.keep = keep;
    state.expire();
}

async fn stats(State(server): State<LogServer>) -> Json<LogStats> {
    let state = server.state.lock();
    Json(LogStats { appends: state.appends, first: state.first, end: state.end() })
}

/// The log's routes.
pub fn router() -> Router {
    let state = LogState { keep: usize::MAX, ..LogState::default() };
    let server = LogServer { state: Shared::new(state), appended: Arc::new(Notify::new()) };
    Router::new()
        .route("/append", post(append))
        .route("/records", get(read))
        .route("/fault", post(set_faults))
        .route("/keep", post(set_keep))
        .route("/stats", get(stats))
        .layer(DefaultBodyLimit::max(8 << 20))
        .with_state(server)
}
