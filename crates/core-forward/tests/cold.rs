//! A cold target gets no more calls in any second than it bears, from all routers together, whatever they know of each
//! other; callers are served by what the targets take, and the others are told when to return.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/heartbeats.rs"]
mod heartbeats;

use std::{collections::BTreeMap, time::Duration};

use base_types::{ContentDigest, HostName, Refusal, TimePoint, test_cases};
use core_forward::{
    AttemptOutcome, ChangeOrder, DispatchStep, ForwardBounds, ForwardCore, TargetEntry,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use state_config::{ColdRule, RetryRule};

use fixture::{BOUNDS, call_head, config, router_entry, target_entry, target_index};
use heartbeats::HeartbeatPlan;

const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_SECOND: u64 = 100;
/// Calls per second that a cold target takes, and the most in any one second by `BOUNDS`.
const COLD_RATE: u32 = 14;
const COLD_PEAK: usize = 26;
const COLD_SECONDS: u64 = 4;
const CALL_TIME: Duration = Duration::from_millis(400);

#[derive(Debug, Clone, Copy)]
struct ColdPlan {
    routers: u16,
    warm: usize,
    cold: usize,
    calls_per_s: f64,
    heartbeats: HeartbeatPlan,
    /// Whether half of the routers are replaced by new ones one second after the targets became cold.
    restarts: bool,
    /// Whether only the first router reads from the platform that the targets are cold.
    one_reader: bool,
    /// Share of the calls that must be sent.
    served_min: f64,
}

#[derive(Debug)]
struct ColdSim {
    plan: ColdPlan,
    random: StdRng,
    routers: Vec<ForwardCore>,
    /// When a router finishes a call.
    ends: BTreeMap<(TimePoint, u64), (usize, core_forward::CallKey)>,
    sends: BTreeMap<usize, Vec<TimePoint>>,
    refused_without_return: usize,
    calls: u64,
}

impl ColdSim {
    fn new(plan: ColdPlan, seed: u64) -> Self {
        let mut sim = Self {
            plan,
            random: StdRng::seed_from_u64(seed),
            routers: Vec::new(),
            ends: BTreeMap::new(),
            sends: BTreeMap::new(),
            refused_without_return: 0,
            calls: 0,
        };
        sim.routers = (0..plan.routers).map(|index| sim.new_router(index, 1)).collect();
        let warm = sim.entries(0..plan.warm);
        sim.routers.iter_mut().for_each(|core| core.list_targets(TimePoint(0), warm.clone()));
        sim
    }

    fn entries(&self, indexes: std::ops::Range<usize>) -> Vec<TargetEntry> {
        indexes.map(|index| target_entry(index, 1)).collect()
    }

    fn new_router(&self, index: u16, incarnation: u64) -> ForwardCore {
        self.new_router_with(index, incarnation, BOUNDS)
    }

    fn new_router_with(&self, index: u16, incarnation: u64, bounds: ForwardBounds) -> ForwardCore {
        let mut core = ForwardCore::new(router_entry(index, incarnation), bounds);
        let mut config = config(RetryRule::Idempotent, 1);
        let time = Duration::from_secs(COLD_SECONDS);
        let rule = ColdRule { rate: COLD_RATE * 1_000, time };
        config.pools.values_mut().for_each(|pool| pool.cold = Some(rule));
        core.adopt_config(TimePoint(0), config);
        core.restore_record(TimePoint(0), None, true);
        core.list_routers((0..self.plan.routers).map(|other| router_entry(other, 1)).collect());
        core
    }

    fn run(&mut self) {
        let cold_at = 2 * STEPS_PER_SECOND;
        for step in 0..(2 + COLD_SECONDS) * STEPS_PER_SECOND {
            let now = TimePoint(step * STEP.as_micros() as u64);
            if step == cold_at {
                self.list_cold(now);
            }
            if step == cold_at + STEPS_PER_SECOND && self.plan.restarts {
                self.restart_half(now);
            }
            while self.ends.first_key_value().is_some_and(|((at, _), _)| at.passed(now)) {
                let Some((_, (router, call))) = self.ends.pop_first() else { break };
                self.routers[router].on_attempt_finished(now, call, AttemptOutcome::Completed);
                self.routers[router].finish(call);
            }
            self.plan.heartbeats.exchange(now, step, &mut self.routers, &mut self.random);
            let calls = self.plan.calls_per_s / STEPS_PER_SECOND as f64;
            let count = calls as u64 + u64::from(self.random.random_bool(calls.fract()));
            for _ in 0..count {
                self.send(now);
            }
        }
    }

    fn list_cold(&mut self, now: TimePoint) {
        let entries = self.entries(0..self.plan.warm + self.plan.cold);
        let until = now.after(Duration::from_secs(COLD_SECONDS));
        let cold_names = entries[self.plan.warm..].iter().map(|entry| entry.name.clone());
        let cold: Vec<(HostName, TimePoint)> = cold_names.map(|name| (name, until)).collect();
        for (index, core) in self.routers.iter_mut().enumerate() {
            core.on_targets_listed(now, 9, entries.iter().map(|e| (9, e.clone())).collect());
            if index == 0 || !self.plan.one_reader {
                core.on_cold_listed(now, 9, &cold);
            }
        }
    }

    fn restart_half(&mut self, now: TimePoint) {
        let snapshot = self.routers[0].snapshot(now);
        for index in (1..self.routers.len()).step_by(2) {
            self.ends.retain(|_, (router, _)| *router != index);
            self.routers[index] = self.new_router(index as u16, 2);
            self.routers[index].restore(now, snapshot.clone());
        }
    }

    fn send(&mut self, now: TimePoint) {
        let router = self.random.random_range(0..self.routers.len());
        self.calls += 1;
        let core = &mut self.routers[router];
        let head = call_head(now, self.calls, None);
        let digest = ContentDigest(u128::from(self.calls));
        let call = core.admit(now, head, digest).expect("admitted").call;
        match core.dispatch(now, call) {
            DispatchStep::Send(attempt) => {
                let index = target_index(attempt.address);
                self.sends.entry(index).or_default().push(now);
                self.ends.insert((now.after(CALL_TIME), self.calls), (router, call));
            }
            DispatchStep::Refuse(Refusal::NotRun(_, return_at)) => {
                self.refused_without_return += usize::from(return_at <= now);
                core.finish(call);
            }
            step => panic!("{step:?}"),
        }
    }

    /// Largest number of calls that a cold target got within one second.
    fn cold_peak(&self) -> usize {
        let cold = self.sends.iter().filter(|(index, _)| **index >= self.plan.warm);
        let peak = |sends: &Vec<TimePoint>| {
            let within = |at: &TimePoint| {
                let end = at.after(Duration::from_secs(1));
                sends.iter().filter(|other| *other >= at && **other < end).count()
            };
            sends.iter().map(within).max().unwrap_or(0)
        };
        cold.map(|(_, sends)| peak(sends)).max().unwrap_or(0)
    }
}

fn check_cold(plan: ColdPlan) {
    for seed in 1..=5 {
        let mut sim = ColdSim::new(plan, seed);
        sim.run();
        let sent: usize = sim.sends.values().map(Vec::len).sum();
        let served = sent as f64 / sim.calls as f64;
        let peak = sim.cold_peak();
        println!("seed {seed}: cold peak {peak}, served {served:.3}");
        assert!(peak <= COLD_PEAK, "seed {seed}: {peak} calls in a second at a cold target");
        assert!(served >= plan.served_min, "seed {seed}: {served:.3} of the calls were sent");
        assert_eq!(sim.refused_without_return, 0);
    }
}

/// 68 routers that send heartbeats each half second, as in a fleet of that size.
const LARGE: ColdPlan = ColdPlan {
    routers: 68,
    warm: 40,
    cold: 20,
    calls_per_s: 600.0,
    heartbeats: HeartbeatPlan { steps_per_heartbeat: 50, lost_share: 0.0 },
    restarts: false,
    one_reader: false,
    served_min: 1.0,
};

const SMALL: ColdPlan = ColdPlan {
    routers: 3,
    warm: 4,
    cold: 4,
    calls_per_s: 80.0,
    heartbeats: HeartbeatPlan { steps_per_heartbeat: 10, lost_share: 0.0 },
    ..LARGE
};

test_cases! {
    check_cold:
    a_failure_domain_that_comes_back_is_not_flooded(LARGE);
    a_burst_is_not_sent_to_idle_cold_targets(ColdPlan { calls_per_s: 1_200.0, ..LARGE });
    routers_that_hear_nothing_of_each_other_keep_the_bound(ColdPlan {
        heartbeats: HeartbeatPlan { steps_per_heartbeat: 50, lost_share: 1.0 },
        ..LARGE
    });
    routers_that_restart_meanwhile_keep_the_bound(ColdPlan { restarts: true, ..LARGE });
    one_router_that_reads_it_first_is_enough(ColdPlan { one_reader: true, ..LARGE });
    a_small_fleet_uses_its_cold_targets(SMALL);
    calls_are_served_by_what_cold_targets_take_if_all_are_cold(ColdPlan {
        warm: 0,
        cold: 60,
        served_min: 0.3,
        ..LARGE
    });
    one_router_alone_keeps_the_bound(ColdPlan { routers: 1, ..SMALL });
}

/// Guards against a router that keeps a target cold for all others by a time that the pool does not state.
#[test]
fn a_notice_of_another_router_holds_for_no_longer_than_the_pool_states() {
    let start = TimePoint(1_000_000);
    let sim = ColdSim::new(ColdPlan { routers: 2, ..SMALL }, 0);
    let [mut core, mut peer] = [0, 1].map(|index| sim.new_router(index, 1));
    let entry = target_entry(0, 1);
    for router in [&mut core, &mut peer] {
        router.list_targets(start, vec![entry.clone()]);
    }
    peer.on_cold_listed(start, 9, &[(entry.name, start.after(Duration::from_secs(600)))]);
    let heartbeat = peer.next_heartbeat(start);
    assert!(heartbeat.extension.cold_targets[0].left_ms > 500_000, "{:?}", heartbeat.extension);
    core.on_heartbeat(start, heartbeat);
    let cold_until = core.status(start).targets[0].cold_until;
    assert_eq!(cold_until.since(start), Duration::from_secs(COLD_SECONDS));
}

/// What is known of a cold target after a list in an era of the platform that says that it is warm.
fn check_listed_warm(era: u16, listed_after: Duration, stays_cold: bool) {
    let start = TimePoint(1_000_000);
    let sim = ColdSim::new(ColdPlan { routers: 1, ..SMALL }, 0);
    let mut core = sim.new_router(0, 1);
    let entry = target_entry(0, 1);
    let order = |era, revision| ChangeOrder::new(era, revision).number();
    core.on_platform_era(start, 1);
    core.on_targets_listed(start, order(1, 9), vec![(order(1, 9), entry.clone())]);
    let until = start.after(Duration::from_secs(4));
    core.on_cold_listed(start, order(1, 9), &[(entry.name.clone(), until)]);
    core.on_platform_era(start, era);
    let now = start.after(listed_after);
    core.on_targets_listed(now, order(era, 8), vec![(order(era, 8), entry.clone())]);
    core.on_cold_listed(now, order(era, 8), &[(entry.name, now)]);
    assert_eq!(core.status(now).targets[0].cold_until == until, stays_cold);
}

test_cases! {
    check_listed_warm:
    // Guards against a flood of a cold target because of a restored copy from before it became cold.
    a_restored_copy_does_not_make_a_cold_target_warm(2, Duration::from_millis(100), true);
    a_list_makes_a_cold_target_warm(1, Duration::from_millis(100), false);
    a_list_some_time_after_a_restore_makes_a_cold_target_warm(2, Duration::from_millis(2_300), false);
}

/// When a target that was taken back stops counting as cold: after a list that says that it is warm, if it is not from
/// before that.
fn check_taken_back(listed_revision: u64, counts_as_cold: bool) {
    let start = TimePoint(1_000_000);
    let sim = ColdSim::new(ColdPlan { routers: 1, ..SMALL }, 0);
    let mut core = sim.new_router_with(0, 1, ForwardBounds { evacuations: true, ..BOUNDS });
    let entry = target_entry(0, 1);
    let domain = entry.failure_domain.clone();
    core.list_targets(start, vec![entry.clone()]);
    core.on_evacuations_listed(start, 10, vec![domain]);
    let taken_back_at = start.after(Duration::from_secs(5));
    assert!(core.on_evacuations_listed(taken_back_at, 20, Vec::new()));
    let changes = core.take_evacuation_changes();
    assert!(changes.iter().any(|change| change.wants_targets), "{changes:?}");
    let now = taken_back_at.after(Duration::from_millis(10));
    assert!(!core.status(now).targets[0].cold_until.passed(now));
    core.on_cold_listed(now, listed_revision, &[(entry.name, now)]);
    assert_eq!(!core.status(now).targets[0].cold_until.passed(now), counts_as_cold);
}

test_cases! {
    check_taken_back:
    // Guards against a flood of targets that became cold before their failure domain was taken back.
    a_target_that_was_taken_back_is_cold_until_it_is_listed(19, true);
    a_target_that_was_taken_back_is_warm_once_it_is_listed_so(20, false);
}
