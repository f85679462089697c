//! Explanations are plain sentences that name the inputs used.

use base_types::{AccountName, FailureDomainName, HostName, RowVersion, TimePoint, test_cases};
use core_router::{Event, HostEntry, HostRole, HostState, RouterCore};
use serde_json::{Value, json};
use state_tables::{RowChange, RowKey, TableKind, TableRevision};

const NOW: TimePoint = TimePoint(0);

fn host(name: &str, state: HostState) -> HostEntry {
    HostEntry {
        name: HostName::new(name),
        role: HostRole::Target,
        group: "assistant".into(),
        address: "127.0.0.1:9000".into(),
        failure_domain: FailureDomainName::new("domain-0"),
        peer: None,
        state,
    }
}

fn row(key: RowKey, version: u64, row: Option<Value>) -> RowChange {
    let record = json!({ "edit": "1-0000000000000001", "row": row });
    RowChange::from_object(key, RowVersion(version), Some(record))
}

fn pool() -> Value {
    json!({
        "name": "assistant", "team": "renewals", "group": "assistant", "kind": "engine",
        "repeatable": true, "target_slots": 16,
    })
}

fn route(pool: &str) -> Value {
    json!({ "name": "chat", "team": "renewals", "path": "/v1/chat", "pool": pool })
}

/// A router with one pool, one route and two targets, one of them leaving.
fn router() -> RouterCore {
    let mut core = RouterCore::new(HostName::new("router-0"), 1);
    let hosts = vec![host("engine-0", HostState::Live), host("engine-1", HostState::Leaving)];
    core.on_event(NOW, Event::HostsListed(hosts));
    let revision = RowVersion(7);
    let reads = TableKind::ALL.map(|table| TableRevision { table, revision }).to_vec();
    let rows = vec![
        row(TableKind::Pools.row("assistant"), 3, Some(pool())),
        row(TableKind::Routes.row("chat"), 4, Some(route("assistant"))),
    ];
    core.on_event(NOW, Event::TablesListed(reads, rows));
    core.on_event(NOW, Event::TablesComplete);
    core
}

fn check_target(name: &str, expected: &str) {
    let text = router().explain_target(NOW, name).join(" ");
    assert!(text.contains(expected), "{text}");
}

test_cases! {
    check_target:
    a_live_target_takes_work("engine-0", "It takes new work.");
    a_leaving_target_gets_no_work(
        "engine-1",
        "the agreed host list or the target itself reports it as leaving",
    );
    an_unknown_target_was_never_listed("engine-2", "has never named the target");
    the_pool_and_its_bounds_are_named("engine-0", "Pool `assistant` selects its group");
}

fn check_row(changes: Vec<RowChange>, key: &RowKey, expected: &[&str]) {
    let mut core = router();
    for change in changes {
        core.on_event(NOW, Event::RowReceived(change));
    }
    assert_eq!(core.explain_row(key), expected);
}

test_cases! {
    check_row:
    a_row_in_force(
        Vec::new(),
        &TableKind::Routes.row("chat"),
        &["Version 4 of route `chat` is in force."],
    );
    a_deleted_row(
        vec![row(TableKind::Routes.row("chat"), 9, None)],
        &TableKind::Routes.row("chat"),
        &["The route `chat` was deleted at version 9."],
    );
    a_row_that_never_existed(
        Vec::new(),
        &TableKind::Pools.row("other"),
        &["No pool `other` is in force: the platform had none when this router read the table at \
           revision 7, and this router has received none since."],
    );
    a_route_to_a_missing_pool(
        vec![row(TableKind::Routes.row("chat"), 9, Some(route("other")))],
        &TableKind::Routes.row("chat"),
        &[
            "Version 4 of route `chat` is in force.",
            "Version 9 was rejected and is not in force; version 4 stays in force. Cause: \
             route.chat.pool: no pool is named `other`; create the pool first, and delete it after \
             its routes.",
        ],
    );
    a_pool_deleted_without_the_api_while_a_route_names_it(
        vec![row(TableKind::Pools.row("assistant"), 9, None)],
        &TableKind::Pools.row("assistant"),
        &[
            "Version 3 of pool `assistant` is in force.",
            "Version 9 was rejected and is not in force; version 3 stays in force. Cause: \
             route.chat.pool: no pool is named `assistant`; create the pool first, and delete it \
             after its routes.",
        ],
    );
}

#[test]
fn an_account_without_requests_has_none_in_flight_or_waiting() {
    let sentences = router().explain_account(&AccountName::new("counter"));
    let expected = "This router has 0 requests of client account `counter` in flight at targets \
                    and 0 others (queued, delayed, being claimed, retried or recorded).";
    assert_eq!(&*sentences[0], expected);
}
