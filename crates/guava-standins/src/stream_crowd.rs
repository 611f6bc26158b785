//! A client that doesn't behave over HTTP/2: many requests on one connection, whose bodies stand still
//! before their ends and whose answers it does not read.

use crate::serve::AnyError;
use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use http::Request;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Bytes of each frame of a body.
const FRAME_BYTES: usize = 16 << 10;
/// Interval between two checks of whether more was taken.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Checks in a row at which nothing more was taken, after which a crowd waits no longer.
const IDLE_CHECKS: u32 = 20;

/// What each stream sends.
#[derive(Clone, Debug)]
pub struct CrowdRequest {
    /// Method, path and headers.
    pub head: Request<()>,
    /// First bytes of the body.
    pub opening: Bytes,
    /// Bytes of the body after those, which has no end.
    pub body_bytes: usize,
}

/// One connection with many streams; closed when it is dropped.
pub struct StreamCrowd {
    ending: Arc<Notify>,
    connection: Option<JoinHandle<Result<(), AnyError>>>,
}

impl StreamCrowd {
    /// Opens so many streams, and returns when no more of their bodies is taken.
    pub fn open(address: SocketAddr, streams: usize, request: CrowdRequest) -> Self {
        let ending = Arc::new(Notify::new());
        let sent = Arc::new(AtomicUsize::new(0));
        let (over, counted) = (Arc::clone(&ending), Arc::clone(&sent));
        let connection = spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(async {
                tokio::select! {
                    held = hold(address, streams, request, counted) => held,
                    () = over.notified() => Ok(()),
                }
            })
        });
        let (mut before, mut idle_checks) = (0, 0);
        while idle_checks < IDLE_CHECKS {
            sleep(CHECK_INTERVAL);
            let now = sent.load(Ordering::Relaxed);
            idle_checks = if now == before { idle_checks + 1 } else { 0 };
            before = now;
        }
        Self { ending, connection: Some(connection) }
    }
}

impl Drop for StreamCrowd {
    fn drop(&mut self) {
        self.ending.notify_one();
        self.connection.take().into_iter().for_each(|connection| drop(connection.join()));
    }
}

async fn hold(
    address: SocketAddr,
    streams: usize,
    request: CrowdRequest,
    sent: Arc<AtomicUsize>,
) -> Result<(), AnyError> {
    let stream = TcpStream::connect(address).await?;
    let (sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await?;
    for _ in 0..streams {
        let (mut sender, request, sent) = (sender.clone(), request.clone(), Arc::clone(&sent));
        tokio::spawn(async move {
            let body = endless_body(request.opening, request.body_bytes, sent);
            let sending = sender.send_request(request.head.map(|()| body));
            // Answers are kept and never read; a refused stream is left at that.
            let _unread = sending.await;
            std::future::pending::<()>().await;
        });
    }
    Ok(connection.await?)
}

type CrowdBody = StreamBody<stream::BoxStream<'static, Result<Frame<Bytes>, Infallible>>>;

/// A body that stands still after so many bytes.
fn endless_body(opening: Bytes, length: usize, sent: Arc<AtomicUsize>) -> CrowdBody {
    let frames = stream::iter((0..length.div_ceil(FRAME_BYTES)).map(move |_| {
        sent.fetch_add(FRAME_BYTES, Ordering::Relaxed);
        Bytes::from(vec![b'b'; FRAME_BYTES])
    }));
    let frames = stream::iter([opening]).chain(frames).map(|bytes| Ok(Frame::data(bytes)));
    StreamBody::new(frames.chain(stream::pending()).boxed())
}
