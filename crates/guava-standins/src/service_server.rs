//! A plain service whose calls may not all be repeated: it counts its runs by customer and key.

use crate::announced_headers::with_words;
use crate::process_end::ends_under;
use crate::serve::Shared;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, Method, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use guava_outside::EngineReport;
use guava_types::FastMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::sleep;

/// What goes wrong with the service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Each run takes so long.
    pub run_ms: u64,
    /// The run happens, then the answer is an internal error of the transport.
    pub lose_answers: bool,
    /// The report says that it is leaving.
    pub leaving: bool,
    /// It ends soon after it has begun to run a call whose path or body begins with this; empty for
    /// none.
    pub ends_on: Box<str>,
}

/// What ran.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Runs by `customer/key`.
    pub runs: FastMap<Box<str>, u32>,
    /// All runs.
    pub total: u32,
}

#[derive(Clone, Default)]
struct ServiceServer {
    stats: Shared<ServiceStats>,
    faults: Shared<ServiceFaults>,
    instance: Box<str>,
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

async fn run(
    State(server): State<ServiceServer>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let customer = header(&headers, "guavatiller-customer");
    let key = header(&headers, "idempotency-key");
    let total = {
        let mut stats = server.stats.lock();
        stats.total += 1;
        *stats.runs.entry(format!("{customer}/{key}").into()).or_default() += 1;
        stats.total
    };
    let faults = server.faults.lock().clone();
    let path = uri.path().trim_start_matches('/').as_bytes();
    if ends_under(&faults.ends_on, &body) || ends_under(&faults.ends_on, path) {
        std::future::pending::<()>().await;
    }
    sleep(Duration::from_millis(faults.run_ms)).await;
    if faults.lose_answers {
        // The connection breaks inside the body: the run happened, its answer is lost.
        let broken = std::io::Error::other("answer lost");
        let pieces = [Ok(Bytes::from_static(b"{\"run\":")), Err(broken)];
        return Body::from_stream(futures_util::stream::iter(pieces)).into_response();
    }
    let text = String::from_utf8_lossy(&body);
    let answer = serde_json::json!({
        "run": total, "customer": customer, "method": method.as_str(), "path": uri.path(),
        "echo": text, "instance": server.instance,
    });
    Json(answer).into_response()
}

async fn report(State(server): State<ServiceServer>) -> Json<EngineReport> {
    let leaving = server.faults.lock().leaving;
    Json(EngineReport { instance: server.instance.clone(), leaving, ..EngineReport::default() })
}

async fn set_faults(State(server): State<ServiceServer>, Json(faults): Json<ServiceFaults>) {
    *server.faults.lock() = faults;
}

async fn stats(State(server): State<ServiceServer>) -> Json<ServiceStats> {
    Json(server.stats.lock().clone())
}

/// The service's routes; every other path is a call.
pub fn router() -> Router {
    let instance = uuid::Uuid::new_v4().to_string().into();
    let server = ServiceServer { instance, ..ServiceServer::default() };
    let router = Router::new()
        .route("/report", get(report))
        .route("/fault", post(set_faults))
        .route("/stats", get(stats))
        .fallback(run)
        .with_state(server);
    with_words(router)
}
