//! Load shares between routers: the newest counts, stale ones are ignored, and each expires.

use base_types::{HostName, LoadShare, PeerNotice, TargetLoad, TimePoint, test_cases};
use core_router::{Event, HostEntry, HostRole, HostState, RouterCore};
use policy_routing::{SHARE_TTL, stable_hash};

fn host(name: &str) -> HostEntry {
    HostEntry {
        name: HostName::new(name),
        role: HostRole::Target,
        group: "runners".into(),
        address: "127.0.0.1:1".into(),
        peer: None,
        failure_domain: base_types::FailureDomainName::new("a"),
        state: HostState::Live,
    }
}

fn share(router: &str, sequence: u64, in_flight: u32) -> Event {
    let target_hash = stable_hash(b"runner-0");
    let loads = vec![TargetLoad { target_hash, in_flight }];
    Event::NoticeReceived(PeerNotice::Load(LoadShare {
        router: HostName::new(router),
        sequence,
        loads,
    }))
}

/// Applies shares one millisecond apart and checks the load of the other routers after a wait.
fn check_peer_load(shares: &[(&str, u64, u32)], wait_ms: u64, expected: u32) {
    let mut core = RouterCore::new(HostName::new("entry-0"), 1);
    core.on_event(TimePoint(0), Event::HostsListed(vec![host("runner-0")]));
    let mut now = TimePoint(0);
    for (router, sequence, in_flight) in shares {
        now = TimePoint(now.0 + 1000);
        core.on_event(now, share(router, *sequence, *in_flight));
    }
    core.on_event(TimePoint(now.0 + wait_ms * 1000), Event::TimerFired);
    let peer_loads: Vec<u32> = core.targets().map(|record| record.peer_in_flight).collect();
    assert_eq!(peer_loads, [expected]);
}

test_cases! {
    check_peer_load:
    loads_of_two_routers_add_up(&[("entry-1", 1, 3), ("entry-2", 1, 4)], 0, 7);
    a_newer_share_replaces_an_older_one(&[("entry-1", 1, 3), ("entry-1", 2, 1)], 0, 1);
    an_older_share_is_stale(&[("entry-1", 2, 3), ("entry-1", 1, 9)], 0, 3);
    a_repeated_share_is_stale(&[("entry-1", 2, 3), ("entry-1", 2, 9)], 0, 3);
    an_own_share_is_ignored(&[("entry-0", 1, 9)], 0, 0);
    a_share_expires(&[("entry-1", 1, 3)], SHARE_TTL.as_millis() as u64, 0);
    huge_loads_do_not_overflow(&[("entry-1", 1, u32::MAX), ("entry-2", 1, u32::MAX)], 0, u32::MAX);
    a_router_that_restarted_counts_after_expiry(&[("entry-1", 900, 3)], 4000, 0);
}

#[test]
fn the_next_expiry_is_a_deadline_of_the_core() {
    let mut core = RouterCore::new(HostName::new("entry-0"), 1);
    core.on_event(TimePoint(5), share("entry-1", 1, 1));
    assert_eq!(core.next_deadline(), TimePoint(5).after(SHARE_TTL));
}
