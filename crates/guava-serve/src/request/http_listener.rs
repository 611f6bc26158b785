//! An HTTP/1.1 listener that passes all requests to one handler.

use crate::request::answer_body::AnswerBody;
use guava_clients::{
    AnswerBytes, BudgetedStream, ClientBudget, ClientTimes, ConnectionAccount, ListenerPlaces,
};
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
/// Smallest buffer of a connection, whatever the largest head is, and what it has room for beside that
/// one, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
const BUFFER_MARGIN_BYTES: usize = 4 << 10;

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
    /// How long clients may take.
    pub times: ClientTimes,
}

/// What a listener's connections count against.
#[derive(Clone)]
pub struct ListenerBudget {
    /// Budget of the process.
    pub clients: ClientBudget,
    /// The listener's share of the places.
    pub places: ListenerPlaces,
}

/// Opens a listening socket at an IPv4 address; fails with the error of the system call.
pub fn open_listener(address: SocketAddr, clients: &ClientBudget) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    clients.bound_buffers(&socket)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}

/// Accepts connections and serves their requests until the phase is `Closing`.
///
/// Then it closes the listener, and returns when all open connections have finished.
pub async fn serve_listener<H, F>(
    listener: TcpListener,
    budget: ListenerBudget,
    limits: impl Fn() -> ConnectionLimits,
    handler: H,
    mut phase: watch::Receiver<ListenerPhase>,
) where
    H: Fn(Request<Incoming>, ConnectionAccount) -> F + Clone + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == ListenerPhase::Closing) => break,
        };
        let Ok((stream, _)) = accepted else {
            budget.clients.make_place();
            tokio::time::sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
            continue;
        };
        let limits = limits();
        if let Some(account) = budget.clients.open(budget.places, limits.times) {
            let counted = OpenCount::new(&open);
            let serving = serve_connection(stream, limits, account, handler.clone(), phase.clone());
            tokio::task::spawn_local(async move {
                serving.await;
                drop(counted);
            });
        }
        if budget.clients.is_full() {
            // Connections that were closed for others give their descriptors back in their own turn.
            tokio::task::yield_now().await;
        }
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
    account: ConnectionAccount,
    handler: H,
    mut phase: watch::Receiver<ListenerPhase>,
) where
    H: Fn(Request<Incoming>, ConnectionAccount) -> F + Clone + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    drop(stream.set_nodelay(true));
    let end = AnswerEnd::default();
    let stream = BudgetedStream::plain(stream, account.clone());
    let stream = CallerStream::new(stream, BudgetedStream::socket, end.clone());
    let served = account.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (method, version, end) = (request.method().clone(), request.version(), end.clone());
        let service = served.begin_request();
        let handler = handler.clone();
        async move {
            service.turn().await;
            let answer = handler(request, service.account().clone()).await;
            let answer = watch_answer(&end, &method, version, answer);
            Ok::<_, Infallible>(answer.map(|body| AnswerBytes::new(body, service)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.times.idle_ms))
        .max_header_size(limits.header_bytes)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES) + BUFFER_MARGIN_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closed = std::pin::pin!(account.closed());
    let is_finished = tokio::select! {
        _ = connection.as_mut() => true,
        () = closed.as_mut() => true,
        _ = phase.wait_for(|phase| *phase == ListenerPhase::Closing) => false,
    };
    if !is_finished {
        connection.as_mut().graceful_shutdown();
        // The requests on a connection handle its errors.
        tokio::select! {
            _ = connection => {}
            () = closed => {}
        }
    }
}
