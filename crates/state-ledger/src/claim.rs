//! Claims on operations and their outcomes.

use base_types::{
    AccountName, AttemptKey, CompletedCode, ContentDigest, NotRunCode, OperationName, PoolName,
    UnknownCode, message_types, value_types,
};
use bytes::Bytes;

value_types! {
    /// Answer of a non-idempotent operation, as stored for replay.
    #[derive(Eq)]
    pub struct StoredAnswer {
        /// HTTP status of the answer.
        pub status: u16,
        /// Content type of the answer.
        pub content_type: Box<str>,
        /// Body of the answer.
        #[serde(with = "crate::record::base64_text")]
        pub body: Bytes,
    }
}

message_types! {
    /// One attempt's claim on a non-idempotent operation.
    pub struct OperationClaim {
        /// Pool the operation runs on.
        pub pool: PoolName,
        /// Client account that the idempotency key belongs to.
        pub account: AccountName,
        /// Idempotency key.
        pub operation: OperationName,
        /// Digest of the request content.
        pub content: ContentDigest,
        /// The attempt that makes the claim.
        pub attempt: AttemptKey,
    }

    /// Outcome of a claim.
    pub enum ClaimOutcome {
        /// The claim is confirmed and this attempt holds it.
        Granted,
        /// The operation already ran; this is its stored answer.
        Replayed(StoredAnswer),
        /// An operator settled the operation as run; its answer was not stored.
        Settled(CompletedCode),
        /// The claim was refused and the request was not run.
        Refused(NotRunCode),
        /// Another attempt holds the operation, or the operation's outcome is unknown.
        Unsettled(UnknownCode),
    }
}
