//! Connection to a target, which fails when the target sends too many bytes that belong to no body.
//!
//! Interim responses and the size of a chunk may go on without end, and the HTTP client reads them for as long as they
//! do. Bytes of a body are limited where the body is read.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that may be read before the first part of a body, and between two parts. More than a head and the bytes that
/// are read ahead of a part.
const OVERHEAD_BYTES_MAX: u64 = 64 * 1_024;

/// Bytes that may be read for each byte of a body. A chunk of one byte has six.
const BYTES_PER_BODY_BYTE: u64 = 16;

/// What may still be read from a target; shared by a connection and the body that arrives on it.
#[derive(Debug, Clone)]
pub(crate) struct ReadAllowance(Rc<Cell<u64>>);

/// A connection to a target.
#[derive(Debug)]
pub(crate) struct TargetStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

/// Body of a target's response.
#[derive(Debug)]
pub(crate) struct TargetBody {
    body: Incoming,
    allowance: ReadAllowance,
}

impl ReadAllowance {
    pub(crate) fn new() -> Self {
        Self(Rc::new(Cell::new(OVERHEAD_BYTES_MAX)))
    }

    /// Allows the next response.
    pub(crate) fn restore(&self) {
        self.0.set(OVERHEAD_BYTES_MAX);
    }

    fn extend(&self, body_bytes: usize) {
        let extended = self.0.get() + body_bytes as u64 * BYTES_PER_BODY_BYTE;
        self.0.set(extended.min(OVERHEAD_BYTES_MAX));
    }

    fn take(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.get().checked_sub(bytes as u64).ok_or_else(|| {
            let problem = format!("more than {OVERHEAD_BYTES_MAX} bytes without a part of a body");
            io::Error::new(io::ErrorKind::InvalidData, problem)
        })?;
        self.0.set(left);
        Ok(())
    }
}

impl TargetStream {
    pub(crate) fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl TargetBody {
    pub(crate) fn new(body: Incoming, allowance: ReadAllowance) -> Self {
        Self { body, allowance }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        Poll::Ready(this.allowance.take(buffer.filled().len() - filled))
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, buffers)
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

impl Body for TargetBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut this.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            this.allowance.extend(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
