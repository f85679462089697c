//! Starting an edit: writing it into the guard.

use serde_json::json;

use super::{GuardView, read_guard};
use crate::{
    EditRecord, GUARD_OBJECT, GuardRecord, ObjectPort, PortError, audit_object_key,
    port::{WriteOutcome, parse_value, read_with_retry, write_with_retry},
};

/// Outcome of writing an edit into the guard.
pub(super) enum StartOutcome {
    /// The guard holds the edit as pending.
    Started(Box<GuardView>),
    /// The guard held the edit and another router has finished it.
    Finished(Box<EditRecord>),
    /// Another edit started first; this one can no longer start.
    Preempted,
    /// Nothing was written, and nothing will be.
    NoEffect,
    /// The edit may have started or may still start.
    Unknown,
}

pub(super) async fn start_edit(
    port: &impl ObjectPort,
    guard: &GuardView,
    edit: EditRecord,
) -> StartOutcome {
    let record = GuardRecord { sequence: edit.edit.sequence, pending: Some(edit.clone()) };
    match write_with_retry(port, GUARD_OBJECT, guard.version, &json!(record)).await {
        WriteOutcome::Written(version) => {
            StartOutcome::Started(Box::new(GuardView { version: Some(version), record }))
        }
        WriteOutcome::NoEffect => StartOutcome::NoEffect,
        WriteOutcome::InDoubt => StartOutcome::Unknown,
        WriteOutcome::Conflict => match read_back(port, &edit).await {
            Ok(outcome) => outcome,
            Err(_) => StartOutcome::Unknown,
        },
    }
}

/// Finds out whose write changed the guard, after a conflict: no attempt of this write can take
/// effect any more.
async fn read_back(port: &impl ObjectPort, edit: &EditRecord) -> Result<StartOutcome, PortError> {
    let guard = read_guard(port).await?;
    if guard.record.pending.as_ref().is_some_and(|pending| pending.edit == edit.edit) {
        return Ok(StartOutcome::Started(Box::new(guard)));
    }
    let entry = read_with_retry(port, &audit_object_key(edit.edit.sequence)).await?;
    let entry: Option<EditRecord> = entry.and_then(|object| parse_value(object.value));
    let entry = entry.filter(|entry| entry.edit == edit.edit);
    Ok(entry.map_or(StartOutcome::Preempted, |entry| StartOutcome::Finished(Box::new(entry))))
}
