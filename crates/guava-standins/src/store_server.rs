//! A store VM: blocks in slots behind one shared, limited link.

use crate::serve::Shared;
use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use guava_outside::{BlockState, StoreReport};
use guava_types::{ByteCount, FastMap};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::sleep;

const MAX_BLOCK_BYTES: usize = 256 << 20;
const LINK_SLICE_BYTES: usize = 64 << 10;

/// What goes wrong with the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// A freed key still finds its slot, whatever is in it by then.
    pub reuse_slots: bool,
    /// A block is served before it is sealed.
    pub serve_unsealed: bool,
    /// A write keeps only the first half, and claims to be whole.
    pub half_writes: bool,
    /// Every write is refused for want of room.
    pub full: bool,
    /// The link runs at this share of its rate, in percent; 0 for all of it.
    pub link_percent: u64,
}

/// What happened at the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StoreStats {
    /// Blocks held.
    pub blocks: usize,
    /// Finished writes.
    pub writes: u64,
    /// Finished reads.
    pub reads: u64,
    /// Frees of a held block.
    pub frees: u64,
    /// Bytes over the link, both ways.
    pub link_bytes: u64,
    /// Time that the link was busy, in milliseconds.
    pub link_busy_ms: u64,
}

#[derive(Clone, Default)]
struct Slot {
    bytes: Bytes,
    sealed: bool,
}

#[derive(Default)]
struct StoreState {
    slots: Vec<Slot>,
    free: Vec<usize>,
    keys: FastMap<Box<str>, usize>,
    capacity: u64,
    queued: u64,
    faults: StoreFaults,
    stats: StoreStats,
}

impl StoreState {
    fn used(&self) -> u64 {
        self.slots.iter().map(|slot| slot.bytes.len() as u64).sum()
    }

    fn take_slot(&mut self) -> usize {
        self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() - 1
        })
    }

    fn free(&mut self, key: &str) {
        let Some(slot) = self.keys.get(key).copied() else { return };
        if !self.faults.reuse_slots {
            self.keys.remove(key);
            if let Some(slot) = self.slots.get_mut(slot) {
                *slot = Slot::default();
            }
        }
        self.stats.frees += 1;
        self.free.push(slot);
    }
}

#[derive(Clone)]
struct StoreServer {
    state: Shared<StoreState>,
    link: Arc<Mutex<()>>,
    rate: u64,
}

impl StoreServer {
    async fn transfer(&self, bytes: usize) {
        self.state.lock().queued += bytes as u64;
        let mut left = bytes;
        while left > 0 {
            let slice = left.min(LINK_SLICE_BYTES);
            let _turn = self.link.lock().await;
            let percent = match self.state.lock().faults.link_percent {
                0 => 100,
                percent => percent,
            };
            let micros = slice as u64 * 100_000_000 / (self.rate * percent).max(1);
            sleep(Duration::from_micros(micros)).await;
            left -= slice;
            let mut state = self.state.lock();
            state.queued -= slice as u64;
            state.stats.link_bytes += slice as u64;
            state.stats.link_busy_ms += micros / 1_000;
        }
    }
}

fn state_of(slot: &Slot) -> BlockState {
    BlockState {
        sealed: slot.sealed,
        length: slot.bytes.len() as u64,
        digest: blake3::hash(&slot.bytes).to_hex().as_str().into(),
    }
}

async fn write(
    State(server): State<StoreServer>,
    Path(key): Path<String>,
    body: Bytes,
) -> Response {
    let slot = {
        let mut state = server.state.lock();
        let full = state.used() + body.len() as u64 > state.capacity || state.faults.full;
        if full || state.keys.contains_key(&*key) {
            return StatusCode::INSUFFICIENT_STORAGE.into_response();
        }
        let slot = state.take_slot();
        state.keys.insert(key.into(), slot);
        // The first half is there at once: what a reader of an unsealed block would find.
        let half = body.slice(..body.len() / 2);
        if let Some(place) = state.slots.get_mut(slot) {
            *place = Slot { bytes: half, sealed: false };
        }
        slot
    };
    server.transfer(body.len()).await;
    let mut state = server.state.lock();
    state.stats.writes += 1;
    let half_writes = state.faults.half_writes;
    let Some(place) = state.slots.get_mut(slot) else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    if !half_writes {
        place.bytes = body;
    }
    place.sealed = true;
    Json(state_of(place)).into_response()
}

async fn read(State(server): State<StoreServer>, Path(key): Path<String>) -> Response {
    let bytes = {
        let state = server.state.lock();
        let slot = state.keys.get(&*key).and_then(|slot| state.slots.get(*slot));
        match slot {
            None => return StatusCode::NOT_FOUND.into_response(),
            Some(slot) if !slot.sealed && !state.faults.serve_unsealed => {
                return StatusCode::CONFLICT.into_response();
            }
            Some(slot) => slot.bytes.clone(),
        }
    };
    server.transfer(bytes.len()).await;
    server.state.lock().stats.reads += 1;
    Body::from(bytes).into_response()
}

async fn block_state(State(server): State<StoreServer>, Path(key): Path<String>) -> Response {
    let state = server.state.lock();
    match state.keys.get(&*key).and_then(|slot| state.slots.get(*slot)) {
        Some(slot) => Json(state_of(slot)).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn free(State(server): State<StoreServer>, Path(key): Path<String>) -> Json<()> {
    server.state.lock().free(&key);
    Json(())
}

#[derive(Deserialize)]
struct PrefixQuery {
    prefix: Box<str>,
}

async fn free_all(State(server): State<StoreServer>, Query(query): Query<PrefixQuery>) -> Json<()> {
    let mut state = server.state.lock();
    let matching = state.keys.keys().filter(|key| key.starts_with(&*query.prefix));
    let keys: Vec<Box<str>> = matching.cloned().collect();
    keys.iter().for_each(|key| state.free(key));
    Json(())
}

async fn report(State(server): State<StoreServer>) -> Json<StoreReport> {
    let state = server.state.lock();
    Json(StoreReport {
        used: ByteCount(state.used()),
        capacity: ByteCount(state.capacity),
        link_queued: ByteCount(state.queued),
    })
}

async fn set_faults(State(server): State<StoreServer>, Json(faults): Json<StoreFaults>) {
    server.state.lock().faults = faults;
}

async fn stats(State(server): State<StoreServer>) -> Json<StoreStats> {
    let state = server.state.lock();
    Json(StoreStats { blocks: state.keys.len(), ..state.stats.clone() })
}

/// The store's routes; `rate` in bytes a second, `capacity` in bytes.
pub fn router(rate: u64, capacity: u64) -> Router {
    let state = StoreState { capacity, ..StoreState::default() };
    let server = StoreServer { state: Shared::new(state), link: Arc::default(), rate };
    Router::new()
        .route("/blocks/{key}", put(write).get(read).delete(free))
        .route("/blocks/{key}/state", get(block_state))
        .route("/blocks", axum::routing::delete(free_all))
        .route("/store", get(report))
        .route(
            "/report",
            get(async || Json(serde_json::json!({"instance": "store", "leaving": false}))),
        )
        .route("/fault", post(set_faults))
        .route("/stats", get(stats))
        .layer(DefaultBodyLimit::max(MAX_BLOCK_BYTES))
        .with_state(server)
}
