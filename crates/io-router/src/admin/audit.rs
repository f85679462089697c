//! Endpoints for the audit trail, the history of a row and the outcome of an edit.

use std::sync::Arc;

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode, writing::Json,
};
use serde_json::json;
use state_tables::{
    EditKey, EditRecord, EditResolution, GUARD_OBJECT, GuardRecord, ObjectPort, PortError,
    RowRecord, TableKind, read_audit, resolve_edit,
};

use crate::admin::{AdminState, port::PlatformPort, write_error};

const LIMIT_DEFAULT: usize = 20;
const LIMIT_MAX: usize = 100;
/// Limit of entries read for one page, so that filtering by a rarely edited row does not read the
/// entire trail from the platform.
const READS_MAX: u64 = 500;

/// Answers `GET /admin/v1/audit`, the latest entries first.
pub(super) struct AuditHandler(pub(super) Arc<AdminState>);

/// Answers `GET /admin/v1/edits/{edit}`.
pub(super) struct EditHandler(pub(super) Arc<AdminState>);

/// Answers `GET /admin/v1/{table}/{name}/history`, the latest edit first.
pub(super) struct HistoryHandler {
    pub(super) state: Arc<AdminState>,
    pub(super) table: TableKind,
}

#[async_trait]
impl Handler for AuditHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let row = req.query::<String>("row");
        let before = req.query::<u64>("before");
        let port = PlatformPort(&self.0.platform);
        match audit_page(&port, row.as_deref(), before, limit(req)).await {
            Ok((entries, next)) => res.render(Json(json!({ "entries": entries, "before": next }))),
            Err(_) => write_platform_unanswered(res),
        }
    }
}

#[async_trait]
impl Handler for EditHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let edit = req.param::<String>("edit").unwrap_or_default().parse::<EditKey>();
        let edit = match edit {
            Ok(edit) => edit,
            Err(error) => return write_error(res, StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match resolve_edit(&PlatformPort(&self.0.platform), edit).await {
            Ok(EditResolution::Finished(entry)) => {
                let accepted =
                    matches!(entry.end, Some(state_tables::EditOutcome::Accepted { .. }));
                let outcome = if accepted { "accepted" } else { "not-accepted" };
                res.render(Json(json!({ "outcome": outcome, "entry": entry })));
            }
            Ok(EditResolution::NeverStarted) => {
                res.render(Json(json!({ "outcome": "not-accepted", "entry": null })));
            }
            Err(_) => write_platform_unanswered(res),
        }
    }
}

#[async_trait]
impl Handler for HistoryHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let key = self.table.row(&req.param::<String>("name").unwrap_or_default());
        let port = PlatformPort(&self.state.platform);
        match row_history(&port, &key.object_key(), limit(req)).await {
            Ok(entries) => res.render(Json(json!({ "entries": entries }))),
            Err(_) => write_platform_unanswered(res),
        }
    }
}

type AuditPage = (Vec<EditRecord>, Option<u64>);

/// Reads entries from the latest backwards; also returns the `before` of the next page.
async fn audit_page(
    port: &impl ObjectPort,
    row: Option<&str>,
    before: Option<u64>,
    limit: usize,
) -> Result<AuditPage, PortError> {
    let end = match before {
        Some(before) => before,
        None => last_sequence(port).await? + 1,
    };
    let start = end.saturating_sub(READS_MAX).max(1);
    let mut entries = Vec::new();
    let mut next = end;
    while next > start && entries.len() < limit {
        next -= 1;
        let entry = read_audit(port, next).await?;
        entries.extend(entry.filter(|entry| row.is_none_or(|row| *entry.row == *row)));
    }
    Ok((entries, (next > 1).then_some(next)))
}

async fn last_sequence(port: &impl ObjectPort) -> Result<u64, PortError> {
    let object = port.read(GUARD_OBJECT).await?;
    let guard = object.and_then(|object| serde_json::from_value::<GuardRecord>(object.value).ok());
    Ok(guard.map_or(0, |guard| guard.sequence))
}

/// Follows the edits of a row backwards. A write that bypassed this API ends the history.
async fn row_history(
    port: &impl ObjectPort,
    object: &str,
    limit: usize,
) -> Result<Vec<EditRecord>, PortError> {
    let object = port.read(object).await?;
    let record = object.and_then(|object| serde_json::from_value::<RowRecord>(object.value).ok());
    let mut next = record.map(|record| record.edit);
    let mut entries = Vec::new();
    while let Some(edit) = next.filter(|_| entries.len() < limit) {
        let entry = read_audit(port, edit.sequence).await?.filter(|entry| entry.edit == edit);
        next = entry.as_ref().and_then(|entry| entry.previous);
        entries.extend(entry);
    }
    Ok(entries)
}

fn limit(req: &Request) -> usize {
    req.query::<usize>("limit").unwrap_or(LIMIT_DEFAULT).clamp(1, LIMIT_MAX)
}

fn write_platform_unanswered(res: &mut Response) {
    let message = "the platform does not answer; ask again later";
    write_error(res, StatusCode::SERVICE_UNAVAILABLE, message);
}
