//! Errors of platform calls.

use std::fmt;

use base_types::key_types;

key_types! {
    /// Why a platform call failed.
    pub enum PlatformError {
        /// The platform could not be reached; the call had no effect.
        Unreachable,
        /// The call was sent and not answered; a write may have taken effect.
        Unanswered,
        /// The condition of a write did not hold; the call had no effect.
        Conflict,
        /// The platform refused the call; it had no effect.
        Refused,
        /// The platform's answer could not be read.
        Malformed,
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "the platform cannot be reached",
            Self::Unanswered => "the platform did not answer; a write may have taken effect",
            Self::Conflict => "the object has another version",
            Self::Refused => "the platform refused the call",
            Self::Malformed => "the platform's answer cannot be read",
        })
    }
}

impl std::error::Error for PlatformError {}
