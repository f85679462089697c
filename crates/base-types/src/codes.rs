//! Numbered result codes in three kinds, with one enum per kind.
//!
//! The kind is part of the type, so that the state of a dispatched request cannot hold a
//! [`NotRunCode`]. `docs/RESULT-CODES.md` holds the same table and a test compares them.

use crate::{key_types, value_types};

key_types! {
    /// Whether the requested work ran, as reported to the caller.
    #[serde(rename_all = "kebab-case")]
    pub enum OutcomeKind {
        /// The work ran to completion.
        Completed,
        /// The work did not run, so that a retry is safe.
        NotRun,
        /// The work may have run, so that a retry may run the work a second time.
        Unknown,
    }
}

impl OutcomeKind {
    /// Name of the kind in answers and in the documentation.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

value_types! {
    /// One row of the table of result codes.
    #[derive(Eq)]
    pub struct CodeRow {
        /// Number of the code in answers; the thousands digit tells the kind.
        pub number: u16,
        /// Whether the work of a request with this code ran.
        pub kind: OutcomeKind,
        /// HTTP status of an answer with this code.
        pub status: u16,
        /// Description of the code in answers.
        pub sentence: Box<str>,
    }
}

macro_rules! codes {
    ($(#[$meta:meta])* $name:ident, $kind:ident: $($variant:ident = $number:literal, $status:literal, $sentence:literal;)*) => {
        key_types! {
            $(#[$meta])*
            pub enum $name {
                $(
                    #[doc = $sentence]
                    $variant,
                )*
            }
        }

        impl $name {
            /// All codes of this kind in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$variant),*];

            /// Number of the code in answers; the thousands digit tells the kind.
            pub fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)* }
            }

            /// HTTP status of an answer with this code.
            pub fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)* }
            }

            /// Description of the code in answers.
            pub fn sentence(self) -> &'static str {
                match self { $(Self::$variant => $sentence,)* }
            }

            /// Number, kind, status and description of the code.
            pub fn row(self) -> CodeRow {
                CodeRow {
                    number: self.number(),
                    kind: OutcomeKind::$kind,
                    status: self.status(),
                    sentence: self.sentence().into(),
                }
            }
        }
    };
}

codes! {
    /// Reason why a request did not run.
    NotRunCode, NotRun:
    UnknownRoute = 1001, 404, "No route matches the request.";
    PoolMissing = 1002, 503, "The route's pool does not exist.";
    NoTarget = 1003, 503, "The pool has no target that takes new work.";
    TargetsFull = 1004, 503, "Every target of the pool is at its load bound.";
    QueueFull = 1005, 429, "The queue of the client account is full.";
    QueueDeadline = 1006, 503, "The request waited in the queue until its deadline.";
    OperationMissing = 1007, 400, "The call may not be repeated and carries no usable Idempotency-Key.";
    OperationReused = 1008, 422, "The Idempotency-Key was used before with other content.";
    LedgerUnavailable = 1009, 503, "The claim of the operation could not be confirmed.";
    ContentSuspect = 1010, 422, "Targets were lost while they ran this content.";
    TablesMissing = 1011, 503, "This router has no tables yet.";
    RouterIsolated = 1012, 503, "This router hears neither the platform nor its peers.";
    RouterLeaving = 1013, 503, "This router is shutting down.";
    MalformedRequest = 1014, 400, "The request is malformed.";
    BodyTooLarge = 1015, 413, "The body of the request is too large.";
    RetriesSpent = 1016, 503, "No target could be reached within the retry budget.";
    DeadlinePassed = 1017, 504, "The caller's deadline passed before the request was sent.";
    AccountLimited = 1018, 429, "The client account is over its limit.";
    CallerLeft = 1019, 499, "The caller left before the request was sent.";
    OperationReleased = 1020, 503, "An operator settled the operation as not run.";
    BodyTimeout = 1021, 408, "The body of the request did not come in time.";
    KeyUnknown = 1022, 401, "The account key is not known.";
    OriginUnknown = 1023, 503, "It is not known which software version began the stream.";
    MemoryFull = 1024, 503, "The router has no memory left for the body of the request.";
    ConfigOutdated = 1025, 421, "This router has an older configuration than the router that sent the request.";
}

codes! {
    /// How a request completed.
    CompletedCode, Completed:
    Complete = 2000, 200, "The answer is whole.";
    Replayed = 2001, 200, "The operation ran before; this is its stored answer.";
    SettledComplete = 2002, 200, "An operator settled the operation as run; its answer was not kept.";
}

codes! {
    /// Reason why it is not known whether a request ran.
    UnknownCode, Unknown:
    TargetLost = 3001, 502, "The target was lost after the request was sent.";
    AnswerCut = 3002, 502, "The answer ended before it was whole.";
    OperationRunning = 3003, 409, "The operation is in flight.";
    OperationUnsettled = 3004, 409, "The operation was sent and its outcome is not known.";
    DeadlineAfterSend = 3005, 504, "The deadline passed after the request was sent.";
    RouterStopped = 3006, 503, "The router ended before the answer was whole.";
    AnswerTooLarge = 3007, 502, "The answer is larger than can be kept.";
    AnswerForeign = 3008, 502, "The target's answer belongs to another request.";
}

/// All result codes of the three kinds in ascending order of their numbers.
pub fn code_table() -> Vec<CodeRow> {
    let not_run = NotRunCode::ALL.iter().map(|code| code.row());
    let completed = CompletedCode::ALL.iter().map(|code| code.row());
    let unknown = UnknownCode::ALL.iter().map(|code| code.row());
    not_run.chain(completed).chain(unknown).collect()
}
