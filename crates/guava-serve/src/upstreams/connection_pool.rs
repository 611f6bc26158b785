//! Connections to upstreams, and the rule by which one is reused.
//!
//! The rule is implemented here and not left to a library, since a request that may run only once
//! must not be sent on a connection that its upstream may be closing at the same moment: after a
//! reset it is unknown whether the request ran. So such requests always get a new connection, and
//! others reuse one only well within its idle limit.
//!
//! Calls and requests use different connections. A server may answer twice, and the second answer
//! arrives where the next one is due. That to a request names the request; that to a call names nothing,
//! and would be taken for the answer to the request that follows.

use crate::request::run_ledger::{NotRunProof, SendPermit, SpentPermit};
use crate::upstreams::answer_part::AnswerPart;
use crate::upstreams::head_limit::{HeadLimit, LimitedStream};
use crate::upstreams::socket_handle::SocketHandle;
use bytes::Bytes;
use guava_framing::is_answer_status;
use guava_types::{Deadline, FastMap, Moment};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Timeout for establishing a connection, in milliseconds. Within a region this takes two round
/// trips of some milliseconds. A machine without power never answers, and a lost SYN packet is sent
/// again only after a second, by which time another attempt has long succeeded.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// How long a new connection must stay open to show that its upstream is reached, in milliseconds:
/// some networks accept connections that they can't forward, and reset them at once.
const ALIVE_HOLD_MS: u64 = 10;
/// Fraction of an upstream's announced idle limit within which a connection is reused.
const IDLE_LIMIT_FRACTION: f64 = 0.5;
/// Idle limit assumed for upstreams that announce none, in milliseconds. Limits are announced in
/// whole seconds, so an upstream with a limit below one second can't announce it.
const DEFAULT_IDLE_LIMIT_MS: u64 = 400;
/// Largest number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Largest size of an answer's head, in bytes.
const MAX_HEAD_BYTES: usize = 32_768;
/// Bytes that may arrive before the head of an answer is complete: some interim answers, the head, and
/// what is read of the body with it.
const MAX_WAIT_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Failure of an exchange, by whether the request may have run.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// No byte of the request was written, so it did not run.
    #[snafu(display("not sent to {address}: {reason}"))]
    NotSent {
        /// Address that it was for.
        address: SocketAddr,
        /// Cause, as the system or the HTTP library reported it.
        reason: Box<str>,
        /// Whether the address refused the connection, so that no process listens there.
        is_refused: bool,
    },
    /// The request was written at least in part and no answer arrived, so it may have run.
    #[snafu(display("no answer from {address}: {reason}"))]
    NoAnswer {
        /// Address that it was sent to.
        address: SocketAddr,
        /// Cause, as the HTTP library reported it.
        reason: Box<str>,
        /// How far the answer had come.
        part: AnswerPart,
    },
}

impl ExchangeError {
    /// How far the answer had come.
    pub fn part(&self) -> AnswerPart {
        match self {
            Self::NotSent { .. } => AnswerPart::None,
            Self::NoAnswer { part, .. } => *part,
        }
    }
}

/// Failure of the send of a customer's request.
#[derive(Debug)]
pub struct SendFailure {
    /// What went wrong.
    pub error: ExchangeError,
    /// The permit of the send, if the request did not run.
    pub unspent: Option<SendPermit>,
}

/// Task that drives a connection; dropping it closes the connection at once.
#[derive(Debug)]
struct ConnectionDriver {
    task: JoinHandle<()>,
    socket: SocketHandle,
}

impl Drop for ConnectionDriver {
    fn drop(&mut self) {
        self.socket.close();
        self.task.abort();
    }
}

/// What a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionUse {
    /// Customers' requests.
    Requests,
    /// Calls, whose answers name no request.
    Calls,
}

/// An open connection that carries one request at a time.
#[derive(Debug)]
pub struct UpstreamConnection {
    address: SocketAddr,
    carries: ConnectionUse,
    /// Whether it has not carried a request before.
    is_new: bool,
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    driver: ConnectionDriver,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    usable_until: Deadline,
}

/// Idle connections by address, and the means to open new ones.
#[derive(Debug)]
pub struct ConnectionPool {
    source: Option<IpAddr>,
    idle: RefCell<FastMap<(SocketAddr, ConnectionUse), Vec<IdleConnection>>>,
}

impl UpstreamConnection {
    /// Whether the connection was opened for the present request.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// How far the answer to the present request has come.
    pub fn answer_part(&self) -> AnswerPart {
        self.head_limit.part(MAX_WAIT_BYTES)
    }

    /// Whether the present request was written completely. An answer without length or chunks that ends
    /// before that was broken off: its server did not read what it answers.
    pub fn is_request_written(&self) -> bool {
        self.head_limit.is_request_written()
    }

    /// The socket, for one who closes it from outside.
    pub fn socket(&self) -> &SocketHandle {
        &self.driver.socket
    }

    /// Sends a customer's request, which may run once it is written, and waits for the answer's head,
    /// without a timeout.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        permit: SendPermit,
    ) -> Result<(Response<Incoming>, SpentPermit), SendFailure> {
        let spent = permit.spend();
        match self.try_exchange(request).await {
            Ok(response) => Ok((response, spent)),
            Err((error, proof)) => {
                let unspent = proof.map(|proof| spent.restore(proof));
                Err(SendFailure { error, unspent })
            }
        }
    }

    /// Sends the request of a call and waits for the answer's head, without a timeout.
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.try_exchange(request).await.map_err(|(error, _)| error)
    }

    async fn try_exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, (ExchangeError, Option<NotRunProof>)> {
        let address = self.address;
        let length = request.body().size_hint().exact().unwrap_or_default();
        self.head_limit.begin(MAX_WAIT_BYTES, usize::try_from(length).unwrap_or(usize::MAX));
        match self.sender.try_send_request(request).await {
            Ok(response) if is_answer_status(response.status()) => {
                self.head_limit.end();
                Ok(response)
            }
            Ok(response) => {
                // The connection is closed with what follows.
                let reason = format!("{} is no status of an answer", response.status().as_u16());
                let (reason, part) = (reason.into(), AnswerPart::Head);
                Err((ExchangeError::NoAnswer { address, reason, part }, None))
            }
            Err(mut error) => {
                let proof = NotRunProof::of_unsent(error.take_message());
                let reason = error.error().to_string().into();
                let error = if proof.is_some() {
                    ExchangeError::NotSent { address, reason, is_refused: false }
                } else {
                    ExchangeError::NoAnswer { address, reason, part: self.answer_part() }
                };
                Err((error, proof))
            }
        }
    }
}

impl ConnectionPool {
    /// An empty pool; its connections are bound to `source`, or to an address that the system
    /// chooses.
    pub fn new(source: Option<IpAddr>) -> Self {
        Self { source, idle: RefCell::new(FastMap::default()) }
    }

    /// An idle connection if one is open and within its idle limit, else a new one.
    pub async fn reuse_or_open(
        &self,
        address: SocketAddr,
        carries: ConnectionUse,
    ) -> Result<UpstreamConnection, ExchangeError> {
        match self.take_idle(address, carries) {
            Some(connection) => Ok(connection),
            None => self.open(address, carries).await,
        }
    }

    fn take_idle(&self, address: SocketAddr, carries: ConnectionUse) -> Option<UpstreamConnection> {
        let now = Moment::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&(address, carries))?;
        while let Some(candidate) = connections.pop() {
            let sender = &candidate.connection.sender;
            if !candidate.usable_until.passed(now) && !sender.is_closed() && sender.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Opens a new connection; fails after `CONNECT_TIMEOUT_MS`.
    pub async fn open(
        &self,
        address: SocketAddr,
        carries: ConnectionUse,
    ) -> Result<UpstreamConnection, ExchangeError> {
        let not_sent = |reason: String| ExchangeError::NotSent {
            address,
            reason: reason.into(),
            is_refused: false,
        };
        let stream =
            timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), self.connect(address)).await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let is_refused = error.kind() == ErrorKind::ConnectionRefused;
                let reason = error.to_string().into();
                return Err(ExchangeError::NotSent { address, reason, is_refused });
            }
            Err(_) => return Err(not_sent(format!("no connection in {CONNECT_TIMEOUT_MS} ms"))),
        };
        let head_limit = HeadLimit::new(MAX_WAIT_BYTES);
        let stream = Rc::new(RefCell::new(stream));
        let socket = SocketHandle::new(&stream);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(LimitedStream::new(stream, head_limit.clone())))
            .await;
        let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            // Errors are reported by the exchange on the connection.
            drop(connection.await);
        });
        let driver = ConnectionDriver { task, socket };
        Ok(UpstreamConnection { address, carries, is_new: true, sender, head_limit, driver })
    }

    /// Whether an address accepts connections and keeps them open.
    pub async fn is_alive(&self, address: SocketAddr) -> bool {
        let connected =
            timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), self.connect(address)).await;
        let Ok(Ok(stream)) = connected else { return false };
        // Servers say nothing before a request, so whatever is read first is the connection's end.
        timeout(Duration::from_millis(ALIVE_HOLD_MS), stream.readable()).await.is_err()
    }

    /// Whether a process listens at an address; `None` if the connection neither succeeds nor is
    /// refused.
    pub async fn is_listening(&self, address: SocketAddr) -> Option<bool> {
        let connected =
            timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), self.connect(address)).await;
        match connected {
            Ok(Ok(_)) => Some(true),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Some(false),
            Ok(Err(_)) | Err(_) => None,
        }
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<tokio::net::TcpStream> {
        let socket = TcpSocket::new_v4()?;
        if let Some(source) = self.source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Keeps a connection for reuse until a fraction of its idle limit has passed, unless enough
    /// are kept. Its last answer must have been read completely.
    pub fn keep(&self, mut connection: UpstreamConnection, announced_idle_ms: Option<u64>) {
        connection.is_new = false;
        let limit = announced_idle_ms.unwrap_or(DEFAULT_IDLE_LIMIT_MS) as f64 * IDLE_LIMIT_FRACTION;
        let usable_until = Deadline::in_millis(limit as u64);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry((connection.address, connection.carries)).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            connections.push(IdleConnection { connection, usable_until });
        }
    }

    /// Closes the idle connections to an address whose process exited: a request written to one of
    /// them would be lost, or would count as possibly run.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().retain(|(known, _), _| *known != address);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes idle connections that may no longer be reused.
    pub fn sweep(&self) {
        let now = Moment::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| {
                !idle.usable_until.passed(now) && !idle.connection.sender.is_closed()
            });
            !connections.is_empty()
        });
    }
}
