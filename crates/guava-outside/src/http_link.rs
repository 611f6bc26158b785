//! HTTP/1.1 exchanges, each over its own connection and with a deadline on every wait.
//!
//! The errors distinguish whether the request may have reached the server. Connection pools and
//! clients that retry automatically are deliberately not used: a hidden second send would duplicate
//! a call that may run only once.

use bytes::{Bytes, BytesMut};
use guava_framing::is_answer_status;
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

/// Header in which an engine that refuses a version names the version that it has loaded.
pub const LOADED_HEADER: &str = "x-loaded-version";
/// Header that announces an upstream's rate limit: requests per second from all daemons together.
const UPSTREAM_LIMIT_HEADER: HeaderName = HeaderName::from_static("upstream-limit");
/// Header in which an upstream announces that it is leaving.
const UPSTREAM_LEAVING_HEADER: HeaderName = HeaderName::from_static("upstream-leaving");
/// Largest JSON answer accepted from an external service, in bytes.
const MAX_JSON_BYTES: usize = 64 << 20;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HttpError {
    /// No connection was established; nothing was sent.
    #[snafu(display("cannot connect to {address}: {reason}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the socket or the handshake, or that the deadline passed.
        reason: Box<str>,
    },
    /// The deadline passed; the request may have reached the server.
    #[snafu(display("timed out while {waiting_for}"))]
    TimedOut {
        /// The step that did not complete in time.
        waiting_for: &'static str,
    },
    /// The connection was interrupted; the request may have reached the server.
    #[snafu(display("connection interrupted: {source}"))]
    Broken {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// What came has a status that is none of an answer; the request may have run.
    #[snafu(display("{} is no status of an answer", status.as_u16()))]
    NoAnswer {
        /// The status.
        status: StatusCode,
    },
    /// The request could not be built; nothing was sent.
    #[snafu(display("request is malformed: {source}"))]
    Malformed {
        /// Error of the request builder.
        source: http::Error,
    },
    /// The answer's body exceeds the limit.
    #[snafu(display("answer exceeds {limit} bytes"))]
    TooLarge {
        /// Largest accepted size, in bytes.
        limit: usize,
    },
    /// The server answered with a status other than success.
    #[snafu(display("answered {status}: {text}"))]
    Refused {
        /// HTTP status of the answer.
        status: StatusCode,
        /// Beginning of the answer's body.
        text: Box<str>,
        /// Upstream announcements in the answer's headers.
        announcements: UpstreamAnnouncements,
        /// Version that the engine has loaded, if it refused another one.
        loaded: Option<VersionName>,
    },
    /// JSON could not be parsed or written.
    #[snafu(display("answer does not parse: {source}"))]
    Syntax {
        /// Error of the JSON library.
        source: serde_json::Error,
    },
}

impl HttpError {
    /// Whether the request may have reached the server and taken effect there.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::Connect { .. } | Self::Malformed { .. })
    }

    /// Whether the server answered that it does not take the request. An error of its own, such as
    /// 500, may come after it began.
    pub fn is_refusal(&self) -> bool {
        match self {
            Self::Refused { status, .. } => {
                status.is_client_error() || *status == StatusCode::SERVICE_UNAVAILABLE
            }
            _ => false,
        }
    }
}

static SOURCE_ADDRESS: OnceLock<IpAddr> = OnceLock::new();

/// Sets the source address of this process's connections; later calls have no effect.
///
/// A VM may have several addresses, and the networks between data centres filter by source address.
pub fn set_source(address: IpAddr) {
    SOURCE_ADDRESS.get_or_init(|| address);
}

async fn open(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source) = SOURCE_ADDRESS.get() {
        socket.bind(SocketAddr::new(*source, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Whether a process listens at an address; `None` if neither a connection nor a refusal is seen.
pub async fn is_listening(address: SocketAddr, deadline: Deadline) -> Option<bool> {
    match timeout(deadline.time_left(), open(address)).await {
        Ok(Ok(_)) => Some(true),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Some(false),
        Ok(Err(_)) | Err(_) => None,
    }
}

/// Opens a connection for a single request.
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
        // The holder of the sender or the body receives the connection's errors.
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
    let answer = answer.map_err(|_| HttpError::TimedOut { waiting_for })?.context(BrokenSnafu)?;
    let status = answer.status();
    ensure!(is_answer_status(status), NoAnswerSnafu { status });
    Ok(answer)
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

/// Reads a complete body; fails if it exceeds `limit` bytes.
pub async fn collect_body(
    mut body: Incoming,
    limit: usize,
    deadline: Deadline,
) -> Result<Bytes, HttpError> {
    let mut bytes = BytesMut::new();
    loop {
        let remaining = deadline.time_left();
        let waiting_for = "reading the answer";
        let frame = timeout(remaining, body.frame())
            .await
            .map_err(|_| HttpError::TimedOut { waiting_for })?;
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

/// Reads the upstream announcements from the head of an answer.
pub(crate) fn upstream_announcements(response: &Response<Incoming>) -> UpstreamAnnouncements {
    let headers = response.headers();
    let values = |name: &HeaderName| headers.get_all(name).iter().map(HeaderValue::as_bytes);
    let mut announcements = UpstreamAnnouncements::default();
    announcements.read_limit(values(&UPSTREAM_LIMIT_HEADER));
    announcements.read_leaving(values(&UPSTREAM_LEAVING_HEADER));
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
    const MAX_SHOWN_BYTES: usize = 200;
    const MAX_REFUSAL_BYTES: usize = 16 << 10;
    let status = response.status();
    let announcements = upstream_announcements(&response);
    let loaded = response.headers().get(LOADED_HEADER).and_then(|value| value.to_str().ok());
    let loaded = loaded.and_then(|text| text.parse().ok());
    let body = collect_body(response.into_body(), MAX_REFUSAL_BYTES, deadline).await;
    let text = body.unwrap_or_default();
    let shown = text.get(..MAX_SHOWN_BYTES.min(text.len())).unwrap_or_default();
    HttpError::Refused {
        status,
        text: String::from_utf8_lossy(shown).into(),
        announcements,
        loaded,
    }
}

/// Sends a request and parses the JSON of a successful answer.
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

/// GETs a path and parses the JSON answer.
pub async fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    deadline: Deadline,
) -> Result<T, HttpError> {
    let request = request(address, Method::GET, path, "application/json", Bytes::new())?;
    exchange_json(address, request, deadline).await
}

/// POSTs JSON to a path and parses the JSON answer.
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

/// The earlier of a deadline and the moment `limit_ms` milliseconds from now.
pub(crate) fn capped_deadline(deadline: Deadline, limit_ms: u64) -> Deadline {
    deadline.earlier(Deadline::after(Moment::now(), limit_ms))
}
