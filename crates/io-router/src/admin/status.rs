//! Status endpoint: the router's rows, targets, peers and control traffic.

use std::{collections::BTreeMap, sync::Arc};

use base_types::TimePoint;
use core_peers::PeerStatus;
use core_router::RouterCore;
use io_wire::TrafficCounter;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, writing::Json};
use serde_json::{Value, json};
use state_membership::MemberRecord;
use state_tables::{RejectedRow, RowContent};

use crate::admin::AdminState;

/// Answers `GET /admin/v1/status`.
pub(super) struct StatusHandler(pub(super) Arc<AdminState>);

#[async_trait]
impl Handler for StatusHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let calls = self.0.platform.calls();
        let status = self.0.handle.query(move |core| status_body(core, calls)).await;
        let mut status = status.unwrap_or_default();
        let now = self.0.clock.now();
        let peers = self.0.peers.query(move |core| peer_body(&core.status(), now)).await;
        status["peers"] = peers.unwrap_or_default();
        status["control"] = control_body(self.0.peers.traffic());
        res.render(Json(status));
    }
}

fn status_body(core: &RouterCore, platform_calls: u64) -> Value {
    let rows: Vec<Value> = core
        .tables()
        .rows_in_force()
        .map(|change| {
            let deleted = change.content == RowContent::Tombstone;
            json!({ "key": change.key.object_key(), "version": change.version, "deleted": deleted })
        })
        .collect();
    let rejected: Vec<Value> = core.tables().rejected_rows().map(rejected_row_body).collect();
    let targets: Vec<Value> = core
        .targets()
        .map(|target| {
            json!({
                "name": target.name,
                "open": core.accepts_work(target),
                "phase": format!("{:?}", core.phase(target)),
                "own_in_flight": target.own_in_flight,
                "others_in_flight": target.peer_in_flight,
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
        "rows_held": rejected,
        "targets": targets,
    })
}

fn peer_body(status: &PeerStatus, now: TimePoint) -> Value {
    let member = |record: &MemberRecord| {
        json!({
            "host": record.row.name,
            "failure_domain": record.row.failure_domain,
            "state": record.state.as_str(),
            "incarnation": record.incarnation,
        })
    };
    json!({
        "members": status.members.iter().map(member).collect::<Vec<_>>(),
        "linked": status.linked_hosts,
        "watches": status.is_watching,
        "isolated": status.trusted_until.passed(now),
        "shed": status.shed_count,
    })
}

fn control_body(traffic: &TrafficCounter) -> Value {
    let report = traffic.report();
    let kinds = traffic.sent_by_kind().into_iter();
    let kinds: BTreeMap<&str, u64> = kinds.map(|(kind, bytes)| (kind.as_str(), bytes)).collect();
    json!({
        "sent_bytes": report.sent_bytes,
        "sent_datagrams": report.sent_datagrams,
        "received_bytes": report.received_bytes,
        "received_datagrams": report.received_datagrams,
        "refused_peers": report.refused_peers,
        "refused_messages": report.refused_messages,
        "sent_by_kind": kinds,
    })
}

fn rejected_row_body(rejected: RejectedRow) -> Value {
    let faults: Vec<String> = rejected.faults.iter().map(ToString::to_string).collect();
    json!({
        "key": rejected.key.object_key(),
        "version": rejected.version,
        "in_force": rejected.in_force,
        "faults": faults,
    })
}
