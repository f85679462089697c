//! Membership and gossip of a simulated fleet in virtual time, under faults and over many seeds.

#[path = "membership/fleet.rs"]
mod fleet;

use std::time::Duration;

use base_types::{TimePoint, test_cases};
use core_peers::PeerEvent;
use state_membership::MemberState;

use crate::fleet::SimulatedFleet;

/// Time within which every router detects a kill.
const DETECTION_LIMIT: Duration = Duration::from_secs(3);
/// Time after which entry answers name no router on the other side of a partition.
const PARTITION_DETECTION_LIMIT: Duration = Duration::from_secs(60);
const NO_OBSERVERS: [usize; 0] = [];
const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Time within which an accepted row is in force on every router, after any single fault.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(7);

fn started_fleet(seed: u64, size: usize) -> SimulatedFleet {
    started_fleet_in_domains(seed, size, if size > 100 { 11 } else { 4 })
}

fn started_fleet_in_domains(seed: u64, size: usize, domains: usize) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(seed, size, domains);
    fleet.start_all();
    fleet.run_for(SETTLE_TIME);
    assert_eq!(fleet.misjudged_members(), [], "after the start");
    fleet
}

fn check_kill(seed: u64, size: usize) {
    let mut fleet = started_fleet(seed, size);
    let victim = seed as usize % size;
    fleet.kill(victim);
    fleet.run_for(DETECTION_LIMIT);
    assert_eq!(
        fleet.observers_disagreeing(victim, MemberState::Failed),
        NO_OBSERVERS,
        "3 s after the kill"
    );
    let caller_address = fleet.routers[victim].row.caller_address.clone();
    for (_, core) in fleet.live_cores() {
        assert!(
            core.entry_routers(seed).iter().all(|entry| entry.row.caller_address != caller_address)
        );
    }
    assert_eq!(fleet.misjudged_members(), []);
    fleet.start(victim);
    fleet.run_for(SETTLE_TIME);
    assert_eq!(fleet.misjudged_members(), [], "after the restart");
}

test_cases! {
    check_kill:
    a_kill_is_detected_by_all_7(1, 7);
    a_kill_is_detected_by_all_14(2, 14);
    a_kill_is_detected_by_all_28(3, 28);
    a_kill_is_detected_by_all_56(4, 56);
    a_kill_is_detected_by_all_300(5, 300);
}

/// Blocks a fraction of all pairs in one direction. Returns the longest time for which some live
/// member was not seen alive by another, in steps of 100 ms.
fn longest_misjudgement_under_cuts(mut fleet: SimulatedFleet, fraction: f64) -> u32 {
    fleet.start_all();
    fleet.run_for(SETTLE_TIME);
    fleet.block_random_pairs(fraction);
    let mut longest_steps = 0;
    let mut current_steps = 0;
    for _ in 0..300 {
        fleet.run_for(Duration::from_millis(100));
        current_steps = if fleet.misjudged_members().is_empty() { 0 } else { current_steps + 1 };
        longest_steps = longest_steps.max(current_steps);
    }
    longest_steps
}

/// A false suspicion does not last: no live member counts as failed for more than 3 s.
fn check_cuts(seed: u64, size: usize) {
    let longest_steps = longest_misjudgement_under_cuts(SimulatedFleet::new(seed, size, 4), 0.05);
    assert!(longest_steps <= 30, "a live member was misjudged for {longest_steps} steps of 100 ms");
}

test_cases! {
    check_cuts:
    one_way_cuts_cause_no_lasting_failure_at_7(11, 7);
    one_way_cuts_cause_no_lasting_failure_at_14(12, 14);
    one_way_cuts_cause_no_lasting_failure_at_28(13, 28);
    one_way_cuts_cause_no_lasting_failure_at_56(14, 56);
    one_way_cuts_cause_no_lasting_failure_at_120(15, 120);
}

/// The check above detects a fleet that declares a failure at the report of a single router.
#[test]
fn one_way_cuts_detect_the_single_reporter_rule() {
    let is_caught = (0..5).any(|seed| {
        let default_rule_steps =
            longest_misjudgement_under_cuts(SimulatedFleet::new(seed, 28, 4), 0.05);
        longest_misjudgement_under_cuts(
            SimulatedFleet::new(seed, 28, 4).with_single_reporter_rule(),
            0.05,
        ) > default_rule_steps
    });
    assert!(is_caught);
}

fn check_partition(seed: u64, size: usize) {
    let mut fleet = started_fleet(seed, size);
    fleet.partition(|index| index % 4 == 0);
    fleet.run_for(PARTITION_DETECTION_LIMIT);
    for (index, core) in fleet.live_cores() {
        let entries = core.entry_routers(seed);
        let crosses = |caller_address: &str| {
            let peer = fleet
                .routers
                .iter()
                .position(|router| &*router.row.caller_address == caller_address);
            peer.is_some_and(|peer| (peer % 4 == 0) != (index % 4 == 0))
        };
        assert!(
            entries.iter().all(|entry| !crosses(&entry.row.caller_address)),
            "entry answers do not cross the partition"
        );
    }
    fleet.blocked_pairs.clear();
    fleet.run_for(Duration::from_secs(30));
    assert_eq!(fleet.misjudged_members(), [], "after healing");
}

test_cases! {
    check_partition:
    a_partition_is_detected_and_heals_at_7(21, 7);
    a_partition_is_detected_and_heals_at_28(22, 28);
    a_partition_is_detected_and_heals_at_120(23, 120);
}

fn check_freeze(seed: u64, size: usize) {
    let mut fleet = started_fleet(seed, size);
    fleet.routers[1].is_frozen = true;
    fleet.run_for(DETECTION_LIMIT);
    assert_eq!(fleet.observers_disagreeing(1, MemberState::Failed), NO_OBSERVERS, "while frozen");
    fleet.run_for(Duration::from_secs(5));
    fleet.routers[1].is_frozen = false;
    for _ in 0..30 {
        fleet.run_for(Duration::from_millis(100));
        let others = fleet.misjudged_members().into_iter().filter(|(subject, _)| *subject != 1);
        assert_eq!(others.count(), 0, "the resumed router declares nobody failed");
    }
    fleet.run_for(SETTLE_TIME);
    assert_eq!(fleet.misjudged_members(), [], "after the freeze");
}

test_cases! {
    check_freeze:
    a_freeze_is_detected_and_refuted_at_7(31, 7);
    a_freeze_is_detected_and_refuted_at_56(32, 56);
}

fn check_restarts(seed: u64, size: usize) {
    let mut fleet = started_fleet(seed, size);
    for index in 0..size {
        fleet.kill(index);
    }
    fleet.run_for(Duration::from_secs(2));
    fleet.start_all();
    fleet.run_for(SETTLE_TIME);
    assert_eq!(fleet.misjudged_members(), [], "after all restarted at once");
    for index in 0..size {
        fleet.kill(index);
        fleet.run_for(Duration::from_millis(300));
        fleet.start(index);
    }
    fleet.run_for(SETTLE_TIME);
    assert_eq!(fleet.misjudged_members(), [], "after a rolling restart");
}

test_cases! {
    check_restarts:
    restarts_converge_at_7(41, 7);
    restarts_converge_at_28(42, 28);
    restarts_converge_at_120(43, 120);
}

fn check_leaving(seed: u64, size: usize) {
    let mut fleet = started_fleet(seed, size);
    fleet.queue_event(2, PeerEvent::DrainStarted);
    fleet.run_for(DETECTION_LIMIT);
    assert_eq!(fleet.observers_disagreeing(2, MemberState::Leaving), NO_OBSERVERS);
    let caller_address = fleet.routers[2].row.caller_address.clone();
    for (_, core) in fleet.live_cores() {
        assert!(
            core.entry_routers(seed).iter().all(|entry| entry.row.caller_address != caller_address)
        );
    }
    fleet.queue_event(2, PeerEvent::StopRequested);
    fleet.run_for(Duration::from_millis(50));
    fleet.kill(2);
    fleet.run_for(DETECTION_LIMIT);
    assert_eq!(fleet.observers_disagreeing(2, MemberState::Left), NO_OBSERVERS);
}

test_cases! {
    check_leaving:
    a_leaving_router_is_offered_to_no_caller_at_7(51, 7);
    a_leaving_router_is_offered_to_no_caller_at_56(52, 56);
}

/// Rows are in force within the limit under loss and restarts. The simulation asserts that no row
/// returns to an older version.
fn check_rows(seed: u64, size: usize) {
    let mut fleet = started_fleet(seed, size);
    fleet.loss_rate = 0.05;
    for change in 0..20 {
        let (key, version) = fleet.write_row(&format!("route-{}", change % 5));
        if change % 4 == 3 {
            let victim = change % size;
            fleet.kill(victim);
            fleet.run_for(Duration::from_secs(1));
            fleet.start(victim);
        }
        fleet.run_for(PROPAGATION_LIMIT);
        for (index, _) in fleet.live_cores() {
            assert_eq!(
                fleet.routers[index].row_versions.get(&key),
                Some(&version),
                "router {index}"
            );
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
    let mut fleet = started_fleet(seed, size);
    let (key, version) = fleet.write_row("kept");
    fleet.run_for(PROPAGATION_LIMIT);
    fleet.platform_is_up = false;
    fleet.kill(3);
    fleet.run_for(Duration::from_secs(10));
    fleet.start(3);
    fleet.run_for(Duration::from_millis(10));
    assert_eq!(
        fleet.routers[3].all_rows_received_events, 0,
        "no tables before the first frame of a peer"
    );
    fleet.run_for(PROPAGATION_LIMIT);
    assert_eq!(fleet.routers[3].all_rows_received_events, 1);
    assert_eq!(fleet.routers[3].row_versions.get(&key), Some(&version));
    assert_eq!(fleet.routers[3].host_count, size);
    let now = fleet.now;
    assert!(
        fleet.routers.iter().all(|router| !router.trusted_until.passed(now)),
        "contact with peers extends the trusted time"
    );
    fleet.partition(|index| index == 3);
    fleet.run_for(PROPAGATION_LIMIT + Duration::from_millis(100));
    assert!(fleet.routers[3].trusted_until.passed(fleet.now), "isolated");
    assert!(!fleet.routers[4].trusted_until.passed(fleet.now));
}

test_cases! {
    check_platform_out:
    tables_are_read_from_peers_at_7(71, 7);
    tables_are_read_from_peers_at_56(72, 56);
}

/// Reads of the platform per second in an idle fleet.
fn platform_reads_per_second(size: usize) -> f64 {
    let mut fleet = started_fleet_in_domains(81, size, 4);
    let before: u64 = fleet.routers.iter().map(|router| router.platform_reads).sum();
    let start: TimePoint = fleet.now;
    fleet.run_for(Duration::from_secs(20));
    let after: u64 = fleet.routers.iter().map(|router| router.platform_reads).sum();
    (after - before) as f64 / fleet.now.since(start).as_secs_f64()
}

#[test]
fn platform_reads_do_not_grow_with_the_number_of_routers() {
    let few = platform_reads_per_second(8);
    let many = platform_reads_per_second(128);
    assert!(many <= few * 1.1, "{few} at 8 and {many} at 128");
}
