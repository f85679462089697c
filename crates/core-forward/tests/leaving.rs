//! An announcement of a target that it leaves counts on all routers.

#[path = "support/fixture.rs"]
mod fixture;

use base_types::{ContentDigest, TargetKey, TimePoint, test_cases};
use core_forward::{DispatchStep, ForwardCore};
use state_config::RetryRule;

use fixture::{call_head, new_router, target_entry, target_index};

const TARGETS: usize = 3;
const CALLS: u64 = 30;
/// The target that leaves.
const LEAVING: usize = 1;

fn seconds(count: u64) -> TimePoint {
    TimePoint(count * 1_000_000)
}

fn new_listed_router(index: u16, incarnation: u64) -> ForwardCore {
    let mut core = new_router(seconds(0), index, incarnation, RetryRule::AtMostOnceStream);
    list_targets(&mut core, seconds(0), 1);
    core
}

fn list_targets(core: &mut ForwardCore, now: TimePoint, incarnation: u64) {
    core.list_targets(now, (0..TARGETS).map(|index| target_entry(index, incarnation)).collect());
}

/// Sends calls, and returns the key of the target that leaves if it got one of them.
fn send_calls(core: &mut ForwardCore, now: TimePoint) -> Option<TargetKey> {
    let mut leaving_key = None;
    for id in 0..CALLS {
        let digest = ContentDigest(u128::from(now.0 + id));
        let call = core.admit(now, call_head(now, id, None), digest).expect("admitted").call;
        let DispatchStep::Send(attempt) = core.dispatch(now, call) else { panic!("refused") };
        if target_index(attempt.address) == LEAVING {
            leaving_key = Some(attempt.target);
        }
        core.finish(call);
    }
    leaving_key
}

/// A router that received an announcement from its target.
fn announced_router() -> ForwardCore {
    let mut core = new_listed_router(0, 1);
    let key = send_calls(&mut core, seconds(1)).expect("a call to the target");
    assert!(core.on_leaving_announced(seconds(1), key).is_some());
    assert!(core.on_leaving_announced(seconds(1), key).is_none(), "announced twice");
    core
}

/// Another router gets the heartbeats from the one with the number `received_from` on; lists arrive
/// with the incarnation `listed`, before or after them.
fn check_shared(received_from: usize, listed_first: bool, listed: u64, gets_calls: bool) {
    let mut sender = announced_router();
    let mut core = new_router(seconds(0), 1, 1, RetryRule::AtMostOnceStream);
    if listed_first {
        list_targets(&mut core, seconds(0), 1);
    }
    for number in 0..8 {
        let heartbeat = sender.next_heartbeat(seconds(2));
        if number >= received_from {
            core.on_heartbeat(seconds(2), heartbeat);
        }
    }
    let heard: Vec<_> = core.take_leaving_heard().iter().map(ToString::to_string).collect();
    assert_eq!(heard, if listed_first { vec!["t1"] } else { Vec::new() });
    list_targets(&mut core, seconds(3), listed);
    assert_eq!(send_calls(&mut core, seconds(3)).is_some(), gets_calls);
}

test_cases! {
    check_shared:
    a_router_learns_of_a_leaving_target_from_another(0, true, 1, false);
    a_router_learns_of_a_leaving_target_when_heartbeats_are_lost(2, true, 1, false);
    a_router_learns_of_a_leaving_target_before_it_is_listed(0, false, 1, false);
    a_shared_leaving_ends_with_another_start_of_the_target(0, true, 2, true);
}

/// A snapshot has no target that leaves, but the list that follows may.
#[test]
fn a_restarted_router_learns_of_a_leaving_target_from_a_snapshot() {
    let core = announced_router();
    let mut restarted = new_router(seconds(4), 1, 2, RetryRule::AtMostOnceStream);
    restarted.restore(seconds(4), core.snapshot(seconds(4)));
    list_targets(&mut restarted, seconds(4), 1);
    assert!(send_calls(&mut restarted, seconds(4)).is_none());
}

/// The announcement outlives a long absence from the list, but not for good.
#[test]
fn a_leaving_target_is_forgotten_long_after_it_was_listed() {
    let mut core = announced_router();
    core.list_targets(seconds(2), vec![target_entry(0, 1)]);
    let mut swept_until = 2;
    for (listed_at, gets_calls) in [(500, false), (1_200, true)] {
        (swept_until..listed_at).for_each(|second| core.sweep(seconds(second)));
        swept_until = listed_at;
        list_targets(&mut core, seconds(listed_at), 1);
        assert_eq!(send_calls(&mut core, seconds(listed_at)).is_some(), gets_calls);
        core.list_targets(seconds(listed_at), vec![target_entry(0, 1)]);
    }
}

/// A peer that announces more targets than are remembered; those listed longest ago are forgotten.
#[test]
fn the_leaving_targets_are_bounded() {
    const REMEMBERED: usize = 10_000;
    let mut core = announced_router();
    let mut heartbeat = new_listed_router(1, 1).next_heartbeat(seconds(2));
    heartbeat.leaving_targets = (0..REMEMBERED as u64).collect();
    core.on_heartbeat(seconds(2), heartbeat);
    assert_eq!(
        core.snapshot(seconds(2)).leaving_targets,
        (0..REMEMBERED as u64).collect::<Vec<_>>()
    );
    assert!(send_calls(&mut core, seconds(3)).is_none(), "a listed target keeps its announcement");
}
