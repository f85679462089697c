//! Checks the reported outcomes of calls against the recorded executions, operation by operation.

use std::collections::{BTreeMap, BTreeSet};

use base_types::message_types;

use crate::{CallHistory, CallOutcome, CallRecord, ExecutionRecord, register};

message_types! {
    /// A guarantee to callers that a history violates.
    #[derive(Eq)]
    pub enum CallViolation {
        /// An operation was executed more than once.
        RunTwice(Box<str>),
        /// A request was reported to its caller as "not run" although a target executed it.
        NotRunButRun(Box<str>),
        /// An operation was reported to a caller as "completed" although no target executed it.
        CompletedNotRun(Box<str>),
        /// A caller received an answer that no execution of its operation produced.
        AnswerForeign(Box<str>),
        /// A caller received the answer to content that differs from the content it sent.
        ContentForeign(Box<str>),
        /// The outcomes reported for an operation are not linearizable: the operation was reported
        /// as in flight after another caller had received its answer.
        NotLinearizable(Box<str>),
    }
}

/// Finds the violations in a [`CallHistory`].
#[derive(Debug, Clone, Copy, Default)]
pub struct HistoryChecker {
    checks_linearizability: bool,
}

impl HistoryChecker {
    /// Also checks that no operation is reported as in flight after its answer was delivered.
    ///
    /// The router guarantees this only while the platform is available. During an outage it
    /// delivers an answer before recording it, rather than withholding it from the caller.
    #[must_use]
    pub fn with_linearizability_check(self) -> Self {
        Self { checks_linearizability: true }
    }

    /// Returns all violations in a history, sorted by operation name.
    pub fn check(self, history: &CallHistory) -> Vec<CallViolation> {
        let mut operations = BTreeMap::<&str, OperationHistory<'_>>::new();
        for call in &history.calls {
            operations.entry(&call.operation).or_default().calls.push(call);
        }
        for execution in &history.executions {
            operations.entry(&execution.operation).or_default().executions.push(execution);
        }
        let check_entry =
            |(name, history): (&&str, &OperationHistory<'_>)| self.check_operation(name, history);
        operations.iter().flat_map(check_entry).collect()
    }

    fn check_operation(self, name: &str, history: &OperationHistory<'_>) -> Vec<CallViolation> {
        let mut violations = Vec::new();
        if history.executions.len() > 1 {
            violations.push(CallViolation::RunTwice(name.into()));
        }
        violations.extend(history.calls.iter().filter_map(|call| history.check_call(call)));
        if self.checks_linearizability && !register::is_linearizable(&history.calls) {
            violations.push(CallViolation::NotLinearizable(name.into()));
        }
        violations
    }
}

/// The calls and executions of one operation.
#[derive(Debug, Default)]
struct OperationHistory<'a> {
    calls: Vec<&'a CallRecord>,
    executions: Vec<&'a ExecutionRecord>,
}

impl OperationHistory<'_> {
    fn check_call(&self, call: &CallRecord) -> Option<CallViolation> {
        let name = call.operation.clone();
        match &call.outcome {
            CallOutcome::Completed(answer) => self.check_completed(call, answer),
            CallOutcome::NotRun(_) => {
                let executed_requests: BTreeSet<&str> =
                    self.executions.iter().map(|execution| &*execution.request).collect();
                let request = call.request.as_deref()?;
                executed_requests.contains(request).then_some(CallViolation::NotRunButRun(name))
            }
            CallOutcome::Unknown(_) | CallOutcome::NoResponse => None,
        }
    }

    fn check_completed(&self, call: &CallRecord, answer: &str) -> Option<CallViolation> {
        let name = call.operation.clone();
        if self.executions.is_empty() {
            return Some(CallViolation::CompletedNotRun(name));
        }
        let Some(execution) = self.executions.iter().find(|execution| &*execution.answer == answer)
        else {
            return Some(CallViolation::AnswerForeign(name));
        };
        (execution.content != call.content).then_some(CallViolation::ContentForeign(name))
    }
}
