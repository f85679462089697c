//! The placement of a chat, as its caller is told of it and sends it back.

use std::{fmt, str::FromStr};

use crate::key_types;

key_types! {
    /// Hashes of the names of the targets that served a chat last; zero stands for none.
    ///
    /// A hint only: it is not signed, as a caller that changes it can only lose its own cache. The
    /// bound on load and the life cycle of targets hold whatever it says.
    pub struct PlacementToken {
        /// Target that served the chat last.
        pub last: u64,
        /// Another target that served it before.
        pub before: u64,
    }
}

/// The text is not a placement token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementError;

impl PlacementToken {
    /// The token of a chat without a placement that is sent to a target.
    pub fn first(target: u64) -> Self {
        Self { last: target, before: 0 }
    }

    /// The token after the chat was sent to a target.
    pub fn sent_to(self, target: u64) -> Self {
        if self.last == target {
            return self;
        }
        Self { last: target, before: self.last }
    }
}

impl fmt::Display for PlacementToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.last, self.before)
    }
}

impl FromStr for PlacementToken {
    type Err = PlacementError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (last, before) = text.split_once('-').ok_or(PlacementError)?;
        Ok(Self { last: parse_hash(last)?, before: parse_hash(before)? })
    }
}

fn parse_hash(text: &str) -> Result<u64, PlacementError> {
    if text.len() != 16 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(PlacementError);
    }
    u64::from_str_radix(text, 16).map_err(|_| PlacementError)
}
