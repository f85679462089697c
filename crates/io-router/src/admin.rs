//! Administration API of the operators' port.

mod access;
mod audit;
mod explain;
mod operations;
mod port;
mod rows;
mod status;
mod sweep;

use std::sync::Arc;

use base_settings::{OperatorRight, OperatorSettings};
use io_clock::MonotonicClock;
use io_platform::PlatformClient;
use salvo::{Response, Router, http::StatusCode, writing::Json};
use serde_json::json;
use state_tables::TableKind;

pub(crate) use crate::admin::sweep::sweep_edits;
use crate::{
    admin::{
        access::{AccessHoop, OperatorList},
        audit::{AuditHandler, EditHandler, HistoryHandler},
        explain::{ExplainHandler, ExplainSubject},
        operations::{OperationsHandler, SettleHandler},
        rows::{RowAction, RowHandler},
        status::StatusHandler,
    },
    handle::LoopHandle,
    peers::PeerHandle,
};

/// State shared by the handlers of the administration API.
pub(crate) struct AdminState {
    handle: LoopHandle,
    platform: PlatformClient,
    peers: PeerHandle,
    clock: MonotonicClock,
}

/// Routes of the administration API, each behind the right that it requires.
pub(crate) fn operator_router(
    handle: LoopHandle,
    platform: PlatformClient,
    peers: PeerHandle,
    clock: MonotonicClock,
    operators: Vec<OperatorSettings>,
) -> Router {
    let state = Arc::new(AdminState { handle, platform, peers, clock });
    let list = Arc::new(OperatorList::new(operators));
    let require = |right| Router::new().hoop(AccessHoop::new(list.clone(), right));
    let read = require(OperatorRight::Read)
        .push(Router::with_path("status").get(StatusHandler(state.clone())))
        .push(Router::with_path("audit").get(AuditHandler(state.clone())))
        .push(Router::with_path("operations/{pool}").get(OperationsHandler(state.clone())))
        .push(explain_router(&state));
    let settle = require(OperatorRight::Settle)
        .push(Router::with_path("operations/{pool}/settle").post(SettleHandler(state.clone())));
    let edit = require(OperatorRight::Edit)
        .push(Router::with_path("edits/{edit}").get(EditHandler(state.clone())));
    let tables = [("routes", TableKind::Routes), ("pools", TableKind::Pools)];
    let (read, edit) = tables.into_iter().fold((read, edit), |(read, edit), (path, table)| {
        (read.push(read_router(&state, path, table)), edit.push(edit_router(&state, path, table)))
    });
    Router::with_path("admin/v1").push(read).push(settle).push(edit)
}

fn read_router(state: &Arc<AdminState>, path: &str, table: TableKind) -> Router {
    let row = |action| RowHandler::new(state.clone(), table, action);
    let history = HistoryHandler { state: state.clone(), table };
    Router::with_path(path)
        .get(row(RowAction::List))
        .push(Router::with_path("{name}").get(row(RowAction::Show)))
        .push(Router::with_path("{name}/history").get(history))
}

fn edit_router(state: &Arc<AdminState>, path: &str, table: TableKind) -> Router {
    let row = |action| RowHandler::new(state.clone(), table, action);
    Router::with_path(format!("{path}/{{name}}"))
        .put(row(RowAction::Put))
        .delete(row(RowAction::Delete))
        .push(Router::with_path("rollback").post(row(RowAction::Rollback)))
}

fn explain_router(state: &Arc<AdminState>) -> Router {
    let explain = |subject| ExplainHandler { state: state.clone(), subject };
    Router::with_path("explain")
        .push(Router::with_path("{request}").get(explain(ExplainSubject::Request)))
        .push(Router::with_path("targets/{name}").get(explain(ExplainSubject::Target)))
        .push(Router::with_path("accounts/{name}").get(explain(ExplainSubject::Account)))
        .push(Router::with_path("routes/{name}").get(explain(ExplainSubject::Route)))
        .push(Router::with_path("pools/{name}").get(explain(ExplainSubject::Pool)))
}

fn write_error(res: &mut Response, status: StatusCode, message: &str) {
    res.status_code(status);
    res.render(Json(json!({ "error": message })));
}
