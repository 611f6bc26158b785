//! Calls whose short answer is read completely: to stores, and to upstreams for other purposes than
//! customers' requests.

use crate::deadline_wait::until;
use crate::upstreams::bounded_body::{BodyError, read_body};
use crate::upstreams::connection_pool::{ConnectionPool, ConnectionUse, ExchangeError};
use bytes::Bytes;
use guava_types::Deadline;
use http::header::HOST;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use snafu::Snafu;
use std::net::SocketAddr;

/// Largest body of an answer to a call, in bytes: several times the largest page of records, and the
/// list of the prompt parts of a large store.
const MAX_CALL_BYTES: usize = 8 << 20;

/// Failure of a call.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// The connection failed, or no answer arrived on it.
    #[snafu(display("{source}"), context(false))]
    NoAnswer {
        /// Failure of the exchange.
        source: ExchangeError,
    },
    /// The deadline passed before the complete answer arrived.
    #[snafu(display("no complete answer before the deadline"))]
    TimedOut,
    /// The call was not made, since the server had asked for a back-off.
    #[snafu(display("not called: the server asked for a back-off"))]
    BackingOff,
    /// The call was not made, since the calls that the upstream's limit allows are used up.
    #[snafu(display("not called: the calls of its limit are used up"))]
    Limited,
    /// The answer's body was not read completely.
    #[snafu(display("{source}"), context(false))]
    Body {
        /// Why not.
        source: BodyError,
    },
}

/// Complete answer to a call, of any status.
#[derive(Debug)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Builds the request of a call, with its `Host` header.
pub fn call_request(
    method: Method,
    address: SocketAddr,
    target: &str,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    // Targets consist of constants, numbers and validated names, so parsing does not fail.
    if let Ok(target) = target.parse() {
        *request.uri_mut() = target;
    }
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    request
}

impl ConnectionPool {
    /// Makes a call and reads the complete answer. `idle_ms` is the idle limit of the connection,
    /// which is kept for reuse.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Deadline,
        idle_ms: u64,
    ) -> Result<CallAnswer, CallError> {
        let calling = self.call_untimed(address, request, idle_ms);
        until(deadline, calling).await.unwrap_or_else(|| TimedOutSnafu.fail())
    }

    async fn call_untimed(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        idle_ms: u64,
    ) -> Result<CallAnswer, CallError> {
        let mut connection = self.reuse_or_open(address, ConnectionUse::Calls).await?;
        let response = match connection.exchange(request.clone()).await {
            // The idle connection was closed meanwhile, and nothing was sent.
            Err(ExchangeError::NotSent { .. }) => {
                connection = self.open(address, ConnectionUse::Calls).await?;
                connection.exchange(request).await?
            }
            other => other?,
        };
        let (head, body) = response.into_parts();
        let body = read_body(body, MAX_CALL_BYTES, None).await?;
        self.keep(connection, Some(idle_ms));
        Ok(CallAnswer { status: head.status, headers: head.headers, body })
    }
}
