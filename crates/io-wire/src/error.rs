//! Errors of the wire.

use std::fmt;

use base_types::key_types;

key_types! {
    /// Why a link or a message failed.
    pub enum WireError {
        /// The certificates or keys cannot be used.
        Keys,
        /// The address cannot be bound.
        Bind,
        /// The peer could not be reached in time.
        Unreachable,
        /// The peer was refused, or refused us, in the handshake.
        Refused,
        /// The link is closed.
        Closed,
        /// The message is larger than its bound.
        Oversize,
        /// The message cannot be read.
        Malformed,
        /// The call was not answered in time; it may have taken effect.
        Unanswered,
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Keys => "the certificates or keys cannot be used",
            Self::Bind => "the peer address cannot be bound",
            Self::Unreachable => "the peer cannot be reached",
            Self::Refused => "the handshake was refused",
            Self::Closed => "the link is closed",
            Self::Oversize => "the message is too large",
            Self::Malformed => "the message cannot be read",
            Self::Unanswered => "the peer did not answer in time",
        })
    }
}

impl std::error::Error for WireError {}
