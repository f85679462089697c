//! The answer to callers that ask which routers to use.

use std::time::Duration;

use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde_json::json;

use crate::handle::LoopHandle;

const ENTRY_KEEP: Duration = Duration::from_secs(10);

/// Answers `GET /v1/entry`.
pub(crate) struct EntryHandler(pub(crate) LoopHandle);

#[async_trait]
impl Handler for EntryHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let addresses = self.0.query(|core| {
            let entry = |host: &core_router::HostEntry| {
                json!({ "address": host.address, "failure_domain": host.failure_domain })
            };
            core.entries().map(entry).collect::<Vec<_>>()
        });
        let addresses = addresses.await.unwrap_or_default();
        let body = json!({ "addresses": addresses, "keep_ms": ENTRY_KEEP.as_millis() });
        res.render(salvo::writing::Json(body));
    }
}
