//! Encoding of messages, and the calls that routers make to each other.

use base_types::{RequestKey, value_types};
use error_stack::{Report, ResultExt};
use serde::{Serialize, de::DeserializeOwned};

use crate::WireError;

/// Largest message, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 256 * 1024;

value_types! {
    /// A call from one router to another. A new kind goes to the end, as its place is its number.
    #[derive(Eq)]
    pub enum PeerCall {
        /// Asks what the peer decided about a request.
        Explain(RequestKey),
        /// Asks for entries of spread state; the bytes are a message of the spreading crate.
        Sync(Vec<u8>),
    }

    /// The answer to a call.
    #[derive(Eq)]
    pub enum PeerReply {
        /// The peer does not know this kind of call.
        Unsupported,
        /// The peer's sentences; none when it remembers no such request.
        Explained(Vec<Box<str>>),
        /// Entries of spread state; the bytes are a message of the spreading crate.
        Synced(Vec<u8>),
    }
}

/// Encodes a message.
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

/// Decodes a message that must fill the bytes.
///
/// # Errors
///
/// Fails when the bytes are too many, are no such message, or hold more than one.
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
