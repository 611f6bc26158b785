//! A listener: TCP, TLS if set, HTTP/1.1 and HTTP/2 on one port.

use crate::tls::TlsKeeper;
use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::response::{IntoResponse, Response};
use guava_clients::{
    AnswerBytes, BudgetedStream, ClientBudget, ClientTimes, ConnectionAccount, ListenerPlaces,
    RequestBytes,
};
use guava_framing::{AnswerEnd, CallerStream, watch_answer};
use http::StatusCode;
use http::header::RETRY_AFTER;
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use hyper_util::service::TowerToHyperService;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsAcceptor;

const HANDSHAKE_MS: u64 = 5_000;
/// A connection of HTTP/1.1 that waits for a request for so long is closed, and one of HTTP/2.
const IDLE_MS: u64 = 30_000;
const LONGEST_IDLE_MS: u64 = 600_000;
/// A head must be complete so long after its first byte.
const HEAD_MS: u64 = 10_000;
/// What is ready of an answer must be taken within that time: as long as a stream's caller may stall.
const ANSWER_MS: u64 = 30_000;
/// A connection whose other side answers no ping for this long is closed.
const PING_MS: u64 = 2_000;
const PING_TIMEOUT_MS: u64 = 3_000;
/// Requests at a time on one connection; a client with more waits or opens another one.
const MAX_STREAMS: u32 = 256;
/// Streams that a client has reset before they were taken up; a connection with more is closed.
const MAX_RESET_STREAMS: usize = 64;
/// Bytes that a client may send on one stream, and on all streams of a connection, before they are read.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;
const CONNECTION_WINDOW_BYTES: u32 = 256 << 10;
/// Bytes of an answer that wait in a connection.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Buffer of a connection, with room for the largest head, in bytes.
const BUFFER_BYTES: usize = 64 << 10;
const MAX_HEAD_BYTES: u32 = 32 << 10;
/// Connections may take so long to finish once the daemon stops.
const FINISH_MS: u64 = 5_000;
/// Pause after an accept that failed, usually for lack of descriptors.
const ACCEPT_PAUSE_MS: u64 = 20;
/// When a request that got no memory may come back, in seconds.
const COME_BACK_S: &str = "1";

/// What a listener's connections count against, and what of them is counted here.
#[derive(Clone)]
pub struct ListenerRules {
    clients: ClientBudget,
    places: ListenerPlaces,
    /// Whether requests' bodies are counted as they are read; otherwise their handlers do that.
    counts_bodies: bool,
}

impl ListenerRules {
    /// The rules of one of the daemon's listeners.
    pub fn new(name: &'static str, clients: ClientBudget) -> Self {
        let is_callers = name == "front";
        let most_permille = if is_callers { 800 } else { 250 };
        let places = ListenerPlaces { name, most_permille };
        Self { clients, places, counts_bodies: !is_callers }
    }
}

/// Serves a router until told to stop; then lets open requests finish.
pub async fn serve_listener(
    listener: TcpListener,
    tls: Option<TlsKeeper>,
    router: Router,
    rules: ListenerRules,
    mut stop: watch::Receiver<bool>,
) {
    const TIMES: ClientTimes =
        ClientTimes { idle_ms: LONGEST_IDLE_MS, head_ms: HEAD_MS, answer_ms: ANSWER_MS };
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else {
            rules.clients.make_place();
            sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        if let Some(account) = rules.clients.open(rules.places, TIMES) {
            drop(stream.set_nodelay(true));
            let client = ClientConnection {
                account,
                router: router.clone(),
                rules: rules.clone(),
                watcher: graceful.watcher(),
            };
            tokio::spawn(client.serve(stream, tls.clone()));
        }
        if rules.clients.is_full() {
            // Connections that were closed for others give their descriptors back in their own turn.
            yield_now().await;
        }
    }
    drop(timeout(Duration::from_millis(FINISH_MS), graceful.shutdown()).await);
}

async fn shake_hands(
    stream: TcpStream,
    keeper: &TlsKeeper,
) -> Option<tokio_rustls::server::TlsStream<TcpStream>> {
    let acceptor = TlsAcceptor::from(keeper.current());
    let shaking = timeout(Duration::from_millis(HANDSHAKE_MS), acceptor.accept(stream));
    shaking.await.ok()?.ok()
}

/// An accepted connection.
struct ClientConnection {
    account: ConnectionAccount,
    router: Router,
    rules: ListenerRules,
    watcher: Watcher,
}

impl ClientConnection {
    async fn serve(self, stream: TcpStream, tls: Option<TlsKeeper>) {
        let account = self.account.clone();
        match tls {
            None => {
                let stream = BudgetedStream::plain(stream, account);
                self.serve_requests(stream, BudgetedStream::socket).await;
            }
            Some(keeper) => {
                if let Some(stream) = shake_hands(stream, &keeper).await {
                    let stream = BudgetedStream::new(stream, |stream| stream.get_ref().0, account);
                    self.serve_requests(stream, BudgetedStream::socket).await;
                }
            }
        }
    }

    async fn serve_requests<S>(self, stream: S, socket: fn(&S) -> &TcpStream)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let end = AnswerEnd::default();
        let stream = CallerStream::new(stream, socket, end.clone());
        let routes = TowerToHyperService::new(self.router);
        let (account, rules) = (self.account.clone(), self.rules);
        let service = service_fn(move |request: Request<Incoming>| {
            let (method, version, end) = (request.method().clone(), request.version(), end.clone());
            let service = account.begin_request();
            let held = account.hold_request(request.headers());
            let request = counted_request(request, &account, rules.counts_bodies);
            let answer = held.is_some().then(|| routes.call(request));
            async move {
                let answer = match answer {
                    Some(answer) => answer.await?,
                    None => no_memory(),
                };
                drop(held);
                let answer = watch_answer(&end, &method, version, answer);
                Ok::<_, std::convert::Infallible>(
                    answer.map(|body| AnswerBytes::new(body, service)),
                )
            }
        });
        let builder = connection_builder();
        let connection = builder.serve_connection_with_upgrades(TokioIo::new(stream), service);
        // How a connection ends is seen by the requests on it.
        tokio::select! {
            _ = self.watcher.watch(connection.into_owned()) => {}
            () = self.account.closed() => {}
        }
    }
}

fn connection_builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(BUFFER_BYTES)
        .header_read_timeout(Duration::from_millis(IDLE_MS));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_pending_accept_reset_streams(MAX_RESET_STREAMS)
        .max_header_list_size(MAX_HEAD_BYTES)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .keep_alive_interval(Duration::from_millis(PING_MS))
        .keep_alive_timeout(Duration::from_millis(PING_TIMEOUT_MS));
    builder
}

/// The request with the account of its connection, and with its body counted if that is to be done.
fn counted_request(
    request: Request<Incoming>,
    account: &ConnectionAccount,
    counts_body: bool,
) -> Request<Body> {
    let mut request = request.map(|body| match counts_body {
        true => Body::new(RequestBytes::new(account).count(body, account)),
        false => Body::new(body),
    });
    request.extensions_mut().insert(account.clone());
    request
}

/// The answer to a request for which there is no memory; it did not run.
fn no_memory() -> Response {
    let reason = "this daemon holds as much for its clients as it may; come back when told";
    (StatusCode::SERVICE_UNAVAILABLE, [(RETRY_AFTER, COME_BACK_S)], reason).into_response()
}
