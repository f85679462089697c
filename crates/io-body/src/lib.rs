//! Channel for the body of a response that one task produces and another sends to a caller.
//!
//! A body is complete only after [`BodySender::finish`]. If the sender goes away earlier, for whatever
//! reason, the body fails: a task that is cancelled or panics leaves a truncated response, never one
//! that looks complete.
//!
//! The failure is returned one poll late, so that an HTTP server first writes the chunks before it: the
//! server discards all unwritten bytes when a body fails. The crate itself knows nothing of HTTP.

use std::{
    fmt,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use tokio::sync::mpsc;

/// The body ended early; the response must not be terminated like a complete one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TruncatedBody;

/// The receiver of a body is gone, because the caller disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerDisconnected;

/// Sends the chunks of a body.
#[derive(Debug)]
pub struct BodySender {
    parts: mpsc::Sender<BodyPart>,
}

/// Receives the chunks of a body, or its failure.
#[derive(Debug)]
pub struct BodyReceiver {
    parts: mpsc::Receiver<BodyPart>,
    state: ReceiverState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReceiverState {
    Receiving,
    Finished,
    /// The sender is gone; the next poll returns the failure.
    Truncated,
}

#[derive(Debug)]
enum BodyPart {
    Chunk(Bytes),
    End,
}

/// Creates a body of which at most `chunks_max` chunks are buffered for a caller that reads slowly.
pub fn body_channel(chunks_max: usize) -> (BodySender, BodyReceiver) {
    let (sender, receiver) = mpsc::channel(chunks_max);
    (
        BodySender { parts: sender },
        BodyReceiver { parts: receiver, state: ReceiverState::Receiving },
    )
}

impl BodySender {
    /// Sends a chunk; waits while the buffer is full.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected.
    pub async fn send(&self, chunk: Bytes) -> Result<(), CallerDisconnected> {
        self.parts.send(BodyPart::Chunk(chunk)).await.map_err(|_| CallerDisconnected)
    }

    /// Marks the body as complete; waits while the buffer is full.
    pub async fn finish(self) {
        // The send fails only if the caller has disconnected, which needs no handling.
        let _ = self.parts.send(BodyPart::End).await;
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }

    /// Whether the caller has disconnected.
    pub fn is_closed(&self) -> bool {
        self.parts.is_closed()
    }
}

impl BodyReceiver {
    /// Polls for the next chunk; `None` after the end of a complete body.
    pub fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        match self.state {
            ReceiverState::Receiving => {}
            ReceiverState::Finished => return Poll::Ready(None),
            ReceiverState::Truncated => return Poll::Ready(Some(Err(TruncatedBody))),
        }
        match ready!(self.parts.poll_recv(context)) {
            Some(BodyPart::Chunk(chunk)) => Poll::Ready(Some(Ok(chunk))),
            Some(BodyPart::End) => {
                self.state = ReceiverState::Finished;
                Poll::Ready(None)
            }
            None => {
                self.state = ReceiverState::Truncated;
                context.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}

impl fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response ended before it was complete")
    }
}

impl std::error::Error for TruncatedBody {}
