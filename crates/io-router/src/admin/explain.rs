//! Endpoint that explains the router's decisions in sentences.

use std::sync::Arc;

use base_types::{AccountName, HostName, RequestKey, TimePoint};
use core_router::RouterCore;
use futures_util::future::join_all;
use io_wire::{PeerCall, PeerReply};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode, writing::Json,
};
use serde_json::json;
use state_tables::TableKind;

use crate::{
    admin::{AdminState, write_error},
    peers::PeerHandle,
};

/// Kind of object that an explanation is about.
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
        let queried_name = name.clone();
        let now = self.state.clock.now();
        let answer = self.state.handle.query(move |core| {
            let sentences = explain_name(core, now, subject, &queried_name);
            (core.name().clone(), sentences)
        });
        let Some((host, sentences)) = answer.await else {
            return write_error(res, StatusCode::SERVICE_UNAVAILABLE, "the router is stopping");
        };
        res.render(Json(json!({ "name": name, "router": host, "decisions": sentences })));
    }
}

impl ExplainHandler {
    async fn explain_request(&self, text: &str, res: &mut Response) {
        let Ok(number) = u128::from_str_radix(text, 16) else {
            let message = "a request id is 32 hexadecimal digits";
            return write_error(res, StatusCode::BAD_REQUEST, message);
        };
        let sentences = self.state.handle.query(move |core| {
            core.explain(RequestKey(number)).map(|record| record.sentences.clone())
        });
        let local = sentences.await.flatten();
        if let Some(sentences) = local {
            return res.render(Json(json!({ "request": text, "decisions": sentences })));
        }
        let explanation = ask_peers(&self.state.peers, RequestKey(number)).await;
        let Some((router, sentences)) = explanation.explained else {
            return write_error(res, StatusCode::NOT_FOUND, &explanation.not_found_message());
        };
        let body = json!({ "request": text, "router": router, "decisions": sentences });
        res.render(Json(body));
    }
}

/// Results of asking the linked routers about a request.
#[derive(Debug, Default)]
struct PeerExplanation {
    explained: Option<(HostName, Vec<Box<str>>)>,
    without_record: Vec<HostName>,
    unanswered: Vec<HostName>,
}

impl PeerExplanation {
    fn not_found_message(&self) -> String {
        let list = |hosts: &[HostName]| {
            let names: Vec<&str> = hosts.iter().map(HostName::as_str).collect();
            if names.is_empty() { "none".to_owned() } else { names.join(", ") }
        };
        format!(
            "this router remembers no such request; peers that remember none either: {}; peers \
             that did not answer: {}",
            list(&self.without_record),
            list(&self.unanswered),
        )
    }
}

/// Asks all linked routers concurrently. Routers without a link to this one are not asked.
async fn ask_peers(peers: &PeerHandle, request: RequestKey) -> PeerExplanation {
    let linked_hosts = peers.query(|core| core.status().linked_hosts).await.unwrap_or_default();
    let call = PeerCall::Explain(request);
    let calls = linked_hosts.iter().map(|host| peers.call(host, &call));
    let replies = join_all(calls).await;
    let mut explanation = PeerExplanation::default();
    for (host, reply) in linked_hosts.into_iter().zip(replies) {
        match reply {
            Ok(PeerReply::Explained(sentences)) if sentences.is_empty() => {
                explanation.without_record.push(host);
            }
            Ok(PeerReply::Explained(sentences)) => explanation.explained = Some((host, sentences)),
            _ => explanation.unanswered.push(host),
        }
    }
    explanation
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
