//! Encoding of messages, and the requests and replies of calls between routers.

use base_types::{RequestKey, value_types};
use error_stack::{Report, ResultExt};
use serde::{Serialize, de::DeserializeOwned};

use crate::WireError;

/// Largest encoded message, in bytes; applies to sending and receiving.
pub const MESSAGE_BYTES_MAX: usize = 256 * 1024;

value_types! {
    /// A call from one router to another. The encoding holds the index of the variant, so new
    /// variants are added at the end.
    #[derive(Eq)]
    pub enum PeerCall {
        /// Requests the peer's record of its decisions about a request.
        Explain(RequestKey),
        /// Requests entries of gossiped state; the bytes are an encoded sync request, opaque here.
        Sync(Vec<u8>),
    }

    /// The reply to a call. New variants are added at the end, as for [`PeerCall`].
    #[derive(Eq)]
    pub enum PeerReply {
        /// Reserved for peers that do not support the call; never sent by this version.
        Unsupported,
        /// One sentence per decision; empty when the peer has no record of the request.
        Explained(Vec<Box<str>>),
        /// Entries of gossiped state; the bytes are an encoded sync reply, opaque here.
        Synced(Vec<u8>),
    }
}

/// Encodes a message as postcard.
///
/// # Errors
///
/// Fails when the message is larger than [`MESSAGE_BYTES_MAX`].
pub fn encode_message<T: Serialize>(message: &T) -> Result<Vec<u8>, Report<WireError>> {
    let bytes = postcard::to_stdvec(message).change_context(WireError::Malformed)?;
    if bytes.len() > MESSAGE_BYTES_MAX {
        return Err(Report::new(WireError::Oversize));
    }
    Ok(bytes)
}

/// Decodes a message from postcard; all bytes must belong to it.
///
/// # Errors
///
/// Fails when the bytes are more than [`MESSAGE_BYTES_MAX`], do not decode as the message, or go
/// on after its end.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Report<WireError>> {
    if bytes.len() > MESSAGE_BYTES_MAX {
        return Err(Report::new(WireError::Oversize));
    }
    let (message, rest) = postcard::take_from_bytes(bytes).change_context(WireError::Malformed)?;
    if !rest.is_empty() {
        return Err(Report::new(WireError::Malformed));
    }
    Ok(message)
}
