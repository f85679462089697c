//! What a router shows of itself and of its decisions.

use std::sync::Arc;

use core_router::RouterCore;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, writing::Json};
use serde_json::{Value, json};
use state_tables::{HeldRow, RowContent};

use crate::admin::AdminState;

/// Answers `GET /admin/v1/status`.
pub(super) struct StatusHandler(pub(super) Arc<AdminState>);

#[async_trait]
impl Handler for StatusHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let calls = self.0.platform.calls();
        let status = self.0.handle.query(move |core| status_body(core, calls)).await;
        res.render(Json(status.unwrap_or_default()));
    }
}

fn status_body(core: &RouterCore, platform_calls: u64) -> Value {
    let rows: Vec<Value> = core
        .table()
        .rows_in_force()
        .map(|change| {
            let deleted = change.content == RowContent::Tombstone;
            json!({ "key": change.key.object(), "version": change.version, "deleted": deleted })
        })
        .collect();
    let held: Vec<Value> = core.table().held_rows().map(held_body).collect();
    let targets: Vec<Value> = core
        .targets()
        .map(|target| {
            json!({
                "name": target.name,
                "open": core.takes_work(target),
                "phase": format!("{:?}", core.phase(target)),
                "own_in_flight": target.own_in_flight,
                "others_in_flight": target.others_in_flight,
            })
        })
        .collect();
    let status = core.status();
    json!({
        "host": core.name(),
        "requests": status.requests,
        "tables_complete": status.tables_complete,
        "leaving": status.leaving,
        "platform_calls": platform_calls,
        "rows": rows,
        "rows_held": held,
        "targets": targets,
    })
}

fn held_body(held: HeldRow) -> Value {
    let faults: Vec<String> = held.faults.iter().map(ToString::to_string).collect();
    json!({
        "key": held.key.object(),
        "version": held.version,
        "in_force": held.in_force,
        "faults": faults,
    })
}
