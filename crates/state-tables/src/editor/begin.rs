//! Writing an edit into the guard.

use serde_json::json;

use super::{GuardView, read_guard};
use crate::{
    EditRecord, GUARD_OBJECT, GuardRecord, ObjectPort, PortError, audit_object,
    port::{WriteEnd, parse_value, read_again, write_again},
};

/// How the begin of an edit ended.
pub(super) enum BeginEnd {
    /// The guard holds the edit.
    Begun(Box<GuardView>),
    /// The guard held the edit and another router ended it.
    Ended(Box<EditRecord>),
    /// Another edit began first; this one never will.
    Outrun,
    /// Nothing was written.
    Unsent,
    /// The edit may have begun or may still begin.
    Unknown,
}

pub(super) async fn begin_edit(
    port: &impl ObjectPort,
    guard: &GuardView,
    edit: EditRecord,
) -> BeginEnd {
    let record = GuardRecord { sequence: edit.edit.sequence, pending: Some(edit.clone()) };
    match write_again(port, GUARD_OBJECT, guard.version, &json!(record)).await {
        WriteEnd::Written(version) => {
            BeginEnd::Begun(Box::new(GuardView { version: Some(version), record }))
        }
        WriteEnd::Unsent => BeginEnd::Unsent,
        WriteEnd::Doubtful => BeginEnd::Unknown,
        WriteEnd::Conflict => match read_back(port, &edit).await {
            Ok(end) => end,
            Err(_) => BeginEnd::Unknown,
        },
    }
}

/// Finds out whose write moved the guard. No try of ours can take effect any more.
async fn read_back(port: &impl ObjectPort, edit: &EditRecord) -> Result<BeginEnd, PortError> {
    let guard = read_guard(port).await?;
    if guard.record.pending.as_ref().is_some_and(|pending| pending.edit == edit.edit) {
        return Ok(BeginEnd::Begun(Box::new(guard)));
    }
    let entry = read_again(port, &audit_object(edit.edit.sequence)).await?;
    let entry: Option<EditRecord> = entry.and_then(|object| parse_value(object.value));
    let entry = entry.filter(|entry| entry.edit == edit.edit);
    Ok(entry.map_or(BeginEnd::Outrun, |entry| BeginEnd::Ended(Box::new(entry))))
}
