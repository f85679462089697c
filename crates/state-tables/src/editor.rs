//! The protocol that serializes edits of the tables.
//!
//! The platform only offers conditional writes of single objects, but two edits that are each valid
//! can be invalid together. The guard object therefore puts all edits in one total order:
//!
//! 1. Read the guard, and finish its pending edit if it has one.
//! 2. Read both tables and check the edit against them.
//! 3. Write the edit into the guard, conditional on the version read in step 1. No other edit can
//!    have started since then, so the check is still valid.
//! 4. Write the row, conditional on the version that the edit replaces.
//! 5. Write the audit entry, conditional on its absence; the first entry written is authoritative.
//! 6. Release the guard.
//!
//! Steps 4 to 6 are idempotent and any router can run them, so a router that crashes or pauses
//! in the middle neither blocks nor undoes other edits.

mod begin;
mod end;
mod find;
mod request;

use self::{begin::StartOutcome, request::EditDraft};
pub use self::{
    end::finish_pending,
    find::{EditResolution, resolve_edit},
    request::{CurrentRow, EditCondition, EditRefusal, EditRequest, EditVerdict},
};
use crate::{
    EditOutcome, EditRecord, GUARD_OBJECT, GuardRecord, ObjectPort, PortError, RowChange, RowKey,
    TableKind, TableRevision, TableSet,
    port::{StoredObject, parse_value, read_with_retry},
};

const START_ATTEMPTS_MAX: u32 = 16;

/// The guard object as it was read; `version` is absent when the object does not exist.
#[derive(Debug, Clone)]
pub(crate) struct GuardView {
    version: Option<base_types::RowVersion>,
    record: GuardRecord,
}

/// Submits an edit and returns whether it was accepted.
pub async fn submit_edit(port: &impl ObjectPort, request: &EditRequest) -> EditVerdict {
    for _ in 0..START_ATTEMPTS_MAX {
        let Ok(guard) = read_guard(port).await else { return EditVerdict::Unavailable };
        if guard.record.pending.is_some() {
            if end::finish_edit(port, &guard).await.is_err() {
                return EditVerdict::Unavailable;
            }
            continue;
        }
        let Ok(tables) = read_tables(port).await else {
            return EditVerdict::Unavailable;
        };
        let draft = match EditDraft::new(request, &tables) {
            Ok(draft) => draft,
            Err(refusal) => return EditVerdict::Refused(refusal),
        };
        if request.dry_run {
            return EditVerdict::Valid { after: draft.after };
        }
        let edit = draft.record(request, guard.record.sequence + 1);
        let key = edit.edit;
        match begin::start_edit(port, &guard, edit).await {
            StartOutcome::Started(guard) => match end::finish_edit(port, &guard).await {
                Ok(record) => return verdict_of(&record),
                Err(_) => return EditVerdict::Unknown { edit: key },
            },
            StartOutcome::Finished(record) => return verdict_of(&record),
            StartOutcome::Preempted => {}
            StartOutcome::NoEffect => return EditVerdict::Unavailable,
            StartOutcome::Unknown => return EditVerdict::Unknown { edit: key },
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

/// The row objects of both tables as the platform stores them, and the rows that they put in force.
pub(crate) struct TableView {
    pub(crate) rows: TableSet,
    pub(crate) objects: std::collections::BTreeMap<RowKey, StoredObject>,
}

impl TableView {
    /// Whether the stored version of a row, or its tombstone, is the one in force.
    pub(crate) fn latest_is_in_force(&self, key: &RowKey) -> bool {
        self.rows.in_force(key).map(|change| change.version) == self.rows.version(key)
    }
}

/// Reads both tables from the platform. The rows that the router already has are not used, as they
/// may be outdated.
async fn read_tables(port: &impl ObjectPort) -> Result<TableView, PortError> {
    let mut view =
        TableView { rows: TableSet::default(), objects: std::collections::BTreeMap::new() };
    let mut changes = Vec::new();
    let mut revisions = Vec::new();
    for table in TableKind::ALL {
        let listed = port.list(table.prefix()).await?;
        for object in listed.objects {
            let Some(key) = RowKey::from_object_key(&object.key) else { continue };
            let value = Some(object.value.clone());
            changes.push(RowChange::from_object(key.clone(), object.version, value));
            view.objects.insert(key, object);
        }
        revisions.push(TableRevision { table, revision: listed.revision });
    }
    view.rows.adopt_lists(&revisions, changes);
    Ok(view)
}

/// Reads the guard; if the object does not exist, no edit was ever made.
pub(crate) async fn read_guard(port: &impl ObjectPort) -> Result<GuardView, PortError> {
    let object = read_with_retry(port, GUARD_OBJECT).await?;
    let version = object.as_ref().map(|object| object.version);
    let record = object.map(|object| parse_value(object.value).ok_or(PortError::NoEffect));
    let record = record.transpose()?.unwrap_or(GuardRecord { sequence: 0, pending: None });
    Ok(GuardView { version, record })
}
