//! The two tables that operators edit, routes and pools.
//!
//! Holds the rows, the checks a row must pass to be accepted, and the set of rows in force,
//! which is adopted only forwards. It does no I/O: reading and spreading rows is done by callers.

mod check;
mod rows;
mod table;

pub use crate::{
    check::{RowFault, check_rows},
    rows::{PoolRow, RouteRow, ServiceKind, TableFile, TableFileError},
    table::{RowChange, RowContent, RowKey, TableSet},
};
