//! Finding out how an edit ended whose outcome was not known.

use base_types::message_types;
use serde_json::json;

use super::{GuardView, end::end_edit, read_guard};
use crate::{
    EditKey, EditRecord, GUARD_OBJECT, ObjectPort, PortError,
    port::{WriteEnd, read_audit, write_again},
};

const FIND_TRIES: u32 = 4;

message_types! {
    /// How an edit ended.
    pub enum EditFate {
        /// Its audit entry says how.
        Ended(Box<EditRecord>),
        /// It never began and never will.
        NeverBegan,
    }
}

/// Finds out how an edit ended, and sees to it that it has ended.
///
/// # Errors
///
/// Fails when the platform does not answer or other edits keep the guard moving.
pub async fn find_edit(port: &impl ObjectPort, edit: EditKey) -> Result<EditFate, PortError> {
    for _ in 0..FIND_TRIES {
        let guard = read_guard(port).await?;
        if guard.record.pending.is_some() {
            end_edit(port, &guard).await?;
            continue;
        }
        if let Some(entry) = read_audit(port, edit.sequence).await? {
            let own = entry.edit == edit;
            return Ok(if own { EditFate::Ended(Box::new(entry)) } else { EditFate::NeverBegan });
        }
        if let Some(fate) = fence(port, &guard).await? {
            return Ok(fate);
        }
    }
    Err(PortError::Conflict)
}

/// Moves the guard on, so that a write of the edit which is still under way fails.
async fn fence(port: &impl ObjectPort, guard: &GuardView) -> Result<Option<EditFate>, PortError> {
    match write_again(port, GUARD_OBJECT, guard.version, &json!(guard.record)).await {
        WriteEnd::Written(_) => Ok(Some(EditFate::NeverBegan)),
        WriteEnd::Conflict => Ok(None),
        WriteEnd::Unsent => Err(PortError::Unsent),
        WriteEnd::Doubtful => Err(PortError::Unanswered),
    }
}
