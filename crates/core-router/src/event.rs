//! Input events and output effects of the core.

use base_types::{
    AttemptKey, CompletedCode, HostEntry, IncomingRequest, PeerNotice, PlacementToken, Refusal,
    RequestKey, TargetKey, TimePoint, UnknownCode, message_types,
};
use state_ledger::{ClaimOutcome, OperationClaim, StoredAnswer};
use state_tables::{RowChange, TableRevision};

use crate::LoadReport;

message_types! {
    /// How an attempt ended after its request may have reached the target.
    pub enum AttemptOutcome {
        /// The answer is complete; `Some` holds the answer of a non-idempotent call for the ledger.
        Completed(Option<StoredAnswer>),
        /// The target failed before a byte of the answer reached the caller.
        LostBeforeAnswer(UnknownCode),
        /// The target failed after part of the answer reached the caller.
        LostDuringAnswer,
    }

    /// Input of the core.
    pub enum Event {
        /// A caller's request was read completely.
        Arrived(IncomingRequest),
        /// The ledger answered [`Effect::Claim`].
        ClaimAnswered(RequestKey, ClaimOutcome),
        /// The answer of a non-idempotent call is recorded in the ledger.
        AnswerRecorded(RequestKey),
        /// An attempt failed before any byte of the request left this router.
        AttemptUnsent(RequestKey, AttemptKey),
        /// An attempt that may have reached its target ended.
        AttemptEnded(RequestKey, AttemptKey, AttemptOutcome),
        /// The caller disconnected before its answer was complete.
        CallerDisconnected(RequestKey),
        /// The agreed host list changed; the event carries the complete list.
        HostsListed(Vec<HostEntry>),
        /// A row was read from the platform or received from a peer.
        RowReceived(RowChange),
        /// Complete tables were read, each at a revision; a row that is missing from its table
        /// was deleted by that revision.
        TablesListed(Vec<TableRevision>, Vec<RowChange>),
        /// The platform or a peer was reachable; new work may be accepted until this time.
        TrustedUntil(TimePoint),
        /// All tables were read, or received in full from a peer.
        TablesComplete,
        /// A target announced in an answer that it is leaving.
        TargetLeavingReported(TargetKey),
        /// A target reported its load with an answer.
        LoadReported(TargetKey, LoadReport),
        /// A notice from another router was received; this router's own load and account shares are
        /// ignored.
        NoticeReceived(PeerNotice),
        /// Shutdown was requested; requests in flight may finish.
        ShutdownRequested,
        /// The process exits now; every remaining request gets its final answer.
        StopForced,
        /// The time returned by [`RouterCore::next_deadline`](crate::RouterCore::next_deadline)
        /// has passed.
        TimerFired,
    }

    /// Next step of one request.
    pub enum RequestStep {
        /// Send the request to a target.
        Send {
            /// Key of the attempt.
            attempt: AttemptKey,
            /// Key of the target, for load reports.
            target: TargetKey,
            /// Placement of the chat after this attempt; the caller sends it with the next request.
            placement: PlacementToken,
            /// IP address and port of the target.
            address: Box<str>,
            /// Whether the call is non-idempotent and must not be sent twice.
            non_idempotent: bool,
        },
        /// Give the caller the recorded answer of its non-idempotent call.
        Deliver(StoredAnswer),
        /// Give the caller the stored answer of an earlier call of the same operation.
        Replay(StoredAnswer),
        /// Tell the caller how an operator settled the operation.
        ConfirmSettled(CompletedCode),
        /// Give the caller a final refusal.
        Refuse(Refusal),
    }

    /// Action that the caller of the core must carry out.
    pub enum Effect {
        /// Carry out the next step of a request.
        Step(RequestKey, RequestStep),
        /// Claim an operation and answer with [`Event::ClaimAnswered`].
        Claim(RequestKey, OperationClaim),
        /// Record the answer of a claimed operation and answer with [`Event::AnswerRecorded`].
        Complete(RequestKey, OperationClaim, StoredAnswer),
        /// Record that a claimed operation was sent and its outcome is unknown.
        RecordUnknown(OperationClaim),
        /// Release a claim whose request was certainly not sent; the claim may be unconfirmed.
        Release(OperationClaim),
        /// Send a notice to every other router.
        Broadcast(PeerNotice),
    }
}
