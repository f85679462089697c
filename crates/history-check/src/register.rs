//! The ledger's view of one operation as a write-once register.

use todc_utils::{Action, History, Specification, WGLChecker};

use crate::{CallEnd, CallRecord};

#[derive(Debug, Clone)]
enum RegisterOperation {
    /// The caller learned this answer.
    Learned(Box<str>),
    /// The caller was told that there is no answer yet.
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
            RegisterOperation::Learned(answer) => {
                let agreed = state.as_ref().is_none_or(|known| known == answer);
                (agreed, Some(answer.clone()))
            }
            RegisterOperation::Pending => (state.is_none(), state.clone()),
        }
    }
}

/// Whether the calls' answers have an order that agrees with the times of the calls.
pub(crate) fn is_linearizable(calls: &[&CallRecord]) -> bool {
    let mut moments = Vec::new();
    for (process, call) in calls.iter().enumerate() {
        let Some(operation) = register_operation(&call.end) else { continue };
        moments.push((call.begun, process, Action::Call(operation.clone())));
        moments.push((call.ended, process, Action::Response(operation)));
    }
    if moments.is_empty() {
        return true;
    }
    moments.sort_by_key(|(time, process, action)| {
        (*time, matches!(action, Action::Response(_)), *process)
    });
    let actions = moments.into_iter().map(|(_, process, action)| (process, action)).collect();
    WGLChecker::<WriteOnceRegister>::is_linearizable(History::from_actions(actions))
}

fn register_operation(end: &CallEnd) -> Option<RegisterOperation> {
    match end {
        CallEnd::Completed(answer) => Some(RegisterOperation::Learned(answer.clone())),
        CallEnd::Unknown(3003 | 3004) => Some(RegisterOperation::Pending),
        CallEnd::NotRun(_) | CallEnd::Unknown(_) | CallEnd::Silent => None,
    }
}
