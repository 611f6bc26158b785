//! A caller's connection whose close can't be mistaken for the end of an answer.
//!
//! From the first byte of an answer that only the close ends, and until it is complete, the socket's
//! linger time is zero. So whatever closes it, also the system after the process was killed, resets the
//! connection. A length would tell the end too, but would need the whole answer before its first byte.

use crate::answer_end::AnswerEnd;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection to a caller.
#[derive(Debug)]
pub struct CallerStream<S> {
    stream: S,
    socket: fn(&S) -> &TcpStream,
    end: AnswerEnd,
    /// Whether a close resets the connection.
    is_abortive: bool,
}

impl CallerStream<TcpStream> {
    /// Wraps a plain connection.
    pub fn plain(stream: TcpStream, end: AnswerEnd) -> Self {
        Self::new(stream, |stream| stream, end)
    }
}

impl<S> CallerStream<S> {
    /// Wraps a connection over the socket that the function returns.
    pub fn new(stream: S, socket: fn(&S) -> &TcpStream, end: AnswerEnd) -> Self {
        Self { stream, socket, end, is_abortive: false }
    }

    fn set_abortive(&mut self, is_abortive: bool) -> io::Result<()> {
        if self.is_abortive != is_abortive {
            let linger = is_abortive.then_some(Duration::ZERO);
            SockRef::from((self.socket)(&self.stream)).set_linger(linger)?;
            self.is_abortive = is_abortive;
        }
        Ok(())
    }

    fn prepare_write(&mut self) -> io::Result<()> {
        if self.end.has_begun() { self.set_abortive(true) } else { Ok(()) }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.end.has_begun() {
            if !self.end.is_complete() {
                // The close that follows resets the connection.
                return Poll::Ready(self.set_abortive(true));
            }
            ready!(Pin::new(&mut self.stream).poll_flush(context))?;
            self.set_abortive(false)?;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
