//! Copies from peers: whom to ask, and why a copy is not used.
//!
//! A copy that can't be used is refused, logged and counted, and another peer is asked.

use crate::events;
use crate::serve_context::ServeContext;
use crate::upstreams::http_call::CallError;
use bytes::Bytes;
use guava_log::log_event;
use guava_types::Deadline;
use http::{Request, StatusCode};
use http_body_util::Full;
use snafu::{ResultExt, Snafu, ensure};
use std::net::SocketAddr;

/// Idle limit of the connection to a peer, in milliseconds: it is used for one copy.
const IDLE_LIMIT_MS: u64 = 2_000;

/// Why nothing was copied.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CopyError {
    /// No peer is known that could have a copy, or this daemon does not know the daemons' key yet.
    #[snafu(display("no peer can be asked"))]
    NoPeer,
    /// The peer did not answer.
    #[snafu(display("{peer}: {source}"))]
    Call {
        /// Address of the peer.
        peer: SocketAddr,
        /// Failure of the call.
        source: CallError,
    },
    /// The peer has no copy, sends copies to others now, or does not accept the call.
    #[snafu(display("{peer}: status {status}"))]
    Refused {
        /// Address of the peer.
        peer: SocketAddr,
        /// Status of its answer.
        status: StatusCode,
    },
    /// The copy is truncated, too long, names values that are none, or its sender does not know the
    /// daemons' key.
    #[snafu(display("{peer}: not a valid {content}"))]
    Invalid {
        /// Address of the peer.
        peer: SocketAddr,
        /// What was asked for.
        content: &'static str,
    },
    /// The peer has not confirmed its list for too long.
    #[snafu(display("{peer}: its list was last confirmed {age_ms} ms ago"))]
    Old {
        /// Address of the peer.
        peer: SocketAddr,
        /// Age of the list, in milliseconds.
        age_ms: u64,
    },
}

/// The copy of the first of these peers that gives one.
pub(super) async fn first_copy<T>(
    context: &ServeContext,
    sources: Vec<SocketAddr>,
    copy_from: impl AsyncFn(SocketAddr) -> Result<T, CopyError>,
) -> Result<T, CopyError> {
    let mut failure = CopyError::NoPeer;
    for peer in sources {
        match copy_from(peer).await {
            Ok(copy) => return Ok(copy),
            Err(error) => {
                if matches!(error, CopyError::Invalid { .. } | CopyError::Old { .. }) {
                    context.metrics.count_refused_copy();
                    log_event!(warn, events::COPY_REFUSED, reason = error);
                }
                failure = error;
            }
        }
    }
    Err(failure)
}

/// The body with which a peer answers a call.
pub(super) async fn call_peer(
    context: &ServeContext,
    peer: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout_ms: u64,
) -> Result<Bytes, CopyError> {
    let deadline = Deadline::in_millis(timeout_ms);
    let answer = context.pool.call(peer, request, deadline, IDLE_LIMIT_MS).await;
    let answer = answer.context(CallSnafu { peer })?;
    ensure!(answer.status == StatusCode::OK, RefusedSnafu { peer, status: answer.status });
    Ok(answer.body)
}
