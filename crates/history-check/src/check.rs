//! The checks.

use std::collections::{BTreeMap, BTreeSet};

use base_types::message_types;

use crate::{CallEnd, CallRecord, RunHistory, RunRecord, register};

message_types! {
    /// A promise that a history breaks.
    #[derive(Eq)]
    pub enum Violation {
        /// An operation was executed more than once.
        RunTwice(Box<str>),
        /// A caller was told "not run" of a request that was executed.
        NotRunButRun(Box<str>),
        /// A caller was told "completed" of an operation that was never executed.
        CompletedNotRun(Box<str>),
        /// A caller was given an answer that the execution of its operation did not produce.
        AnswerForeign(Box<str>),
        /// A caller was given the outcome of other content than it sent.
        ContentForeign(Box<str>),
        /// What callers were told of an operation has no order that explains it: a caller was
        /// told that the operation is in flight after another had its answer.
        NotLinearizable(Box<str>),
    }
}

/// Checks histories.
#[derive(Debug, Clone, Copy, Default)]
pub struct HistoryChecker {
    ordered: bool,
}

impl HistoryChecker {
    /// Also checks that an operation whose answer was given is never said to be in flight.
    ///
    /// This holds while the platform answers; with the platform out, an answer is given before
    /// it is recorded, rather than kept from its caller.
    #[must_use]
    pub fn ordered(self) -> Self {
        Self { ordered: true }
    }

    /// All violations of a history, in the order of the operations' names.
    pub fn check(self, history: &RunHistory) -> Vec<Violation> {
        let mut operations = BTreeMap::<&str, OperationView<'_>>::new();
        for call in &history.calls {
            operations.entry(&call.operation).or_default().calls.push(call);
        }
        for run in &history.runs {
            operations.entry(&run.operation).or_default().runs.push(run);
        }
        let check = |(name, view): (&&str, &OperationView<'_>)| self.check_operation(name, view);
        operations.iter().flat_map(check).collect()
    }

    fn check_operation(self, name: &str, view: &OperationView<'_>) -> Vec<Violation> {
        let mut violations = Vec::new();
        if view.runs.len() > 1 {
            violations.push(Violation::RunTwice(name.into()));
        }
        violations.extend(view.calls.iter().filter_map(|call| view.check_call(call)));
        if self.ordered && !register::is_linearizable(&view.calls) {
            violations.push(Violation::NotLinearizable(name.into()));
        }
        violations
    }
}

/// Calls and executions of one operation.
#[derive(Debug, Default)]
struct OperationView<'a> {
    calls: Vec<&'a CallRecord>,
    runs: Vec<&'a RunRecord>,
}

impl OperationView<'_> {
    fn check_call(&self, call: &CallRecord) -> Option<Violation> {
        let name = call.operation.clone();
        match &call.end {
            CallEnd::Completed(answer) => self.check_completed(call, answer),
            CallEnd::NotRun(_) => {
                let executed: BTreeSet<&str> = self.runs.iter().map(|run| &*run.request).collect();
                let request = call.request.as_deref()?;
                executed.contains(request).then_some(Violation::NotRunButRun(name))
            }
            CallEnd::Unknown(_) | CallEnd::Silent => None,
        }
    }

    fn check_completed(&self, call: &CallRecord, answer: &str) -> Option<Violation> {
        let name = call.operation.clone();
        if self.runs.is_empty() {
            return Some(Violation::CompletedNotRun(name));
        }
        let Some(run) = self.runs.iter().find(|run| &*run.answer == answer) else {
            return Some(Violation::AnswerForeign(name));
        };
        (run.content != call.content).then_some(Violation::ContentForeign(name))
    }
}
