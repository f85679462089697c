//! Fleets whose targets change their speed: what callers gain from learned speeds, in virtual time.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/heartbeats.rs"]
mod heartbeats;
#[path = "speeds/sim.rs"]
mod sim;

use base_types::{AdaptiveCapacity, ContentDigest, TimePoint, test_cases};
use core_forward::{CallKey, DispatchStep, ForwardCore, LoadReport, SpeedNotice};
use state_config::RetryRule;

use fixture::{call_head, new_adaptive_router, target_entry, target_index};
use sim::{Disturbance, SpeedPlan, SpeedSim};

/// Plays a plan without and with learned speeds, and compares the shares of calls within the
/// objective while the disturbance lasts.
fn check_gain(name: &str, plan: SpeedPlan, gain_min: f64) {
    let mut shares = [AdaptiveCapacity::Off, AdaptiveCapacity::Auto].map(|mode| {
        let records = (0..8).map(|seed| SpeedSim::play(&plan, mode, seed));
        let (met, calls) =
            records.fold((0, 0), |(met, calls), record| (met + record.met, calls + record.calls));
        f64::from(met) / f64::from(calls)
    });
    shares.iter_mut().for_each(|share| *share = (*share * 1_000.0).round() / 1_000.0);
    let [off, on] = shares;
    println!("{name}: {off} of calls within the objective without learned speeds, {on} with them");
    assert!(on - off >= gain_min, "{name}: {off} without, {on} with");
}

const PLAIN: SpeedPlan = SpeedPlan {
    routers: 4,
    targets: 8,
    slots: 6,
    calls_per_s: 220.0,
    stream_events: 0,
    objective_ms: 250,
    disturbance: Disturbance::None,
    reports_work: true,
    lying_router: false,
};

const STREAMS: SpeedPlan = SpeedPlan {
    routers: 4,
    targets: 12,
    slots: 16,
    calls_per_s: 150.0,
    stream_events: 20,
    objective_ms: 300,
    ..PLAIN
};

/// The second site: sparse samples per router, and 15 % of the targets slow for 600 ms at a time.
const KILNS: SpeedPlan = SpeedPlan {
    routers: 33,
    targets: 89,
    calls_per_s: 1_015.0,
    stream_events: 20,
    objective_ms: 200,
    disturbance: Disturbance::Noise,
    ..STREAMS
};

test_cases! {
    check_gain:
    plain_calls_avoid_a_target_at_a_fifth("plain, a fifth for 5 s", SpeedPlan { disturbance: Disturbance::Slow { factor: 5.0 }, ..PLAIN }, 0.004);
    streams_avoid_a_target_at_a_fifth("streams, a fifth for 5 s", SpeedPlan { disturbance: Disturbance::Slow { factor: 5.0 }, ..STREAMS }, 0.006);
    a_target_that_slows_before_it_is_full_gets_fewer_calls("slow from a quarter of its slots", SpeedPlan { disturbance: Disturbance::Knee, ..STREAMS }, 0.004);
    nobody_is_avoided_where_all_are_slow("all slow", SpeedPlan { disturbance: Disturbance::AllSlow { factor: 3.0 }, objective_ms: 900, ..STREAMS }, -0.01);
    equal_targets_lose_nothing("no disturbance", STREAMS, -0.005);
    sparse_routers_share_what_they_measure("33 routers, noise", KILNS, 0.003);
    a_lying_router_does_little_harm("33 routers, noise, one lies", SpeedPlan { lying_router: true, ..KILNS }, -0.005);
    a_lying_target_does_little_harm("a target lies", SpeedPlan { disturbance: Disturbance::LyingTarget, ..STREAMS }, -0.01);
}

const NOW: TimePoint = TimePoint(1_000_000);

fn router_with_targets(index: u16, mode: AdaptiveCapacity) -> ForwardCore {
    let mut core = new_adaptive_router(NOW, index, RetryRule::AtMostOnceStream, mode, true);
    core.list_targets(NOW, (0..3).map(|target| target_entry(target, 1)).collect());
    core
}

fn report(work_percent: Option<u32>) -> LoadReport {
    LoadReport { running: 3, waiting: 0, slots: 64, work_percent }
}

/// Sends a call and returns what the choice of its target knew.
fn send(core: &mut ForwardCore, now: TimePoint, id: u64) -> core_forward::AttemptSpec {
    let call = core.admit(now, call_head(now, id, None), ContentDigest(u128::from(id)));
    match core.dispatch(now, call.expect("admitted").call) {
        DispatchStep::Send(attempt) => attempt,
        step => panic!("{step:?}"),
    }
}

/// Whether a router adapts some milliseconds after a report of a target.
fn check_mode(mode: AdaptiveCapacity, work_percent: Option<u32>, after_ms: u64, adaptive: bool) {
    let mut core = router_with_targets(0, mode);
    let target = send(&mut core, NOW, 1).target;
    core.on_load_report(NOW, target, report(work_percent));
    assert_eq!(core.is_adaptive(TimePoint(NOW.0 + after_ms * 1_000)), adaptive);
}

test_cases! {
    check_mode:
    speeds_are_used_after_a_report_of_work(AdaptiveCapacity::Auto, Some(100), 59_000, true);
    speeds_are_not_used_long_after_a_report_of_work(AdaptiveCapacity::Auto, Some(100), 60_000, false);
    speeds_are_not_used_without_a_report_of_work(AdaptiveCapacity::Auto, None, 0, false);
    speeds_are_never_used_when_off(AdaptiveCapacity::Off, Some(900), 0, false);
    speeds_are_always_used_when_on(AdaptiveCapacity::On, None, 90_000, true);
}

/// While no target reports other work, nothing is measured or sent, and choices are as before.
#[test]
fn nothing_is_learned_while_no_target_reports_work() {
    let mut core = router_with_targets(0, AdaptiveCapacity::Auto);
    for id in 0..200 {
        let now = TimePoint(NOW.0 + id * 10_000);
        let attempt = send(&mut core, now, id);
        core.on_load_report(now, attempt.target, report(None));
        let inputs = attempt.inputs;
        assert_eq!((inputs.slowdown, inputs.comfortable_calls), (1.0, 64));
    }
    let now = TimePoint(NOW.0 + 3_000_000);
    assert!(core.next_heartbeat(now).extension.speeds.is_empty());
    assert!(core.snapshot(now).extension.speeds.is_empty());
    assert!(core.status(now).targets.iter().all(|target| target.speed.is_none()));
}

/// A heartbeat has a bounded number of speeds, whatever the number of targets, and those that are read
/// are bounded too.
#[test]
fn speeds_in_a_heartbeat_are_bounded() {
    let [mut sender, mut receiver] =
        [0, 1].map(|index| router_with_targets(index, AdaptiveCapacity::On));
    sender.list_targets(NOW, (0..60).map(|target| target_entry(target, 1)).collect());
    for id in 0..300 {
        let target = send(&mut sender, NOW, id).target;
        sender.on_load_report(NOW, target, report(Some(200)));
    }
    let mut heartbeat = sender.next_heartbeat(NOW);
    assert_eq!(heartbeat.extension.speeds.len(), 16);
    let notice = SpeedNotice { target_hash: 1, slowdown_percent: 800, limit: 1, samples: 9 };
    heartbeat.extension.speeds = vec![notice; 100_000];
    receiver.on_heartbeat(NOW, heartbeat);
    let slow = receiver.status(NOW).targets.into_iter().filter_map(|target| target.speed);
    assert!(slow.into_iter().all(|speed| speed.slowdown == 1.0));
}

/// Events that arrived but are not reported yet must not make a stream look late: target 0 reports its
/// events every 50 ms, the others each event.
#[test]
fn unreported_events_are_not_late() {
    let mut core = router_with_targets(0, AdaptiveCapacity::On);
    let mut calls: Vec<Option<CallKey>> = vec![None; 3];
    for id in 0..100 {
        if calls.iter().all(Option::is_some) {
            break;
        }
        let call = core.admit(NOW, call_head(NOW, id, None), ContentDigest(u128::from(id)));
        let call = call.expect("admitted").call;
        if let DispatchStep::Send(attempt) = core.dispatch(NOW, call) {
            calls[target_index(attempt.address)] = Some(call);
        }
    }
    for step in 1..1_000 {
        let now = TimePoint(NOW.0 + step * 5_000);
        for (target, call) in calls.iter().enumerate() {
            let call = call.expect("a call on each target");
            match target {
                0 if step.is_multiple_of(10) => {
                    core.on_events(now, call, 2 + (step / 10 % 2) as u32)
                }
                1 | 2 if step.is_multiple_of(4) => core.on_events(now, call, 1),
                _ => {}
            }
        }
        // Unanswered calls are looked at shortly before the next report of target 0.
        if step % 20 == 9 {
            let notices = core.next_heartbeat(now).extension.speeds;
            let slowest = notices.iter().map(|notice| notice.slowdown_percent).max();
            assert!(slowest < Some(115), "{slowest:?} percent");
        }
    }
}

/// A restarted router starts from the speeds of a running one rather than from the default.
#[test]
fn a_restarted_router_starts_from_its_peers() {
    let mut running = router_with_targets(0, AdaptiveCapacity::Auto);
    let target = send(&mut running, NOW, 1).target;
    for step in 0..30 {
        let now = TimePoint(NOW.0 + step * 20_000);
        running.on_load_report(now, target, report(Some(400)));
    }
    let now = TimePoint(NOW.0 + 600_000);
    let mut restarted =
        new_adaptive_router(now, 1, RetryRule::AtMostOnceStream, AdaptiveCapacity::Auto, true);
    restarted.restore(now, running.snapshot(now));
    assert!(restarted.is_adaptive(now));
    let speeds = |core: &ForwardCore| -> Vec<f64> {
        let speeds = core.status(now).targets.into_iter().filter_map(|target| target.speed);
        speeds.map(|speed| (speed.slowdown * 10.0).round()).collect()
    };
    assert!(speeds(&running).iter().any(|slowdown| *slowdown > 20.0));
    assert_eq!(speeds(&restarted), speeds(&running));
}
