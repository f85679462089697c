//! Errors of endpoints, links and messages.

use std::fmt;

use base_types::key_types;

key_types! {
    /// Failure of an endpoint, a link or a message.
    pub enum WireError {
        /// A certificate or key is malformed or does not fit the others.
        Keys,
        /// The UDP address cannot be bound.
        Bind,
        /// The handshake with the peer did not end in time, or could not start.
        Unreachable,
        /// The handshake failed, for example because one side rejected the other's certificate or
        /// protocol version.
        Refused,
        /// The link is closed.
        Closed,
        /// The message is larger than [`MESSAGE_BYTES_MAX`](crate::MESSAGE_BYTES_MAX).
        Oversize,
        /// The message cannot be encoded or decoded.
        Malformed,
        /// The message or reply did not arrive in time; a call may have taken effect.
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
            Self::Malformed => "the message cannot be encoded or decoded",
            Self::Unanswered => "nothing complete was received in time",
        })
    }
}

impl std::error::Error for WireError {}
