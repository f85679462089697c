//! An operation as the platform keeps it.

use base_types::{
    AccountName, AttemptKey, ContentDigest, HostName, OperationName, PoolName, key_types,
    value_types,
};

use crate::{OperationClaim, StoredAnswer};

/// Prefix of the paths of all operations.
pub const OPERATIONS_PREFIX: &str = "operations/";

/// Longest time that an attempt may hold a claim without recording its outcome, in milliseconds:
/// the callers' longest deadline and the wait for a late answer.
const CLAIM_MS_MAX: u64 = 720_000;

key_types! {
    /// Milliseconds since the Unix epoch, for people and for retention; never used for safety.
    #[serde(transparent)]
    pub struct WallTime(pub u64);

    /// What an operator found out about an operation.
    #[serde(rename_all = "kebab-case")]
    pub enum SettledOutcome {
        /// The operation ran.
        Run,
        /// The operation did not run and never will; its id is spent.
        NotRun,
    }
}

value_types! {
    /// An operator's decision about an operation whose outcome was not known.
    #[derive(Eq)]
    pub struct Settlement {
        /// What the operator found out.
        pub outcome: SettledOutcome,
        /// Who settled it.
        pub operator: Box<str>,
        /// Why.
        pub reason: Box<str>,
    }

    /// Where an operation stands.
    #[derive(Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum OperationState {
        /// An attempt holds the operation and may have sent it.
        Claimed,
        /// The attempt that held the operation certainly did not send it.
        Released,
        /// The operation was sent and its outcome is not known.
        Unsettled,
        /// The operation ran and this is its answer.
        Completed(StoredAnswer),
        /// An operator settled the operation.
        Settled(Settlement),
    }

    /// An operation as the platform keeps it.
    #[derive(Eq)]
    pub struct OperationRecord {
        /// Pool the operation runs on.
        pub pool: PoolName,
        /// Client account that the idempotency key is of.
        pub account: AccountName,
        /// Idempotency key.
        pub operation: OperationName,
        /// Digest of the content.
        #[serde(with = "hex_text")]
        pub content: ContentDigest,
        /// The attempt that wrote the record last.
        #[serde(with = "hex_text")]
        pub attempt: AttemptKey,
        /// Host of the router that wrote the record last.
        pub host: HostName,
        /// When the record was written, by that router's clock.
        pub written: WallTime,
        /// Where the operation stands.
        pub state: OperationState,
    }
}

impl OperationRecord {
    /// The record of a claim in some state.
    pub fn new(
        claim: &OperationClaim,
        host: &HostName,
        written: WallTime,
        state: OperationState,
    ) -> Self {
        Self {
            pool: claim.pool.clone(),
            account: claim.account.clone(),
            operation: claim.operation.clone(),
            content: claim.content,
            attempt: claim.attempt,
            host: host.clone(),
            written,
            state,
        }
    }

    /// Whether the outcome is open: nobody has recorded it, and no live attempt will.
    ///
    /// A claim is open once it is older than the longest time that an attempt may take.
    pub fn is_open(&self, now: WallTime) -> bool {
        match self.state {
            OperationState::Unsettled => true,
            OperationState::Claimed => self.written.0 + CLAIM_MS_MAX < now.0,
            _ => false,
        }
    }

    /// The record after an operator settled it; `None` when the outcome is not open.
    pub fn settle(&self, settlement: Settlement, host: &HostName, now: WallTime) -> Option<Self> {
        if !self.is_open(now) {
            return None;
        }
        let state = OperationState::Settled(settlement);
        Some(Self { host: host.clone(), written: now, state, ..self.clone() })
    }

    /// Whether the record may be forgotten: it is final and older than `oldest`.
    pub fn expired(&self, oldest: WallTime) -> bool {
        let open = matches!(self.state, OperationState::Claimed | OperationState::Unsettled);
        !open && self.written < oldest
    }
}

/// Path of an operation's object; names are hashed, as callers may put any byte into them.
///
/// The pool is not part of it: a repeat finds the operation also when its route goes to another
/// pool meanwhile, or when routers have different rows in force.
pub fn operation_path(account: &AccountName, operation: &OperationName) -> Box<str> {
    let parts = [account.as_str().as_bytes(), operation.as_str().as_bytes()];
    let digest = ContentDigest::of_parts(&parts);
    format!("{OPERATIONS_PREFIX}{:032x}", digest.0).into()
}

/// Prefix of the paths of one of 256 parts of the operations.
pub fn operation_part(part: u8) -> String {
    format!("{OPERATIONS_PREFIX}{part:02x}")
}

/// Keys of 128 bits as hexadecimal text, because JSON readers round large numbers.
mod hex_text {
    use base_types::{AttemptKey, ContentDigest};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) trait WideKey: Copy {
        fn number(self) -> u128;
        fn from_number(number: u128) -> Self;
    }

    impl WideKey for AttemptKey {
        fn number(self) -> u128 {
            self.0
        }
        fn from_number(number: u128) -> Self {
            Self(number)
        }
    }

    impl WideKey for ContentDigest {
        fn number(self) -> u128 {
            self.0
        }
        fn from_number(number: u128) -> Self {
            Self(number)
        }
    }

    pub(super) fn serialize<K: WideKey, S: Serializer>(
        key: &K,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{:032x}", key.number()))
    }

    pub(super) fn deserialize<'de, K: WideKey, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<K, D::Error> {
        let text = Box::<str>::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map(K::from_number).map_err(D::Error::custom)
    }
}

/// Bytes as base64 text, because JSON has no bytes.
pub(crate) mod base64_text {
    use base64::{Engine, prelude::BASE64_STANDARD};
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(crate) fn serialize<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(body))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Bytes, D::Error> {
        let text = Box::<str>::deserialize(deserializer)?;
        BASE64_STANDARD.decode(text.as_bytes()).map(Bytes::from).map_err(D::Error::custom)
    }
}
