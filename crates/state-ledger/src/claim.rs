//! Claims of operations and what the ledger says of them.

use base_types::{
    AccountName, AttemptKey, CompletedCode, ContentDigest, NotRunCode, OperationName, PoolName,
    UnknownCode, message_types, value_types,
};
use bytes::Bytes;

value_types! {
    /// Answer of a non-idempotent operation as the ledger keeps it.
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
    /// A claim of a non-idempotent operation by one attempt.
    pub struct OperationClaim {
        /// Pool the operation runs on.
        pub pool: PoolName,
        /// Client account that the idempotency key is of.
        pub account: AccountName,
        /// Idempotency key.
        pub operation: OperationName,
        /// Digest of the content.
        pub content: ContentDigest,
        /// The attempt that claims.
        pub attempt: AttemptKey,
    }

    /// What the ledger says of a claim.
    pub enum ClaimOutcome {
        /// The claim is confirmed and this attempt holds it.
        Held,
        /// The operation ran; this is its answer.
        Replayed(StoredAnswer),
        /// An operator settled the operation as run; its answer was not kept.
        Settled(CompletedCode),
        /// The claim is not held and the request was not run.
        Refused(NotRunCode),
        /// Another attempt holds the operation, or its outcome is not known.
        Unsettled(UnknownCode),
    }
}
