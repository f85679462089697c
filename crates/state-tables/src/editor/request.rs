//! What an operator asks for, and the check of it against the platform's rows.

use base_types::{HostName, OperatorName, PoolIdentity, RowVersion, TeamName, message_types};
use serde_json::{Value, json};

use super::TableView;
use crate::{
    EditKey, EditRecord, RowContent, RowFault, RowKey, RowRecord, TableKind,
    check::check_orders,
    port::{StoredObject, parse_value},
};

message_types! {
    /// The state of the row that an edit replaces.
    pub enum EditTarget {
        /// There is no row; a tombstone counts as none.
        Absent,
        /// The row's object has this version.
        Version(RowVersion),
    }

    /// An edit as an operator asks for it.
    pub struct EditRequest {
        /// Who asks.
        pub operator: OperatorName,
        /// Team of the operator.
        pub team: TeamName,
        /// Whether the operator may edit rows of other teams.
        pub any_team: bool,
        /// Router that was asked.
        pub router: HostName,
        /// Time of the request, in milliseconds since the Unix epoch.
        pub at_ms: u64,
        /// Why, in the operator's words.
        pub reason: Box<str>,
        /// Row to edit.
        pub row: RowKey,
        /// State of the row that the edit replaces.
        pub target: EditTarget,
        /// The row to put in place; absent to delete it.
        pub after: Option<Value>,
        /// Whether to check the edit only.
        pub dry_run: bool,
        /// Random number that no other edit has.
        pub nonce: u64,
    }

    /// A row as the platform holds it.
    pub struct CurrentRow {
        /// Version of the row's object.
        pub version: Option<RowVersion>,
        /// The row; absent when it is deleted or was never created.
        pub row: Option<Value>,
    }

    /// Why an edit was not accepted.
    pub enum EditRefusal {
        /// The row is not in the state that the edit replaces.
        Conflict(CurrentRow),
        /// The tables would be invalid.
        Invalid(Vec<RowFault>),
        /// The row belongs to another team.
        Foreign {
            /// Team that owns the row.
            owner: TeamName,
        },
        /// The row was changed past the administration API while the edit was made.
        Overwritten {
            /// The edit.
            edit: EditKey,
        },
    }

    /// Whether an edit was accepted.
    pub enum EditVerdict {
        /// The row holds the edit and its audit entry is written.
        Accepted {
            /// The edit.
            edit: EditKey,
            /// Version of the row.
            version: RowVersion,
            /// The row.
            after: Option<Value>,
        },
        /// The edit would be accepted; nothing was written.
        Valid {
            /// The row.
            after: Option<Value>,
        },
        /// The edit was not accepted and never will be.
        Refused(EditRefusal),
        /// The edit was not accepted, as the platform cannot be used.
        Unavailable,
        /// The edit was not accepted, as other edits kept coming first.
        Busy,
        /// The platform did not answer; [`super::find_edit`] finds out.
        Unknown {
            /// The edit.
            edit: EditKey,
        },
    }
}

/// Owner of a row that was written past the API, whose last valid version is not known here.
const UNKNOWN_TEAM: &str = "unknown";

/// An edit that is valid with the tables it was checked against.
pub(super) struct Draft {
    previous: Option<EditKey>,
    expected: Option<RowVersion>,
    before: Option<Value>,
    pub(super) after: Option<Value>,
}

impl Draft {
    pub(super) fn new(request: &EditRequest, tables: &TableView) -> Result<Self, EditRefusal> {
        let object = tables.objects.get(&request.row);
        let record: Option<RowRecord> = object.and_then(|object| parse_value(object.value.clone()));
        let previous = record.as_ref().map(|record| record.edit);
        let is_record = record.is_some();
        let raw = object.filter(|_| !is_record).map(|object| object.value.clone());
        let before = record.and_then(|record| record.row).or(raw);
        check_target(request, object, before.as_ref())?;
        let content = read_after(request, tables)?;
        check_team(request, &content, tables, before.as_ref())?;
        let mut faults = tables.in_force.faults_with(&request.row, &content);
        if let RowContent::Pool(row) = &content {
            faults.extend(check_orders(row, tables.in_force.pools()));
        }
        faults.extend(unsettled_routes(&request.row, &content, tables));
        if !faults.is_empty() {
            return Err(EditRefusal::Invalid(faults));
        }
        let after = match content {
            RowContent::Route(row) => Some(json!(row)),
            RowContent::Pool(row) => Some(json!(row)),
            RowContent::Tombstone | RowContent::Invalid(_) => None,
        };
        Ok(Self { previous, expected: object.map(|object| object.version), before, after })
    }

    pub(super) fn record(self, request: &EditRequest, sequence: u64) -> EditRecord {
        EditRecord {
            edit: EditKey { sequence, nonce: request.nonce },
            previous: self.previous,
            row: request.row.object().into(),
            expected: self.expected,
            operator: request.operator.clone(),
            team: request.team.clone(),
            router: request.router.clone(),
            at_ms: request.at_ms,
            reason: request.reason.clone(),
            before: self.before,
            after: self.after,
            end: None,
        }
    }
}

fn check_target(
    request: &EditRequest,
    object: Option<&StoredObject>,
    before: Option<&Value>,
) -> Result<(), EditRefusal> {
    let version = object.map(|object| object.version);
    let holds = match request.target {
        EditTarget::Absent => before.is_none(),
        EditTarget::Version(expected) => version == Some(expected) && before.is_some(),
    };
    if holds {
        return Ok(());
    }
    Err(EditRefusal::Conflict(CurrentRow { version, row: before.cloned() }))
}

fn read_after(request: &EditRequest, tables: &TableView) -> Result<RowContent, EditRefusal> {
    let Some(after) = request.after.clone() else { return Ok(RowContent::Tombstone) };
    let mut content = RowContent::read(&request.row, after).map_err(EditRefusal::Invalid)?;
    if let RowContent::Pool(row) = &mut content {
        row.identity = Some(identity(request, tables));
    }
    Ok(content)
}

/// A pool keeps its identity through edits and gets a new one when it is created.
fn identity(request: &EditRequest, tables: &TableView) -> PoolIdentity {
    let created = request.target == EditTarget::Absent;
    let in_force = tables.in_force.in_force(&request.row).filter(|_| !created);
    let kept = in_force.and_then(|change| match &change.content {
        RowContent::Pool(row) => row.identity,
        _ => None,
    });
    kept.unwrap_or(PoolIdentity(request.nonce))
}

/// Faults for routes that were written past the API and are not valid.
///
/// Routers keep the last valid version of such a route, which is not known here. It may name any
/// pool and match any path, so no pool is deleted and no other route written meanwhile. Edits that
/// can contradict no route pass.
fn unsettled_routes(key: &RowKey, content: &RowContent, tables: &TableView) -> Vec<RowFault> {
    let can_contradict = match key {
        RowKey::Route(_) => matches!(content, RowContent::Route(_)),
        RowKey::Pool(_) => *content == RowContent::Tombstone,
    };
    if !can_contradict {
        return Vec::new();
    }
    let held = tables.in_force.held_rows();
    let unsettled = held.filter(|held| held.key.table() == TableKind::Routes && held.key != *key);
    unsettled
        .map(|held| RowFault {
            key: key.to_string().into(),
            remedy: format!(
                "{} was written past this API and is not valid; mend or delete it first",
                held.key
            )
            .into(),
        })
        .collect()
}

/// The row's team, before and after the edit, must be the operator's.
fn check_team(
    request: &EditRequest,
    after: &RowContent,
    tables: &TableView,
    before: Option<&Value>,
) -> Result<(), EditRefusal> {
    if request.any_team {
        return Ok(());
    }
    if tables.objects.contains_key(&request.row) && !tables.is_settled(&request.row) {
        return Err(EditRefusal::Foreign { owner: TeamName::new(UNKNOWN_TEAM) });
    }
    let in_force = tables.in_force.in_force(&request.row).map(|change| &change.content);
    let written = before.and_then(|row| row.get("team")?.as_str()).map(TeamName::new);
    let owners = [in_force.and_then(team).cloned(), written, team(after).cloned()];
    match owners.into_iter().flatten().find(|owner| *owner != request.team) {
        Some(owner) => Err(EditRefusal::Foreign { owner }),
        None => Ok(()),
    }
}

fn team(content: &RowContent) -> Option<&TeamName> {
    match content {
        RowContent::Route(row) => Some(&row.team),
        RowContent::Pool(row) => Some(&row.team),
        RowContent::Tombstone | RowContent::Invalid(_) => None,
    }
}
