//! Bodies of responses to callers.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use io_body::{BodyReceiver, BodySender, TruncatedBody, body_channel};

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

    /// Creates a body whose chunks are sent through the returned sender.
    pub(crate) fn streamed() -> (BodySender, Self) {
        let (sender, receiver) = body_channel(BUFFERED_CHUNKS_MAX);
        (sender, Self::Streamed(receiver))
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
