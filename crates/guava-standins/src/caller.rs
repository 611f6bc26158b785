//! A caller, as an application would be: for tests, the demonstration and the load program.

use crate::serve::AnyError;
use axum::http::{HeaderMap, Method, Request};
use bytes::Bytes;
use guava_outside::{HttpError, collect_body, exchange};
use guava_types::Deadline;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::time::timeout;

const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A caller of one customer.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The customer's key.
    pub key: String,
    /// How long it waits, in milliseconds.
    pub timeout_ms: u64,
}

/// An answer that is not streamed.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: u16,
    /// The outcome header.
    pub outcome: String,
    /// When to come back, in milliseconds.
    pub after_ms: Option<u64>,
    /// The request's id.
    pub request: String,
    /// The body.
    pub body: String,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct CallerCall {
    /// The service.
    pub service: String,
    /// HTTP method.
    pub method: Method,
    /// Path at the service, without the leading `/`.
    pub path: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Number of the attempt.
    pub attempt: Option<u32>,
    /// The body.
    pub body: String,
}

/// What came of a stream.
#[derive(Clone, Debug, Default)]
pub struct StreamedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Outcome header, if it was not streamed.
    pub outcome: String,
    /// Body, if it was not streamed.
    pub body: String,
    /// Chunks in order.
    pub texts: Vec<String>,
    /// Id of the last event.
    pub last_id: String,
    /// The version that ran.
    pub version: String,
    /// Whether the end marker came.
    pub done: bool,
    /// The error event, if one came.
    pub error: Option<String>,
    /// Token counts of the end marker.
    pub usage: serde_json::Value,
    /// Milliseconds to the first chunk.
    pub first_ms: f64,
    /// Milliseconds from the first chunk to the last, for each chunk after the first.
    pub between_ms: f64,
    /// When to come back, in milliseconds.
    pub after_ms: Option<u64>,
    /// The request's id.
    pub request: String,
}

impl StreamedAnswer {
    /// The whole text.
    pub fn text(&self) -> String {
        self.texts.concat()
    }

    fn take_line(&mut self, line: &str) {
        if let Some(id) = line.strip_prefix("id: ") {
            self.last_id = id.into();
        }
        let Some(data) = line.strip_prefix("data: ") else { return };
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let Ok(data) = serde_json::from_str::<serde_json::Value>(data) else { return };
        if data.get("error").is_some() {
            self.error = Some(data.to_string());
        }
        if let Some(version) = data["version"].as_str() {
            self.version = version.into();
        }
        if data.get("usage").is_some() {
            self.usage = data["usage"].clone();
        } else if let Some(text) = data["choices"][0]["text"].as_str() {
            self.texts.push(text.into());
        }
    }
}

fn header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("").into()
}

impl Caller {
    /// A caller of a deployment's customer.
    pub fn of(customer: &str) -> Self {
        let key = crate::deployment::Deployment::customer_key(customer);
        Self { key, timeout_ms: 30_000 }
    }

    /// The same caller with less patience.
    pub fn with_timeout(self, timeout_ms: u64) -> Self {
        Self { timeout_ms, ..self }
    }

    fn request(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
    ) -> axum::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("authorization", format!("Bearer {}", self.key))
            .header("guavatiller-timeout-ms", self.timeout_ms)
            .header("content-type", "application/json")
    }

    async fn answer(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<CallerAnswer, HttpError> {
        let deadline = Deadline::in_millis(self.timeout_ms + 2_000);
        let response = exchange(address, request, deadline).await?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = collect_body(response.into_body(), MAX_ANSWER_BYTES, deadline).await?;
        Ok(CallerAnswer {
            status,
            outcome: header(&headers, "guavatiller-outcome"),
            after_ms: header(&headers, "guavatiller-retry-after-ms").parse().ok(),
            request: header(&headers, "guavatiller-request"),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Sends any request.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<CallerAnswer, AnyError> {
        let request =
            self.request(address, method, path).body(Full::new(body.to_owned().into()))?;
        Ok(self.answer(address, request).await?)
    }

    /// Calls a plain service.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &CallerCall,
    ) -> Result<CallerAnswer, AnyError> {
        let path = format!("/v1/services/{}/{}", call.service, call.path);
        let mut request = self.request(address, call.method.clone(), &path);
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(attempt) = call.attempt {
            request = request.header("idempotency-attempt", attempt);
        }
        let request = request.body(Full::new(call.body.clone().into()))?;
        Ok(self.answer(address, request).await?)
    }

    /// Streams a completion to its end, or until so many chunks came.
    pub async fn stream(
        &self,
        address: SocketAddr,
        prompt: &str,
        max_tokens: u32,
        stop_after: usize,
    ) -> Result<StreamedAnswer, AnyError> {
        let body = serde_json::json!({
            "model": "hints", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let request = self
            .request(address, Method::POST, "/v1/completions")
            .body(Full::new(body.to_string().into()))?;
        self.read_stream(address, request, stop_after).await
    }

    /// Reads a stream on after the last event seen.
    pub async fn resume(
        &self,
        address: SocketAddr,
        last_id: &str,
    ) -> Result<StreamedAnswer, AnyError> {
        let request = self
            .request(address, Method::GET, "/v1/completions")
            .header("last-event-id", last_id)
            .body(Full::default())?;
        self.read_stream(address, request, usize::MAX).await
    }

    async fn read_stream(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        stop_after: usize,
    ) -> Result<StreamedAnswer, AnyError> {
        let started = Instant::now();
        let deadline = Deadline::in_millis(self.timeout_ms + 2_000);
        let response = exchange(address, request, deadline).await?;
        let headers = response.headers().clone();
        let mut answer = StreamedAnswer {
            status: response.status().as_u16(),
            outcome: header(&headers, "guavatiller-outcome"),
            after_ms: header(&headers, "guavatiller-retry-after-ms").parse().ok(),
            request: header(&headers, "guavatiller-request"),
            ..StreamedAnswer::default()
        };
        if header(&headers, "content-type") != "text/event-stream" {
            let body = collect_body(response.into_body(), MAX_ANSWER_BYTES, deadline).await?;
            answer.body = String::from_utf8_lossy(&body).into_owned();
            return Ok(answer);
        }
        read_events(response.into_body(), &mut answer, started, stop_after, deadline).await?;
        Ok(answer)
    }
}

async fn read_events(
    mut body: Incoming,
    answer: &mut StreamedAnswer,
    started: Instant,
    stop_after: usize,
    deadline: Deadline,
) -> Result<(), AnyError> {
    let mut text = String::new();
    let mut first = None;
    let mut last = started;
    while answer.texts.len() < stop_after {
        let Some(frame) = timeout(deadline.time_left(), body.frame()).await? else { break };
        if let Ok(data) = frame?.into_data() {
            text.push_str(std::str::from_utf8(&data)?);
        }
        while let Some(end) = text.find('\n') {
            let line: String = text.drain(..=end).collect();
            let before = answer.texts.len();
            answer.take_line(line.trim_end());
            if answer.texts.len() > before {
                first.get_or_insert_with(Instant::now);
                last = Instant::now();
            }
        }
    }
    if let Some(first) = first {
        answer.first_ms = (first - started).as_secs_f64() * 1_000.0;
        let gaps = answer.texts.len().saturating_sub(1).max(1);
        answer.between_ms = (last - first).as_secs_f64() * 1_000.0 / gaps as f64;
    }
    Ok(())
}
