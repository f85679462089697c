//! Bodies of responses to callers.

use std::{
    convert::Infallible,
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Chunks that are buffered for a caller that reads slowly, before reading from the target pauses.
const BUFFERED_CHUNKS_MAX: usize = 8;

/// The response ended early; the caller's connection is closed without terminating the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TruncatedResponse;

impl fmt::Display for TruncatedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response ended before it was complete")
    }
}

impl std::error::Error for TruncatedResponse {}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body.
    Buffered(Full<Bytes>),
    /// Chunks that are sent as they arrive.
    Streamed(mpsc::Receiver<Result<Bytes, TruncatedResponse>>),
}

/// Sends the chunks of a streamed body; an error truncates the body.
pub(crate) type ChunkSender = mpsc::Sender<Result<Bytes, TruncatedResponse>>;

impl ResponseBody {
    /// Creates a body from its complete bytes.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }

    /// Creates a body whose chunks are sent through the returned sender.
    pub(crate) fn streamed() -> (ChunkSender, Self) {
        let (sender, receiver) = mpsc::channel(BUFFERED_CHUNKS_MAX);
        (sender, Self::Streamed(receiver))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match self.get_mut() {
            Self::Buffered(body) => {
                Pin::new(body).poll_frame(context).map_err(|error: Infallible| match error {})
            }
            Self::Streamed(chunks) => {
                chunks.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
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
