//! The platform's lagging list of VMs.

use crate::serve::Shared;
use axum::extract::State;
use axum::routing::{get, post};
use axum::{Json, Router};
use guava_outside::ListedVm;
use std::time::Duration;
use tokio::time::sleep;

#[derive(Default)]
struct ListState {
    vms: Vec<ListedVm>,
    lag_ms: u64,
}

async fn vms(State(state): State<Shared<ListState>>) -> Json<Vec<ListedVm>> {
    Json(state.lock().vms.clone())
}

async fn set_vm(State(state): State<Shared<ListState>>, Json(vm): Json<ListedVm>) {
    let lag = Duration::from_millis(state.lock().lag_ms);
    tokio::spawn(async move {
        sleep(lag).await;
        let mut list = state.lock();
        list.vms.retain(|other| other.address != vm.address);
        list.vms.push(vm);
    });
}

async fn set_lag(State(state): State<Shared<ListState>>, Json(lag_ms): Json<u64>) {
    state.lock().lag_ms = lag_ms;
}

/// The list's routes; `POST /vms` changes one entry after the lag.
pub fn router() -> Router {
    Router::new()
        .route("/vms", get(vms).post(set_vm))
        .route("/lag", post(set_lag))
        .with_state(Shared::new(ListState::default()))
}
