//! One HTTP/1.1 exchange over a connection of its own, with a deadline on every wait.
//!
//! The errors keep apart what matters to callers: whether the request may have reached the other
//! side. Pools and clients that retry by themselves are left out on purpose, since a hidden second
//! send would double a call that may run only once.

use bytes::{Bytes, BytesMut};
use guava_policy::UpstreamAnnouncements;
use guava_types::{Deadline, Moment, VersionName};
use http::header::{CONTENT_TYPE, HOST, HeaderName, RETRY_AFTER};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};
use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::OnceLock;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Header in which an engine that refuses a version tells which one it has loaded.
pub const LOADED_HEADER: &str = "x-loaded-version";
/// Header in which an upstream names the requests a second that it takes from all daemons together.
const UPSTREAM_LIMIT: HeaderName = HeaderName::from_static("upstream-limit");
/// Header in which an upstream says that it leaves.
const UPSTREAM_LEAVING: HeaderName = HeaderName::from_static("upstream-leaving");
/// Largest JSON answer of an outside interface, in bytes.
const MAX_JSON_BYTES: usize = 64 << 20;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HttpError {
    /// No connection: nothing was sent.
    #[snafu(display("cannot connect to {address}: {reason}"))]
    Connect {
        /// The other side.
        address: SocketAddr,
        /// Why.
        reason: Box<str>,
    },
    /// The deadline passed; the request may have reached the other side.
    #[snafu(display("no answer in time while {waiting_for}"))]
    TimedOut {
        /// What was being waited for.
        waiting_for: &'static str,
    },
    /// The connection broke; the request may have reached the other side.
    #[snafu(display("connection broke: {source}"))]
    Broken {
        /// What the library says.
        source: hyper::Error,
    },
    /// The request could not be built: nothing was sent.
    #[snafu(display("request is malformed: {source}"))]
    Malformed {
        /// What the library says.
        source: http::Error,
    },
    /// More bytes than allowed.
    #[snafu(display("answer is over {limit} bytes"))]
    TooLarge {
        /// The bound.
        limit: usize,
    },
    /// The other side refused.
    #[snafu(display("answered {status}: {text}"))]
    Refused {
        /// Its status.
        status: StatusCode,
        /// The beginning of its answer.
        text: Box<str>,
        /// What it says of itself.
        announcements: UpstreamAnnouncements,
        /// Of an engine that refused a version, the one that it has loaded.
        loaded: Option<VersionName>,
    },
    /// The answer is not what the interface promises.
    #[snafu(display("answer does not parse: {source}"))]
    Syntax {
        /// What the parser says.
        source: serde_json::Error,
    },
}

impl HttpError {
    /// Whether the request may have reached the other side and taken effect there.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::Connect { .. } | Self::Malformed { .. })
    }
}

static SOURCE: OnceLock<IpAddr> = OnceLock::new();

/// Sets the address that this process connects from; the first call of a process decides.
///
/// A VM may have several addresses, and the networks between data centres filter by them.
pub fn set_source(address: IpAddr) {
    SOURCE.get_or_init(|| address);
}

async fn open(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source) = SOURCE.get() {
        socket.bind(SocketAddr::new(*source, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Whether somebody listens at an address; nothing if that can't be told.
pub async fn is_listening(address: SocketAddr, deadline: Deadline) -> Option<bool> {
    match timeout(deadline.time_left(), open(address)).await {
        Ok(Ok(_)) => Some(true),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Some(false),
        Ok(Err(_)) | Err(_) => None,
    }
}

/// Opens a connection; the request sent on it is the only one.
pub async fn connect(
    address: SocketAddr,
    deadline: Deadline,
) -> Result<http1::SendRequest<Full<Bytes>>, HttpError> {
    let refused = |reason: String| HttpError::Connect { address, reason: reason.into() };
    let opening = async {
        let stream = open(address).await.map_err(|error| error.to_string())?;
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())
    };
    let opened = timeout(deadline.time_left(), opening).await;
    let (sender, connection) = opened.map_err(|_| refused("timed out".into()))?.map_err(refused)?;
    tokio::spawn(async move {
        // Its end is seen by whoever holds the sender or the body.
        drop(connection.await);
    });
    Ok(sender)
}

/// Sends a request on an open connection and waits for the head of the answer.
pub async fn send(
    mut sender: http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    deadline: Deadline,
) -> Result<Response<Incoming>, HttpError> {
    let answer = timeout(deadline.time_left(), sender.send_request(request)).await;
    let waiting_for = "waiting for the head of the answer";
    answer.map_err(|_| HttpError::TimedOut { waiting_for })?.context(BrokenSnafu)
}

/// Connects, sends, and waits for the head of the answer.
pub async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Deadline,
) -> Result<Response<Incoming>, HttpError> {
    let sender = connect(address, deadline).await?;
    send(sender, request, deadline).await
}

/// Reads a whole body.
pub async fn collect_body(
    mut body: Incoming,
    limit: usize,
    deadline: Deadline,
) -> Result<Bytes, HttpError> {
    let mut bytes = BytesMut::new();
    loop {
        let left = deadline.time_left();
        let waiting_for = "reading the answer";
        let frame =
            timeout(left, body.frame()).await.map_err(|_| HttpError::TimedOut { waiting_for })?;
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        if let Ok(data) = frame.context(BrokenSnafu)?.into_data() {
            ensure!(bytes.len() + data.len() <= limit, TooLargeSnafu { limit });
            bytes.extend_from_slice(&data);
        }
    }
}

pub(crate) fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    content_type: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, content_type)
        .body(Full::new(body))
        .context(MalformedSnafu)
}

/// What the head of an answer says of the upstream that gives it.
pub(crate) fn upstream_announcements(response: &Response<Incoming>) -> UpstreamAnnouncements {
    let headers = response.headers();
    let values = |name: &HeaderName| headers.get_all(name).iter().map(HeaderValue::as_bytes);
    let mut announcements = UpstreamAnnouncements::default();
    announcements.read_limit(values(&UPSTREAM_LIMIT));
    announcements.read_leaving(values(&UPSTREAM_LEAVING));
    let is_refusal = matches!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    if is_refusal {
        announcements.read_retry_after(values(&RETRY_AFTER), Moment::now());
    }
    announcements
}

pub(crate) async fn refusal(response: Response<Incoming>, deadline: Deadline) -> HttpError {
    const SHOWN_BYTES: usize = 200;
    let status = response.status();
    let announcements = upstream_announcements(&response);
    let loaded = response.headers().get(LOADED_HEADER).and_then(|value| value.to_str().ok());
    let loaded = loaded.and_then(|text| text.parse().ok());
    let body = collect_body(response.into_body(), MAX_JSON_BYTES, deadline).await;
    let text = body.unwrap_or_default();
    let shown = text.get(..SHOWN_BYTES.min(text.len())).unwrap_or_default();
    HttpError::Refused {
        status,
        text: String::from_utf8_lossy(shown).into(),
        announcements,
        loaded,
    }
}

/// Exchanges bytes and reads JSON from a successful answer.
pub(crate) async fn exchange_json<T: DeserializeOwned>(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Deadline,
) -> Result<T, HttpError> {
    let response = exchange(address, request, deadline).await?;
    if !response.status().is_success() {
        return Err(refusal(response, deadline).await);
    }
    let bytes = collect_body(response.into_body(), MAX_JSON_BYTES, deadline).await?;
    serde_json::from_slice(&bytes).context(SyntaxSnafu)
}

/// GETs a path and reads JSON.
pub async fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    deadline: Deadline,
) -> Result<T, HttpError> {
    let request = request(address, Method::GET, path, "application/json", Bytes::new())?;
    exchange_json(address, request, deadline).await
}

/// POSTs JSON to a path and reads JSON.
pub async fn post_json<S: Serialize + Sync, T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    value: &S,
    deadline: Deadline,
) -> Result<T, HttpError> {
    let body = serde_json::to_vec(value).context(SyntaxSnafu)?;
    let request = request(address, Method::POST, path, "application/json", body.into())?;
    exchange_json(address, request, deadline).await
}

/// The deadline of a short question to an outside interface.
pub(crate) fn earlier_of(deadline: Deadline, millis: u64) -> Deadline {
    deadline.earlier(Deadline::after(Moment::now(), millis))
}
