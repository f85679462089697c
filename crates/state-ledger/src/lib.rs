//! The ledger of operations that may run once, as a state machine without I/O.
//!
//! One object of the platform holds one operation, and every change of it is a conditional write
//! against the version last seen. [`LedgerBook`] takes orders and the answers of platform calls
//! and returns the next calls; it never sleeps, reads clocks or opens sockets.
//!
//! A write whose answer was lost may take effect at any later time. It is settled in one of three
//! ways: its effect is read back, another version is read (so its condition can never hold), or
//! a release is written under the same condition, after which at most one of the two took effect.

mod book;
mod claim;
mod operation;
mod record;

pub use crate::{
    book::{LedgerBook, LedgerEffect, LedgerOrder},
    claim::{ClaimOutcome, OperationClaim, StoredAnswer},
    operation::{CallAnswer, LedgerCall, RecordGuard},
    record::{
        OPERATIONS_PREFIX, OperationRecord, OperationState, SettledOutcome, Settlement, WallTime,
        operation_part, operation_path,
    },
};
