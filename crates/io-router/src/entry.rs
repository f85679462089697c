//! Endpoint that tells callers which routers to use.

use std::time::{Duration, SystemTime};

use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, writing::Json};
use serde_json::json;
use state_membership::MemberRecord;

use crate::peers::PeerHandle;

/// How long callers may cache an answer. Together with the time in which all routers learn that a
/// router is draining, the TTL stays within the linger time of that router.
const ENTRY_TTL: Duration = Duration::from_secs(9);

/// Answers `GET /v1/entry`, whose query may name `chat`, `account` and `route`.
pub(crate) struct EntryHandler(pub(crate) PeerHandle);

#[async_trait]
impl Handler for EntryHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let affinity = affinity(req);
        let addresses = self.0.query(move |core| {
            let address = |record: &MemberRecord| {
                json!({
                    "address": record.row.caller_address,
                    "failure_domain": record.row.failure_domain,
                })
            };
            core.entry_routers(affinity).into_iter().map(address).collect::<Vec<_>>()
        });
        let addresses = addresses.await.unwrap_or_default();
        let expires_at = SystemTime::now() + ENTRY_TTL;
        let expires_at = expires_at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        res.render(Json(json!({
            "addresses": addresses,
            "keep_ms": ENTRY_TTL.as_millis(),
            "keep_until_ms": expires_at.as_millis(),
        })));
    }
}

/// Hash that orders the routers: by chat, or else by client account and route. Without either, a
/// random order spreads the callers over the routers.
fn affinity(req: &Request) -> u64 {
    if let Some(chat) = req.query::<String>("chat") {
        return policy_routing::stable_hash(chat.as_bytes());
    }
    let Some(account) = req.query::<String>("account") else { return rand::random() };
    let route = req.query::<String>("route").unwrap_or_default();
    policy_routing::stable_hash(format!("{route}/{account}").as_bytes())
}
