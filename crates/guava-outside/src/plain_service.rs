//! Client of plain services: upstreams that are not engines.

use crate::attempt_ledger::{SendError, SendPermit};
use crate::http_link::{self, HttpError};
use bytes::Bytes;
use guava_policy::UpstreamAnnouncements;
use guava_types::Deadline;
use http::header::CONTENT_TYPE;
use http::{Method, StatusCode};
use std::net::SocketAddr;

/// Largest answer that is forwarded, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query, beginning with `/`.
    pub path: Box<str>,
    /// Type of the body.
    pub content_type: Box<str>,
    /// The body.
    pub body: Bytes,
    /// The customer that calls, as authenticated.
    pub customer: Box<str>,
    /// Idempotency key, forwarded for the service's own records; empty for none.
    pub key: Box<str>,
}

/// What the service answered.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Type of the body.
    pub content_type: Box<str>,
    /// The complete body.
    pub body: Bytes,
    /// Upstream announcements in the answer's headers.
    pub announcements: UpstreamAnnouncements,
}

/// Client of one instance of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceClient {
    /// Where it listens.
    pub address: SocketAddr,
}

impl ServiceClient {
    /// Makes one call, sent at most once. An error without the permission says that the call may
    /// have run.
    pub async fn call(
        &self,
        permit: SendPermit,
        call: &ServiceCall,
        deadline: Deadline,
    ) -> Result<ServiceAnswer, SendError> {
        self.exchange(call, deadline).await.map_err(|error| SendError::new(error, permit))
    }

    async fn exchange(
        &self,
        call: &ServiceCall,
        deadline: Deadline,
    ) -> Result<ServiceAnswer, HttpError> {
        const CONNECT_TIMEOUT_MS: u64 = 1_000;
        let mut request = http_link::request(
            self.address,
            call.method.clone(),
            &call.path,
            &call.content_type,
            call.body.clone(),
        )?;
        let headers = request.headers_mut();
        for (name, value) in
            [("guavatiller-customer", &call.customer), ("idempotency-key", &call.key)]
        {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        }
        let connect_deadline = http_link::capped_deadline(deadline, CONNECT_TIMEOUT_MS);
        let sender = http_link::connect(self.address, connect_deadline).await?;
        let response = http_link::send(sender, request, deadline).await?;
        let status = response.status();
        let announcements = http_link::upstream_announcements(&response);
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .into();
        let body =
            http_link::collect_body(response.into_body(), MAX_ANSWER_BYTES, deadline).await?;
        Ok(ServiceAnswer { status, content_type, body, announcements })
    }
}
