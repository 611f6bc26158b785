//! Bodies whose bytes count against the budget: of requests while they are read and in service, of
//! answers until their clients have taken them.

use crate::connection_account::{AnswerPiece, BodyRead, ConnectionAccount, RequestService};
use crate::held_bytes::HeldBytes;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

/// Bytes of a piece that are held without being counted, on a connection with one request at a time:
/// such a piece lies in the connection's own buffers.
const FREE_PIECE_BYTES: usize = 4 << 10;

/// Body of an answer; the request is in service until it is dropped.
#[derive(Debug)]
pub struct AnswerBytes<B> {
    body: Pin<Box<B>>,
    service: RequestService,
}

impl<B> AnswerBytes<B> {
    /// Counts the body of a request's answer.
    pub fn new(body: B, service: RequestService) -> Self {
        Self { body: Box::pin(body), service }
    }
}

/// Owner of the bytes of a piece; dropped once they are written.
struct OwnedPiece {
    bytes: Bytes,
    _piece: AnswerPiece,
}

impl AsRef<[u8]> for OwnedPiece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn counted(account: &ConnectionAccount, bytes: Bytes) -> Bytes {
    if bytes.is_empty() || (bytes.len() <= FREE_PIECE_BYTES && !account.is_multiplexed()) {
        return bytes;
    }
    let piece = account.hold_piece(bytes.len());
    Bytes::from_owner(OwnedPiece { bytes, _piece: piece })
}

impl<B: Body<Data = Bytes>> Body for AnswerBytes<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let answer = self.get_mut();
        let frame = ready!(answer.body.as_mut().poll_frame(context));
        let account = answer.service.account();
        Poll::Ready(
            frame.map(|frame| frame.map(|frame| frame.map_data(|data| counted(account, data)))),
        )
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Why a request's body ends early.
#[derive(Debug, Snafu)]
pub enum BodyRefusal<E: std::error::Error + 'static> {
    /// The connection broke, or the body is malformed.
    #[snafu(display("{source}"), context(false))]
    Broken {
        /// Error of the HTTP library.
        source: E,
    },
    /// Clients hold as many bytes as they may.
    #[snafu(display("there is no memory for the body"))]
    NoMemory,
}

/// Bytes of a request; kept by whoever serves it, so that they count until it is answered.
#[derive(Clone)]
pub struct RequestBytes(Arc<Mutex<HeldBytes>>);

impl RequestBytes {
    /// Holds nothing yet.
    pub fn new(account: &ConnectionAccount) -> Self {
        Self(Arc::new(Mutex::new(account.hold_nothing())))
    }

    fn grow(&self, count: usize) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).grow(count)
    }

    /// The body of the request, whose bytes are added as they are read.
    pub fn count<B>(&self, body: B, account: &ConnectionAccount) -> CountedBody<B> {
        let read = account.begin_body();
        CountedBody { body: Box::pin(body), held: self.clone(), read: Some(read) }
    }
}

/// Body of a request that is being read.
pub struct CountedBody<B> {
    body: Pin<Box<B>>,
    held: RequestBytes,
    read: Option<BodyRead>,
}

impl<B> Body for CountedBody<B>
where
    B: Body<Data = Bytes>,
    B::Error: std::error::Error + 'static,
{
    type Data = Bytes;
    type Error = BodyRefusal<B::Error>;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let counted = self.get_mut();
        let frame = ready!(counted.body.as_mut().poll_frame(context));
        if counted.body.is_end_stream() || frame.is_none() {
            counted.read = None;
        }
        let Some(frame) = frame.transpose()? else { return Poll::Ready(None) };
        let length = frame.data_ref().map_or(0, Bytes::len);
        if length > 0 && !counted.held.grow(length) {
            return Poll::Ready(Some(Err(BodyRefusal::NoMemory)));
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
