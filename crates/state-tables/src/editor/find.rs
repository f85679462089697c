//! Resolving an edit whose outcome is unknown.

use base_types::message_types;
use serde_json::json;

use super::{GuardView, end::finish_edit, read_guard};
use crate::{
    EditKey, EditRecord, GUARD_OBJECT, ObjectPort, PortError,
    port::{WriteOutcome, read_audit, write_with_retry},
};

const RESOLVE_ATTEMPTS_MAX: u32 = 4;

message_types! {
    /// Resolution of an edit whose outcome was unknown.
    pub enum EditResolution {
        /// The edit finished; its audit entry holds the outcome.
        Finished(Box<EditRecord>),
        /// The edit never started and can no longer start.
        NeverStarted,
    }
}

/// Finds out how an edit ended. A pending edit is finished, and one that has not started is kept
/// from starting later.
///
/// # Errors
///
/// Fails when the platform is unavailable, when a stored object is invalid, or when other edits
/// keep changing the guard.
pub async fn resolve_edit(
    port: &impl ObjectPort,
    edit: EditKey,
) -> Result<EditResolution, PortError> {
    for _ in 0..RESOLVE_ATTEMPTS_MAX {
        let guard = read_guard(port).await?;
        if guard.record.pending.is_some() {
            finish_edit(port, &guard).await?;
            continue;
        }
        if let Some(entry) = read_audit(port, edit.sequence).await? {
            let is_same_edit = entry.edit == edit;
            return Ok(if is_same_edit {
                EditResolution::Finished(Box::new(entry))
            } else {
                EditResolution::NeverStarted
            });
        }
        if let Some(resolution) = invalidate_in_flight_write(port, &guard).await? {
            return Ok(resolution);
        }
    }
    Err(PortError::Conflict)
}

/// Rewrites the guard at a new version, so that a write of the edit that is still in flight fails.
async fn invalidate_in_flight_write(
    port: &impl ObjectPort,
    guard: &GuardView,
) -> Result<Option<EditResolution>, PortError> {
    match write_with_retry(port, GUARD_OBJECT, guard.version, &json!(guard.record)).await {
        WriteOutcome::Written(_) => Ok(Some(EditResolution::NeverStarted)),
        WriteOutcome::Conflict => Ok(None),
        WriteOutcome::NoEffect => Err(PortError::NoEffect),
        WriteOutcome::InDoubt => Err(PortError::Unanswered),
    }
}
