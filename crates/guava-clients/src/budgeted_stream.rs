//! A client's connection that keeps its account.

use crate::connection_account::ConnectionAccount;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// First bytes of a connection that carries several requests at a time.
const MULTIPLEXED_PREFACE: &[u8] = b"PRI";

/// A connection, and what its reads and writes say of its client.
#[derive(Debug)]
pub struct BudgetedStream<S> {
    stream: S,
    socket: fn(&S) -> &TcpStream,
    account: ConnectionAccount,
    has_read: bool,
}

impl BudgetedStream<TcpStream> {
    /// Wraps a plain connection.
    pub fn plain(stream: TcpStream, account: ConnectionAccount) -> Self {
        Self::new(stream, |stream| stream, account)
    }
}

impl<S> BudgetedStream<S> {
    /// Wraps a connection over the socket that the function returns.
    pub fn new(stream: S, socket: fn(&S) -> &TcpStream, account: ConnectionAccount) -> Self {
        Self { stream, socket, account, has_read: false }
    }

    /// The socket below.
    pub fn socket(&self) -> &TcpStream {
        (self.socket)(&self.stream)
    }

    fn note_read(&mut self, read: &[u8]) {
        if read.is_empty() {
            return;
        }
        if !std::mem::replace(&mut self.has_read, true) && read.starts_with(MULTIPLEXED_PREFACE) {
            self.account.note_multiplexed();
        }
        self.account.note_read(read.len());
    }

    fn note_written(&self, polled: &Poll<io::Result<usize>>) {
        if polled.is_pending() {
            self.account.note_blocked();
        }
    }
}

impl<S> Drop for BudgetedStream<S> {
    fn drop(&mut self) {
        if self.account.is_abortive() {
            // Otherwise the system would keep for minutes what the client does not take.
            drop(SockRef::from(self.socket()).set_linger(Some(Duration::ZERO)));
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BudgetedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        match &polled {
            Poll::Ready(Ok(())) => self.note_read(&buffer.filled()[before..]),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.account.note_drained(),
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BudgetedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_written(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(context);
        // The HTTP library flushes once it has written everything.
        if polled.is_ready() {
            self.account.note_flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_written(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
