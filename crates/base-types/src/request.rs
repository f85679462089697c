//! Requests as input of the router's core, and the final answer to one that is rejected.

use bytes::Bytes;

use crate::{
    AccountName, ChatName, ContentDigest, NotRunCode, OperationName, PlacementToken, RequestKey,
    TimePoint, UnknownCode, key_types, message_types,
};

message_types! {
    /// A request that was received completely, body included.
    pub struct IncomingRequest {
        /// Key that the router assigned on arrival.
        pub request: RequestKey,
        /// Path of the request's URL, which selects the route.
        pub path: Box<str>,
        /// Client account that the request is attributed to.
        pub account: AccountName,
        /// Chat that the request is a turn of; absent when the caller names none.
        pub chat: Option<ChatName>,
        /// Placement token that the caller returned; absent when none came or it was malformed.
        pub placement: Option<PlacementToken>,
        /// Whether this is the first turn of the chat, so that no target has cached any of it.
        pub is_first_turn: bool,
        /// Idempotency key; absent when the caller sent no usable one.
        pub operation: Option<OperationName>,
        /// Digest of the request's content, used to recognize suspect content and reused keys.
        pub content_digest: ContentDigest,
        /// Start of the prompt, whose hash selects targets by prefix affinity; may be empty.
        pub prompt_prefix: Bytes,
        /// Estimated work in tokens: prompt plus the largest answer that the caller allows.
        pub estimated_tokens: u32,
        /// Time at which the caller stops waiting for the answer.
        pub deadline: TimePoint,
    }
}

key_types! {
    /// Final answer to a request that the router rejects or can no longer complete.
    pub enum Refusal {
        /// The request did not run; the caller may retry at the given time.
        NotRun(NotRunCode, TimePoint),
        /// It is not known whether the request ran.
        Unknown(UnknownCode),
    }
}

impl Refusal {
    /// Number, kind, status and description of the result code.
    pub fn row(self) -> crate::CodeRow {
        match self {
            Self::NotRun(code, _) => code.row(),
            Self::Unknown(code) => code.row(),
        }
    }
}
