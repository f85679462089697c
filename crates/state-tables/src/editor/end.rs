//! Finishing a started edit: writing its row and its audit entry, and releasing the guard.

use serde_json::json;

use super::{GuardView, read_guard};
use crate::{
    EditOutcome, EditRecord, GUARD_OBJECT, GuardRecord, ObjectPort, PortError, RowRecord,
    audit_object_key,
    port::{WriteOutcome, parse_value, read_audit, read_with_retry, write_with_retry},
};

/// Finishes the pending edit, if there is one, and returns its audit entry.
///
/// # Errors
///
/// Fails when the platform is unavailable or a stored object is invalid; the edit stays pending.
pub async fn finish_pending(port: &impl ObjectPort) -> Result<Option<EditRecord>, PortError> {
    let guard = read_guard(port).await?;
    if guard.record.pending.is_none() {
        return Ok(None);
    }
    finish_edit(port, &guard).await.map(Some)
}

/// Finishes the guard's pending edit. Only the returned audit entry decides the edit's outcome.
pub(super) async fn finish_edit(
    port: &impl ObjectPort,
    guard: &GuardView,
) -> Result<EditRecord, PortError> {
    let pending = guard.record.pending.clone().ok_or(PortError::Conflict)?;
    let entry = match write_row(port, &pending).await? {
        RowWriteOutcome::AlreadyRecorded(entry) => *entry,
        RowWriteOutcome::Outcome(outcome) => {
            write_audit(port, EditRecord { end: Some(outcome), ..pending }).await?
        }
    };
    let released = GuardRecord { sequence: entry.edit.sequence, pending: None };
    // The next edit releases a guard that stays taken, so this write may fail.
    write_with_retry(port, GUARD_OBJECT, guard.version, &json!(released)).await;
    Ok(entry)
}

enum RowWriteOutcome {
    Outcome(EditOutcome),
    AlreadyRecorded(Box<EditRecord>),
}

async fn write_row(
    port: &impl ObjectPort,
    edit: &EditRecord,
) -> Result<RowWriteOutcome, PortError> {
    let record = RowRecord { edit: edit.edit, row: edit.after.clone() };
    match write_with_retry(port, &edit.row, edit.expected, &json!(record)).await {
        WriteOutcome::Written(version) => {
            Ok(RowWriteOutcome::Outcome(EditOutcome::Accepted { version }))
        }
        WriteOutcome::Conflict => resolve_row_conflict(port, edit).await,
        WriteOutcome::NoEffect => Err(PortError::NoEffect),
        WriteOutcome::InDoubt => Err(PortError::Unanswered),
    }
}

/// Finds out what changed the row: an attempt of this edit, a later edit, or a write that bypassed
/// the protocol.
async fn resolve_row_conflict(
    port: &impl ObjectPort,
    edit: &EditRecord,
) -> Result<RowWriteOutcome, PortError> {
    let object = read_with_retry(port, &edit.row).await?;
    let version = object.as_ref().map(|object| object.version);
    let record: Option<RowRecord> = object.and_then(|object| parse_value(object.value));
    if let (Some(version), Some(record)) = (version, record)
        && record.edit == edit.edit
    {
        return Ok(RowWriteOutcome::Outcome(EditOutcome::Accepted { version }));
    }
    let entry = read_audit(port, edit.edit.sequence).await?;
    Ok(entry.map_or(RowWriteOutcome::Outcome(EditOutcome::Overwritten), |entry| {
        RowWriteOutcome::AlreadyRecorded(Box::new(entry))
    }))
}

async fn write_audit(port: &impl ObjectPort, entry: EditRecord) -> Result<EditRecord, PortError> {
    let key = audit_object_key(entry.edit.sequence);
    match write_with_retry(port, &key, None, &json!(entry)).await {
        WriteOutcome::Written(_) => Ok(entry),
        WriteOutcome::Conflict => {
            let object = read_with_retry(port, &key).await?;
            object.and_then(|object| parse_value(object.value)).ok_or(PortError::Unanswered)
        }
        WriteOutcome::NoEffect => Err(PortError::NoEffect),
        WriteOutcome::InDoubt => Err(PortError::Unanswered),
    }
}
