//! Events that the core takes and effects that it asks for.

use base_types::{
    Arrival, AttemptKey, ContentDigest, HostEntry, NotRunCode, OperationName, PeerNotice, PoolName,
    Refusal, RequestKey, TargetKey, UnknownCode, message_types, value_types,
};
use bytes::Bytes;
use state_tables::RowChange;

use crate::LoadReport;

value_types! {
    /// Answer of a non-idempotent operation as the ledger keeps it.
    #[derive(Eq)]
    pub struct StoredAnswer {
        /// HTTP status of the answer.
        pub status: u16,
        /// Content type of the answer.
        pub content_type: Box<str>,
        /// Body of the answer.
        pub body: Bytes,
    }
}

message_types! {
    /// A claim of a non-idempotent operation by one attempt.
    pub struct OperationClaim {
        /// Pool the operation runs on.
        pub pool: PoolName,
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
        /// The claim is not held and the request was not run.
        Refused(NotRunCode),
        /// Another attempt holds the operation.
        Unsettled(UnknownCode),
    }

    /// How an attempt ended after its request may have reached the target.
    pub enum AttemptEnd {
        /// The answer is whole; the ledger keeps it where the call may not be repeated.
        Whole(Option<StoredAnswer>),
        /// The target failed before the caller saw a byte of the answer.
        LostEarly(UnknownCode),
        /// The target failed after the caller saw a part of the answer.
        LostLate,
    }

    /// Something that happened.
    pub enum Event {
        /// A caller sent a request.
        Arrived(Arrival),
        /// The ledger answered a claim.
        ClaimAnswered(RequestKey, ClaimOutcome),
        /// An attempt failed before any byte of the request left this router.
        AttemptUnsent(RequestKey, AttemptKey),
        /// An attempt that may have reached its target ended.
        AttemptEnded(RequestKey, AttemptKey, AttemptEnd),
        /// The caller closed its connection before its answer was whole.
        CallerLeft(RequestKey),
        /// The platform's host list was read.
        HostsListed(Vec<HostEntry>),
        /// A row was read from the platform or heard from a peer.
        RowHeard(RowChange),
        /// All rows have been read once.
        TablesComplete,
        /// A target reported its load.
        LoadHeard(TargetKey, LoadReport),
        /// Another router's notice was heard.
        NoticeHeard(PeerNotice),
        /// The process was asked to stop.
        ShutdownAsked,
        /// Time passed.
        TimerFired,
    }

    /// What happens next to one request.
    pub enum RequestStep {
        /// Send the request to a target.
        Send {
            /// Key of the attempt.
            attempt: AttemptKey,
            /// Key of the target, for load reports.
            target: TargetKey,
            /// IP address and port of the target.
            address: Box<str>,
            /// Whether the call may not be repeated after it was sent.
            once: bool,
        },
        /// Give the caller the answer of its call that may not be repeated.
        Deliver(StoredAnswer),
        /// Give the caller the stored answer of the operation.
        Replay(StoredAnswer),
        /// Give the caller a final refusal.
        Refuse(Refusal),
    }

    /// What the core asks its surroundings to do.
    pub enum Effect {
        /// Advance a request.
        Step(RequestKey, RequestStep),
        /// Claim an operation and answer with [`Event::ClaimAnswered`].
        Claim(RequestKey, OperationClaim),
        /// Record that a claimed operation completed.
        Complete(OperationClaim, StoredAnswer),
        /// Release a claim whose request was certainly not sent.
        Release(OperationClaim),
        /// Tell every router.
        Notify(PeerNotice),
    }
}
