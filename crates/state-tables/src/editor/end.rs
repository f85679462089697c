//! Taking a begun edit to its end: its row, its audit entry, and the guard freed.

use serde_json::json;

use super::{GuardView, read_guard};
use crate::{
    EditOutcome, EditRecord, GUARD_OBJECT, GuardRecord, ObjectPort, PortError, RowRecord,
    audit_object,
    port::{WriteEnd, parse_value, read_again, read_audit, write_again},
};

/// Ends the edit that is pending, if there is one, and returns its audit entry.
///
/// # Errors
///
/// Fails when the platform does not answer; the edit stays pending.
pub async fn finish_pending(port: &impl ObjectPort) -> Result<Option<EditRecord>, PortError> {
    let guard = read_guard(port).await?;
    if guard.record.pending.is_none() {
        return Ok(None);
    }
    end_edit(port, &guard).await.map(Some)
}

/// Ends the guard's pending edit; the audit entry that is returned is the only authority.
pub(super) async fn end_edit(
    port: &impl ObjectPort,
    guard: &GuardView,
) -> Result<EditRecord, PortError> {
    let pending = guard.record.pending.clone().ok_or(PortError::Conflict)?;
    let entry = match write_row(port, &pending).await? {
        RowEnd::Decided(entry) => *entry,
        RowEnd::Outcome(outcome) => {
            write_audit(port, EditRecord { end: Some(outcome), ..pending }).await?
        }
    };
    let free = GuardRecord { sequence: entry.edit.sequence, pending: None };
    // A guard that stays taken is freed by the next edit, so the end of this write does not matter.
    write_again(port, GUARD_OBJECT, guard.version, &json!(free)).await;
    Ok(entry)
}

enum RowEnd {
    Outcome(EditOutcome),
    Decided(Box<EditRecord>),
}

async fn write_row(port: &impl ObjectPort, edit: &EditRecord) -> Result<RowEnd, PortError> {
    let record = RowRecord { edit: edit.edit, row: edit.after.clone() };
    match write_again(port, &edit.row, edit.expected, &json!(record)).await {
        WriteEnd::Written(version) => Ok(RowEnd::Outcome(EditOutcome::Accepted { version })),
        WriteEnd::Conflict => read_row_back(port, edit).await,
        WriteEnd::Unsent => Err(PortError::Unsent),
        WriteEnd::Doubtful => Err(PortError::Unanswered),
    }
}

/// Finds out who changed the row: a try of this edit, a later edit, or a write past the protocol.
async fn read_row_back(port: &impl ObjectPort, edit: &EditRecord) -> Result<RowEnd, PortError> {
    let object = read_again(port, &edit.row).await?;
    let version = object.as_ref().map(|object| object.version);
    let record: Option<RowRecord> = object.and_then(|object| parse_value(object.value));
    if let (Some(version), Some(record)) = (version, record)
        && record.edit == edit.edit
    {
        return Ok(RowEnd::Outcome(EditOutcome::Accepted { version }));
    }
    let entry = read_audit(port, edit.edit.sequence).await?;
    Ok(entry.map_or(RowEnd::Outcome(EditOutcome::Overwritten), |entry| {
        RowEnd::Decided(Box::new(entry))
    }))
}

async fn write_audit(port: &impl ObjectPort, entry: EditRecord) -> Result<EditRecord, PortError> {
    let key = audit_object(entry.edit.sequence);
    match write_again(port, &key, None, &json!(entry)).await {
        WriteEnd::Written(_) => Ok(entry),
        WriteEnd::Conflict => {
            let object = read_again(port, &key).await?;
            object.and_then(|object| parse_value(object.value)).ok_or(PortError::Unanswered)
        }
        WriteEnd::Unsent => Err(PortError::Unsent),
        WriteEnd::Doubtful => Err(PortError::Unanswered),
    }
}
