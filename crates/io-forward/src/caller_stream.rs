//! Connection of a caller, which is reset when the caller takes no bytes for too long.
//!
//! An answer that is complete at the router no longer has a deadline of its call; without this bound, a
//! caller that never reads it would hold its memory without end. A reset is not the end of an answer
//! in any version of HTTP.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Longest time for which a caller takes no bytes. Longer than reading from a target may pause, so that a
/// stream ends with its own reason first.
const STALL_TIMEOUT: Duration = Duration::from_secs(6);

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    is_limited: bool,
    /// Timer of the write in progress; `None` while writes are accepted.
    stall: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps a connection; `is_limited` says whether it is reset when its caller stalls.
    pub(crate) fn new(stream: TcpStream, is_limited: bool) -> Self {
        Self { stream, is_limited, stall: None }
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Passes on the result of a write; one that waits for too long fails.
    fn check_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() || !self.is_limited {
            self.stall = None;
            return written;
        }
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
        ready!(stall.as_mut().poll(context));
        log::info!("caller took no bytes for too long, connection reset");
        self.stream.set_zero_linger()?;
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(context, buffer);
        this.check_write(context, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, buffers);
        this.check_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
