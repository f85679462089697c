//! Checks histories of calls and executions against the promises to callers.
//!
//! A history names every call with what its caller was told, and every execution with the
//! request that caused it. The checks need no knowledge of how the router works.

mod check;
mod history;
mod register;
mod rows;

pub use crate::{
    check::{HistoryChecker, Violation},
    history::{CallEnd, CallRecord, RunHistory, RunRecord},
    rows::{AcceptedEdit, DelaySummary, RowEdition, RowHistory, RowView, RowViolation},
};
