//! Targets that fall over when they reject too many calls in a second are not sent calls that they
//! would reject, and their pool keeps serving what it can.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/fragile_sim.rs"]
mod fragile_sim;
#[path = "support/heartbeats.rs"]
mod heartbeats;

use std::time::Duration;

use base_types::test_cases;

use fragile_sim::{FragilePlan, FragileRecord, FragileSim, SHRUNK_AT};
use heartbeats::HeartbeatPlan;

/// Least part of what the targets can do that is served while they are overloaded.
const SERVED_SHARE_MIN: f64 = 0.8;

/// Falls that are allowed in the time in which targets are fragile.
fn falls_max(targets: usize) -> usize {
    2 + targets / 10
}

/// Few targets fall over, and the pool serves most of what it can.
fn check_fragile(plan: FragilePlan) {
    let records =
        (1..=plan.seeds).map(|seed| (seed, FragileSim::play(plan, seed))).collect::<Vec<_>>();
    records.iter().for_each(|(seed, record)| println!("{}", summary(&plan, *seed, record)));
    for (seed, record) in records {
        let falls = record.falls.iter().filter(|(at, _)| SHRUNK_AT.passed(*at)).count();
        let allowed = falls_max(plan.targets);
        assert!(falls <= allowed, "seed {seed}: {falls} falls, {allowed} allowed");
        let share = record.served_share(&plan);
        let share_min = SERVED_SHARE_MIN * plan.load.min(1.0);
        assert!(share >= share_min, "seed {seed}: served {share:.2} of what targets can do");
        for (refused_at, retry_at) in &record.refused {
            assert!(retry_at > refused_at, "seed {seed}: a caller may return at once");
        }
    }
}

fn summary(plan: &FragilePlan, seed: u64, record: &FragileRecord) -> String {
    format!(
        "seed {seed}: {} falls and {} others from {:?}, {} rejections, {} refused, served {:.2}, \
         {:.1} messages a call",
        record.falls.len(),
        record.other_falls,
        record.falls.first().map(|(at, _)| at.0 / 1_000),
        record.rejections,
        record.refused.len(),
        record.served_share(plan),
        record.messages as f64 / record.calls as f64
    )
}

const PLAN: FragilePlan = FragilePlan {
    routers: 7,
    targets: 7,
    slots: 4,
    waiting: 2,
    bearable: Some(8),
    service_time: Duration::from_millis(150),
    load: 1.5,
    heartbeats: HeartbeatPlan { steps_per_heartbeat: 100, lost_share: 0.02 },
    restarted_share: 0.0,
    seeds: 3,
};

const LARGE_FLEET: FragilePlan = FragilePlan {
    routers: 67,
    slots: 6,
    service_time: Duration::from_millis(60),
    heartbeats: HeartbeatPlan { steps_per_heartbeat: 500, ..PLAN.heartbeats },
    ..PLAN
};

test_cases! {
    check_fragile:
    fragile_targets_do_not_fall_over_under_rejections(PLAN);
    fragile_targets_bear_a_small_overload(FragilePlan { load: 1.15, ..PLAN });
    a_single_fragile_target_bears_overload(FragilePlan { targets: 1, ..PLAN });
    a_single_router_spares_fragile_targets(FragilePlan { routers: 1, ..PLAN });
    a_large_fleet_spares_fragile_targets(LARGE_FLEET);
    a_large_fleet_spares_many_fragile_targets(FragilePlan { targets: 112, slots: 2, service_time: Duration::from_millis(300), seeds: 1, ..LARGE_FLEET });
    fragile_targets_that_let_no_call_wait_are_spared(FragilePlan { waiting: 0, ..PLAN });
    fragile_targets_that_bear_few_rejections_are_spared(FragilePlan { bearable: Some(2), ..PLAN });
    fragile_targets_are_spared_when_routers_restart(FragilePlan { restarted_share: 0.6, ..LARGE_FLEET });
    fragile_targets_are_spared_when_all_routers_restart(FragilePlan { restarted_share: 1.0, ..PLAN });
    fragile_targets_are_spared_when_messages_are_lost(FragilePlan { heartbeats: HeartbeatPlan { lost_share: 0.2, ..PLAN.heartbeats }, ..PLAN });
    targets_that_are_not_fragile_keep_their_queues(FragilePlan { bearable: None, load: 0.9, ..PLAN });
}
