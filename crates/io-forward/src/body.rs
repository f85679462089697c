//! Bodies of responses to callers.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use io_body::{BodyReceiver, BodySender, CallerDisconnected, TruncatedBody, body_channel};
use tokio::time::Instant;

use crate::memory::{CallMemory, HeldMemory, UNREAD_TIMEOUT};

/// Chunks that are buffered for a caller that reads slowly, before reading from the target pauses.
const BUFFERED_CHUNKS_MAX: usize = 8;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body.
    Buffered(Full<Bytes>),
    /// Chunks that are sent as they arrive; a truncated body closes the caller's connection without
    /// terminating the response.
    Streamed(BodyReceiver),
}

impl ResponseBody {
    /// Creates a body from its complete bytes.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }
}

/// Sends a stream to a caller, and bounds what waits for it.
#[derive(Debug)]
pub(crate) struct StreamOutlet {
    chunks: BodySender,
    memory: CallMemory,
    /// Bytes of the stream that were held and not sent yet.
    held: HeldMemory,
}

/// Why a chunk was not passed on to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteStop {
    /// The caller closed its connection.
    CallerDisconnected,
    /// The stream could not be passed on for [`UNREAD_TIMEOUT`].
    Unread,
    /// The deadline of the call passed meanwhile.
    Expired,
}

impl StreamOutlet {
    /// Creates a body and the outlet that its chunks are sent through.
    pub(crate) fn new(memory: CallMemory) -> (Self, ResponseBody) {
        let (chunks, receiver) = body_channel(BUFFERED_CHUNKS_MAX);
        let held = memory.hold_nothing();
        (Self { chunks, memory, held }, ResponseBody::Streamed(receiver))
    }

    /// Holds a chunk that arrived, once there is memory for it. `incomplete_bytes` of the stream's
    /// bytes belong to an event that is not complete.
    pub(crate) async fn hold(
        &mut self,
        bytes: usize,
        incomplete_bytes: usize,
        deadline: Instant,
    ) -> Result<(), WriteStop> {
        if self.memory.is_limited() {
            let holding = self.memory.hold(bytes as u64, incomplete_bytes as u64);
            let held = self.wait(holding, deadline).await?;
            self.held.add(held);
        }
        Ok(())
    }

    /// Sends bytes that are held; waits while the caller has much to read.
    pub(crate) async fn send(&mut self, bytes: Bytes, deadline: Instant) -> Result<(), WriteStop> {
        let bytes = self.held.split(bytes.len() as u64).attach(bytes);
        let sent = self.wait(self.chunks.send(bytes), deadline).await?;
        sent.map_err(|CallerDisconnected| WriteStop::CallerDisconnected)
    }

    /// Gives back what is held of an event that is discarded.
    pub(crate) fn discard_incomplete(&mut self) {
        self.held = self.memory.hold_nothing();
    }

    /// Waits until the caller disconnects.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Whether the caller has disconnected.
    pub(crate) fn is_closed(&self) -> bool {
        self.chunks.is_closed()
    }

    /// Marks the body as complete.
    pub(crate) async fn finish(self) {
        self.chunks.finish().await;
    }

    /// Waits while reading from the target pauses; only where memory is limited, the pause has an
    /// end.
    async fn wait<T>(
        &self,
        waiting: impl Future<Output = T>,
        deadline: Instant,
    ) -> Result<T, WriteStop> {
        if !self.memory.is_limited() {
            return Ok(waiting.await);
        }
        let unread_deadline = Instant::now() + UNREAD_TIMEOUT;
        tokio::select! {
            biased;
            result = waiting => Ok(result),
            () = self.closed() => Err(WriteStop::CallerDisconnected),
            () = tokio::time::sleep_until(deadline.min(unread_deadline)) => {
                Err(if deadline <= unread_deadline { WriteStop::Expired } else { WriteStop::Unread })
            }
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match self.get_mut() {
            Self::Buffered(body) => {
                Pin::new(body).poll_frame(context).map_err(|error: Infallible| match error {})
            }
            Self::Streamed(chunks) => {
                chunks.poll_chunk(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
