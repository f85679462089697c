//! Replay of a load through a fleet of routers in virtual time, with targets that queue calls by rank.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Range,
    time::Duration,
};

use base_types::{ContentDigest, NotRunCode, Refusal, TargetKey, TimePoint};
use core_forward::{
    AttemptOutcome, CallHead, CallKey, DispatchStep, ForwardCore, PromptHead, StopSchedule,
    TargetEntry,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use state_config::KeyDigest;

use super::{
    fixture::{account_name, call_head, new_queueing_router, target_entry, target_index},
    heartbeats::HeartbeatPlan,
};

pub(crate) const STEP: Duration = Duration::from_millis(5);
/// Time from a call's start at a target to its answer.
const FIRST_ANSWER: Duration = Duration::from_millis(50);

/// Work of a call beside its prompt: [`FIRST_ANSWER`] in tokens.
const CALL_TOKENS: u64 = 2_500;

/// Seconds in which a load is constant and queues have filled.
const STEADY_S: Range<u64> = 4..12;

/// Calls of one account.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadStream {
    /// Calls a second at all routers together.
    pub(crate) calls_per_s: f64,
    /// Account, 0 to 9; see `LoadPlan::ranks` for its rank.
    pub(crate) account: usize,
    /// Tokens of the prompt; each takes 20 us of a slot.
    pub(crate) tokens: u32,
    /// Time from the arrival of a call to its deadline.
    pub(crate) deadline_ms: u64,
    /// Span of seconds in which calls arrive.
    pub(crate) from_s: u64,
    pub(crate) until_s: u64,
}

/// A load and the fleet that it meets.
#[derive(Debug, Clone)]
pub(crate) struct LoadPlan {
    pub(crate) queueing: bool,
    pub(crate) routers: u16,
    pub(crate) targets: usize,
    pub(crate) slots: u32,
    /// Whether the targets' entries state their slots.
    pub(crate) states_slots: bool,
    pub(crate) ranks: [u8; 10],
    pub(crate) streams: Vec<LoadStream>,
    pub(crate) steps_per_heartbeat: u64,
    /// Span of seconds in which no heartbeat arrives.
    pub(crate) partition_s: (u64, u64),
    /// Second at which router 0 stops gracefully.
    pub(crate) stop_at_s: Option<u64>,
    /// Percentage of the calls that targets decline; such calls are sent to another target.
    pub(crate) declined_percent: u32,
    /// Number of targets that never answer.
    pub(crate) silent: usize,
    pub(crate) seconds: u64,
}

/// Results by account and tokens.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StreamRecord {
    pub(crate) arrived: u32,
    /// Calls whose answer started before their deadline.
    pub(crate) served: u32,
    /// Those of them whose answer started in [`STEADY_S`].
    pub(crate) served_steadily: u32,
    pub(crate) refused: u32,
    /// Calls that waited or ran at their deadline.
    pub(crate) expired: u32,
    /// Longest wait in the router.
    pub(crate) waited_ms_max: u64,
}

#[derive(Debug, Default)]
pub(crate) struct LoadRecord {
    pub(crate) streams: BTreeMap<(usize, u32), StreamRecord>,
    /// Refusals while less than half of the places were taken and no call waited.
    pub(crate) idle_refusals: u32,
    /// Mean part of the places beyond which targets had calls, while calls waited in routers.
    pub(crate) over_admission: f64,
    /// Mean part of the places that were idle while calls waited in routers.
    pub(crate) idle_slots: f64,
    /// Shortest and longest time until refused callers may return.
    pub(crate) return_ms: (u64, u64),
    /// Calls that ran more than once.
    pub(crate) repeated: u32,
    /// Calls refused as not run that a target had started.
    pub(crate) untrue: u32,
    /// Longest wait of a call that a target had declined before.
    pub(crate) retry_waited_ms_max: u64,
}

impl LoadRecord {
    /// Work of the calls of selected accounts that were answered while the load was constant, in tokens.
    pub(crate) fn steady_work(&self, selects: impl Fn(usize) -> bool) -> u64 {
        let streams = self.streams.iter().filter(|((account, _), _)| selects(*account));
        let work = |tokens: u32| u64::from(tokens) + CALL_TOKENS;
        let works =
            streams.map(|((_, tokens), record)| work(*tokens) * u64::from(record.served_steadily));
        works.sum()
    }
}

#[derive(Debug)]
struct LiveCall {
    router: usize,
    call: CallKey,
    stream: LoadStream,
    rank: u8,
    deadline: TimePoint,
    /// Since when it waits in the router, and when it is dispatched again at the latest.
    wait: Option<(TimePoint, TimePoint)>,
    sent: Option<TargetKey>,
    starts: u32,
    declined: bool,
}

#[derive(Debug, Default)]
struct SlotTarget {
    /// Ends and numbers of calls.
    running: BTreeSet<(TimePoint, u64)>,
    answers: VecDeque<(TimePoint, u64)>,
    waiting: BTreeSet<(u8, u64)>,
}

#[derive(Debug)]
pub(crate) struct LoadSim {
    plan: LoadPlan,
    random: StdRng,
    /// Random numbers of the load, which is the same whatever the routers do.
    load_random: StdRng,
    now: TimePoint,
    routers: Vec<ForwardCore>,
    targets: Vec<SlotTarget>,
    calls: BTreeMap<u64, LiveCall>,
    numbers: BTreeMap<(usize, CallKey), u64>,
    record: LoadRecord,
    next: u64,
    /// Sums over steps with waiting calls: excess, idle places, steps.
    sums: (u64, u64, u64),
}

impl LoadSim {
    pub(crate) fn play(plan: &LoadPlan, seed: u64) -> LoadRecord {
        let now = TimePoint(0);
        let start = |index| {
            let mut core = new_queueing_router(now, index, 1, plan.queueing, plan.ranks);
            let slots = if plan.states_slots { plan.slots } else { 0 };
            let entry = |target| TargetEntry { slots, ..target_entry(target, 1) };
            core.list_targets(now, (0..plan.targets).map(entry).collect());
            core
        };
        let mut sim = Self {
            random: StdRng::seed_from_u64(seed),
            load_random: StdRng::seed_from_u64(seed + 1),
            now,
            routers: (0..plan.routers).map(start).collect(),
            targets: (0..plan.targets).map(|_| SlotTarget::default()).collect(),
            calls: BTreeMap::new(),
            numbers: BTreeMap::new(),
            record: LoadRecord { return_ms: (u64::MAX, 0), ..LoadRecord::default() },
            next: 0,
            sums: (0, 0, 0),
            plan: plan.clone(),
        };
        for step in 0..plan.seconds * 1_000 / STEP.as_millis() as u64 {
            sim.now = TimePoint(0).after(STEP * step as u32);
            sim.step(step);
        }
        let places =
            (sim.plan.targets as u64 * u64::from(sim.plan.slots) * sim.sums.2).max(1) as f64;
        sim.record.over_admission = sim.sums.0 as f64 / places;
        sim.record.idle_slots = sim.sums.1 as f64 / places;
        sim.record
    }

    fn step(&mut self, step: u64) {
        let second = self.now.0 / 1_000_000;
        if self.plan.stop_at_s.is_some_and(|at| self.now == TimePoint(at * 1_000_000)) {
            self.routers[0].start_shutdown(StopSchedule {
                started_at: TimePoint(0),
                idle_stop_at: TimePoint::NEVER,
                listed_until: TimePoint::NEVER,
                stop_at: TimePoint::NEVER,
            });
        }
        self.progress_targets();
        self.arrive(second);
        let (from, until) = self.plan.partition_s;
        if !(from..until).contains(&second) {
            let steps_per_heartbeat = self.plan.steps_per_heartbeat;
            let heartbeats = HeartbeatPlan { steps_per_heartbeat, lost_share: 0.0 };
            heartbeats.exchange(self.now, step, &mut self.routers, &mut self.random);
        }
        if step.is_multiple_of(200) {
            self.routers.iter_mut().for_each(|router| router.sweep(self.now));
        }
        self.wake();
        let waits = self.calls.values().any(|call| call.wait.is_some());
        if waits {
            for target in &self.targets {
                let load = (target.running.len() + target.waiting.len()) as u64;
                self.sums.0 += load.saturating_sub(u64::from(self.plan.slots));
                self.sums.1 += u64::from(self.plan.slots).saturating_sub(load);
            }
            self.sums.2 += 1;
        }
    }

    fn arrive(&mut self, second: u64) {
        for stream in self.plan.streams.clone() {
            let expected = stream.calls_per_s * STEP.as_secs_f64();
            let count =
                expected.floor() as u32 + u32::from(self.load_random.random_bool(expected.fract()));
            if !(stream.from_s..stream.until_s).contains(&second) {
                continue;
            }
            for _ in 0..count {
                self.call(stream);
            }
        }
    }

    fn call(&mut self, stream: LoadStream) {
        let (number, now) = (self.next, self.now);
        self.next += 1;
        self.record.streams.entry((stream.account, stream.tokens)).or_default().arrived += 1;
        let router = self.load_random.random_range(0..self.routers.len());
        let prompt = PromptHead { input_tokens: stream.tokens, output_tokens: 1, segments: vec![] };
        let deadline = now.after(Duration::from_millis(stream.deadline_ms));
        let account_key = Some(KeyDigest::of(account_name(stream.account).as_str().as_bytes()));
        let head = CallHead { account_key, deadline, ..call_head(now, number, Some(prompt)) };
        let admitted = self.routers[router].admit(now, head, ContentDigest(u128::from(number)));
        let call = admitted.expect("admitted").call;
        let rank = self.plan.ranks[stream.account];
        let live = LiveCall {
            router,
            call,
            stream,
            rank,
            deadline,
            wait: None,
            sent: None,
            starts: 0,
            declined: false,
        };
        self.calls.insert(number, live);
        self.numbers.insert((router, call), number);
        self.dispatch(number);
    }

    fn dispatch(&mut self, number: u64) {
        let now = self.now;
        let Some(live) = self.calls.get_mut(&number) else { return };
        let core = &mut self.routers[live.router];
        let any_waits = !core.status(now).waits.is_empty();
        match core.dispatch(now, live.call) {
            DispatchStep::Send(attempt) => {
                if let Some((since, _)) = live.wait.take() {
                    let waited = now.since(since).as_millis() as u64;
                    let key = (live.stream.account, live.stream.tokens);
                    let record = self.record.streams.entry(key).or_default();
                    record.waited_ms_max = record.waited_ms_max.max(waited);
                    if live.declined {
                        let longest = &mut self.record.retry_waited_ms_max;
                        *longest = waited.max(*longest);
                    }
                }
                let is_declined =
                    !live.declined && self.random.random_range(0..100) < self.plan.declined_percent;
                if is_declined {
                    live.declined = true;
                    core.on_attempt_finished(now, live.call, AttemptOutcome::Declined);
                    return self.dispatch(number);
                }
                live.sent = Some(attempt.target);
                live.starts += 1;
                self.record.repeated += u32::from(live.starts > 1);
                let target = target_index(attempt.address);
                self.targets[target].waiting.insert((live.rank, number));
                self.start_waiting(target);
            }
            DispatchStep::Wait(until) => {
                assert!(until > now, "a call would be dispatched without end");
                let since = live.wait.map_or(now, |(since, _)| since);
                live.wait = Some((since, until));
            }
            DispatchStep::Refuse(refusal) => self.refuse(number, refusal, any_waits),
            step @ (DispatchStep::Detour(_) | DispatchStep::AskPlace(_)) => panic!("{step:?}"),
        }
    }

    fn refuse(&mut self, number: u64, refusal: Refusal, any_waits: bool) {
        let Some(live) = self.calls.remove(&number) else { return };
        let record = self.record.streams.entry((live.stream.account, live.stream.tokens));
        record.or_default().refused += 1;
        if let Refusal::NotRun(code, return_at) = refusal {
            self.record.untrue += u32::from(live.starts > 0);
            let taken: usize =
                self.targets.iter().map(|target| target.running.len() + target.waiting.len()).sum();
            let is_idle = taken * 2 < self.plan.targets * self.plan.slots as usize;
            self.record.idle_refusals += u32::from(is_idle && !any_waits && live.wait.is_none());
            if code == NotRunCode::TargetsFull {
                let after = return_at.since(self.now).as_millis() as u64;
                let (shortest, longest) = self.record.return_ms;
                self.record.return_ms = (shortest.min(after), longest.max(after));
            }
        }
        self.routers[live.router].finish(live.call);
    }

    /// Dispatches the calls that may start or whose time is over, as the router's tasks do.
    fn wake(&mut self) {
        let now = self.now;
        let due = |live: &LiveCall| live.wait.is_some_and(|(_, until)| until.passed(now));
        let due: Vec<u64> =
            self.calls.iter().filter(|(_, live)| due(live)).map(|(number, _)| *number).collect();
        due.into_iter().for_each(|number| self.dispatch(number));
        for router in 0..self.routers.len() {
            loop {
                let startable = self.routers[router].take_startable(now);
                let number_of = |call: &CallKey| self.numbers.get(&(router, *call)).copied();
                let numbers: Vec<u64> = startable.iter().filter_map(number_of).collect();
                let mut has_progress = false;
                for number in numbers {
                    self.dispatch(number);
                    has_progress |= self.calls.get(&number).is_none_or(|live| live.wait.is_none());
                }
                if !has_progress {
                    break;
                }
            }
        }
    }

    fn progress_targets(&mut self) {
        let now = self.now;
        for target in 0..self.targets.len() {
            while let Some((at, number)) = self.targets[target].answers.front().copied()
                && at.passed(now)
            {
                self.targets[target].answers.pop_front();
                if let Some(live) = self.calls.get(&number) {
                    let key = (live.stream.account, live.stream.tokens);
                    let record = self.record.streams.entry(key).or_default();
                    record.served += 1;
                    let is_steady = STEADY_S.contains(&(now.0 / 1_000_000));
                    record.served_steadily += u32::from(is_steady);
                    self.routers[live.router].on_response_started(now, live.call);
                }
            }
            while let Some((at, number)) = self.targets[target].running.first().copied()
                && at.passed(now)
            {
                self.targets[target].running.pop_first();
                if let Some(live) = self.calls.remove(&number) {
                    let core = &mut self.routers[live.router];
                    core.on_attempt_finished(now, live.call, AttemptOutcome::Completed);
                    core.finish(live.call);
                }
            }
            let expired: Vec<_> = self.targets[target].waiting.iter().copied().collect();
            for (rank, number) in expired {
                let live = &self.calls[&number];
                if live.deadline.passed(now.after(FIRST_ANSWER)) {
                    self.targets[target].waiting.remove(&(rank, number));
                    let live = self.calls.remove(&number).expect("a live call");
                    let record =
                        self.record.streams.entry((live.stream.account, live.stream.tokens));
                    record.or_default().expired += 1;
                    let core = &mut self.routers[live.router];
                    core.on_attempt_finished(now, live.call, AttemptOutcome::Expired);
                    core.finish(live.call);
                }
            }
            self.start_waiting(target);
        }
    }

    fn start_waiting(&mut self, index: usize) {
        if index < self.plan.silent {
            return;
        }
        let (now, slots) = (self.now, self.plan.slots as usize);
        let target = &mut self.targets[index];
        while target.running.len() < slots
            && let Some((_, number)) = target.waiting.pop_first()
        {
            let tokens = self.calls[&number].stream.tokens;
            let time = FIRST_ANSWER + Duration::from_micros(20) * tokens;
            target.running.insert((now.after(time), number));
            target.answers.push_back((now.after(FIRST_ANSWER), number));
        }
    }
}
