//! The two tables that operators edit, routes and pools.
//!
//! Holds the rows, the checks a row must pass to be accepted, the set of rows in force, which is
//! adopted only forwards, and the protocol by which an edit is accepted. It does no I/O: the
//! platform is reached through [`ObjectPort`], and reading and spreading rows is done by callers.

mod check;
mod editor;
mod key;
mod port;
mod record;
mod resolve;
mod rows;
mod slot;
mod table;

pub use crate::{
    check::{RowFault, check_rows},
    editor::{
        CurrentRow, EditFate, EditRefusal, EditRequest, EditTarget, EditVerdict, find_edit,
        finish_pending, submit_edit,
    },
    key::{RowKey, TableKind, TableRevision},
    port::{ObjectPort, PortError, StoredObject, StoredTable, read_audit},
    record::{
        AUDIT_PREFIX, EditKey, EditKeyError, EditOutcome, EditRecord, GUARD_OBJECT, GuardRecord,
        RowRecord, audit_object,
    },
    rows::{PoolRow, RouteRow, ServiceKind, ServingSpec, TableFile, TableFileError},
    table::{HeldRow, RowChange, RowContent, TableSet},
};
