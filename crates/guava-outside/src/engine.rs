//! Model engines: completions, cancel and resume, KV export and import, cache events, load
//! reports, orders.

use crate::attempt_ledger::{SendError, SendPermit};
use crate::http_link::{self, HttpError};
use bytes::BytesMut;
use guava_policy::UpstreamAnnouncements;
use guava_types::{Deadline, FastMap, ModelName, Offset, TokenCount, UpstreamId, VersionName};
use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::net::SocketAddr;
use tokio::time::timeout;

/// Longest line of an event stream, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Header in which an engine returns a run's id.
pub const RUN_HEADER: &str = "x-run-id";
/// Longest wait for a connection to an engine, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// A block to import before the prefill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportOrder {
    /// The store's address.
    pub store: SocketAddr,
    /// The block's key.
    pub key: Box<str>,
    /// Expected length in bytes; any other length is a miss.
    pub length: u64,
    /// Expected digest; any other digest is a miss.
    pub digest: Box<str>,
    /// Tokens that it covers.
    pub tokens: TokenCount,
    /// Timeout of the import, in milliseconds: at most the grant's remaining time and the time
    /// that recomputing would take. An import that takes longer is a miss.
    pub grant_left_ms: u64,
}

/// A completion to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionOrder {
    /// The request's id, echoed in each chunk.
    pub request: Box<str>,
    /// The model.
    pub model: ModelName,
    /// The weight version that must run it; any other is refused.
    pub version: VersionName,
    /// The prompt.
    pub prompt: Box<str>,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Requests with smaller values run first.
    pub priority: u32,
    /// Root of the engine's cache keys for this customer, model and version.
    pub cache_salt: Box<str>,
    /// A block to import first, if the engine does not hold as much itself.
    pub import: Option<ImportOrder>,
    /// The caller's other parameters, forwarded unchanged.
    #[serde(flatten)]
    pub parameters: serde_json::Map<String, serde_json::Value>,
}

/// Token counts of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Of those, tokens found in the engine's cache or imported.
    pub cached_tokens: u64,
    /// Of those, tokens imported.
    pub imported_tokens: u64,
    /// Time spent on the import, successful or not, in milliseconds; zero without one.
    #[serde(default)]
    pub import_ms: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// One event of a run's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEvent {
    /// The request's id, as in the order.
    pub request: Box<str>,
    /// The run's id at the engine.
    pub run: Box<str>,
    /// The version that runs it.
    pub version: VersionName,
    /// Position of the chunk; in the end marker, the number of chunks.
    pub position: u64,
    /// The chunk's text; `None` in the end marker.
    pub text: Option<Box<str>>,
    /// Token counts, in the end marker.
    pub usage: Option<Usage>,
}

/// A run's stream.
#[derive(Debug)]
pub struct EngineStream {
    /// The run's id, from the answer's headers.
    pub run: Option<Box<str>>,
    /// Upstream announcements in the answer's headers.
    pub announcements: UpstreamAnnouncements,
    body: Incoming,
    buffer: BytesMut,
}

impl EngineStream {
    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        Some(self.buffer.split_to(end + 1))
    }

    /// The next event; `None` when the body ends, which does not mean that the answer is complete.
    pub async fn next(&mut self, deadline: Deadline) -> Result<Option<EngineEvent>, HttpError> {
        loop {
            while let Some(line) = self.take_line() {
                let Some(data) = line.strip_prefix(b"data: ") else { continue };
                if data.trim_ascii() == b"[DONE]" {
                    continue;
                }
                return serde_json::from_slice(data).map(Some).context(http_link::SyntaxSnafu);
            }
            let waiting_for = "reading the run's stream";
            let frame = timeout(deadline.time_left(), self.body.frame())
                .await
                .map_err(|_| HttpError::TimedOut { waiting_for })?;
            let Some(frame) = frame else { return Ok(None) };
            if let Ok(data) = frame.context(http_link::BrokenSnafu)?.into_data() {
                if self.buffer.len() + data.len() > MAX_LINE_BYTES {
                    return Err(HttpError::TooLarge { limit: MAX_LINE_BYTES });
                }
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}

/// An upstream's report; services fill in the first two fields only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Incarnation of the upstream's process.
    pub instance: Box<str>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Age of the figures below, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// Prompt tokens waiting for prefill.
    #[serde(default)]
    pub queued_tokens: u64,
    /// Requests decoding or waiting.
    #[serde(default)]
    pub running: u32,
    /// Versions that take new requests, by model.
    #[serde(default)]
    pub loaded: FastMap<ModelName, VersionName>,
    /// The version being loaded, if any.
    #[serde(default)]
    pub loading: Option<VersionName>,
}

/// A block to write to a store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExportOrder {
    /// Root of the cache keys.
    pub cache_salt: Box<str>,
    /// Hash of the last block of the prefix, in hexadecimal.
    pub last_hash: Box<str>,
    /// Tokens of the prefix.
    pub tokens: TokenCount,
    /// The key to write under.
    pub key: Box<str>,
    /// The store's address.
    pub store: SocketAddr,
}

/// What the engine reports to have written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportReceipt {
    /// Length in bytes.
    pub length: u64,
    /// BLAKE3 digest, in hexadecimal.
    pub digest: Box<str>,
}

/// An order to load a version. It names the target state, so repeating it is harmless.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Fencing token of the lease under which the order is sent.
    pub token: Offset,
    /// The model.
    pub model: ModelName,
    /// The version to load.
    pub version: VersionName,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Whether the engine will carry out the order.
    pub accepted: bool,
    /// Why the order was refused; empty if accepted.
    #[serde(default)]
    pub reason: Box<str>,
}

/// A cache eviction. A hint only: events may arrive late or be lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Increases by one per event; a gap means that events were lost.
    pub sequence: u64,
    /// Root of the evicted prefix.
    pub salt: Box<str>,
    /// Hash of its first block, in hexadecimal.
    pub first_hash: Box<str>,
}

/// Cache events from a sequence number on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation of the engine's process; a new one starts with an empty cache.
    pub instance: Box<str>,
    /// The sequence number from which to read next.
    pub next: u64,
    /// Evictions.
    pub events: Vec<CacheEvent>,
}

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    /// Its name, for errors and logs.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
}

impl EngineClient {
    async fn stream(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        deadline: Deadline,
    ) -> Result<EngineStream, HttpError> {
        let request =
            http_link::request(self.address, method, path, "application/json", body.into())?;
        let connect_deadline = http_link::capped_deadline(deadline, CONNECT_TIMEOUT_MS);
        let sender = http_link::connect(self.address, connect_deadline).await?;
        let response = http_link::send(sender, request, deadline).await?;
        if !response.status().is_success() {
            return Err(http_link::refusal(response, deadline).await);
        }
        let run = response.headers().get(RUN_HEADER).and_then(|value| value.to_str().ok());
        let run = run.map(Box::from);
        let announcements = http_link::upstream_announcements(&response);
        Ok(EngineStream { run, announcements, body: response.into_body(), buffer: BytesMut::new() })
    }

    /// Starts a run. An error without the permission says that it may have started.
    pub async fn complete(
        &self,
        permit: SendPermit,
        order: &CompletionOrder,
        deadline: Deadline,
    ) -> Result<EngineStream, SendError> {
        let body = match serde_json::to_vec(order).context(http_link::SyntaxSnafu) {
            Ok(body) => body,
            Err(error) => return Err(SendError { error, unused: Some(permit) }),
        };
        let stream = self.stream(Method::POST, "/v1/completions", body, deadline).await;
        stream.map_err(|error| SendError::of_refusing(error, permit))
    }

    /// Continues reading a run from a position, over a new connection.
    pub async fn resume(
        &self,
        run: &str,
        from: u64,
        deadline: Deadline,
    ) -> Result<EngineStream, HttpError> {
        let path = format!("/runs/{run}?from={from}");
        self.stream(Method::GET, &path, Vec::new(), deadline).await
    }

    /// Cancels a run.
    pub async fn cancel(&self, run: &str, deadline: Deadline) -> Result<(), HttpError> {
        http_link::post_json(self.address, &format!("/runs/{run}/cancel"), &(), deadline).await
    }

    /// The engine's report.
    pub async fn report(&self, deadline: Deadline) -> Result<EngineReport, HttpError> {
        http_link::get_json(self.address, "/report", deadline).await
    }

    /// Cache events from a sequence number on.
    pub async fn events(&self, from: u64, deadline: Deadline) -> Result<CacheEvents, HttpError> {
        http_link::get_json(self.address, &format!("/events?from={from}"), deadline).await
    }

    /// Orders a load.
    pub async fn order(
        &self,
        order: &LoadOrder,
        deadline: Deadline,
    ) -> Result<OrderAnswer, HttpError> {
        http_link::post_json(self.address, "/orders", order, deadline).await
    }

    /// Orders an export; returns when the store has sealed the block.
    pub async fn export(
        &self,
        order: &ExportOrder,
        deadline: Deadline,
    ) -> Result<ExportReceipt, HttpError> {
        http_link::post_json(self.address, "/kv/export", order, deadline).await
    }
}
