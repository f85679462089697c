//! Errors of the operators' API.

use std::fmt;

use base_types::key_types;

key_types! {
    /// Why a call of the operators' API failed.
    pub enum OperatorError {
        /// The router could not be reached; an edit had no effect.
        Unreachable,
        /// The call was sent and not answered; an edit may have taken effect.
        Unanswered,
        /// The token is missing, unknown or lacks the right.
        Forbidden,
        /// There is no such thing.
        NotFound,
        /// The row has another version.
        Conflict,
        /// The router found faults in what was sent.
        Invalid,
        /// The router cannot serve the call now; an edit had no effect.
        Unavailable,
        /// The call or its answer cannot be read.
        Malformed,
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "the router cannot be reached",
            Self::Unanswered => "the router did not answer; an edit may have taken effect",
            Self::Forbidden => "the router refused the token",
            Self::NotFound => "the router knows no such thing",
            Self::Conflict => "the row has another version",
            Self::Invalid => "the router found faults",
            Self::Unavailable => "the router cannot serve the call now",
            Self::Malformed => "the call or its answer cannot be read",
        })
    }
}

impl std::error::Error for OperatorError {}
