//! What callers sent and were told, and what targets executed.

use base_types::{OutcomeKind, value_types};

value_types! {
    /// What a caller was told.
    #[derive(Eq)]
    pub enum CallEnd {
        /// The work ran and this is its answer.
        Completed(Box<str>),
        /// The request was not run; the number of the result code.
        NotRun(u16),
        /// Nobody can say; the number of the result code.
        Unknown(u16),
        /// No whole answer reached the caller.
        Silent,
    }

    /// One call of an operation.
    #[derive(Eq)]
    pub struct CallRecord {
        /// Idempotency key.
        pub operation: Box<str>,
        /// Request key that the router gave, where the caller learned it.
        pub request: Option<Box<str>>,
        /// Content of the call.
        pub content: Box<str>,
        /// When the call was sent; any clock that all records share.
        pub begun: u64,
        /// When the answer was received.
        pub ended: u64,
        /// What the caller was told.
        pub end: CallEnd,
    }

    /// One execution by a target.
    #[derive(Eq)]
    pub struct RunRecord {
        /// Idempotency key.
        pub operation: Box<str>,
        /// Request key that the target was given.
        pub request: Box<str>,
        /// Content that was executed.
        pub content: Box<str>,
        /// Answer that the execution produced.
        pub answer: Box<str>,
    }

    /// All calls and executions of one run.
    #[derive(Eq, Default)]
    pub struct RunHistory {
        /// The calls.
        pub calls: Vec<CallRecord>,
        /// The executions.
        pub runs: Vec<RunRecord>,
    }
}

impl CallEnd {
    /// The end that a result code and an answer tell of.
    pub fn new(code: u16, answer: &str) -> Self {
        match kind_of(code) {
            Some(OutcomeKind::Completed) => Self::Completed(answer.into()),
            Some(OutcomeKind::NotRun) => Self::NotRun(code),
            Some(OutcomeKind::Unknown) => Self::Unknown(code),
            None => Self::Silent,
        }
    }
}

fn kind_of(code: u16) -> Option<OutcomeKind> {
    match code / 1000 {
        1 => Some(OutcomeKind::NotRun),
        2 => Some(OutcomeKind::Completed),
        3 => Some(OutcomeKind::Unknown),
        _ => None,
    }
}
