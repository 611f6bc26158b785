//! Starts a daemon: one thread and one runtime for each duty, and waits for the signal to stop.

use crate::append_ring::AppendRing;
use crate::client_task::client_limits;
use crate::context::{ContextParts, DaemonContext};
use crate::events;
use crate::export_ring::ExportRing;
use crate::listener::{ListenerRules, serve_listener};
use crate::log_task::LogTask;
use crate::metrics::MetricSink;
use crate::operator_server::operator_service;
use crate::peer_links::PeerLinks;
use crate::peer_server::peer_service;
use crate::settings::{DaemonSettings, ListenSettings};
use crate::shutdown::{drain, wait_for_signal};
use crate::stream_id::{SecretError, StreamSecret};
use crate::tls::{PeerTls, TlsError, TlsKeeper};
use crate::{cache_task, client_task, front, gossip_task, order_task, watch_task};
use axum::Router;
use guava_clients::ClientBudget;
use guava_log::log_event;
use guava_log::{LogError, set_up_logging};
use snafu::{ResultExt, Snafu};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Log lines a second beyond which decisions are dropped and counted: a few lines for each of
/// several hundred requests.
const LOG_LINES_PER_S: u32 = 2_000;

/// Why a daemon does not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The secret.
    #[snafu(display("{source}"))]
    Secret {
        /// Why.
        source: SecretError,
    },
    /// The keys.
    #[snafu(display("tls: {source}"))]
    Tls {
        /// Why.
        source: TlsError,
    },
    /// A listener.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A thread or runtime.
    #[snafu(display("cannot start a duty: {source}"))]
    Duty {
        /// Why.
        source: std::io::Error,
    },
    /// The log.
    #[snafu(display("{source}"))]
    Logging {
        /// Why.
        source: LogError,
    },
}

/// A thread with a runtime of its own for one duty.
fn start_duty<F>(
    name: &'static str,
    duty: impl FnOnce() -> F + Send + 'static,
) -> Result<JoinHandle<()>, StartError>
where
    F: Future<Output = ()>,
{
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(DutySnafu)?;
    let thread = std::thread::Builder::new().name(name.into());
    thread.spawn(move || runtime.block_on(duty())).context(DutySnafu)
}

/// A bound listener with its keys.
struct BoundListener {
    listener: std::net::TcpListener,
    tls: Option<TlsKeeper>,
}

fn bind(settings: &ListenSettings, clients: &ClientBudget) -> Result<BoundListener, StartError> {
    let address = settings.listen;
    let bound = std::net::TcpListener::bind(address).and_then(|listener| {
        clients.bound_buffers(&listener)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    let tls = settings.tls.as_ref().map(TlsKeeper::open).transpose().context(TlsSnafu)?;
    Ok(BoundListener { listener: bound.context(ListenSnafu { address })?, tls })
}

async fn serve(
    bound: BoundListener,
    router: Router,
    rules: ListenerRules,
    context: Arc<DaemonContext>,
    stop: watch::Receiver<bool>,
) {
    let listener = match TcpListener::from_std(bound.listener) {
        Ok(listener) => listener,
        Err(error) => {
            log_event!(error, events::LISTENER_FAILED, error = error);
            return;
        }
    };
    if let Some(keeper) = bound.tls.clone() {
        tokio::spawn(keeper.watch(move || context.links.reconnect()));
    }
    serve_listener(listener, bound.tls, router, rules, stop).await;
}

/// Runs a daemon until it is told to stop and has finished what ran.
pub fn run_daemon(settings: DaemonSettings) -> Result<(), StartError> {
    let log = set_up_logging(&settings.log_level, LOG_LINES_PER_S).context(LoggingSnafu)?;
    guava_outside::set_source(settings.source_ip);
    let secret = StreamSecret::read(&settings.secret_file).context(SecretSnafu)?;
    let clients = ClientBudget::new(client_limits(&settings));
    let callers = bind(&settings.callers, &clients)?;
    let peers = bind(&settings.peers, &clients)?;
    let operators = bind(&settings.operators, &clients)?;
    let (appends, commands) = AppendRing::new();
    let (exports, notes) = ExportRing::new();
    let peer_tls = settings.peers.tls.as_ref().map(PeerTls::new);
    let links = PeerLinks::new(settings.source_ip, peer_tls);
    let metrics = MetricSink::new(settings.metrics);
    let parts = ContextParts { settings, appends, exports, links, metrics, clients, secret };
    let context = Arc::new(DaemonContext::new(parts));
    log_event!(info, events::STARTED, name = context.settings.name, incarnation = context.me);
    let stop = watch::Sender::new(false);

    let shared = Arc::clone(&context);
    start_duty("log", move || LogTask::new(shared).run(commands))?;
    let shared = Arc::clone(&context);
    start_duty("gossip", move || gossip_task::run(shared))?;
    let shared = Arc::clone(&context);
    start_duty("watch", move || watch_task::run(shared))?;
    let shared = Arc::clone(&context);
    start_duty("cache", move || cache_task::run(shared, notes))?;
    let shared = Arc::clone(&context);
    start_duty("orders", move || order_task::run(shared))?;
    let shared = Arc::clone(&context);
    start_duty("clients", move || client_task::run(shared))?;

    let mut listeners = Vec::new();
    for (name, bound) in [("front", callers), ("peers", peers), ("operators", operators)] {
        let shared = Arc::clone(&context);
        let stopped = stop.subscribe();
        listeners.push(start_duty(name, move || async move {
            let router = match name {
                "front" => front::router(Arc::clone(&shared)),
                "peers" => tonic::service::Routes::new(peer_service(Arc::clone(&shared)))
                    .into_axum_router(),
                _ => tonic::service::Routes::new(operator_service(Arc::clone(&shared)))
                    .into_axum_router(),
            };
            let rules = ListenerRules::new(name, shared.clients.clone());
            serve(bound, router, rules, shared, stopped).await;
        })?);
    }
    wait_and_drain(&context)?;
    stop.send_replace(true);
    listeners.into_iter().for_each(|listener| drop(listener.join()));
    log_event!(info, events::STOPPED, name = context.settings.name);
    log.finish();
    Ok(())
}

fn wait_and_drain(context: &Arc<DaemonContext>) -> Result<(), StartError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(DutySnafu)?;
    runtime.block_on(async {
        wait_for_signal().await.context(DutySnafu)?;
        drain(context).await;
        Ok(())
    })
}
