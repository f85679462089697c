//! What a router shows of itself and of its decisions.

use std::sync::Arc;

use base_types::RequestKey;
use core_router::RouterCore;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode, writing::Json,
};
use serde_json::{Value, json};

use crate::admin::{AdminState, write_error};

/// Answers `GET /admin/v1/status`.
pub(super) struct StatusHandler(pub(super) Arc<AdminState>);

/// Answers `GET /admin/v1/explain/{request}`.
pub(super) struct ExplainHandler(pub(super) Arc<AdminState>);

#[async_trait]
impl Handler for StatusHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let calls = self.0.platform.calls();
        let status = self.0.handle.query(move |core| status_body(core, calls)).await;
        res.render(Json(status.unwrap_or_default()));
    }
}

#[async_trait]
impl Handler for ExplainHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let text = req.param::<String>("request").unwrap_or_default();
        let Ok(number) = u128::from_str_radix(&text, 16) else {
            return write_error(
                res,
                StatusCode::BAD_REQUEST,
                "a request id is 32 hexadecimal digits",
            );
        };
        let sentences = self.0.handle.query(move |core| {
            core.explain(RequestKey(number)).map(|record| record.sentences.clone())
        });
        match sentences.await.flatten() {
            Some(sentences) => res.render(Json(json!({ "request": text, "decisions": sentences }))),
            None => {
                write_error(res, StatusCode::NOT_FOUND, "this router remembers no such request")
            }
        }
    }
}

fn status_body(core: &RouterCore, platform_calls: u64) -> Value {
    let rows: Vec<Value> = core
        .table()
        .changes()
        .map(|change| json!({ "key": format!("{:?}", change.key), "version": change.version }))
        .collect();
    let targets: Vec<Value> = core
        .targets()
        .map(|target| {
            json!({
                "name": target.name,
                "phase": format!("{:?}", target.life),
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
        "targets": targets,
    })
}
