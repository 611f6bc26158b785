//! The rate-limited weight store: a load takes longer when more than three run at once.

use crate::serve::Shared;
use axum::extract::{Path, State};
use axum::routing::get;
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::sleep;

/// Loads that run at full speed.
const FULL_SPEED_LOADS: u32 = 3;
const SLICES: u32 = 20;

/// Counters of the weight store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WeightStats {
    /// Loads running.
    pub active: u32,
    /// Most loads that ran at one time.
    pub most_active: u32,
    /// Loads served.
    pub loads: u32,
}

#[derive(Clone, Default)]
struct WeightServer {
    stats: Shared<WeightStats>,
    load_ms: u64,
}

async fn has(Path((_, version)): Path<(String, String)>) -> Json<serde_json::Value> {
    Json(serde_json::json!({ "present": !version.starts_with("missing") }))
}

async fn load(State(server): State<WeightServer>) -> Json<u32> {
    {
        let mut stats = server.stats.lock();
        stats.active += 1;
        stats.loads += 1;
        stats.most_active = stats.most_active.max(stats.active);
    }
    for _ in 0..SLICES {
        let active = server.stats.lock().active.max(FULL_SPEED_LOADS);
        let millis = server.load_ms * u64::from(active) / u64::from(FULL_SPEED_LOADS * SLICES);
        sleep(Duration::from_millis(millis)).await;
    }
    server.stats.lock().active -= 1;
    Json(0)
}

async fn stats(State(server): State<WeightServer>) -> Json<WeightStats> {
    Json(server.stats.lock().clone())
}

/// The weight store's routes; a load takes `load_ms` while no more than three run.
pub fn router(load_ms: u64) -> Router {
    Router::new()
        .route("/versions/{model}/{version}", get(has))
        .route("/weights/{model}/{version}", get(load))
        .route("/stats", get(stats))
        .with_state(WeightServer { load_ms, ..WeightServer::default() })
}
