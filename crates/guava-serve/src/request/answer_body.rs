//! Body of an answer to a caller: complete, or relayed event by event.

use crate::upstreams::bounded_body::HeldAnswer;
use bytes::Bytes;
use futures_util::stream::{LocalBoxStream, StreamExt};
use guava_clients::HeldBytes;
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A relayed stream was interrupted and could not be resumed.
///
/// The connection to the caller is closed without the end of the body, so that the answer can't be
/// mistaken for a complete one.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("stream interrupted: {reason}"))]
pub struct InterruptedStream {
    /// What interrupted it.
    pub reason: Box<str>,
}

/// Body of an answer to a caller.
pub enum AnswerBody {
    /// All bytes are known; `None` if there are none or they were sent. What they take of the memory for
    /// clients is on this account until then, and on that of the connection afterwards.
    Complete(Option<Bytes>, Option<HeldAnswer>),
    /// Bytes are relayed as they arrive.
    Relayed(LocalBoxStream<'static, Result<Bytes, InterruptedStream>>),
}

impl AnswerBody {
    /// Creates a body whose bytes are all known.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Complete((!bytes.is_empty()).then_some(bytes), None)
    }

    /// Creates a body whose bytes are all known and count as held.
    pub fn held(bytes: Bytes, held: HeldAnswer) -> Self {
        Self::Complete((!bytes.is_empty()).then_some(bytes), Some(held))
    }

    /// Keeps what a request holds until its answer needs no more of it: a relayed answer does to its
    /// end, since the request may be sent again.
    pub fn holding(self, held: HeldBytes) -> Self {
        match self {
            Self::Complete(..) => self,
            Self::Relayed(stream) => {
                let holding = stream.map(move |piece| {
                    let _until_the_end = &held;
                    piece
                });
                Self::Relayed(holding.boxed_local())
            }
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = InterruptedStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, InterruptedStream>>> {
        match self.get_mut() {
            Self::Complete(bytes, held) => {
                drop(held.take());
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Relayed(stream) => {
                stream.poll_next_unpin(context).map(|next| next.map(|next| next.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None, _))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes, _) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}
