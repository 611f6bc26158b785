//! An HTTP/1.1 listener that passes all requests to one handler.

use crate::request::answer_body::AnswerBody;
use guava_framing::{AnswerEnd, CallerStream, watch_answer};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Connections that may wait to be accepted: a burst while this process has no processor time.
const BACKLOG_CONNECTIONS: u32 = 1_024;
/// Delay after a failed accept, usually for lack of file descriptors, and interval between two checks
/// for connections that are still open, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 20;

/// Whether a listener accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListenerPhase {
    /// Connections are accepted and served.
    Open,
    /// No new connection is accepted, idle ones are closed, and requests in flight finish.
    Closing,
}

/// Limits of a listener's connections, read whenever a connection is accepted.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Milliseconds within which the next request's complete head must arrive.
    pub idle_ms: u64,
    /// Most open connections; further ones are closed when accepted.
    pub connections: usize,
}

/// Opens a listening socket at an IPv4 address; fails with the error of the system call.
pub fn open_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}

/// Accepts connections and serves their requests until the phase is `Closing`.
///
/// Then it closes the listener, and returns when all open connections have finished.
pub async fn serve_listener<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> ConnectionLimits,
    handler: H,
    mut phase: watch::Receiver<ListenerPhase>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == ListenerPhase::Closing) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
            continue;
        };
        let limits = limits();
        if open.get() >= limits.connections {
            continue;
        }
        let counted = OpenCount::new(&open);
        let serving = serve_connection(stream, limits, handler.clone(), phase.clone());
        tokio::task::spawn_local(async move {
            serving.await;
            drop(counted);
        });
    }
    drop(listener);
    while open.get() > 0 {
        tokio::time::sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
    }
}

struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: ConnectionLimits,
    handler: H,
    mut phase: watch::Receiver<ListenerPhase>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    drop(stream.set_nodelay(true));
    let end = AnswerEnd::default();
    let stream = CallerStream::plain(stream, end.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (method, version, end) = (request.method().clone(), request.version(), end.clone());
        let answer = handler(request);
        async move { Ok::<_, Infallible>(watch_answer(&end, &method, version, answer.await)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_header_size(limits.header_bytes)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let is_finished = tokio::select! {
        _ = connection.as_mut() => true,
        _ = phase.wait_for(|phase| *phase == ListenerPhase::Closing) => false,
    };
    if !is_finished {
        connection.as_mut().graceful_shutdown();
        // The requests on a connection handle its errors.
        drop(connection.await);
    }
}
