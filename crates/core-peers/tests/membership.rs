//! Membership and spreading in virtual time, under faults, over many seeds.

#[path = "membership/fleet.rs"]
mod fleet;

use std::time::Duration;

use base_types::{TimePoint, test_cases};
use core_peers::PeerEvent;
use state_membership::MemberState;

use crate::fleet::Fleet;

/// Within this time a kill is known everywhere.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Within this time callers are named nobody across a partition.
const PARTITION_KNOWN_WITHIN: Duration = Duration::from_secs(60);
const NOBODY: [usize; 0] = [];
const SETTLE: Duration = Duration::from_secs(15);
/// Within this time an accepted row is in force everywhere, after any single fault.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(7);

fn settled(seed: u64, size: usize) -> Fleet {
    settled_in(seed, size, if size > 100 { 11 } else { 4 })
}

fn settled_in(seed: u64, size: usize, domains: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, size, domains);
    fleet.start_all();
    fleet.run(SETTLE);
    assert_eq!(fleet.doubted(), [], "after the start");
    fleet
}

fn check_kill(seed: u64, size: usize) {
    let mut fleet = settled(seed, size);
    let victim = seed as usize % size;
    fleet.kill(victim);
    fleet.run(KNOWN_WITHIN);
    assert_eq!(fleet.disagreeing(victim, MemberState::Failed), NOBODY, "3 s after the kill");
    let caller = fleet.nodes[victim].row.caller.clone();
    for (_, core) in fleet.live() {
        assert!(core.entries(seed).iter().all(|entry| entry.row.caller != caller));
    }
    assert_eq!(fleet.doubted(), []);
    fleet.start(victim);
    fleet.run(SETTLE);
    assert_eq!(fleet.doubted(), [], "after the restart");
}

test_cases! {
    check_kill:
    a_kill_is_known_to_7(1, 7);
    a_kill_is_known_to_14(2, 14);
    a_kill_is_known_to_28(3, 28);
    a_kill_is_known_to_56(4, 56);
    a_kill_is_known_to_300(5, 300);
}

/// Cuts a share of all pairs one way; returns what stood against live members at the end, and
/// the longest time for which any accusation stood, in steps of 100 ms.
fn stand_under_cuts(mut fleet: Fleet, share: f64) -> u32 {
    fleet.start_all();
    fleet.run(SETTLE);
    fleet.cut_some(share);
    let mut longest = 0;
    let mut lasting = 0;
    for _ in 0..300 {
        fleet.run(Duration::from_millis(100));
        lasting = if fleet.doubted().is_empty() { 0 } else { lasting + 1 };
        longest = longest.max(lasting);
    }
    longest
}

/// A false accusation does not stand: nobody is held to have failed for more than 3 s.
fn check_cuts(seed: u64, size: usize) {
    let longest = stand_under_cuts(Fleet::new(seed, size, 4), 0.05);
    assert!(longest <= 30, "stood for {longest} steps of 100 ms");
}

test_cases! {
    check_cuts:
    one_way_cuts_do_not_stand_at_7(11, 7);
    one_way_cuts_do_not_stand_at_14(12, 14);
    one_way_cuts_do_not_stand_at_28(13, 28);
    one_way_cuts_do_not_stand_at_56(14, 56);
    one_way_cuts_do_not_stand_at_120(15, 120);
}

/// The proof above catches the variant that believes a single accuser.
#[test]
fn the_credulous_variant_lets_false_accusations_stand() {
    let caught = (0..5).any(|seed| {
        let honest = stand_under_cuts(Fleet::new(seed, 28, 4), 0.05);
        stand_under_cuts(Fleet::new(seed, 28, 4).credulous(), 0.05) > honest
    });
    assert!(caught);
}

fn check_partition(seed: u64, size: usize) {
    let mut fleet = settled(seed, size);
    fleet.partition(|index| index % 4 == 0);
    fleet.run(PARTITION_KNOWN_WITHIN);
    for (index, core) in fleet.live() {
        let entries = core.entries(seed);
        let crosses = |caller: &str| {
            let peer = fleet.nodes.iter().position(|node| &*node.row.caller == caller);
            peer.is_some_and(|peer| (peer % 4 == 0) != (index % 4 == 0))
        };
        assert!(entries.iter().all(|entry| !crosses(&entry.row.caller)), "across the cut");
    }
    fleet.cuts.clear();
    fleet.run(Duration::from_secs(30));
    assert_eq!(fleet.doubted(), [], "after healing");
}

test_cases! {
    check_partition:
    a_partition_is_seen_and_heals_at_7(21, 7);
    a_partition_is_seen_and_heals_at_28(22, 28);
    a_partition_is_seen_and_heals_at_120(23, 120);
}

fn check_freeze(seed: u64, size: usize) {
    let mut fleet = settled(seed, size);
    fleet.nodes[1].frozen = true;
    fleet.run(KNOWN_WITHIN);
    assert_eq!(fleet.disagreeing(1, MemberState::Failed), NOBODY, "while frozen");
    fleet.run(Duration::from_secs(5));
    fleet.nodes[1].frozen = false;
    for _ in 0..30 {
        fleet.run(Duration::from_millis(100));
        let others = fleet.doubted().into_iter().filter(|(subject, _)| *subject != 1);
        assert_eq!(others.count(), 0, "the woken router accuses nobody");
    }
    fleet.run(SETTLE);
    assert_eq!(fleet.doubted(), [], "after waking");
}

test_cases! {
    check_freeze:
    a_freeze_is_seen_and_refuted_at_7(31, 7);
    a_freeze_is_seen_and_refuted_at_56(32, 56);
}

fn check_restarts(seed: u64, size: usize) {
    let mut fleet = settled(seed, size);
    for index in 0..size {
        fleet.kill(index);
    }
    fleet.run(Duration::from_secs(2));
    fleet.start_all();
    fleet.run(SETTLE);
    assert_eq!(fleet.doubted(), [], "after all restarted at once");
    for index in 0..size {
        fleet.kill(index);
        fleet.run(Duration::from_millis(300));
        fleet.start(index);
    }
    fleet.run(SETTLE);
    assert_eq!(fleet.doubted(), [], "after a rolling restart");
}

test_cases! {
    check_restarts:
    restarts_converge_at_7(41, 7);
    restarts_converge_at_28(42, 28);
    restarts_converge_at_120(43, 120);
}

fn check_leaving(seed: u64, size: usize) {
    let mut fleet = settled(seed, size);
    fleet.post(2, PeerEvent::LeaveAsked);
    fleet.run(KNOWN_WITHIN);
    assert_eq!(fleet.disagreeing(2, MemberState::Leaving), NOBODY);
    let caller = fleet.nodes[2].row.caller.clone();
    for (_, core) in fleet.live() {
        assert!(core.entries(seed).iter().all(|entry| entry.row.caller != caller));
    }
    fleet.post(2, PeerEvent::GoneAsked);
    fleet.run(Duration::from_millis(50));
    fleet.kill(2);
    fleet.run(KNOWN_WITHIN);
    assert_eq!(fleet.disagreeing(2, MemberState::Left), NOBODY);
}

test_cases! {
    check_leaving:
    a_leaving_router_is_named_to_nobody_at_7(51, 7);
    a_leaving_router_is_named_to_nobody_at_56(52, 56);
}

/// Rows are in force within the bound under loss and churn, and never go back.
fn check_rows(seed: u64, size: usize) {
    let mut fleet = settled(seed, size);
    fleet.loss = 0.05;
    for change in 0..20 {
        let (key, version) = fleet.write_row(&format!("route-{}", change % 5));
        if change % 4 == 3 {
            let victim = change % size;
            fleet.kill(victim);
            fleet.run(Duration::from_secs(1));
            fleet.start(victim);
        }
        fleet.run(IN_FORCE_WITHIN);
        for (index, _) in fleet.live() {
            assert_eq!(fleet.nodes[index].rows.get(&key), Some(&version), "router {index}");
        }
    }
}

test_cases! {
    check_rows:
    rows_are_in_force_in_time_at_7(61, 7);
    rows_are_in_force_in_time_at_28(62, 28);
    rows_are_in_force_in_time_at_120(63, 120);
}

fn check_platform_out(seed: u64, size: usize) {
    let mut fleet = settled(seed, size);
    let (key, version) = fleet.write_row("kept");
    fleet.run(IN_FORCE_WITHIN);
    fleet.platform_up = false;
    fleet.kill(3);
    fleet.run(Duration::from_secs(10));
    fleet.start(3);
    fleet.run(Duration::from_millis(10));
    assert_eq!(fleet.nodes[3].completes, 0, "no tables before a peer was heard");
    fleet.run(IN_FORCE_WITHIN);
    assert_eq!(fleet.nodes[3].completes, 1);
    assert_eq!(fleet.nodes[3].rows.get(&key), Some(&version));
    assert_eq!(fleet.nodes[3].hosts, size);
    let now = fleet.now;
    assert!(fleet.nodes.iter().all(|node| !node.trusted_until.passed(now)), "peers are heard");
    fleet.partition(|index| index == 3);
    fleet.run(IN_FORCE_WITHIN + Duration::from_millis(100));
    assert!(fleet.nodes[3].trusted_until.passed(fleet.now), "isolated");
    assert!(!fleet.nodes[4].trusted_until.passed(fleet.now));
}

test_cases! {
    check_platform_out:
    tables_come_from_peers_at_7(71, 7);
    tables_come_from_peers_at_56(72, 56);
}

/// Reads of the platform a second while nothing happens.
fn reads_a_second(size: usize) -> f64 {
    let mut fleet = settled_in(81, size, 4);
    let before: u64 = fleet.nodes.iter().map(|node| node.reads).sum();
    let start: TimePoint = fleet.now;
    fleet.run(Duration::from_secs(20));
    let after: u64 = fleet.nodes.iter().map(|node| node.reads).sum();
    (after - before) as f64 / fleet.now.since(start).as_secs_f64()
}

#[test]
fn reads_of_the_platform_are_flat_in_the_number_of_routers() {
    let few = reads_a_second(8);
    let many = reads_a_second(128);
    assert!(many <= few * 1.1, "{few} at 8 and {many} at 128");
}
