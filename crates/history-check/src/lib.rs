//! Checks histories of calls and executions against the guarantees to callers, and histories of
//! table edits against the row versions that each router had in force.
//!
//! A history records each call with the outcome reported to its caller, and each execution with
//! the request that caused it. The checks do not depend on how the router is implemented.

mod check;
mod history;
mod register;
mod tables;

pub use crate::{
    check::{CallViolation, HistoryChecker},
    history::{CallHistory, CallOutcome, CallRecord, ExecutionRecord},
    tables::{
        AuditedEdit, CONVERGENCE_TIMEOUT, EditCall, EditOutcome, FaultSpan, TableHistory,
        TableObservation, TableViolation,
    },
};
