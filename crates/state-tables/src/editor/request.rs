//! Edit requests from operators, and their check against the rows on the platform.

use base_types::{HostName, OperatorName, PoolIdentity, RowVersion, TeamName, message_types};
use serde_json::{Value, json};

use super::TableView;
use crate::{
    EditKey, EditRecord, RowContent, RowFault, RowKey, RowRecord, TableKind,
    check::check_orders_are_unique,
    port::{StoredObject, parse_value},
};

message_types! {
    /// Precondition of an edit: the state of the row that it replaces.
    pub enum EditCondition {
        /// The row does not exist; a tombstone counts as absent.
        Absent,
        /// The row exists and its object has this version.
        Version(RowVersion),
    }

    /// An edit requested by an operator.
    pub struct EditRequest {
        /// Operator who makes the edit.
        pub operator: OperatorName,
        /// Team of the operator.
        pub team: TeamName,
        /// Whether the operator may edit rows of other teams.
        pub any_team: bool,
        /// Router that received the request.
        pub router: HostName,
        /// Time of the request, in milliseconds since the Unix epoch.
        pub at_ms: u64,
        /// Reason in the operator's words, for the audit trail.
        pub reason: Box<str>,
        /// Key of the row to edit.
        pub row: RowKey,
        /// State that the row must have for the edit to apply.
        pub condition: EditCondition,
        /// New content of the row; absent to delete the row.
        pub after: Option<Value>,
        /// Whether to check the edit without writing anything.
        pub dry_run: bool,
        /// Random number that is unique to this edit.
        pub nonce: u64,
    }

    /// A row as the platform stores it.
    pub struct CurrentRow {
        /// Version of the row's object; absent when the object does not exist.
        pub version: Option<RowVersion>,
        /// Content of the row; absent when the row is deleted or was never created.
        pub row: Option<Value>,
    }

    /// Why an edit was not accepted.
    pub enum EditRefusal {
        /// The row is not in the expected state.
        Conflict(CurrentRow),
        /// The edit would make the tables invalid.
        Invalid(Vec<RowFault>),
        /// The row belongs to another team.
        OtherTeam {
            /// Team that owns the row.
            owner: TeamName,
        },
        /// A write that bypassed the administration API changed the row during the edit.
        Overwritten {
            /// The edit.
            edit: EditKey,
        },
    }

    /// Outcome of a submitted edit.
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
        /// The edit was not accepted, because the platform is unavailable; it can be submitted
        /// again.
        Unavailable,
        /// The edit was not accepted, because other edits kept starting first; it can be
        /// submitted again.
        Busy,
        /// The platform did not answer, so the outcome is unknown until
        /// [`super::resolve_edit`] resolves it.
        Unknown {
            /// The edit.
            edit: EditKey,
        },
    }
}

/// Reported owner of a row whose stored version is not in force because a write bypassed the API.
/// The version in force, and with it the team, is not available here.
const UNKNOWN_TEAM: &str = "unknown";

/// An edit that passed the check against the current tables.
pub(super) struct EditDraft {
    previous: Option<EditKey>,
    expected: Option<RowVersion>,
    before: Option<Value>,
    pub(super) after: Option<Value>,
}

impl EditDraft {
    pub(super) fn new(request: &EditRequest, tables: &TableView) -> Result<Self, EditRefusal> {
        let object = tables.objects.get(&request.row);
        let record: Option<RowRecord> = object.and_then(|object| parse_value(object.value.clone()));
        let previous = record.as_ref().map(|record| record.edit);
        let is_record = record.is_some();
        let unparsed = object.filter(|_| !is_record).map(|object| object.value.clone());
        let before = record.and_then(|record| record.row).or(unparsed);
        check_expected_state(request, object, before.as_ref())?;
        let content = parse_content(request, tables)?;
        check_team(request, &content, tables, before.as_ref())?;
        let mut faults = tables.rows.faults_with(&request.row, &content);
        if let RowContent::Pool(row) = &content {
            faults.extend(check_orders_are_unique(row, tables.rows.pools()));
        }
        faults.extend(invalid_route_faults(&request.row, &content, tables));
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
            row: request.row.object_key().into(),
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

fn check_expected_state(
    request: &EditRequest,
    object: Option<&StoredObject>,
    before: Option<&Value>,
) -> Result<(), EditRefusal> {
    let version = object.map(|object| object.version);
    let is_met = match request.condition {
        EditCondition::Absent => before.is_none(),
        EditCondition::Version(expected) => version == Some(expected) && before.is_some(),
    };
    if is_met {
        return Ok(());
    }
    Err(EditRefusal::Conflict(CurrentRow { version, row: before.cloned() }))
}

fn parse_content(request: &EditRequest, tables: &TableView) -> Result<RowContent, EditRefusal> {
    let Some(after) = request.after.clone() else { return Ok(RowContent::Tombstone) };
    let mut content = RowContent::read(&request.row, after).map_err(EditRefusal::Invalid)?;
    if let RowContent::Pool(row) = &mut content {
        row.identity = Some(pool_identity(request, tables));
    }
    Ok(content)
}

/// Identity of the edited pool: edits preserve it, and a created pool gets a new one.
fn pool_identity(request: &EditRequest, tables: &TableView) -> PoolIdentity {
    let creates = request.condition == EditCondition::Absent;
    let in_force = tables.rows.in_force(&request.row).filter(|_| !creates);
    let current = in_force.and_then(|change| match &change.content {
        RowContent::Pool(row) => row.identity,
        _ => None,
    });
    current.unwrap_or(PoolIdentity(request.nonce))
}

/// Returns a fault for each route whose stored version is not in force because a write bypassed the
/// API.
///
/// Routers keep an earlier version of such a route in force, and that version is not available
/// here. It may name any pool and match any path, so no pool can be deleted and no other route
/// written until the route is repaired. Edits that cannot conflict with a route are allowed.
fn invalid_route_faults(key: &RowKey, content: &RowContent, tables: &TableView) -> Vec<RowFault> {
    let may_conflict = match key {
        RowKey::Route(_) => matches!(content, RowContent::Route(_)),
        RowKey::Pool(_) => *content == RowContent::Tombstone,
    };
    if !may_conflict {
        return Vec::new();
    }
    let rejected_rows = tables.rows.rejected_rows();
    let invalid_routes =
        rejected_rows.filter(|row| row.key.table() == TableKind::Routes && row.key != *key);
    invalid_routes
        .map(|row| RowFault {
            key: key.to_string().into(),
            remedy: format!(
                "{} was written past this API and is not valid; mend or delete it first",
                row.key
            )
            .into(),
        })
        .collect()
}

/// Checks that the row belongs to the operator's team both before and after the edit.
fn check_team(
    request: &EditRequest,
    after: &RowContent,
    tables: &TableView,
    before: Option<&Value>,
) -> Result<(), EditRefusal> {
    if request.any_team {
        return Ok(());
    }
    if tables.objects.contains_key(&request.row) && !tables.latest_is_in_force(&request.row) {
        return Err(EditRefusal::OtherTeam { owner: TeamName::new(UNKNOWN_TEAM) });
    }
    let in_force = tables.rows.in_force(&request.row).map(|change| &change.content);
    let stored = before.and_then(|row| row.get("team")?.as_str()).map(TeamName::new);
    let owners = [in_force.and_then(team).cloned(), stored, team(after).cloned()];
    match owners.into_iter().flatten().find(|owner| *owner != request.team) {
        Some(owner) => Err(EditRefusal::OtherTeam { owner }),
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
