//! Watches the bytes of one exchange on a connection: limits those that a server sends before the head
//! of its answer is complete, and tells whether the request was written completely.
//!
//! The HTTP library limits one head, but not interim answers, of which any number may come before the
//! final one. Nor does it tell of a request that it has not written when the answer ends.

use crate::upstreams::answer_part::AnswerPart;
use crate::upstreams::socket_handle::OwnedSocket;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

#[derive(Debug, Default)]
struct ExchangeState {
    /// Bytes that may still be read before the head of the answer is complete; `None` once it is.
    head_left: Cell<Option<usize>>,
    /// Bytes of the request's body that are to be written, at least; more are with its head.
    unwritten: Cell<usize>,
    is_written: Cell<bool>,
}

/// State of the present exchange on a connection; clones share it.
#[derive(Clone, Debug)]
pub struct HeadLimit(Rc<ExchangeState>);

impl HeadLimit {
    /// A limit that holds from now on.
    pub fn new(bytes: usize) -> Self {
        let limit = Self(Rc::default());
        limit.0.head_left.set(Some(bytes));
        limit
    }

    /// Begins to send a request with a body of this length, and to wait for a head.
    pub fn begin(&self, bytes: usize, body_length: usize) {
        self.0.head_left.set(Some(bytes));
        self.0.unwritten.set(body_length);
        self.0.is_written.set(false);
    }

    /// Notes that a head is complete: what follows is its body.
    pub fn end(&self) {
        self.0.head_left.set(None);
    }

    /// How far an answer has come that may send so many bytes before its head is complete.
    pub fn part(&self, bytes: usize) -> AnswerPart {
        match self.0.head_left.get() {
            Some(left) if left == bytes => AnswerPart::None,
            Some(_) => AnswerPart::Head,
            None => AnswerPart::Body,
        }
    }

    /// Whether the system has taken all bytes of the request.
    pub fn is_request_written(&self) -> bool {
        self.0.is_written.get()
    }

    fn note_read(&self, count: usize) {
        let left = self.0.head_left.get();
        self.0.head_left.set(left.map(|left| left.saturating_sub(count)));
    }

    fn note_written(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = polled {
            self.0.unwritten.set(self.0.unwritten.get().saturating_sub(*count));
        }
    }

    /// Notes that the HTTP library flushes, which it does once it has written what it holds.
    fn note_flush(&self) {
        if self.0.unwritten.get() == 0 {
            self.0.is_written.set(true);
        }
    }
}

/// A connection whose reads fail once a head takes more bytes than its limit, and whose writes count.
pub struct LimitedStream {
    socket: OwnedSocket,
    limit: HeadLimit,
}

impl LimitedStream {
    /// Puts a limit on a connection.
    pub fn new(socket: OwnedSocket, limit: HeadLimit) -> Self {
        Self { socket, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.0.head_left.get() == Some(0) {
            let error = io::Error::new(io::ErrorKind::InvalidData, "no end of the answer's head");
            return Poll::Ready(Err(error));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut *self.socket.borrow_mut()).poll_read(context, buffer);
        self.limit.note_read(buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.socket.borrow_mut()).poll_write(context, bytes);
        self.limit.note_written(&polled);
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.limit.note_flush();
        Pin::new(&mut *self.socket.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.socket.borrow_mut()).poll_write_vectored(context, slices);
        self.limit.note_written(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().is_write_vectored()
    }
}
