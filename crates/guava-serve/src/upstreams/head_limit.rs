//! Limits the bytes that a server sends before the head of its answer is complete.
//!
//! The HTTP library limits one head, but not interim answers, of which any number may come before the
//! final one.

use crate::upstreams::answer_part::AnswerPart;
use crate::upstreams::socket_handle::OwnedSocket;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may still be read before the head of an answer is complete; clones share them.
#[derive(Clone, Debug)]
pub struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// A limit that holds from now on.
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(Some(bytes))))
    }

    /// Begins to wait for a head.
    pub fn begin(&self, bytes: usize) {
        self.0.set(Some(bytes));
    }

    /// Notes that a head is complete: what follows is its body.
    pub fn end(&self) {
        self.0.set(None);
    }

    /// How far an answer has come that may send so many bytes before its head is complete.
    pub fn part(&self, bytes: usize) -> AnswerPart {
        match self.0.get() {
            Some(left) if left == bytes => AnswerPart::None,
            Some(_) => AnswerPart::Head,
            None => AnswerPart::Body,
        }
    }

    fn note_read(&self, count: usize) {
        self.0.set(self.0.get().map(|left| left.saturating_sub(count)));
    }
}

/// A connection whose reads fail once a head takes more bytes than its limit.
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
        if self.limit.0.get() == Some(0) {
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
        Pin::new(&mut *self.socket.borrow_mut()).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
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
        Pin::new(&mut *self.socket.borrow_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().is_write_vectored()
    }
}
