//! A model engine: continuous batching, a limited prefix cache, resumable streams, KV export and
//! import, late and gapped cache events, lagging reports, orders with fencing numbers.

use crate::announced_headers::with_words;
use crate::engine_cache::EngineCache;
use crate::engine_faults::EngineFaults;
use crate::engine_stream::{Run, RunBuffer, stream_run};
use crate::process_end::ends_under;
use crate::serve::Shared;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use guava_outside::{
    CacheEvents, CompletionOrder, EngineReport, ExportOrder, ExportReceipt, ImportOrder,
    LOADED_HEADER, LoadOrder, OrderAnswer, Usage, collect_body, exchange, get_json,
};
use guava_types::{Deadline, FastMap, Moment, Offset, TokenCount};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::time::sleep;

const BLOCK_BYTES: usize = 256;
const BLOCK_TOKENS: u64 = 64;
const MAX_BLOCK_BYTES: usize = 256 << 20;
const REPORT_EVERY_MS: u64 = 100;

/// An engine's size and speed.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The model that it serves.
    pub model: Box<str>,
    /// The version loaded at the start.
    pub version: Box<str>,
    /// Prefill throughput.
    pub prefill_per_second: u64,
    /// Time of one generated token.
    pub decode_ms: u64,
    /// Requests at one time.
    pub slots: usize,
    /// Cache capacity in tokens.
    pub cache_tokens: u64,
    /// Bytes of KV cache for each token.
    pub kv_bytes: u64,
    /// Age of the reported figures.
    pub report_lag_ms: u64,
    /// Age of cache events.
    pub event_lag_ms: u64,
    /// Whether it refuses old fencing numbers.
    pub checks_fencing: bool,
    /// The weight store.
    pub weights: Option<SocketAddr>,
}

/// What happened at the engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineStats {
    /// Runs started.
    pub runs: u64,
    /// New work of any kind that was taken.
    pub accepted: u64,
    /// Tokens of all prompts.
    pub prompt_tokens: u64,
    /// Tokens prefilled.
    pub computed_tokens: u64,
    /// Tokens imported.
    pub imported_tokens: u64,
    /// Imports that were refused for key, length, digest or lateness.
    pub rejected_imports: u64,
    /// Imported blocks whose content belongs to another prefix, customer or version.
    pub wrong_blocks: u64,
    /// Orders carried out: fencing token and version.
    pub orders: Vec<(u64, Box<str>)>,
    /// Orders refused for their fencing token.
    pub refused_orders: u64,
    /// Runs cancelled.
    pub cancelled: u64,
    /// Versions that runs were started with, by request.
    pub versions: FastMap<Box<str>, Box<str>>,
}

#[derive(Default)]
struct PrefillLane {
    busy: bool,
    waiting: Vec<(u32, u64, oneshot::Sender<()>)>,
    arrivals: u64,
}

struct EngineState {
    cache: EngineCache,
    runs: FastMap<Box<str>, Run>,
    lane: PrefillLane,
    queued_tokens: u64,
    running: u32,
    version: Box<str>,
    loading: Option<Box<str>>,
    highest_token: u64,
    reports: Vec<(Moment, u64, u32)>,
    eviction_times: Vec<Moment>,
    faults: EngineFaults,
    stats: EngineStats,
}

#[derive(Clone)]
struct EngineServer {
    options: Arc<EngineOptions>,
    state: Shared<EngineState>,
    slots: Arc<Semaphore>,
    instance: Box<str>,
}

/// The chain of block hashes of a prompt under a salt.
pub fn block_hashes(salt: &str, prompt: &str) -> Vec<Box<str>> {
    let mut root = [0; 32];
    match blake3::Hash::from_hex(salt) {
        Ok(hash) => root = *hash.as_bytes(),
        Err(_) => root.copy_from_slice(blake3::hash(salt.as_bytes()).as_bytes()),
    }
    let mut hasher = blake3::Hasher::new_keyed(&root);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            hasher.update(block);
            let hash = hasher.finalize().to_hex();
            hash.as_str().chars().take(32).collect()
        })
        .collect()
}

/// The KV content of a prefix: any other prefix, customer or version gives other bytes.
fn kv_content(salt: &str, last_hash: &str, length: u64) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(salt.as_bytes());
    hasher.update(last_hash.as_bytes());
    let mut bytes = vec![0; usize::try_from(length).unwrap_or(0)];
    hasher.finalize_xof().fill(&mut bytes);
    bytes
}

/// The text that a run generates, which tests compare byte by byte.
pub fn expected_chunk(version: &str, prompt: &str, position: u64) -> Box<str> {
    let hash = blake3::hash(format!("{version}\n{prompt}\n{position}").as_bytes());
    format!("w{} ", hash.to_hex().get(..6).unwrap_or("")).into()
}

impl EngineServer {
    fn faults(&self) -> EngineFaults {
        self.state.lock().faults.clone()
    }

    fn slower(&self) -> u64 {
        self.state.lock().faults.slower.max(1)
    }

    async fn enter_lane(&self, priority: u32) {
        let turn = {
            let mut state = self.state.lock();
            if !state.lane.busy {
                state.lane.busy = true;
                return;
            }
            let (sender, receiver) = oneshot::channel();
            let arrival = state.lane.arrivals;
            state.lane.arrivals += 1;
            state.lane.waiting.push((priority, arrival, sender));
            receiver
        };
        drop(turn.await);
    }

    fn leave_lane(&self) {
        let mut state = self.state.lock();
        loop {
            let waiting = state.lane.waiting.iter().enumerate();
            let next = waiting.min_by_key(|(_, entry)| (entry.0, entry.1)).map(|pair| pair.0);
            let Some(index) = next else {
                state.lane.busy = false;
                return;
            };
            let (_, _, turn) = state.lane.waiting.swap_remove(index);
            if turn.send(()).is_ok() {
                return;
            }
        }
    }

    async fn fetch_block(&self, import: &ImportOrder) -> Option<Bytes> {
        let deadline = Deadline::in_millis(import.grant_left_ms);
        let request = axum::http::Request::get(format!("/blocks/{}", import.key))
            .header("host", import.store.to_string())
            .body(Full::default())
            .ok()?;
        let response = exchange(import.store, request, deadline).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let bytes = collect_body(response.into_body(), MAX_BLOCK_BYTES, deadline).await.ok()?;
        let digest = blake3::hash(&bytes).to_hex();
        let matches = bytes.len() as u64 == import.length && *digest == *import.digest;
        (matches && !deadline.passed(Moment::now())).then_some(bytes)
    }

    async fn import(&self, order: &CompletionOrder, hashes: &[Box<str>]) -> u64 {
        let Some(import) = &order.import else { return 0 };
        let blocks = usize::try_from(import.tokens.0 / BLOCK_TOKENS).unwrap_or(0);
        if self.state.lock().cache.find(&order.cache_salt, hashes) >= blocks {
            return 0;
        }
        let fetched = self.fetch_block(import).await;
        let mut state = self.state.lock();
        let (Some(bytes), Some(prefix)) = (fetched, hashes.get(..blocks)) else {
            state.stats.rejected_imports += 1;
            return 0;
        };
        let last = prefix.last().map_or("", |hash| hash);
        if kv_content(&order.cache_salt, last, import.length) != bytes {
            state.stats.wrong_blocks += 1;
        }
        state.stats.imported_tokens += import.tokens.0;
        state.cache.insert(&order.cache_salt, prefix);
        import.tokens.0
    }

    async fn prefill(&self, order: &CompletionOrder) -> Usage {
        let hashes = block_hashes(&order.cache_salt, &order.prompt);
        let prompt_tokens = order.prompt.len().div_ceil(4) as u64;
        let missing = |server: &Self| {
            let found = server.state.lock().cache.find(&order.cache_salt, &hashes) as u64;
            prompt_tokens.saturating_sub(found * BLOCK_TOKENS)
        };
        let estimate = missing(self);
        self.state.lock().queued_tokens += estimate;
        let import_started = Moment::now();
        let imported_tokens = self.import(order, &hashes).await;
        let import_ms = Moment::now().millis_since(import_started);
        self.enter_lane(order.priority).await;
        let computed = missing(self);
        let micros = computed * 1_000_000 / self.options.prefill_per_second.max(1);
        sleep(Duration::from_micros(micros * self.slower())).await;
        let mut state = self.state.lock();
        state.cache.insert(&order.cache_salt, &hashes);
        state.queued_tokens -= estimate;
        state.stats.prompt_tokens += prompt_tokens;
        state.stats.computed_tokens += computed;
        drop(state);
        self.leave_lane();
        let cached_tokens = prompt_tokens - computed;
        Usage { prompt_tokens, cached_tokens, imported_tokens, import_ms, completion_tokens: 0 }
    }

    async fn run(self, order: CompletionOrder, run: Run) {
        let slot = self.slots.acquire().await;
        let usage = self.prefill(&order).await;
        let version = run.buffer.lock().version.clone();
        for position in 0..u64::from(order.max_tokens) {
            if run.buffer.lock().cancelled {
                break;
            }
            if position > 0 {
                let millis = self.options.decode_ms * self.slower();
                sleep(Duration::from_millis(millis)).await;
            }
            let chunk = expected_chunk(&version, &order.prompt, position);
            run.buffer.lock().chunks.push(chunk);
            run.grown.notify_waiters();
        }
        let mut buffer = run.buffer.lock();
        let completion_tokens = buffer.chunks.len() as u64;
        buffer.usage = Some(Usage { completion_tokens, ..usage });
        drop(buffer);
        run.grown.notify_waiters();
        self.state.lock().running -= 1;
        drop(slot);
    }
}

async fn complete(
    State(server): State<EngineServer>,
    Json(order): Json<CompletionOrder>,
) -> Response {
    let run_id: Box<str> = uuid::Uuid::new_v4().simple().to_string().into();
    let run = {
        let mut state = server.state.lock();
        let wrong_model = order.model.as_str() != &*server.options.model;
        if wrong_model || order.version.as_str() != &*state.version {
            let loaded = [(LOADED_HEADER, state.version.to_string())];
            return (StatusCode::CONFLICT, loaded, "another version is loaded").into_response();
        }
        if state.faults.leaving {
            return (StatusCode::SERVICE_UNAVAILABLE, "leaving").into_response();
        }
        state.running += 1;
        state.stats.runs += 1;
        state.stats.accepted += 1;
        let version = state.version.clone();
        state.stats.versions.insert(order.request.clone(), version.clone());
        let buffer = RunBuffer { request: order.request.clone(), version, ..RunBuffer::default() };
        let run = Run { buffer: Shared::new(buffer), grown: Arc::new(Notify::new()) };
        state.runs.insert(run_id.clone(), run.clone());
        run
    };
    if !ends_under(&server.faults().ends_on, order.prompt.as_bytes()) {
        tokio::spawn(server.clone().run(order, run.clone()));
    }
    stream_run(server.faults(), &run_id, run, 0)
}

#[derive(Deserialize)]
struct FromQuery {
    from: u64,
}

async fn resume(
    State(server): State<EngineServer>,
    Path(run_id): Path<String>,
    Query(query): Query<FromQuery>,
) -> Response {
    let run = server.state.lock().runs.get(&*run_id).cloned();
    match run {
        Some(run) => stream_run(server.faults(), &run_id, run, query.from),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn cancel(State(server): State<EngineServer>, Path(run_id): Path<String>) -> Json<()> {
    let run = server.state.lock().runs.get(&*run_id).cloned();
    if let Some(run) = run {
        run.buffer.lock().cancelled = true;
        server.state.lock().stats.cancelled += 1;
    }
    Json(())
}

async fn export(State(server): State<EngineServer>, Json(order): Json<ExportOrder>) -> Response {
    {
        let mut state = server.state.lock();
        if state.faults.leaving || !state.cache.holds(&order.cache_salt, &order.last_hash) {
            return StatusCode::NOT_FOUND.into_response();
        }
        state.stats.accepted += 1;
    }
    let TokenCount(tokens) = order.tokens;
    let length = tokens * server.options.kv_bytes;
    let bytes = kv_content(&order.cache_salt, &order.last_hash, length);
    let digest: Box<str> = blake3::hash(&bytes).to_hex().as_str().into();
    let request = axum::http::Request::put(format!("/blocks/{}", order.key))
        .header("host", order.store.to_string())
        .body(Full::new(Bytes::from(bytes)));
    let Ok(request) = request else { return StatusCode::BAD_REQUEST.into_response() };
    match exchange(order.store, request, Deadline::in_millis(30_000)).await {
        Ok(response) if response.status().is_success() => {
            Json(ExportReceipt { length, digest }).into_response()
        }
        _ => StatusCode::BAD_GATEWAY.into_response(),
    }
}

async fn report(State(server): State<EngineServer>) -> Json<EngineReport> {
    let state = server.state.lock();
    let now = Moment::now();
    let lag = server.options.report_lag_ms;
    let old = state.reports.iter().rev().find(|entry| now.millis_since(entry.0) >= lag);
    let (measured, queued_tokens, running) = old.copied().unwrap_or((now, 0, 0));
    let model = server.options.model.parse();
    let told = &state.faults.reports_version;
    let version = if told.is_empty() { state.version.parse() } else { told.parse() };
    let loaded = model.ok().zip(version.ok()).into_iter().collect();
    Json(EngineReport {
        instance: server.instance.clone(),
        leaving: state.faults.leaving,
        age_ms: now.millis_since(measured),
        queued_tokens,
        running,
        loaded,
        loading: state.loading.as_ref().and_then(|version| version.parse().ok()),
    })
}

async fn sample_reports(server: EngineServer) {
    const KEPT: usize = 100;
    loop {
        {
            let mut state = server.state.lock();
            let sample = (Moment::now(), state.queued_tokens, state.running);
            state.reports.push(sample);
            let surplus = state.reports.len().saturating_sub(KEPT);
            state.reports.drain(..surplus);
            let (evicted, _) = state.cache.evictions_from(u64::MAX);
            while (state.eviction_times.len() as u64) < evicted {
                state.eviction_times.push(Moment::now());
            }
        }
        sleep(Duration::from_millis(REPORT_EVERY_MS)).await;
    }
}

async fn events(
    State(server): State<EngineServer>,
    Query(query): Query<FromQuery>,
) -> Json<CacheEvents> {
    let state = server.state.lock();
    let now = Moment::now();
    let lag = server.options.event_lag_ms;
    let ripe = state.eviction_times.iter().filter(|time| now.millis_since(**time) >= lag);
    let next = ripe.count() as u64;
    let (_, mut events) = state.cache.evictions_from(query.from);
    events.retain(|event| event.sequence < next);
    if state.faults.gap_events {
        events.retain(|event| event.sequence % 2 == 0);
    }
    Json(CacheEvents { instance: server.instance.clone(), next, events })
}

async fn load(server: EngineServer, order: LoadOrder) {
    if let Some(weights) = server.options.weights {
        let path = format!("/weights/{}/{}", order.model, order.version);
        drop(get_json::<u32>(weights, &path, Deadline::in_millis(600_000)).await);
    }
    let mut state = server.state.lock();
    if state.loading.as_deref() == Some(order.version.as_str()) {
        state.version = order.version.as_str().into();
        state.loading = None;
    }
}

async fn obey(
    State(server): State<EngineServer>,
    Json(order): Json<LoadOrder>,
) -> Json<OrderAnswer> {
    let mut state = server.state.lock();
    let Offset(token) = order.token;
    if server.options.checks_fencing && token < state.highest_token {
        state.stats.refused_orders += 1;
        return Json(OrderAnswer { accepted: false, reason: "old fencing number".into() });
    }
    state.highest_token = state.highest_token.max(token);
    let wanted: Box<str> = order.version.as_str().into();
    state.stats.orders.push((token, wanted.clone()));
    state.stats.accepted += 1;
    let settled = state.loading.is_none() && state.version == wanted;
    if !settled && state.loading.as_ref() != Some(&wanted) {
        state.loading = Some(wanted);
        tokio::spawn(load(server.clone(), order));
    }
    Json(OrderAnswer { accepted: true, reason: "".into() })
}

async fn set_faults(State(server): State<EngineServer>, Json(faults): Json<EngineFaults>) {
    server.state.lock().faults = faults;
}

async fn evict_all(State(server): State<EngineServer>) {
    server.state.lock().cache.clear();
}

async fn stats(State(server): State<EngineServer>) -> Json<EngineStats> {
    Json(server.state.lock().stats.clone())
}

/// The engine's routes; must be called inside a runtime.
pub fn router(options: EngineOptions) -> Router {
    let capacity = usize::try_from(options.cache_tokens / BLOCK_TOKENS).unwrap_or(usize::MAX);
    let state = EngineState {
        cache: EngineCache::new(capacity),
        runs: FastMap::default(),
        lane: PrefillLane::default(),
        queued_tokens: 0,
        running: 0,
        version: options.version.clone(),
        loading: None,
        highest_token: 0,
        reports: Vec::new(),
        eviction_times: Vec::new(),
        faults: EngineFaults::default(),
        stats: EngineStats::default(),
    };
    let server = EngineServer {
        slots: Arc::new(Semaphore::new(options.slots)),
        options: Arc::new(options),
        state: Shared::new(state),
        instance: uuid::Uuid::new_v4().simple().to_string().into(),
    };
    tokio::spawn(sample_reports(server.clone()));
    let router = Router::new()
        .route("/v1/completions", post(complete))
        .route("/runs/{run}", get(resume))
        .route("/runs/{run}/cancel", post(cancel))
        .route("/kv/export", post(export))
        .route("/report", get(report))
        .route("/events", get(events))
        .route("/orders", post(obey))
        .route("/fault", post(set_faults))
        .route("/evict", post(evict_all))
        .route("/stats", get(stats))
        .layer(DefaultBodyLimit::max(64 << 20))
        .with_state(server);
    with_words(router)
}
