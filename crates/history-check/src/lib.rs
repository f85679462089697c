//! Checks histories of calls and executions against the promises to callers, and histories of
//! edits against what each router had in force.
//!
//! A history names every call with what its caller was told, and every execution with the
//! request that caused it. The checks need no knowledge of how the router works.

mod check;
mod history;
mod register;
mod tables;

pub use crate::{
    check::{HistoryChecker, Violation},
    history::{CallEnd, CallRecord, RunHistory, RunRecord},
    tables::{
        AuditedEdit, EditCall, EditEnd, FaultSpan, REPAIR_TIME, TableHistory, TableSighting,
        TableViolation,
    },
};
