//! Targets that leave or are drained get no new work.

use std::collections::BTreeSet;

use base_types::{
    AccountName, ChatName, ContentDigest, FailureDomainName, HostEntry, HostName, HostRole,
    HostState, IncomingRequest, PoolName, RequestKey, RouteName, RowVersion, TargetKey, TimePoint,
    test_cases,
};
use bytes::Bytes;
use core_router::{AttemptOutcome, Effect, Event, RequestStep, RouterCore};
use state_tables::{PoolRow, RowChange, RowContent, RowKey, TableFile};

const TARGETS: usize = 4;
const REQUESTS: u128 = 200;
const TABLES: &str = r#"
[[pool]]
name = "pool"
team = "team"
group = "group"
kind = "engine"
repeatable = true

[[route]]
name = "route"
team = "team"
path = "/"
pool = "pool"
"#;

/// Why a target stops getting new work.
enum RemovalCause {
    Drained,
    ListedLeaving,
    Reported,
}

fn hosts(leaving: Option<usize>) -> Event {
    let host = |index| HostEntry {
        name: HostName::new(&format!("target-{index}")),
        role: HostRole::Target,
        group: "group".into(),
        address: format!("127.0.0.1:{index}").into(),
        peer: None,
        failure_domain: FailureDomainName::new("domain"),
        state: if leaving == Some(index) { HostState::Leaving } else { HostState::Live },
    };
    Event::HostsListed((0..TARGETS).map(host).collect())
}

fn pool(version: u64, drained: &[&str]) -> Event {
    let row = TableFile::parse(TABLES).unwrap().pools.remove(0);
    let drained: BTreeSet<HostName> = drained.iter().map(|name| HostName::new(name)).collect();
    Event::RowReceived(RowChange {
        key: RowKey::Pool(PoolName::new("pool")),
        version: RowVersion(version),
        content: RowContent::Pool(PoolRow { drained, ..row }),
    })
}

fn core() -> RouterCore {
    let mut core = RouterCore::new(HostName::new("router-0"), 7);
    let route = TableFile::parse(TABLES).unwrap().routes.remove(0);
    let route = Event::RowReceived(RowChange {
        key: RowKey::Route(RouteName::new("route")),
        version: RowVersion(1),
        content: RowContent::Route(route),
    });
    for event in [pool(1, &[]), route, hosts(None), Event::TablesComplete] {
        core.on_event(TimePoint(0), event);
    }
    core
}

/// Sends many chats, one after the other, and returns the targets that were used.
fn used_targets(core: &mut RouterCore, now: TimePoint) -> BTreeSet<TargetKey> {
    let mut used = BTreeSet::new();
    for number in 0..REQUESTS {
        let request = RequestKey(number);
        let incoming = IncomingRequest {
            request,
            path: "/".into(),
            account: AccountName::new("counter"),
            chat: Some(ChatName::new(&format!("chat-{number}"))),
            is_first_turn: false,
            placement: None,
            operation: None,
            content_digest: ContentDigest(number),
            prompt_prefix: Bytes::new(),
            estimated_tokens: 1,
            deadline: TimePoint::NEVER,
        };
        for effect in core.on_event(now, Event::Arrived(incoming)) {
            let Effect::Step(_, RequestStep::Send { attempt, target, .. }) = effect else {
                continue;
            };
            used.insert(target);
            core.on_event(
                now,
                Event::AttemptEnded(request, attempt, AttemptOutcome::Completed(None)),
            );
        }
    }
    used
}

fn check_removed(cause: RemovalCause) {
    let mut core = core();
    let now = TimePoint(1_000_000);
    assert_eq!(used_targets(&mut core, now).len(), TARGETS);
    core.on_event(
        now,
        match cause {
            RemovalCause::Drained => pool(2, &["target-1"]),
            RemovalCause::ListedLeaving => hosts(Some(1)),
            RemovalCause::Reported => Event::TargetLeavingReported(TargetKey(1)),
        },
    );
    let used = used_targets(&mut core, now);
    assert_eq!(used.len(), TARGETS - 1);
    assert!(!used.contains(&TargetKey(1)));
}

test_cases! {
    check_removed:
    a_drained_target_gets_no_work(RemovalCause::Drained);
    a_target_listed_as_leaving_gets_no_work(RemovalCause::ListedLeaving);
    a_target_that_reports_leaving_gets_no_work(RemovalCause::Reported);
}

#[test]
fn a_drained_target_that_rejoins_gets_no_work() {
    let mut core = core();
    let now = TimePoint(1_000_000);
    core.on_event(now, pool(2, &["target-1"]));
    core.on_event(now, Event::HostsListed(Vec::new()));
    core.on_event(now, hosts(None));
    let later = TimePoint(60_000_000);
    assert!(!used_targets(&mut core, later).contains(&TargetKey(1)));
}

#[test]
fn the_end_of_a_drain_readmits_the_target() {
    let mut core = core();
    let now = TimePoint(1_000_000);
    core.on_event(now, pool(2, &["target-1"]));
    core.on_event(now, pool(3, &[]));
    assert_eq!(used_targets(&mut core, now).len(), TARGETS);
}
