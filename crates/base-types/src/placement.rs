//! Placement tokens, which a caller receives with an answer and returns with its next turn.

use std::{fmt, str::FromStr};

use crate::key_types;

key_types! {
    /// Hashes of the names of the two targets that last served a chat; zero means none.
    ///
    /// The token is only a hint and is not signed: a caller that changes it can only lose its own
    /// cache hits. The bound on load and the lifecycle of targets apply whatever the token says.
    pub struct PlacementToken {
        /// Hash of the target that served the chat last.
        pub last: u64,
        /// Hash of a different target that served the chat before `last`; zero when there is none.
        pub previous: u64,
    }
}

/// Error for text that is not two hashes of 16 hexadecimal digits joined by `-`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParsePlacementError;

impl PlacementToken {
    /// Token after the first placed request of a chat went to `target`.
    pub fn new(target: u64) -> Self {
        Self { last: target, previous: 0 }
    }

    /// Token after the next request of the chat went to `target`.
    pub fn with_latest(self, target: u64) -> Self {
        if self.last == target {
            return self;
        }
        Self { last: target, previous: self.last }
    }
}

impl fmt::Display for PlacementToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.last, self.previous)
    }
}

impl FromStr for PlacementToken {
    type Err = ParsePlacementError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (last, previous) = text.split_once('-').ok_or(ParsePlacementError)?;
        Ok(Self { last: parse_hash(last)?, previous: parse_hash(previous)? })
    }
}

fn parse_hash(text: &str) -> Result<u64, ParsePlacementError> {
    if text.len() != 16 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(ParsePlacementError);
    }
    u64::from_str_radix(text, 16).map_err(|_| ParsePlacementError)
}
