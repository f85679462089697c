//! Linearizability check of one operation, with the ledger modelled as a write-once register.

use todc_utils::{Action, History, Specification, WGLChecker};

use crate::{CallOutcome, CallRecord};

#[derive(Debug, Clone)]
enum RegisterOperation {
    /// A read that returned this answer. The first one fixes the value of the register.
    Answered(Box<str>),
    /// A read that found no answer yet.
    Pending,
}

struct WriteOnceRegister;

impl Specification for WriteOnceRegister {
    type State = Option<Box<str>>;
    type Operation = RegisterOperation;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            RegisterOperation::Answered(answer) => {
                let is_consistent = state.as_ref().is_none_or(|stored| stored == answer);
                (is_consistent, Some(answer.clone()))
            }
            RegisterOperation::Pending => (state.is_none(), state.clone()),
        }
    }
}

/// Returns whether the outcomes of the calls can be ordered consistently with the calls' times.
pub(crate) fn is_linearizable(calls: &[&CallRecord]) -> bool {
    let mut timeline = Vec::new();
    for (process, call) in calls.iter().enumerate() {
        let Some(operation) = register_operation(&call.outcome) else { continue };
        timeline.push((call.started_at, process, Action::Call(operation.clone())));
        timeline.push((call.finished_at, process, Action::Response(operation)));
    }
    if timeline.is_empty() {
        return true;
    }
    timeline.sort_by_key(|(time, process, action)| {
        (*time, matches!(action, Action::Response(_)), *process)
    });
    let actions = timeline.into_iter().map(|(_, process, action)| (process, action)).collect();
    WGLChecker::<WriteOnceRegister>::is_linearizable(History::from_actions(actions))
}

fn register_operation(outcome: &CallOutcome) -> Option<RegisterOperation> {
    match outcome {
        CallOutcome::Completed(answer) => Some(RegisterOperation::Answered(answer.clone())),
        // 3003 is `OperationRunning`, 3004 `OperationUnsettled`.
        CallOutcome::Unknown(3003 | 3004) => Some(RegisterOperation::Pending),
        CallOutcome::NotRun(_) | CallOutcome::Unknown(_) | CallOutcome::NoResponse => None,
    }
}
