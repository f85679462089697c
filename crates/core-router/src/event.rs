//! Events that the core takes and effects that it asks for.

use base_types::{
    Arrival, AttemptKey, CompletedCode, HostEntry, PeerNotice, PlacementToken, Refusal, RequestKey,
    TargetKey, TimePoint, UnknownCode, message_types,
};
use state_ledger::{ClaimOutcome, OperationClaim, StoredAnswer};
use state_tables::{RowChange, TableRevision};

use crate::LoadReport;

message_types! {
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
        /// The answer of a call that may not be repeated is recorded in the ledger.
        AnswerRecorded(RequestKey),
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
        /// Whole tables were read, each at a revision; rows that they lack were deleted by then.
        TablesListed(Vec<TableRevision>, Vec<RowChange>),
        /// The platform or a peer was heard; new work may be taken until this point.
        TrustedUntil(TimePoint),
        /// All rows have been read once.
        TablesComplete,
        /// A target said in an answer that it is about to go.
        LeavingHeard(TargetKey),
        /// A target reported its load.
        LoadHeard(TargetKey, LoadReport),
        /// Another router's notice was heard.
        NoticeHeard(PeerNotice),
        /// The process was asked to stop.
        ShutdownAsked,
        /// The process ends now; every request that is left gets its final answer.
        StopForced,
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
            /// Placement of the chat after this attempt, for its caller to send back.
            placement: PlacementToken,
            /// IP address and port of the target.
            address: Box<str>,
            /// Whether the call may not be repeated after it was sent.
            once: bool,
        },
        /// Give the caller the answer of its call that may not be repeated.
        Deliver(StoredAnswer),
        /// Give the caller the stored answer of the operation.
        Replay(StoredAnswer),
        /// Tell the caller how an operator settled the operation.
        Confirm(CompletedCode),
        /// Give the caller a final refusal.
        Refuse(Refusal),
    }

    /// What the core asks its surroundings to do.
    pub enum Effect {
        /// Advance a request.
        Step(RequestKey, RequestStep),
        /// Claim an operation and answer with [`Event::ClaimAnswered`].
        Claim(RequestKey, OperationClaim),
        /// Record the answer of a claimed operation and answer with [`Event::AnswerRecorded`].
        Complete(RequestKey, OperationClaim, StoredAnswer),
        /// Record that a claimed operation was sent and its outcome is not known.
        Lose(OperationClaim),
        /// Release a claim whose request was certainly not sent, be the claim confirmed or not.
        Release(OperationClaim),
        /// Tell every router.
        Notify(PeerNotice),
    }
}
