//! Connections to upstreams, and whether one may be used again.
//!
//! Whether a connection is reused is a decision here, not a library's: a request that may run once
//! must not go out on a connection that its upstream may be closing at the same moment. After a
//! reset nobody could tell whether it ran. So such requests always get a connection of their own,
//! and others only one that is well inside its idle limit.

use bytes::Bytes;
use guava_types::{Deadline, FastMap, Moment};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time for a connection to be established, in milliseconds. Within a region it takes two round
/// trips of some milliseconds; a machine without power never answers, and a lost opening packet is
/// sent again after a second only, by when another try has long succeeded.
const CONNECT_MS: u64 = 250;
/// Part of an upstream's announced idle limit within which a connection is used again.
const IDLE_PART: f64 = 0.5;
/// Idle limit of upstreams that announce none, in milliseconds: announcements are in whole
/// seconds, so a shorter limit can't be announced.
const UNANNOUNCED_IDLE_MS: u64 = 400;
/// Idle connections kept for one address.
const KEPT_IDLE: usize = 8;
/// Largest head of an upstream's answer, in bytes.
const HEAD_BYTES: usize = 32_768;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// No byte of the request was written: it did not run.
    #[snafu(display("not sent to {address}: {reason}"))]
    NotSent {
        /// Where to.
        address: SocketAddr,
        /// Why.
        reason: Box<str>,
        /// Whether nobody listens there.
        is_refused: bool,
    },
    /// The request was written at least in part, and no answer came: it may have run.
    #[snafu(display("no answer from {address}: {reason}"))]
    NoAnswer {
        /// Where from.
        address: SocketAddr,
        /// Why.
        reason: Box<str>,
    },
}

/// The task that drives a connection; the connection closes when this is dropped.
#[derive(Debug)]
struct ConnectionDriver(JoinHandle<()>);

impl Drop for ConnectionDriver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection.
#[derive(Debug)]
pub struct UpstreamConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _driver: ConnectionDriver,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    usable_until: Deadline,
}

/// Open connections that wait for their next request.
#[derive(Debug)]
pub struct ConnectionPool {
    source: Option<IpAddr>,
    idle: RefCell<FastMap<SocketAddr, Vec<IdleConnection>>>,
}

impl UpstreamConnection {
    /// Sends a request and waits for the answer's head.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let address = self.address;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let reason = error.error().to_string().into();
                Err(if is_unsent {
                    ExchangeError::NotSent { address, reason, is_refused: false }
                } else {
                    ExchangeError::NoAnswer { address, reason }
                })
            }
        }
    }
}

impl ConnectionPool {
    /// A pool whose connections leave from an address of this machine.
    pub fn new(source: Option<IpAddr>) -> Self {
        Self { source, idle: RefCell::new(FastMap::default()) }
    }

    /// An idle connection, if one is surely open, else a new one.
    pub async fn reuse_or_open(
        &self,
        address: SocketAddr,
    ) -> Result<UpstreamConnection, ExchangeError> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        let now = Moment::now();
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.get_mut(&address)?;
        while let Some(candidate) = waiting.pop() {
            let sender = &candidate.connection.sender;
            if !candidate.usable_until.passed(now) && !sender.is_closed() && sender.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// A new connection.
    pub async fn open(&self, address: SocketAddr) -> Result<UpstreamConnection, ExchangeError> {
        let not_sent = |reason: String| ExchangeError::NotSent {
            address,
            reason: reason.into(),
            is_refused: false,
        };
        let stream = timeout(Duration::from_millis(CONNECT_MS), self.connect(address)).await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let is_refused = error.kind() == ErrorKind::ConnectionRefused;
                let reason = error.to_string().into();
                return Err(ExchangeError::NotSent { address, reason, is_refused });
            }
            Err(_) => return Err(not_sent(format!("no connection within {CONNECT_MS} ms"))),
        };
        let handshake =
            http1::Builder::new().max_buf_size(HEAD_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        let driver = tokio::task::spawn_local(async move {
            // How the connection ends is seen by the exchange on it.
            drop(connection.await);
        });
        Ok(UpstreamConnection { address, sender, _driver: ConnectionDriver(driver) })
    }

    /// Whether somebody listens at an address; nothing if that can't be told.
    pub async fn is_listening(&self, address: SocketAddr) -> Option<bool> {
        let connected = timeout(Duration::from_millis(CONNECT_MS), self.connect(address)).await;
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

    /// Keeps a connection whose last answer was read to its end, if its upstream allows.
    pub fn keep(&self, connection: UpstreamConnection, announced_idle_ms: Option<u64>) {
        let limit = announced_idle_ms.unwrap_or(UNANNOUNCED_IDLE_MS) as f64 * IDLE_PART;
        let usable_until = Deadline::in_millis(limit as u64);
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.entry(connection.address).or_default();
        if waiting.len() < KEPT_IDLE && !connection.sender.is_closed() {
            waiting.push(IdleConnection { connection, usable_until });
        }
    }

    /// Closes the idle connections to an address: whoever listened there has ended, and a request
    /// written to one of them would be lost, or believed to have run.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes idle connections that may not be used any more.
    pub fn sweep(&self) {
        let now = Moment::now();
        self.idle.borrow_mut().retain(|_, waiting| {
            waiting.retain(|idle| {
                !idle.usable_until.passed(now) && !idle.connection.sender.is_closed()
            });
            !waiting.is_empty()
        });
    }
}
