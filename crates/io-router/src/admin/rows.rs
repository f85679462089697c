//! Endpoints that list, show and edit the rows of the tables.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use base_settings::{OperatorRight, OperatorSettings};
use base_types::RowVersion;
use core_router::Event;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{StatusCode, header},
    writing::Json,
};
use serde_json::{Value, json};
use state_tables::{
    EditCondition, EditKey, EditRecord, EditRequest, EditVerdict, ObjectPort, RowChange,
    RowContent, RowKey, RowRecord, StoredObject, TableKind, read_audit, submit_edit,
};

use crate::admin::{
    AdminState,
    port::PlatformPort,
    rows::verdict::{write_unavailable, write_verdict, write_version},
    write_error,
};

mod verdict;

const ROW_BYTES_MAX: usize = 64 * 1024;
const REASON_BYTES_MAX: usize = 1024;
const REASON_HEADER: &str = "x-change-reason";

#[derive(Debug, Clone, Copy)]
pub(super) enum RowAction {
    List,
    Show,
    Put,
    Delete,
    Rollback,
}

pub(super) struct RowHandler {
    state: Arc<AdminState>,
    table: TableKind,
    action: RowAction,
}

/// Why a request failed before the edit was submitted.
enum RequestError {
    Malformed(Box<str>),
    NotFound(Box<str>),
    Unavailable,
}

#[async_trait]
impl Handler for RowHandler {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let key = self.table.row(&req.param::<String>("name").unwrap_or_default());
        match self.action {
            RowAction::List => self.list(res).await,
            RowAction::Show => self.show(&key, res).await,
            RowAction::Put | RowAction::Delete | RowAction::Rollback => {
                self.edit(key, req, depot, res).await;
            }
        }
    }
}

impl RowHandler {
    pub(super) fn new(state: Arc<AdminState>, table: TableKind, action: RowAction) -> Self {
        Self { state, table, action }
    }

    async fn list(&self, res: &mut Response) {
        let Ok(listed) = PlatformPort(&self.state.platform).list(self.table.prefix()).await else {
            return write_unavailable(res);
        };
        let rows: Vec<Value> = listed.objects.iter().filter_map(row_body).collect();
        res.render(Json(json!({ "revision": listed.revision, "rows": rows })));
    }

    async fn show(&self, key: &RowKey, res: &mut Response) {
        let Ok(object) = PlatformPort(&self.state.platform).read(&key.object_key()).await else {
            return write_unavailable(res);
        };
        let row = object.as_ref().and_then(|object| {
            let record: Result<RowRecord, _> = serde_json::from_value(object.value.clone());
            record.map_or_else(|_| Some(object.value.clone()), |record| record.row)
        });
        let (Some(object), Some(row)) = (object, row) else {
            return write_error(res, StatusCode::NOT_FOUND, "no such row");
        };
        write_version(res, object.version);
        res.render(Json(row));
    }

    async fn edit(&self, key: RowKey, req: &mut Request, depot: &Depot, res: &mut Response) {
        let Ok(operator) = depot.get_typed::<OperatorSettings>() else {
            return write_error(res, StatusCode::UNAUTHORIZED, "no operator");
        };
        let request = match self.edit_request(key, operator, req).await {
            Ok(request) => request,
            Err(fault) => return fault.write(res),
        };
        let verdict = submit_edit(&PlatformPort(&self.state.platform), &request).await;
        log_verdict(&request, &verdict);
        self.apply_accepted_row(&request, &verdict);
        write_verdict(res, &request, &verdict);
    }

    async fn edit_request(
        &self,
        row: RowKey,
        operator: &OperatorSettings,
        req: &mut Request,
    ) -> Result<EditRequest, RequestError> {
        let condition = edit_condition(req)?;
        let reason = change_reason(req)?;
        let dry_run = req.query::<bool>("dry_run").unwrap_or_default();
        let after = self.row_after(&row, req).await?;
        let router = self.state.handle.query(|core| core.name().clone()).await;
        let router = router.ok_or(RequestError::Unavailable)?;
        Ok(EditRequest {
            operator: operator.name.clone(),
            team: operator.team.clone(),
            any_team: operator.rights.contains(&OperatorRight::AnyTeam),
            router,
            at_ms: unix_time_ms(),
            reason,
            row,
            condition,
            after,
            dry_run,
            nonce: rand::random(),
        })
    }

    async fn row_after(
        &self,
        row: &RowKey,
        req: &mut Request,
    ) -> Result<Option<Value>, RequestError> {
        match self.action {
            RowAction::Put => read_row(req).await.map(Some),
            RowAction::Rollback => {
                let entry = self.rollback_entry(row, req).await?;
                Ok(entry.after)
            }
            _ => Ok(None),
        }
    }

    /// The audit entry of the edit whose row is to be restored.
    async fn rollback_entry(
        &self,
        row: &RowKey,
        req: &Request,
    ) -> Result<EditRecord, RequestError> {
        let malformed =
            || RequestError::Malformed("`?to=EDIT` must name an edit of the row".into());
        let edit: EditKey =
            req.query::<String>("to").and_then(|to| to.parse().ok()).ok_or_else(malformed)?;
        let entry = read_audit(&PlatformPort(&self.state.platform), edit.sequence).await;
        let entry = entry.map_err(|_| RequestError::Unavailable)?;
        let is_match = |entry: &EditRecord| entry.edit == edit && *entry.row == *row.object_key();
        let entry = entry.filter(is_match).ok_or_else(|| {
            RequestError::NotFound(format!("the audit trail has no edit {edit} of {row}").into())
        })?;
        if entry.after.is_none() {
            let message = "the edit deleted the row; use DELETE to do so again";
            return Err(RequestError::Malformed(message.into()));
        }
        Ok(entry)
    }

    /// Applies an accepted row on this router without waiting for the platform's watch.
    fn apply_accepted_row(&self, request: &EditRequest, verdict: &EditVerdict) {
        let EditVerdict::Accepted { version, after, .. } = verdict else { return };
        let key = request.row.clone();
        let content = after.clone().map(|row| RowContent::read(&key, row));
        let Ok(content) = content.unwrap_or(Ok(RowContent::Tombstone)) else { return };
        let change = RowChange { key, version: *version, content };
        self.state.handle.post(Event::RowReceived(change));
    }
}

impl RequestError {
    fn write(self, res: &mut Response) {
        match self {
            Self::Malformed(message) => write_error(res, StatusCode::BAD_REQUEST, &message),
            Self::NotFound(message) => write_error(res, StatusCode::NOT_FOUND, &message),
            Self::Unavailable => write_unavailable(res),
        }
    }
}

async fn read_row(req: &mut Request) -> Result<Value, RequestError> {
    let malformed = |error: String| RequestError::Malformed(error.into());
    let body = req.payload_with_max_size(ROW_BYTES_MAX).await;
    let body = body.map_err(|error| malformed(error.to_string()))?;
    serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))
}

/// Parses the precondition of an edit. Without `If-Match` the row must not exist; a malformed
/// condition is rejected.
fn edit_condition(req: &Request) -> Result<EditCondition, RequestError> {
    let Some(value) = req.headers().get(header::IF_MATCH) else { return Ok(EditCondition::Absent) };
    let text = value.to_str().ok().and_then(|text| text.strip_prefix('"')?.strip_suffix('"'));
    let version = text.and_then(|text| text.parse().ok()).map(RowVersion);
    let message = "`If-Match` must be one version in double quotes, as `ETag` shows it";
    version.map(EditCondition::Version).ok_or_else(|| RequestError::Malformed(message.into()))
}

fn change_reason(req: &Request) -> Result<Box<str>, RequestError> {
    let Some(value) = req.headers().get(REASON_HEADER) else { return Ok("".into()) };
    let text = std::str::from_utf8(value.as_bytes()).ok();
    let text = text.filter(|text| text.len() <= REASON_BYTES_MAX);
    let message = format!("`{REASON_HEADER}` must be text of at most {REASON_BYTES_MAX} bytes");
    text.map(Into::into).ok_or_else(|| RequestError::Malformed(message.into()))
}

fn row_body(object: &StoredObject) -> Option<Value> {
    let Ok(record) = serde_json::from_value::<RowRecord>(object.value.clone()) else {
        let body = json!({ "version": object.version, "edit": null, "row": object.value });
        return Some(body);
    };
    let row = record.row?;
    Some(json!({ "version": object.version, "edit": record.edit, "row": row }))
}

fn log_verdict(request: &EditRequest, verdict: &EditVerdict) {
    let outcome = match verdict {
        EditVerdict::Accepted { edit, version, .. } => {
            format!("accepted as edit {edit} at version {}", version.0)
        }
        EditVerdict::Valid { .. } => "valid, a dry run".to_owned(),
        EditVerdict::Refused(_) => "refused".to_owned(),
        EditVerdict::Unavailable | EditVerdict::Busy => {
            "not accepted, platform unavailable or preempted by other edits".to_owned()
        }
        EditVerdict::Unknown { edit } => format!("outcome unknown, edit {edit}"),
    };
    log::info!("edit of {} by operator `{}`: {outcome}", request.row, request.operator);
}

pub(super) fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
