//! Operation records as the platform stores them.

use base_types::{
    AccountName, AttemptKey, ContentDigest, HostName, OperationName, PoolName, key_types,
    value_types,
};

use crate::{OperationClaim, StoredAnswer};

/// Path prefix of all operation objects.
pub const OPERATIONS_PREFIX: &str = "operations/";

/// Longest time that an attempt may hold a claim without recording its outcome, in milliseconds:
/// the longest caller deadline plus the time allowed for a late answer.
const CLAIM_LIFETIME_MS_MAX: u64 = 720_000;

key_types! {
    /// Milliseconds since the Unix epoch, for display and retention only: safety must not depend on
    /// wall clocks.
    #[serde(transparent)]
    pub struct WallTime(pub u64);

    /// What an operator found out about an operation of unknown outcome.
    #[serde(rename_all = "kebab-case")]
    pub enum SettledOutcome {
        /// The operation ran.
        Run,
        /// The operation did not run and never will; its idempotency key cannot be used again.
        NotRun,
    }
}

value_types! {
    /// An operator's decision about an operation whose outcome was unknown.
    #[derive(Eq)]
    pub struct Settlement {
        /// What the operator found out.
        pub outcome: SettledOutcome,
        /// Name of the operator who settled the operation.
        pub operator: Box<str>,
        /// Reason in the operator's words.
        pub reason: Box<str>,
    }

    /// State of an operation.
    #[derive(Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum OperationState {
        /// An attempt holds the operation and may have sent its request.
        Claimed,
        /// The attempt that held the operation certainly did not send its request.
        Released,
        /// The request was sent and the outcome of the operation is unknown.
        Unsettled,
        /// The operation ran and this is its answer.
        Completed(StoredAnswer),
        /// An operator settled the operation.
        Settled(Settlement),
    }

    /// An operation as the platform stores it.
    #[derive(Eq)]
    pub struct OperationRecord {
        /// Pool the operation runs on.
        pub pool: PoolName,
        /// Client account that the idempotency key belongs to.
        pub account: AccountName,
        /// Idempotency key.
        pub operation: OperationName,
        /// Digest of the request content.
        #[serde(with = "hex_text")]
        pub content: ContentDigest,
        /// The attempt that claimed the operation last; a settlement keeps it.
        #[serde(with = "hex_text")]
        pub attempt: AttemptKey,
        /// Host of the router that wrote the record last, for itself or for an operator who settled
        /// the operation.
        pub host: HostName,
        /// When the record was written, by that router's clock.
        pub written: WallTime,
        /// State of the operation when the record was written.
        pub state: OperationState,
    }
}

impl OperationRecord {
    /// Creates the record of a claimed operation in the given state.
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

    /// Whether the outcome is unknown and no live attempt will record it: the state is `Unsettled`,
    /// or the claim is abandoned.
    ///
    /// A claim counts as abandoned once it is older than the longest time that an attempt may hold
    /// it.
    pub fn is_unresolved(&self, now: WallTime) -> bool {
        match self.state {
            OperationState::Unsettled => true,
            OperationState::Claimed => self.written.0 + CLAIM_LIFETIME_MS_MAX < now.0,
            _ => false,
        }
    }

    /// The record with an operator's settlement applied; `None` unless
    /// [`Self::is_unresolved`] holds.
    pub fn with_settlement(
        &self,
        settlement: Settlement,
        host: &HostName,
        now: WallTime,
    ) -> Option<Self> {
        if !self.is_unresolved(now) {
            return None;
        }
        let state = OperationState::Settled(settlement);
        Some(Self { host: host.clone(), written: now, state, ..self.clone() })
    }

    /// Whether the record may be deleted: its outcome is final and it was written before `oldest`.
    pub fn is_expired(&self, oldest: WallTime) -> bool {
        let pending = matches!(self.state, OperationState::Claimed | OperationState::Unsettled);
        !pending && self.written < oldest
    }
}

/// Path of an operation's object. The names are hashed, as callers may put any byte into them.
///
/// The pool is not part of the path, so that a retry finds the operation even if its route has
/// moved to another pool or if routers have different rows in force.
pub fn operation_path(account: &AccountName, operation: &OperationName) -> Box<str> {
    let names = [account.as_str().as_bytes(), operation.as_str().as_bytes()];
    let digest = ContentDigest::of_parts(&names);
    format!("{OPERATIONS_PREFIX}{:032x}", digest.0).into()
}

/// Path prefix of one of 256 partitions of the operation objects.
pub fn operation_partition_prefix(partition: u8) -> String {
    format!("{OPERATIONS_PREFIX}{partition:02x}")
}

/// Serializes 128-bit keys as hexadecimal text, because many JSON parsers round large numbers.
mod hex_text {
    use base_types::{AttemptKey, ContentDigest};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) trait U128Key: Copy {
        fn to_u128(self) -> u128;
        fn from_u128(value: u128) -> Self;
    }

    impl U128Key for AttemptKey {
        fn to_u128(self) -> u128 {
            self.0
        }
        fn from_u128(value: u128) -> Self {
            Self(value)
        }
    }

    impl U128Key for ContentDigest {
        fn to_u128(self) -> u128 {
            self.0
        }
        fn from_u128(value: u128) -> Self {
            Self(value)
        }
    }

    pub(super) fn serialize<K: U128Key, S: Serializer>(
        key: &K,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{:032x}", key.to_u128()))
    }

    pub(super) fn deserialize<'de, K: U128Key, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<K, D::Error> {
        let text = Box::<str>::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map(K::from_u128).map_err(D::Error::custom)
    }
}

/// Serializes bytes as base64 text, because JSON has no byte strings.
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
