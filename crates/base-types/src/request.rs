//! Requests as the core sees them, and the answer to one that was given up.

use bytes::Bytes;

use crate::{
    AccountName, ChatName, ContentDigest, NotRunCode, OperationName, PlacementToken, RequestKey,
    TimePoint, UnknownCode, key_types, message_types,
};

message_types! {
    /// A whole request that a caller has sent.
    pub struct Arrival {
        /// Key of the request.
        pub request: RequestKey,
        /// Path of the request, matched against routes.
        pub path: Box<str>,
        /// Client account that the caller names.
        pub account: AccountName,
        /// Chat that the request belongs to.
        pub chat: Option<ChatName>,
        /// Placement of the chat that the caller sent back.
        pub placement: Option<PlacementToken>,
        /// Whether the request begins its chat, so that no target holds any of it.
        pub chat_begins: bool,
        /// Idempotency key.
        pub operation: Option<OperationName>,
        /// Digest of the body.
        pub content: ContentDigest,
        /// Leading part of the prompt, from which the prefix group is computed.
        pub prompt_head: Bytes,
        /// Expected work in tokens.
        pub tokens: u32,
        /// Point at which the caller stops waiting.
        pub deadline: TimePoint,
    }
}

key_types! {
    /// Final answer to a request that the router gives up.
    pub enum Refusal {
        /// The request was not run; the caller may come back at the given point.
        NotRun(NotRunCode, TimePoint),
        /// Nobody can say whether the request ran.
        Unknown(UnknownCode),
    }
}

impl Refusal {
    /// The row of the refusal's code.
    pub fn row(self) -> crate::CodeRow {
        match self {
            Self::NotRun(code, _) => code.row(),
            Self::Unknown(code) => code.row(),
        }
    }
}
