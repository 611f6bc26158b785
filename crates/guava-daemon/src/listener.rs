//! A listener: TCP, TLS if set, HTTP/1.1 and HTTP/2 on one port.

use crate::tls::TlsKeeper;
use axum::Router;
use axum::extract::Request;
use guava_framing::{AnswerEnd, CallerStream, watch_answer};
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;

const HANDSHAKE_MS: u64 = 5_000;
const HEADERS_MS: u64 = 30_000;
/// A connection whose other side answers no ping for this long is closed.
const PING_MS: u64 = 2_000;
const PING_TIMEOUT_MS: u64 = 3_000;
const MAX_STREAMS: u32 = 4_096;
/// Connections may take so long to finish once the daemon stops.
const FINISH_MS: u64 = 5_000;

/// Serves a router until told to stop; then lets open requests finish.
pub async fn serve_listener(
    listener: TcpListener,
    tls: Option<TlsKeeper>,
    router: Router,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else { continue };
        drop(stream.set_nodelay(true));
        let watcher = graceful.watcher();
        let router = router.clone();
        let tls = tls.clone();
        tokio::spawn(async move {
            match tls {
                None => serve_connection(stream, |stream| stream, router, watcher).await,
                Some(keeper) => {
                    if let Some(stream) = shake_hands(stream, &keeper).await {
                        serve_connection(stream, |stream| stream.get_ref().0, router, watcher)
                            .await;
                    }
                }
            }
        });
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

async fn serve_connection<S>(
    stream: S,
    socket: fn(&S) -> &TcpStream,
    router: Router,
    watcher: hyper_util::server::graceful::Watcher,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(Duration::from_millis(HEADERS_MS));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .keep_alive_interval(Duration::from_millis(PING_MS))
        .keep_alive_timeout(Duration::from_millis(PING_TIMEOUT_MS));
    let routes = TowerToHyperService::new(router);
    let end = AnswerEnd::default();
    let stream = CallerStream::new(stream, socket, end.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (method, version, end) = (request.method().clone(), request.version(), end.clone());
        let answer = routes.call(request);
        async move { answer.await.map(|answer| watch_answer(&end, &method, version, answer)) }
    });
    let connection = builder.serve_connection_with_upgrades(TokioIo::new(stream), service);
    // How a connection ends is seen by the requests on it.
    drop(watcher.watch(connection.into_owned()).await);
}
