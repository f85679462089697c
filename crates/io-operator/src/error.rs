//! Errors of calls to the administration API.

use std::fmt;

use base_types::key_types;

key_types! {
    /// Failure of a call to the administration API, by what is known of its effect.
    pub enum OperatorError {
        /// No connection could be opened; an edit had no effect.
        Unreachable,
        /// The call may have been sent, and no complete answer came or the router does not know the
        /// outcome; an edit may have taken effect.
        Unanswered,
        /// The token is missing or unknown, or its operator lacks the required right.
        Forbidden,
        /// The path or the row does not exist.
        NotFound,
        /// The precondition of an edit did not hold; the edit had no effect.
        Conflict,
        /// The router rejected the content of the call as invalid; an edit had no effect.
        Invalid,
        /// The router is temporarily unable to serve the call; an edit had no effect.
        Unavailable,
        /// The call could not be encoded, the answer not decoded, or its status is unexpected; in
        /// the last two cases an edit may have taken effect.
        Malformed,
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "the router cannot be reached",
            Self::Unanswered => "the router did not answer; an edit may have taken effect",
            Self::Forbidden => {
                "the router rejected the token, or its operator lacks the required right"
            }
            Self::NotFound => "the row or path does not exist on the router",
            Self::Conflict => "the row does not have the expected version",
            Self::Invalid => "the router rejected the call as invalid",
            Self::Unavailable => "the router cannot serve the call now; try again later",
            Self::Malformed => "the call, the TLS settings or the router's answer is invalid",
        })
    }
}

impl std::error::Error for OperatorError {}
