//! Routers of a fleet find out together which content crashes targets, and refuse nothing else.

#[path = "support/fixture.rs"]
mod fixture;

mod crashes {
    pub(crate) mod fleet;
}

use std::time::Duration;

use base_types::{ContentDigest, ContentKey, NotRunCode, Refusal, TimePoint, test_cases};
use core_forward::{BlockNotice, DispatchStep};
use crashes::fleet::{CrashingContent, FleetPlan, FleetRecord, play};
use state_config::RetryRule;

/// Time after the last crash by which content must be known, from which calls with it count as late.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const LATE_SENDS_MAX: usize = 3;

/// Content crashes each target; few calls with it are sent later than [`STABLE_WINDOW`] after a number of
/// crashes, and sound calls are still sent.
fn check_crashing_content(plan: FleetPlan, known_after: usize) {
    for seed in 0..10 {
        let record = play(plan, seed);
        let known_at = record.crashes.get(known_after - 1).copied().unwrap_or(TimePoint::NEVER);
        let late_from = known_at.after(STABLE_WINDOW);
        let late = record.crashing_sends.iter().filter(|at| **at > late_from).count();
        assert!(late <= LATE_SENDS_MAX, "seed {seed}: {late} late calls: {record:?}");
        assert!(record.crashes.len() < 20, "seed {seed}: {} crashes", record.crashes.len());
        check_sound_calls(seed, &record);
    }
}

/// A segment is known after five crashes.
fn check_crashing_segment(plan: FleetPlan) {
    check_crashing_content(plan, 5);
}

/// A call that comes back again and again is known after three crashes.
fn check_crashing_call(plan: FleetPlan) {
    check_crashing_content(plan, 3);
}

/// A router that starts from the snapshot of another one, which has just learned of blocked content,
/// refuses this content before its first heartbeat.
#[test]
fn a_starting_router_refuses_blocked_content() {
    let now = TimePoint(0);
    let router = |index| fixture::new_router(now, index, 1, RetryRule::AtMostOnceStream);
    let [mut reporter, mut running, mut starting] = [0, 1, 2].map(router);
    starting.list_targets(now, vec![fixture::target_entry(0, 1)]);
    let mut heartbeat = reporter.next_heartbeat(now);
    let digest = ContentDigest(7);
    let key = ContentKey::of_request(digest);
    heartbeat.content.blocks.push(BlockNotice { key, trial_in_ms: 60_000, trials: 0 });
    running.on_heartbeat(now, heartbeat);
    starting.restore(now, running.snapshot(now));
    let call =
        starting.admit(now, fixture::call_head(now, 1, None), digest).expect("admitted").call;
    let step = starting.dispatch(now, call);
    let is_refused =
        matches!(step, DispatchStep::Refuse(Refusal::NotRun(NotRunCode::ContentSuspect, _)));
    assert!(is_refused, "{step:?}");
}

/// Targets crash for reasons of their own; no sound content stays blocked.
fn check_other_crashes(plan: FleetPlan) {
    for seed in 0..10 {
        let record = play(plan, seed);
        assert!(record.crashes.len() > 5, "seed {seed}: {} crashes", record.crashes.len());
        check_sound_calls(seed, &record);
    }
}

fn check_sound_calls(seed: u64, record: &FleetRecord) {
    let refused = record.sound_refused as f64 / record.sound_calls as f64;
    assert!(refused < 0.01, "seed {seed}: {refused:.3} of sound calls refused for their content");
}

const PLAN: FleetPlan = FleetPlan {
    content: CrashingContent::Segment,
    routers: 7,
    targets: 9,
    calls_per_s: 60,
    crashing_per_s: 6.0,
    lost_heartbeats: 0.02,
    restart_at_s: None,
    random_crashes_per_s: 0.0,
    crashes_at_once: 1,
};

test_cases! {
    check_crashing_segment:
    a_frequent_crashing_segment_is_refused(PLAN);
    a_rare_crashing_segment_is_refused(FleetPlan { crashing_per_s: 0.7, ..PLAN });
    a_crashing_segment_is_refused_by_a_single_router(FleetPlan { routers: 1, ..PLAN });
    a_crashing_segment_is_refused_by_many_routers(FleetPlan { routers: 24, targets: 24, calls_per_s: 100, ..PLAN });
    a_restarted_router_learns_of_a_crashing_segment(FleetPlan { restart_at_s: Some(8), ..PLAN });
    a_crashing_segment_is_refused_when_heartbeats_are_lost(FleetPlan { lost_heartbeats: 0.3, ..PLAN });
    a_crashing_segment_is_refused_amid_other_crashes(FleetPlan { random_crashes_per_s: 0.2, ..PLAN });
}

const CALL_PLAN: FleetPlan = FleetPlan {
    content: CrashingContent::EntireCall,
    targets: 4,
    calls_per_s: 30,
    crashing_per_s: 2.0,
    ..PLAN
};

test_cases! {
    check_crashing_call:
    a_crashing_call_is_refused(CALL_PLAN);
    a_rare_crashing_call_is_refused(FleetPlan { crashing_per_s: 0.4, ..CALL_PLAN });
    a_frequent_crashing_call_is_refused(FleetPlan { crashing_per_s: 10.0, ..CALL_PLAN });
    a_crashing_call_is_refused_by_a_single_router(FleetPlan { routers: 1, ..CALL_PLAN });
    a_crashing_call_is_refused_before_many_targets(FleetPlan { targets: 12, ..CALL_PLAN });
    a_restarted_router_learns_of_a_crashing_call(FleetPlan { restart_at_s: Some(8), ..CALL_PLAN });
    a_crashing_call_is_refused_when_heartbeats_are_lost(FleetPlan { lost_heartbeats: 0.3, ..CALL_PLAN });
}

test_cases! {
    check_other_crashes:
    crashes_of_all_targets_at_once_block_no_sound_call(FleetPlan { crashing_per_s: 0.0, random_crashes_per_s: 0.4, crashes_at_once: 4, ..CALL_PLAN });
    single_crashes_block_no_sound_content(FleetPlan { crashing_per_s: 0.0, random_crashes_per_s: 0.5, ..PLAN });
    crashes_of_many_targets_at_once_block_no_sound_content(FleetPlan { crashing_per_s: 0.0, random_crashes_per_s: 0.2, crashes_at_once: 6, ..PLAN });
    crashes_of_all_targets_at_once_block_no_sound_content(FleetPlan { crashing_per_s: 0.0, random_crashes_per_s: 0.15, crashes_at_once: 9, ..PLAN });
}
