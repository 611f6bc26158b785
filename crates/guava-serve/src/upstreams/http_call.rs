//! A call with a short answer that is read whole: to stores, and to upstreams beside requests.

use crate::deadline_wait::until;
use crate::upstreams::connection_pool::{ConnectionPool, ExchangeError};
use bytes::Bytes;
use guava_types::Deadline;
use http::header::HOST;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use snafu::Snafu;
use std::net::SocketAddr;

/// Why a call gave nothing.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// No connection or no answer.
    #[snafu(display("{source}"), context(false))]
    NoAnswer {
        /// Why.
        source: ExchangeError,
    },
    /// No answer in time.
    #[snafu(display("no answer in time"))]
    Late,
    /// The other side asked for rest, so the call is not made.
    #[snafu(display("it asked for rest"))]
    BackingOff,
    /// The answer broke off.
    #[snafu(display("the answer broke off"))]
    Broken,
}

/// A call's answer.
#[derive(Debug)]
pub struct CallAnswer {
    /// Status.
    pub status: StatusCode,
    /// Head.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// A call's request.
pub fn call_request(
    method: Method,
    address: SocketAddr,
    target: &str,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    // Targets are made of constants, numbers and names that were read from text: they are valid.
    if let Ok(target) = target.parse() {
        *request.uri_mut() = target;
    }
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    request
}

impl ConnectionPool {
    /// Makes a call; its connection is kept for so many milliseconds.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Deadline,
        idle_ms: u64,
    ) -> Result<CallAnswer, CallError> {
        let calling = self.call_untimed(address, request, idle_ms);
        until(deadline, calling).await.unwrap_or_else(|| LateSnafu.fail())
    }

    async fn call_untimed(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        idle_ms: u64,
    ) -> Result<CallAnswer, CallError> {
        let mut connection = self.reuse_or_open(address).await?;
        let response = match connection.exchange(request.clone()).await {
            // The kept connection was closed meanwhile, and nothing was sent.
            Err(ExchangeError::NotSent { .. }) => {
                connection = self.open(address).await?;
                connection.exchange(request).await?
            }
            other => other?,
        };
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| CallError::Broken)?;
        self.keep(connection, Some(idle_ms));
        Ok(CallAnswer { status: head.status, headers: head.headers, body: body.to_bytes() })
    }
}
