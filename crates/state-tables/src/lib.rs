//! The two tables that operators edit: routes and pools.
//!
//! Contains the rows, their validation, the set of rows in force, in which a row's version only
//! increases, and the protocol that serializes edits. The crate does no I/O: the platform is
//! reached through [`ObjectPort`], and callers read rows and gossip them between routers.

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
        CurrentRow, EditCondition, EditRefusal, EditRequest, EditResolution, EditVerdict,
        finish_pending, resolve_edit, submit_edit,
    },
    key::{RowKey, TableKind, TableRevision},
    port::{ObjectPort, PortError, StoredObject, StoredTable, read_audit},
    record::{
        AUDIT_PREFIX, EditKey, EditKeyError, EditOutcome, EditRecord, GUARD_OBJECT, GuardRecord,
        RowRecord, audit_object_key,
    },
    rows::{PoolRow, RouteRow, ServiceKind, ServingSpec, TableFile, TableFileError},
    table::{RejectedRow, RowChange, RowContent, TableSet},
};
