//! A listener for HTTP/1.1 whose requests all go to one function.

use crate::request::answer_body::AnswerBody;
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

/// Connections that wait to be accepted: a burst while this process has no processor time.
const BACKLOG: u32 = 1_024;
/// Pause after an accept that failed, for want of descriptors as a rule, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;

/// How far a listener's end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListenerPhase {
    /// It serves.
    Open,
    /// Nothing new is accepted, and idle connections are closed.
    Closing,
}

/// Limits of a listener's connections, asked for when one is accepted.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Milliseconds until the next request's head must be in.
    pub idle_ms: u64,
    /// Open connections at most.
    pub connections: usize,
}

/// Opens a listener.
pub fn open_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves their requests, until told to close; then until all are over.
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
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
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
        tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
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
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_header_size(limits.header_bytes)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let is_over = tokio::select! {
        _ = connection.as_mut() => true,
        _ = phase.wait_for(|phase| *phase == ListenerPhase::Closing) => false,
    };
    if !is_over {
        connection.as_mut().graceful_shutdown();
        // How a connection ends is seen by the requests on it.
        drop(connection.await);
    }
}
