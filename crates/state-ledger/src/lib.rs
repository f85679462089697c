//! Ledger of operations that may run at most once, as a state machine without I/O.
//!
//! Each operation is stored in one platform object, and every change is a conditional write against
//! the version last seen. [`LedgerCore`] takes commands and the outcomes of platform calls, and
//! returns the next calls; it never sleeps, reads clocks or opens sockets.
//!
//! A write whose answer was lost may take effect at any later time. The doubt is resolved in one of
//! three ways: its effect is read back; another version is read, so its precondition can never
//! hold; or a release is written with the same precondition, so at most one of the two takes
//! effect.

mod book;
mod claim;
mod operation;
mod record;

pub use crate::{
    book::{LedgerCommand, LedgerCore, LedgerEffect},
    claim::{ClaimOutcome, OperationClaim, StoredAnswer},
    operation::{LedgerCall, LedgerCallOutcome, RecordCondition},
    record::{
        OPERATIONS_PREFIX, OperationRecord, OperationState, SettledOutcome, Settlement, WallTime,
        operation_partition_prefix, operation_path,
    },
};
