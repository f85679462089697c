//! Plain answers to why something is as it is.

use std::sync::Arc;

use base_types::{AccountName, RequestKey, TimePoint};
use core_router::RouterCore;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode, writing::Json,
};
use serde_json::json;
use state_tables::TableKind;

use crate::admin::{AdminState, write_error};

/// What an explanation is asked about.
#[derive(Debug, Clone, Copy)]
pub(super) enum ExplainSubject {
    Request,
    Target,
    Account,
    Route,
    Pool,
}

/// Answers `GET /admin/v1/explain/...`.
pub(super) struct ExplainHandler {
    pub(super) state: Arc<AdminState>,
    pub(super) subject: ExplainSubject,
}

#[async_trait]
impl Handler for ExplainHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        if matches!(self.subject, ExplainSubject::Request) {
            let text = req.param::<String>("request").unwrap_or_default();
            return self.explain_request(&text, res).await;
        }
        let name = req.param::<String>("name").unwrap_or_default();
        let subject = self.subject;
        let asked = name.clone();
        let now = self.state.clock.now();
        let answer = self.state.handle.query(move |core| {
            let sentences = explain_name(core, now, subject, &asked);
            (core.name().clone(), sentences)
        });
        let Some((host, sentences)) = answer.await else {
            return write_error(res, StatusCode::SERVICE_UNAVAILABLE, "the router is stopping");
        };
        res.render(Json(json!({ "name": name, "router": host, "decisions": sentences })));
    }
}

impl ExplainHandler {
    // FIXME: a request that another router served is asked of that router only.
    async fn explain_request(&self, text: &str, res: &mut Response) {
        let Ok(number) = u128::from_str_radix(text, 16) else {
            let message = "a request id is 32 hexadecimal digits";
            return write_error(res, StatusCode::BAD_REQUEST, message);
        };
        let sentences = self.state.handle.query(move |core| {
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

fn explain_name(
    core: &RouterCore,
    now: TimePoint,
    subject: ExplainSubject,
    name: &str,
) -> Vec<String> {
    match subject {
        ExplainSubject::Target => core.explain_target(now, name),
        ExplainSubject::Account => core.explain_account(&AccountName::new(name)),
        ExplainSubject::Route => core.explain_row(&TableKind::Routes.row(name)),
        ExplainSubject::Pool => core.explain_row(&TableKind::Pools.row(name)),
        ExplainSubject::Request => Vec::new(),
    }
}
