//! Learned speed of targets: how soon it follows a change, its bounds, and what other routers and
//! targets can make of it.

use std::time::Duration;

use base_types::{TimePoint, test_cases};
use policy_targets::{LoadReport, PeerSpeed, PoolPace, TargetSpeed, WorkKind, WorkSample};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 16;
/// Interval between two samples of a target.
const STEP: Duration = Duration::from_millis(50);

fn at(ms: u64) -> TimePoint {
    TimePoint(ms * 1_000)
}

/// A pool whose targets take a time that varies by up to 30 %.
#[derive(Debug)]
struct PoolSim {
    random: StdRng,
    pace: PoolPace,
    targets: Vec<TargetSpeed>,
    now: TimePoint,
}

impl PoolSim {
    fn new(targets: usize) -> Self {
        let targets = vec![TargetSpeed::default(); targets];
        let random = StdRng::seed_from_u64(7);
        let mut sim = Self { random, pace: PoolPace::default(), targets, now: at(0) };
        sim.run(2_000, |_, _| Some(1.0));
        sim
    }

    /// Gives each target samples for a time; `factor` is the slowdown of a target so many milliseconds
    /// after the start, or `None` while it has no samples.
    fn run(&mut self, ms: u64, factor: impl Fn(usize, u64) -> Option<f64>) {
        let start = self.now;
        while self.now < start.after(Duration::from_millis(ms)) {
            self.now = self.now.after(STEP);
            let elapsed_ms = self.now.since(start).as_millis() as u64;
            for (index, target) in self.targets.iter_mut().enumerate() {
                let Some(factor) = factor(index, elapsed_ms) else { continue };
                let noise = self.random.random_range(0.7..1.3);
                let sample = WorkSample {
                    kind: WorkKind::WholeCall,
                    elapsed: Duration::from_secs_f64(0.08 * noise * factor),
                    prefill_tokens: 0,
                    load_ratio: 0.5,
                };
                target.on_work(self.now, &mut self.pace, &sample);
            }
        }
    }

    fn slowdown(&self, target: usize) -> f64 {
        self.targets[target].estimate(self.now, SLOTS).slowdown
    }

    fn concurrency(&self, target: usize) -> u32 {
        self.targets[target].estimate(self.now, SLOTS).concurrency
    }
}

/// Slows target 0 of a pool for 3 s and checks its estimate at the end of that, and some time after it.
fn check_change(targets: usize, factor: f64, slowdown: (f64, f64), concurrency: (u32, u32)) {
    let mut sim = PoolSim::new(targets);
    let slow = |index: usize, _| Some(if index == 0 { factor } else { 1.0 });
    sim.run(1_000, slow);
    let reached = sim.slowdown(0);
    assert!(slowdown.0 <= reached && reached <= slowdown.1, "slowdown {reached} after a second");
    sim.run(2_000, slow);
    let calls = sim.concurrency(0);
    assert!(concurrency.0 <= calls && calls <= concurrency.1, "{calls} calls while slow");
    for other in 1..targets {
        assert!((0.8..1.3).contains(&sim.slowdown(other)), "{}", sim.slowdown(other));
        assert_eq!(sim.concurrency(other), SLOTS);
    }
    sim.run(1_500, |_, _| Some(1.0));
    assert!((0.8..1.3).contains(&sim.slowdown(0)), "still {} later", sim.slowdown(0));
    assert!(sim.concurrency(0) >= SLOTS * 3 / 4, "still {} calls later", sim.concurrency(0));
}

test_cases! {
    check_change:
    a_target_five_times_slower_is_known_within_a_second(9, 5.0, (3.5, 6.0), (4, 4));
    a_slow_target_of_two_is_known(2, 5.0, (3.5, 6.0), (4, 4));
    a_very_slow_target_stays_within_the_bounds(9, 60.0, (6.0, 8.0), (4, 4));
    a_fast_target_keeps_its_slots(9, 0.2, (0.5, 0.6), (16, 16));
    a_little_slowdown_counts_little(9, 1.15, (1.0, 1.3), (16, 16));
    a_target_alone_in_its_pool_is_not_slow(1, 5.0, (0.8, 1.3), (16, 16));
}

/// If all targets slow down at once, routers must not avoid all of them.
#[test]
fn a_pool_that_slows_down_as_a_whole_has_no_slow_target() {
    let mut sim = PoolSim::new(20);
    for _ in 0..10 {
        sim.run(200, |_, _| Some(5.0));
        for target in 0..20 {
            assert!(sim.slowdown(target) < 1.6, "target {target}: {}", sim.slowdown(target));
            assert!(sim.concurrency(target) > SLOTS / 2);
        }
    }
}

/// One late call must not drive callers away from a target.
#[test]
fn a_single_slow_call_counts_little() {
    let mut sim = PoolSim::new(9);
    sim.run(50, |index, _| Some(if index == 0 { 20.0 } else { 1.0 }));
    assert!(sim.slowdown(0) < 1.5, "{}", sim.slowdown(0));
}

/// What is not renewed is forgotten, so that a target that was avoided gets calls again.
#[test]
fn a_slow_target_without_samples_returns_to_the_default() {
    let mut sim = PoolSim::new(9);
    sim.run(2_000, |index, _| Some(if index == 0 { 5.0 } else { 1.0 }));
    sim.run(3_000, |index, _| (index > 0).then_some(1.0));
    assert!(sim.slowdown(0) < 1.1, "{}", sim.slowdown(0));
    assert!(sim.concurrency(0) >= SLOTS - 2, "{}", sim.concurrency(0));
}

fn report(percent: u32) -> LoadReport {
    LoadReport { running: 1, waiting: 0, slots: SLOTS, work_percent: Some(percent) }
}

/// A report of other work counts at once where there are no samples, for half a second, and within the
/// bounds whatever it says.
fn check_report(percent: u32, slowdown: (f64, f64)) {
    let mut sim = PoolSim::new(9);
    sim.run(3_000, |index, _| (index > 0).then_some(1.0));
    let pace = &sim.pace;
    for ms in [0, 50, 100, 150, 200, 250, 300] {
        let now = sim.now.after(Duration::from_millis(ms));
        sim.targets[0].on_report(now, pace, &report(percent));
    }
    let slowdown_after = |ms: u64| {
        let now = sim.now.after(Duration::from_millis(300 + ms));
        sim.targets[0].estimate(now, SLOTS).slowdown
    };
    let reported = slowdown_after(0);
    assert!(slowdown.0 <= reported && reported <= slowdown.1, "slowdown {reported}");
    assert!((slowdown_after(501) - 1.0).abs() < 0.05, "still {}", slowdown_after(501));
    assert!(sim.targets[0].estimate(sim.now, SLOTS).concurrency >= SLOTS / 4);
}

test_cases! {
    check_report:
    a_report_of_other_work_counts(250, (1.8, 2.5));
    a_report_of_usual_work_changes_nothing(100, (1.0, 1.0));
    a_report_of_no_work_attracts_no_calls(0, (1.0, 1.0));
    a_report_of_endless_work_is_clamped(u32::MAX, (4.0, 8.0));
}

/// Where a router has many samples, they outweigh what the target says.
#[test]
fn a_lying_target_is_measured() {
    let mut sim = PoolSim::new(9);
    for _ in 0..40 {
        sim.run(50, |_, _| Some(1.0));
        sim.targets[0].on_report(sim.now, &sim.pace, &report(u32::MAX));
    }
    assert!(sim.slowdown(0) < 2.5, "{}", sim.slowdown(0));
}

/// Reports of other routers on a target without samples: (router, percent).
fn check_peers(reports: &[(u64, u16)], slowdown: (f64, f64)) {
    let mut sim = PoolSim::new(9);
    sim.run(3_000, |index, _| (index > 0).then_some(1.0));
    for round in 0..5 {
        let now = sim.now.after(Duration::from_millis(200 * round));
        for (router_hash, slowdown_percent) in reports {
            let speed = PeerSpeed {
                router_hash: *router_hash,
                slowdown_percent: *slowdown_percent,
                samples: u16::MAX,
            };
            sim.targets[0].on_peer(now, &sim.pace, &speed);
        }
    }
    let now = sim.now.after(Duration::from_millis(800));
    let estimate = sim.targets[0].estimate(now, SLOTS).slowdown;
    assert!(slowdown.0 <= estimate && estimate <= slowdown.1, "slowdown {estimate}");
}

test_cases! {
    check_peers:
    routers_that_agree_are_believed(&[(1, 500), (2, 520), (3, 480)], (3.0, 5.0));
    two_routers_that_agree_are_believed(&[(1, 500), (2, 500)], (3.0, 5.0));
    one_router_alone_is_half_believed(&[(1, 800)], (1.3, 2.0));
    a_lying_router_does_not_outweigh_two(&[(1, u16::MAX), (2, 100), (3, 100)], (1.0, 1.1));
    a_lying_router_does_not_outweigh_one(&[(1, u16::MAX), (2, 100)], (1.0, 1.1));
    a_lying_router_does_not_hide_a_slow_target(&[(1, 0), (2, 500), (3, 500)], (3.0, 5.0));
}
