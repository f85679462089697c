//! A link to a peer, which carries one-way messages and calls with a reply.

use std::time::Duration;

use base_types::HostName;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use quinn::{Connection, RecvStream, SendStream, VarInt};

use crate::{
    MESSAGE_BYTES_MAX, PeerCall, PeerReply, TrafficCounter, TrafficKind, WireError, decode_message,
    encode_message,
};

/// Time limit for receiving one message, call or reply on a stream. The timeout passed to
/// [`PeerLink::call`] also applies to its reply; the shorter one wins.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
const CLOSE_BY_PEER_CORE: VarInt = VarInt::from_u32(1);

/// Input received from a peer.
#[derive(Debug)]
pub enum LinkInput {
    /// A one-way message, still encoded.
    Message(Bytes),
    /// A call, and the stream that takes the reply.
    Call(PeerCall, ReplyStream),
}

/// Stream for the reply to one call; when dropped without a reply, the call fails at the peer.
#[derive(Debug)]
pub struct ReplyStream {
    sender: SendStream,
    counter: TrafficCounter,
}

impl ReplyStream {
    /// Sends the reply and finishes the stream.
    ///
    /// # Errors
    ///
    /// Fails when the reply is too large or the link is closed.
    pub async fn reply(mut self, reply: &PeerReply) -> Result<(), Report<WireError>> {
        let bytes = encode_message(reply)?;
        self.counter
            .record_payload(call_traffic_kind(matches!(reply, PeerReply::Synced(_))), bytes.len());
        self.sender.write_all(&bytes).await.change_context(WireError::Closed)?;
        self.sender.finish().change_context(WireError::Closed)
    }
}

/// An authenticated connection to one host of the fleet; clones share the connection.
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

    /// Identifier of the connection, unique among the links of this process.
    pub fn id(&self) -> usize {
        self.connection.stable_id()
    }

    /// Sends a one-way message: in a datagram, which may be lost, or on a stream when the message
    /// is too large for a datagram.
    ///
    /// # Errors
    ///
    /// Fails when the message is too large or the link is closed.
    pub async fn send(&self, message: Bytes) -> Result<(), Report<WireError>> {
        if message.len() > MESSAGE_BYTES_MAX {
            return Err(Report::new(WireError::Oversize));
        }
        let datagram_bytes_max = self.connection.max_datagram_size().unwrap_or_default();
        if message.len() <= datagram_bytes_max {
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
        self.counter
            .record_payload(call_traffic_kind(matches!(call, PeerCall::Sync(_))), bytes.len());
        tokio::time::timeout(timeout, self.exchange(&bytes))
            .await
            .change_context(WireError::Unanswered)?
    }

    /// Waits for the next message or call. Malformed, oversize, late or reset input is counted as
    /// refused and skipped; the link stays open. Input is late after one second.
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
                    read_to_end_bounded(stream).await.map(|bytes| LinkInput::Message(bytes.into()))
                }
                streams = self.connection.accept_bi() => {
                    let (sender, receiver) = streams.change_context(WireError::Closed)?;
                    self.read_call(sender, receiver).await
                }
            };
            match input {
                Ok(input) => return Ok(input),
                Err(report) => {
                    log::debug!("skipped invalid input from peer {}: {report:?}", self.host);
                    self.counter.add_refused_message();
                }
            }
        }
    }

    /// Closes the connection, also for all clones of the link.
    pub fn close(&self) {
        self.connection.close(CLOSE_BY_PEER_CORE, b"");
    }

    async fn read_call(
        &self,
        sender: SendStream,
        receiver: RecvStream,
    ) -> Result<LinkInput, Report<WireError>> {
        let bytes = read_to_end_bounded(receiver).await?;
        let call = decode_message(&bytes)?;
        Ok(LinkInput::Call(call, ReplyStream { sender, counter: self.counter.clone() }))
    }

    async fn exchange(&self, bytes: &[u8]) -> Result<PeerReply, Report<WireError>> {
        let streams = self.connection.open_bi().await;
        let (mut sender, receiver) = streams.change_context(WireError::Closed)?;
        sender.write_all(bytes).await.change_context(WireError::Closed)?;
        sender.finish().change_context(WireError::Closed)?;
        decode_message(&read_to_end_bounded(receiver).await?)
    }
}

async fn read_to_end_bounded(mut stream: RecvStream) -> Result<Vec<u8>, Report<WireError>> {
    let read = stream.read_to_end(MESSAGE_BYTES_MAX);
    let read = tokio::time::timeout(READ_TIMEOUT, read).await;
    match read.change_context(WireError::Unanswered)? {
        Ok(bytes) => Ok(bytes),
        Err(quinn::ReadToEndError::TooLong) => Err(Report::new(WireError::Oversize)),
        Err(error) => Err(Report::new(error).change_context(WireError::Closed)),
    }
}

fn call_traffic_kind(is_repair: bool) -> TrafficKind {
    if is_repair { TrafficKind::Repair } else { TrafficKind::Call }
}
