//! A fleet with targets that work at different speeds.

use std::{collections::VecDeque, time::Duration};

use base_types::{AdaptiveCapacity, ContentDigest, TargetKey, TimePoint};
use core_forward::{
    AttemptOutcome, CallKey, DispatchStep, ForwardCore, LoadReport, PromptHead, SpeedNotice,
    heartbeat_interval,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use state_config::RetryRule;

use crate::{
    fixture::{call_head, new_adaptive_router, target_entry, target_index},
    heartbeats::HeartbeatPlan,
};

const STEP: Duration = Duration::from_millis(5);
/// Part of the heartbeat interval after which a router with new calls sends the next one.
const URGENT_DIVISOR: u32 = 4;
const RUN_TIME: Duration = Duration::from_secs(12);
/// The disturbance begins here and lasts for 5 s.
const DISTURBED_FROM: TimePoint = TimePoint(5_000_000);
const DISTURBED_TIME: Duration = Duration::from_secs(5);
/// Time to the first event, or of a plain call, on an empty target of usual speed.
const FIRST_WORK_MS: f64 = 80.0;
const EVENT_WORK_MS: f64 = 20.0;
/// Length of an epoch of noise, and the share of the targets that are slow in each.
const NOISE_MS: u64 = 600;
const NOISE_SHARE: f64 = 0.15;
const NOISE_FACTOR: f64 = 2.5;

/// What slows targets down.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Disturbance {
    None,
    /// Target 0 takes this multiple of the usual time.
    Slow {
        factor: f64,
    },
    /// Target 0 takes three times as long from a quarter of its slots on.
    Knee,
    /// All targets take this multiple.
    AllSlow {
        factor: f64,
    },
    /// Other work on some of the machines, different ones every 600 ms, during the whole run.
    Noise,
    /// Target 0 reports endless work, and works as usual.
    LyingTarget,
}

#[derive(Debug, Clone)]
pub(crate) struct SpeedPlan {
    pub(crate) routers: u16,
    pub(crate) targets: usize,
    pub(crate) slots: u32,
    pub(crate) calls_per_s: f64,
    /// Events of a call; without any, it is a plain call.
    pub(crate) stream_events: u32,
    /// Time to the first event or of a plain call that callers want.
    pub(crate) objective_ms: u64,
    pub(crate) disturbance: Disturbance,
    pub(crate) reports_work: bool,
    /// Whether the last router reports other speeds than it measured.
    pub(crate) lying_router: bool,
}

#[derive(Debug, Default)]
pub(crate) struct SpeedRecord {
    pub(crate) calls: u32,
    pub(crate) met: u32,
}

#[derive(Debug)]
struct Run {
    router: usize,
    call: CallKey,
    key: TargetKey,
    sent_at: TimePoint,
    /// Time of work left until the next event, on an empty target of usual speed.
    work_left_ms: f64,
    events_left: u32,
    has_begun: bool,
}

#[derive(Debug)]
pub(crate) struct SpeedSim<'plan> {
    plan: &'plan SpeedPlan,
    random: StdRng,
    now: TimePoint,
    routers: Vec<ForwardCore>,
    /// Calls of each target in order; the first ones of them run in slots.
    targets: Vec<VecDeque<Run>>,
    noisy: Vec<bool>,
    calls: u64,
    record: SpeedRecord,
}

impl<'plan> SpeedSim<'plan> {
    pub(crate) fn play(plan: &'plan SpeedPlan, mode: AdaptiveCapacity, seed: u64) -> SpeedRecord {
        let now = TimePoint(0);
        let is_streaming = plan.stream_events > 0;
        let rule = if is_streaming { RetryRule::AtMostOnceStream } else { RetryRule::AtMostOnce };
        let routers = (0..plan.routers).map(|index| {
            let mut core = new_adaptive_router(now, index, rule, mode, is_streaming);
            let entries = (0..plan.targets).map(|target| core_forward::TargetEntry {
                slots: plan.slots,
                ..target_entry(target, 1)
            });
            core.list_targets(now, entries.collect());
            core
        });
        let mut sim = Self {
            plan,
            random: StdRng::seed_from_u64(seed),
            now,
            routers: routers.collect(),
            targets: (0..plan.targets).map(|_| VecDeque::new()).collect(),
            noisy: vec![false; plan.targets],
            calls: 0,
            record: SpeedRecord::default(),
        };
        sim.run();
        sim.record
    }

    fn run(&mut self) {
        let interval = heartbeat_interval(self.plan.routers.into()) / URGENT_DIVISOR;
        let steps_per_heartbeat = (interval.as_micros() / STEP.as_micros()) as u64;
        let heartbeats = HeartbeatPlan { steps_per_heartbeat, lost_share: 0.02 };
        let mut due_calls = 0.0;
        for step in 0..(RUN_TIME.as_micros() / STEP.as_micros()) as u64 {
            self.now = TimePoint(0).after(STEP * step as u32);
            if (self.now.0 / 1_000).is_multiple_of(NOISE_MS) {
                let random = &mut self.random;
                self.noisy.fill_with(|| random.random_bool(NOISE_SHARE));
            }
            due_calls += self.plan.calls_per_s * STEP.as_secs_f64();
            while due_calls >= 1.0 {
                due_calls -= 1.0;
                self.call();
            }
            for target in 0..self.plan.targets {
                self.progress(target);
            }
            heartbeats.exchange(self.now, step, &mut self.routers, &mut self.random);
            if self.plan.lying_router && step.is_multiple_of(steps_per_heartbeat) {
                self.lie();
            }
            if step.is_multiple_of(200) {
                self.routers.iter_mut().for_each(|core| core.sweep(self.now));
            }
        }
    }

    /// The last router says of 16 targets that they are very slow.
    fn lie(&mut self) {
        let first = self.random.random_range(0..self.plan.targets);
        let honest = self.routers.len() - 1;
        let mut heartbeat = self.routers[honest].next_heartbeat(self.now);
        let hashes = self.routers[0].snapshot(self.now).extension.speeds;
        let hashes = hashes.iter().cycle().skip(first).take(16);
        let lies = hashes.map(|notice| SpeedNotice {
            slowdown_percent: u16::MAX,
            limit: 0,
            samples: u16::MAX,
            ..*notice
        });
        heartbeat.extension.speeds = lies.collect();
        for core in &mut self.routers[..honest] {
            core.on_heartbeat(self.now, heartbeat.clone());
        }
    }

    fn call(&mut self) {
        self.calls += 1;
        let router = self.random.random_range(0..self.routers.len());
        let (now, core) = (self.now, &mut self.routers[router]);
        let size = self.random.random_range(0.5..1.5);
        let is_streaming = self.plan.stream_events > 0;
        let prompt = is_streaming.then(|| PromptHead {
            input_tokens: (2_000.0 * size) as u32,
            output_tokens: self.plan.stream_events,
            segments: Vec::new(),
        });
        let digest = ContentDigest(u128::from(self.calls));
        let call = core.admit(now, call_head(now, self.calls, prompt), digest);
        let call = call.expect("admitted").call;
        match core.dispatch(now, call) {
            DispatchStep::Send(attempt) => {
                let target = target_index(attempt.address);
                self.targets[target].push_back(Run {
                    router,
                    call,
                    key: attempt.target,
                    sent_at: now,
                    work_left_ms: FIRST_WORK_MS * size,
                    events_left: self.plan.stream_events.max(1),
                    has_begun: false,
                });
            }
            step => panic!("{step:?}"),
        }
    }

    fn is_disturbed(&self) -> bool {
        DISTURBED_FROM.passed(self.now) && !DISTURBED_FROM.after(DISTURBED_TIME).passed(self.now)
    }

    /// Current duration of work on a target as a multiple of the usual one.
    fn factor(&self, target: usize) -> f64 {
        let running = self.targets[target].len();
        let is_full = running >= self.plan.slots as usize / 4;
        let disturbed = self.is_disturbed();
        match self.plan.disturbance {
            Disturbance::Slow { factor } if disturbed && target == 0 => factor,
            Disturbance::Knee if disturbed && target == 0 && is_full => 3.0,
            Disturbance::AllSlow { factor } if disturbed => factor,
            Disturbance::Noise if self.noisy[target] => NOISE_FACTOR,
            _ => 1.0,
        }
    }

    /// What the target reports: noise on its machine, with an error of up to 30 %.
    fn report(&mut self, target: usize) -> LoadReport {
        let error = self.random.random_range(0.7..1.3);
        let is_noise = matches!(self.plan.disturbance, Disturbance::Noise);
        let factor = if is_noise { self.factor(target) } else { 1.0 };
        let lies = matches!(self.plan.disturbance, Disturbance::LyingTarget) && target == 0;
        let percent = if lies { u32::MAX } else { (100.0 * factor * error) as u32 };
        let running = self.targets[target].len() as u32;
        let work_percent = self.plan.reports_work.then_some(percent);
        LoadReport { running, waiting: 0, slots: self.plan.slots, work_percent }
    }

    fn progress(&mut self, target: usize) {
        let slots = self.plan.slots as usize;
        let load = self.targets[target].len().min(slots) as f64 / slots as f64;
        let speed = 1.0 / (self.factor(target) * (1.0 + 0.5 * load));
        let step_ms = STEP.as_secs_f64() * 1e3 * speed;
        let report = self.report(target);
        let (now, is_judged) = (self.now, self.is_disturbed());
        let is_streaming = self.plan.stream_events > 0;
        for run in self.targets[target].iter_mut().take(slots) {
            run.work_left_ms -= step_ms;
            if run.work_left_ms > 0.0 {
                continue;
            }
            let core = &mut self.routers[run.router];
            if !run.has_begun {
                run.has_begun = true;
                core.on_load_report(now, run.key, report);
                core.on_response_started(now, run.call);
                if is_judged {
                    let objective = Duration::from_millis(self.plan.objective_ms);
                    self.record.calls += 1;
                    self.record.met += u32::from(now.since(run.sent_at) <= objective);
                }
            }
            run.events_left -= 1;
            run.work_left_ms += EVENT_WORK_MS;
            if is_streaming {
                core.on_events(now, run.call, 1);
            }
            if run.events_left == 0 {
                core.on_attempt_finished(now, run.call, AttemptOutcome::Completed);
                core.finish(run.call);
            }
        }
        self.targets[target].retain(|run| run.events_left > 0);
    }
}
