//! One link to a peer: notices one way, and calls with a reply.

use std::time::Duration;

use base_types::HostName;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use quinn::{Connection, RecvStream, SendStream, VarInt};

use crate::{
    MESSAGE_BYTES_MAX, PeerCall, PeerReply, TrafficCounter, TrafficKind, WireError, decode_message,
    encode_message,
};

const READ_TIMEOUT: Duration = Duration::from_secs(1);
const CLOSE_REPLACED: VarInt = VarInt::from_u32(1);

/// What a link receives.
#[derive(Debug)]
pub enum LinkInput {
    /// A message that wants no reply.
    Message(Bytes),
    /// A call and the stream for its reply.
    Call(PeerCall, CallStream),
}

/// Where the reply to a call goes; dropping it refuses the call.
#[derive(Debug)]
pub struct CallStream {
    sender: SendStream,
    counter: TrafficCounter,
}

impl CallStream {
    /// Sends the reply.
    ///
    /// # Errors
    ///
    /// Fails when the reply is too large or the link is closed.
    pub async fn reply(mut self, reply: &PeerReply) -> Result<(), Report<WireError>> {
        let bytes = encode_message(reply)?;
        self.counter.add_payload(call_kind(matches!(reply, PeerReply::Synced(_))), bytes.len());
        self.sender.write_all(&bytes).await.change_context(WireError::Closed)?;
        self.sender.finish().change_context(WireError::Closed)
    }
}

/// A link to one host of the fleet; cheap to clone.
#[derive(Debug, Clone)]
pub struct PeerLink {
    connection: Connection,
    host: HostName,
    counter: TrafficCounter,
}

impl PeerLink {
    pub(crate) fn new(connection: Connection, host: HostName, counter: TrafficCounter) -> Self {
        Self { connection, host, counter }
    }

    /// Host that the peer's certificate names.
    pub fn host(&self) -> &HostName {
        &self.host
    }

    /// Identity of the link within this process.
    pub fn id(&self) -> usize {
        self.connection.stable_id()
    }

    /// Sends a message that wants no reply and may be lost.
    ///
    /// # Errors
    ///
    /// Fails when the message is too large or the link is closed.
    pub async fn send(&self, message: Bytes) -> Result<(), Report<WireError>> {
        if message.len() > MESSAGE_BYTES_MAX {
            return Err(Report::new(WireError::Oversize));
        }
        let room = self.connection.max_datagram_size().unwrap_or_default();
        if message.len() <= room {
            return self.connection.send_datagram(message).change_context(WireError::Closed);
        }
        let mut stream = self.connection.open_uni().await.change_context(WireError::Closed)?;
        stream.write_all(&message).await.change_context(WireError::Closed)?;
        stream.finish().change_context(WireError::Closed)
    }

    /// Makes a call and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails when the call is too large, the link closes, or no reply comes within `timeout`;
    /// the call may then have taken effect.
    pub async fn call(
        &self,
        call: &PeerCall,
        timeout: Duration,
    ) -> Result<PeerReply, Report<WireError>> {
        let bytes = encode_message(call)?;
        self.counter.add_payload(call_kind(matches!(call, PeerCall::Sync(_))), bytes.len());
        tokio::time::timeout(timeout, self.exchange(&bytes))
            .await
            .change_context(WireError::Unanswered)?
    }

    /// Waits for the next message or call. A message that cannot be read closes nothing: it is
    /// counted and skipped.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub async fn receive(&self) -> Result<LinkInput, Report<WireError>> {
        loop {
            let input = tokio::select! {
                datagram = self.connection.read_datagram() => {
                    Ok(LinkInput::Message(datagram.change_context(WireError::Closed)?))
                }
                stream = self.connection.accept_uni() => {
                    let stream = stream.change_context(WireError::Closed)?;
                    read_whole(stream).await.map(|bytes| LinkInput::Message(bytes.into()))
                }
                streams = self.connection.accept_bi() => {
                    let (sender, receiver) = streams.change_context(WireError::Closed)?;
                    self.read_call(sender, receiver).await
                }
            };
            match input {
                Ok(input) => return Ok(input),
                Err(report) => {
                    log::debug!("message of {} refused: {report:?}", self.host);
                    self.counter.add_refused_message();
                }
            }
        }
    }

    /// Closes the link.
    pub fn close(&self) {
        self.connection.close(CLOSE_REPLACED, b"");
    }

    async fn read_call(
        &self,
        sender: SendStream,
        receiver: RecvStream,
    ) -> Result<LinkInput, Report<WireError>> {
        let bytes = read_whole(receiver).await?;
        let call = decode_message(&bytes)?;
        Ok(LinkInput::Call(call, CallStream { sender, counter: self.counter.clone() }))
    }

    async fn exchange(&self, bytes: &[u8]) -> Result<PeerReply, Report<WireError>> {
        let streams = self.connection.open_bi().await;
        let (mut sender, receiver) = streams.change_context(WireError::Closed)?;
        sender.write_all(bytes).await.change_context(WireError::Closed)?;
        sender.finish().change_context(WireError::Closed)?;
        decode_message(&read_whole(receiver).await?)
    }
}

async fn read_whole(mut stream: RecvStream) -> Result<Vec<u8>, Report<WireError>> {
    let read = stream.read_to_end(MESSAGE_BYTES_MAX);
    let read = tokio::time::timeout(READ_TIMEOUT, read).await;
    match read.change_context(WireError::Unanswered)? {
        Ok(bytes) => Ok(bytes),
        Err(quinn::ReadToEndError::TooLong) => Err(Report::new(WireError::Oversize)),
        Err(error) => Err(Report::new(error).change_context(WireError::Closed)),
    }
}

fn call_kind(is_repair: bool) -> TrafficKind {
    if is_repair { TrafficKind::Repair } else { TrafficKind::Call }
}
