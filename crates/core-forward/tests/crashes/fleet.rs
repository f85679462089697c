//! Routers, targets and callers in virtual time. Some calls crash the targets that begin to run them.

use std::time::Duration;

use base_types::{ContentDigest, HostName, NotRunCode, Refusal, TargetKey, TimePoint};
use core_forward::{
    AttemptOutcome, CallHead, CallKey, DetourClaim, DetourOutcome, DispatchStep, ForwardCore,
    PromptHead, PromptSegment, TargetNotice,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use state_config::RetryRule;

use crate::fixture::{call_head, new_router, new_router_with_attempts, target_entry, target_index};

const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_HEARTBEAT: u64 = 10;
const STEPS_PER_SWEEP: u64 = 100;
const STEPS: u64 = 3_000;
const DOWN_TIME: Duration = Duration::from_secs(4);
/// Time from the start of an answer until its content crashes the target.
const CRASH_DELAY: Duration = Duration::from_millis(100);
const PROBE_DELAY: Duration = Duration::from_millis(50);
/// Crashes begin after this time, as callers have used the fleet before.
const QUIET_TIME: Duration = Duration::from_secs(3);
const CRASHING_SEGMENT: u64 = 666;
/// Digest of the call that crashes targets.
const CRASHING_DIGEST: ContentDigest = ContentDigest(u128::MAX);
/// Time after which a caller comes back with a call that failed.
const RETURN_DELAY: Duration = Duration::from_millis(15);

/// By what calls that crash targets are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashingContent {
    /// By a segment of their prompts; calls are streams that are sent once.
    Segment,
    /// By their digest alone: they have no prompt. Calls are sent to two targets, and their callers come
    /// back once.
    EntireCall,
}

/// What happens in a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetPlan {
    pub(crate) content: CrashingContent,
    pub(crate) routers: u16,
    pub(crate) targets: u16,
    pub(crate) calls_per_s: u32,
    /// Calls with the segment that crashes targets.
    pub(crate) crashing_per_s: f64,
    /// Fraction of the heartbeats that are lost.
    pub(crate) lost_heartbeats: f64,
    /// Time at which a router is restarted.
    pub(crate) restart_at_s: Option<u64>,
    /// Crashes whose cause is not content.
    pub(crate) random_crashes_per_s: f64,
    /// Targets that such a crash affects.
    pub(crate) crashes_at_once: usize,
}

/// What was observed in a run.
#[derive(Debug, Default)]
pub(crate) struct FleetRecord {
    pub(crate) crashes: Vec<TimePoint>,
    /// When calls with the crashing segment were sent to a target.
    pub(crate) crashing_sends: Vec<TimePoint>,
    pub(crate) sound_calls: u64,
    /// Sound calls that were refused because of their content.
    pub(crate) sound_refused: u64,
}

#[derive(Debug)]
struct Run {
    router: usize,
    call: CallKey,
    target: usize,
    key: TargetKey,
    starts_at: TimePoint,
    ends_at: TimePoint,
    started: bool,
    request: Request,
}

/// A call as its caller sent it.
#[derive(Debug, Clone)]
struct Request {
    caller: Caller,
    head: CallHead,
    digest: ContentDigest,
}

/// Who sent a call.
#[derive(Debug, Clone, Copy)]
struct Caller {
    is_crashing: bool,
    /// How often the caller comes back with a call that fails.
    returns_left: u8,
}

#[derive(Debug)]
struct FleetSim {
    plan: FleetPlan,
    random: StdRng,
    now: TimePoint,
    routers: Vec<ForwardCore>,
    /// Incarnation of each target, and until when it is down.
    targets: Vec<(u64, TimePoint)>,
    runs: Vec<Run>,
    /// Routers, targets and times of probes that will find a target down.
    probes: Vec<(usize, TargetKey, TimePoint)>,
    /// Callers that come back, and when.
    returns: Vec<(Caller, TimePoint)>,
    record: FleetRecord,
    next_number: u64,
}

/// Plays a plan with random numbers of a seed.
pub(crate) fn play(plan: FleetPlan, seed: u64) -> FleetRecord {
    let mut sim = FleetSim {
        plan,
        random: StdRng::seed_from_u64(seed),
        now: TimePoint(0),
        routers: Vec::new(),
        targets: vec![(1, TimePoint(0)); usize::from(plan.targets)],
        runs: Vec::new(),
        probes: Vec::new(),
        returns: Vec::new(),
        record: FleetRecord::default(),
        next_number: 0,
    };
    sim.routers = (0..plan.routers).map(|index| sim.new_router(index, 1)).collect();
    for step in 0..STEPS {
        sim.advance(step);
    }
    sim.record
}

impl FleetSim {
    fn advance(&mut self, step: u64) {
        self.now = self.now.after(STEP);
        let has_begun = TimePoint(0).after(QUIET_TIME).passed(self.now);
        self.start_targets();
        if let Some(at) = self.plan.restart_at_s
            && TimePoint(0).after(STEP * step as u32) == TimePoint(0).after(Duration::from_secs(at))
        {
            self.routers[0] = self.new_router(0, 2);
            self.runs.retain(|run| run.router != 0);
            self.probes.retain(|(router, ..)| *router != 0);
        }
        if has_begun && self.occurs(self.plan.crashing_per_s) {
            self.call(self.new_caller(true));
        }
        if self.occurs(f64::from(self.plan.calls_per_s)) {
            self.call(self.new_caller(false));
        }
        let now = self.now;
        let returning: Vec<(Caller, TimePoint)> =
            self.returns.extract_if(.., |(_, at)| at.passed(now)).collect();
        for (caller, _) in returning {
            self.call(caller);
        }
        self.progress_runs();
        if has_begun && self.occurs(self.plan.random_crashes_per_s) {
            let first = self.random.random_range(0..self.targets.len());
            for offset in 0..self.plan.crashes_at_once {
                self.crash((first + offset) % self.targets.len());
            }
        }
        self.finish_probes();
        if step.is_multiple_of(STEPS_PER_HEARTBEAT) {
            self.exchange_heartbeats();
        }
        if step.is_multiple_of(STEPS_PER_SWEEP) {
            let now = self.now;
            self.routers.iter_mut().for_each(|router| router.sweep(now));
        }
    }

    /// Whether an event with this rate occurs in a step.
    fn occurs(&mut self, per_s: f64) -> bool {
        self.random.random_bool((per_s * STEP.as_secs_f64()).min(1.0))
    }

    fn new_router(&self, index: u16, incarnation: u64) -> ForwardCore {
        let mut core = match self.plan.content {
            CrashingContent::Segment => {
                new_router(self.now, index, incarnation, RetryRule::AtMostOnceStream)
            }
            CrashingContent::EntireCall => {
                new_router_with_attempts(self.now, index, incarnation, RetryRule::Idempotent, 2)
            }
        };
        let entries = self.targets.iter().enumerate();
        let entries = entries.map(|(target, (incarnation, _))| target_entry(target, *incarnation));
        core.list_targets(self.now, entries.collect());
        core
    }

    fn start_targets(&mut self) {
        for target in 0..self.targets.len() {
            let (incarnation, down_until) = self.targets[target];
            if down_until > TimePoint(0) && down_until.passed(self.now) {
                self.targets[target] = (incarnation + 1, TimePoint(0));
                let entry = target_entry(target, incarnation + 1);
                for router in &mut self.routers {
                    let entry = Some(entry.clone());
                    let notice = TargetNotice {
                        name: target_entry(target, 0).name,
                        revision: self.now.0,
                        entry,
                    };
                    router.on_targets_changed(self.now, vec![notice]);
                }
            }
        }
    }

    fn new_caller(&self, is_crashing: bool) -> Caller {
        let returns_left = u8::from(self.plan.content == CrashingContent::EntireCall);
        Caller { is_crashing, returns_left }
    }

    /// A caller sends a call to a random router.
    fn call(&mut self, caller: Caller) {
        let router = self.random.random_range(0..self.routers.len());
        self.next_number += 1;
        let prompt = match self.plan.content {
            CrashingContent::Segment => Some(self.prompt(caller.is_crashing)),
            CrashingContent::EntireCall => None,
        };
        let digest = match self.plan.content {
            CrashingContent::EntireCall if caller.is_crashing => CRASHING_DIGEST,
            // Above all segments, so that no key of a call is that of a segment.
            _ => ContentDigest(1_000_000_000 + u128::from(self.next_number)),
        };
        let head = call_head(self.now, self.next_number, prompt);
        if !caller.is_crashing {
            self.record.sound_calls += 1;
        }
        self.admit(router, Request { caller, head, digest });
    }

    fn admit(&mut self, router: usize, request: Request) {
        let head = request.head.clone();
        let admitted = self.routers[router].admit(self.now, head, request.digest);
        let call = admitted.expect("admitted").call;
        self.dispatch(router, call, request);
    }

    /// Sound calls have one of 40 first and one of 64 second segments; crashing ones share the first.
    fn prompt(&mut self, is_crashing: bool) -> PromptHead {
        let second =
            if is_crashing { CRASHING_SEGMENT } else { 1_000 + self.random.random_range(0..64) };
        let ids = [100 + self.random.random_range(0..40), second, 1_000_000 + self.next_number];
        PromptHead {
            input_tokens: 300,
            output_tokens: 10,
            segments: ids.map(|id| PromptSegment { id, tokens: 100 }).to_vec(),
        }
    }

    fn dispatch(&mut self, router: usize, call: CallKey, mut request: Request) {
        let caller = request.caller;
        loop {
            match self.routers[router].dispatch(self.now, call) {
                DispatchStep::Refuse(refusal) => {
                    let is_blocked =
                        matches!(refusal, Refusal::NotRun(NotRunCode::ContentSuspect, _));
                    self.record.sound_refused += u64::from(is_blocked && !caller.is_crashing);
                    if let Some(returns_left) = caller.returns_left.checked_sub(1) {
                        let caller = Caller { returns_left, ..caller };
                        self.returns.push((caller, self.now.after(RETURN_DELAY)));
                    }
                    return self.routers[router].finish(call);
                }
                DispatchStep::Wait(until) => panic!("waits until {until:?} without queueing"),
                DispatchStep::AskPlace(until) => panic!("asks until {until:?} for a place"),
                DispatchStep::Detour(detour) => {
                    let core = &mut self.routers[router];
                    core.on_detour_finished(self.now, call, DetourOutcome::Answered);
                    self.routers[router].finish(call);
                    request.head.detour = Some(DetourClaim {
                        key: detour.key,
                        attempts: detour.attempts,
                        version: Some(detour.version),
                    });
                    return self.admit(router_index(&detour.router), request);
                }
                DispatchStep::Send(attempt) => {
                    let target = target_index(attempt.address);
                    if self.targets[target].1 > TimePoint(0) {
                        let core = &mut self.routers[router];
                        core.on_attempt_finished(self.now, call, AttemptOutcome::Unsent);
                        continue;
                    }
                    if caller.is_crashing {
                        self.record.crashing_sends.push(self.now);
                    }
                    let starts_at = self.now.after(self.milliseconds(20, 80));
                    let ends_at = starts_at.after(self.milliseconds(300, 2_500));
                    return self.runs.push(Run {
                        router,
                        call,
                        target,
                        key: attempt.target,
                        starts_at,
                        ends_at,
                        started: false,
                        request,
                    });
                }
            }
        }
    }

    fn milliseconds(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.random.random_range(least..most))
    }

    fn progress_runs(&mut self) {
        let now = self.now;
        for run in &mut self.runs {
            if !run.started && run.starts_at.passed(now) {
                run.started = true;
                self.routers[run.router].on_response_started(now, run.call);
            }
        }
        let is_crash = |run: &Run| {
            run.request.caller.is_crashing && run.starts_at.after(CRASH_DELAY).passed(now)
        };
        let crashing: Vec<usize> =
            self.runs.iter().filter(|run| is_crash(run)).map(|run| run.target).collect();
        for target in crashing {
            self.crash(target);
        }
        for run in self.runs.extract_if(.., |run| run.ends_at.passed(now)) {
            let core = &mut self.routers[run.router];
            core.on_answer_complete(now, run.call);
            core.on_attempt_finished(now, run.call, AttemptOutcome::Completed);
            core.finish(run.call);
        }
    }

    fn crash(&mut self, target: usize) {
        if self.targets[target].1 > TimePoint(0) {
            return;
        }
        self.record.crashes.push(self.now);
        self.targets[target].1 = self.now.after(DOWN_TIME);
        let lost: Vec<Run> = self.runs.extract_if(.., |run| run.target == target).collect();
        for run in lost {
            let core = &mut self.routers[run.router];
            core.on_attempt_finished(self.now, run.call, AttemptOutcome::Lost);
            if core.take_crash_probe(self.now, run.key) {
                self.probes.push((run.router, run.key, self.now.after(PROBE_DELAY)));
            }
            self.dispatch(run.router, run.call, run.request);
        }
    }

    fn finish_probes(&mut self) {
        let now = self.now;
        for (router, target, _) in self.probes.extract_if(.., |(_, _, at)| at.passed(now)) {
            self.routers[router].on_target_unreachable(now, target);
        }
    }

    fn exchange_heartbeats(&mut self) {
        for sender in 0..self.routers.len() {
            let heartbeat = self.routers[sender].next_heartbeat(self.now);
            for receiver in 0..self.routers.len() {
                if receiver != sender && !self.random.random_bool(self.plan.lost_heartbeats) {
                    self.routers[receiver].on_heartbeat(self.now, heartbeat.clone());
                }
            }
        }
    }
}

/// Index of a router in its name.
fn router_index(name: &HostName) -> usize {
    let index = name.as_str().strip_prefix("router-").and_then(|index| index.parse().ok());
    index.expect("the name of a router")
}
