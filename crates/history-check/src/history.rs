//! Records of calls with their reported outcomes, and of executions by targets.

use base_types::{OutcomeKind, value_types};

value_types! {
    /// The outcome of a call as reported to its caller.
    #[derive(Eq)]
    pub enum CallOutcome {
        /// The request was executed; holds the answer.
        Completed(Box<str>),
        /// The request was not executed; holds the number of the result code.
        NotRun(u16),
        /// It is unknown whether the request was executed; holds the number of the result code.
        Unknown(u16),
        /// The caller received no complete answer.
        NoResponse,
    }

    /// One call of an operation by a caller.
    #[derive(Eq)]
    pub struct CallRecord {
        /// Idempotency key.
        pub operation: Box<str>,
        /// Request key assigned by the router; absent when the caller received no answer.
        pub request: Option<Box<str>>,
        /// Content that the caller sent.
        pub content: Box<str>,
        /// Time at which the call was sent, on a clock that all records share.
        pub started_at: u64,
        /// Time at which the answer was received or the caller gave up, on the same clock.
        pub finished_at: u64,
        /// The reported outcome.
        pub outcome: CallOutcome,
    }

    /// One execution by a target.
    #[derive(Eq)]
    pub struct ExecutionRecord {
        /// Idempotency key.
        pub operation: Box<str>,
        /// Request key that the router sent to the target.
        pub request: Box<str>,
        /// Content that the target executed.
        pub content: Box<str>,
        /// Answer that the execution produced.
        pub answer: Box<str>,
    }

    /// All calls and executions of one test run.
    #[derive(Eq, Default)]
    pub struct CallHistory {
        /// Calls of all callers, in any order.
        pub calls: Vec<CallRecord>,
        /// Executions by all targets, in any order.
        pub executions: Vec<ExecutionRecord>,
    }
}

impl CallOutcome {
    /// Converts a result code and an answer body to an outcome; a code of no known kind becomes
    /// `NoResponse`, as does zero, which stands for an absent code.
    pub fn new(code: u16, answer: &str) -> Self {
        match outcome_kind(code) {
            Some(OutcomeKind::Completed) => Self::Completed(answer.into()),
            Some(OutcomeKind::NotRun) => Self::NotRun(code),
            Some(OutcomeKind::Unknown) => Self::Unknown(code),
            None => Self::NoResponse,
        }
    }
}

fn outcome_kind(code: u16) -> Option<OutcomeKind> {
    match code / 1000 {
        1 => Some(OutcomeKind::NotRun),
        2 => Some(OutcomeKind::Completed),
        3 => Some(OutcomeKind::Unknown),
        _ => None,
    }
}
