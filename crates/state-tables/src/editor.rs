//! The protocol by which an edit of a table is accepted.
//!
//! The platform offers conditional writes of single objects only, yet two edits may each be valid
//! and not so together. All edits are therefore put in one order by the guard object:
//!
//! 1. Read the guard, and end its pending edit if it has one.
//! 2. Read both tables and check the edit against them.
//! 3. Write the edit into the guard, on condition of the version read in step 1. No other edit can
//!    have begun since then, so the check still holds.
//! 4. Write the row, on condition of the version that the edit replaces.
//! 5. Write the audit entry, on condition that there is none; the first entry decides.
//! 6. Free the guard.
//!
//! Steps 4 to 6 are repeatable and any router can take them, so that a router which is lost or
//! paused in the middle neither blocks other edits nor undoes them.

mod begin;
mod end;
mod find;
mod request;

use self::{begin::BeginEnd, request::Draft};
pub use self::{
    end::finish_pending,
    find::{EditFate, find_edit},
    request::{CurrentRow, EditRefusal, EditRequest, EditTarget, EditVerdict},
};
use crate::{
    EditOutcome, EditRecord, GUARD_OBJECT, GuardRecord, ObjectPort, PortError, RowChange, RowKey,
    TableKind, TableRevision, TableSet,
    port::{StoredObject, parse_value, read_again},
};

const BEGIN_TRIES: u32 = 16;

/// The guard's object as it was read.
#[derive(Debug, Clone)]
pub(crate) struct GuardView {
    version: Option<base_types::RowVersion>,
    record: GuardRecord,
}

/// Makes an edit and says whether it was accepted.
pub async fn submit_edit(port: &impl ObjectPort, request: &EditRequest) -> EditVerdict {
    for _ in 0..BEGIN_TRIES {
        let Ok(guard) = read_guard(port).await else { return EditVerdict::Unavailable };
        if guard.record.pending.is_some() {
            if end::end_edit(port, &guard).await.is_err() {
                return EditVerdict::Unavailable;
            }
            continue;
        }
        let Ok(tables) = read_tables(port).await else {
            return EditVerdict::Unavailable;
        };
        let draft = match Draft::new(request, &tables) {
            Ok(draft) => draft,
            Err(refusal) => return EditVerdict::Refused(refusal),
        };
        if request.dry_run {
            return EditVerdict::Valid { after: draft.after };
        }
        let edit = draft.record(request, guard.record.sequence + 1);
        let key = edit.edit;
        match begin::begin_edit(port, &guard, edit).await {
            BeginEnd::Begun(guard) => match end::end_edit(port, &guard).await {
                Ok(record) => return verdict_of(&record),
                Err(_) => return EditVerdict::Unknown { edit: key },
            },
            BeginEnd::Ended(record) => return verdict_of(&record),
            BeginEnd::Outrun => {}
            BeginEnd::Unsent => return EditVerdict::Unavailable,
            BeginEnd::Unknown => return EditVerdict::Unknown { edit: key },
        }
    }
    EditVerdict::Busy
}

fn verdict_of(record: &EditRecord) -> EditVerdict {
    match record.end {
        Some(EditOutcome::Accepted { version }) => {
            EditVerdict::Accepted { edit: record.edit, version, after: record.after.clone() }
        }
        Some(EditOutcome::Overwritten) => {
            EditVerdict::Refused(EditRefusal::Overwritten { edit: record.edit })
        }
        None => EditVerdict::Unknown { edit: record.edit },
    }
}

/// The rows of both tables as the platform holds them, with what of them is in force.
pub(crate) struct TableView {
    pub(crate) in_force: TableSet,
    pub(crate) objects: std::collections::BTreeMap<RowKey, StoredObject>,
}

impl TableView {
    /// Whether the object of a row holds a row or a tombstone that can be in force.
    pub(crate) fn is_settled(&self, key: &RowKey) -> bool {
        self.in_force.in_force(key).map(|change| change.version) == self.in_force.version(key)
    }
}

/// Reads both tables. What a router has heard before is left out, as it may lag behind.
async fn read_tables(port: &impl ObjectPort) -> Result<TableView, PortError> {
    let mut view =
        TableView { in_force: TableSet::default(), objects: std::collections::BTreeMap::new() };
    let mut changes = Vec::new();
    let mut floors = Vec::new();
    for table in TableKind::ALL {
        let listed = port.list(table.prefix()).await?;
        for object in listed.objects {
            let Some(key) = RowKey::from_object(&object.key) else { continue };
            let value = Some(object.value.clone());
            changes.push(RowChange::from_object(key.clone(), object.version, value));
            view.objects.insert(key, object);
        }
        floors.push(TableRevision { table, revision: listed.revision });
    }
    view.in_force.adopt_lists(&floors, changes);
    Ok(view)
}

/// Reads the guard; a platform without one has had no edit.
pub(crate) async fn read_guard(port: &impl ObjectPort) -> Result<GuardView, PortError> {
    let object = read_again(port, GUARD_OBJECT).await?;
    let version = object.as_ref().map(|object| object.version);
    let record = object.map(|object| parse_value(object.value).ok_or(PortError::Unsent));
    let record = record.transpose()?.unwrap_or(GuardRecord { sequence: 0, pending: None });
    Ok(GuardView { version, record })
}
