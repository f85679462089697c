//! A fleet in virtual time before targets that fall over when they reject too many calls in a second.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, VecDeque},
    time::Duration,
};

use base_types::{ContentDigest, Refusal, TargetKey, TimePoint};
use core_forward::{
    AttemptOutcome, CallKey, DetourOutcome, DispatchStep, ForwardCore, PlaceMessage,
    RejectionLimit, TargetEntry,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    fixture::{
        call_head, new_unlimited_router, router_entry, router_index, target_entry, target_index,
    },
    heartbeats::HeartbeatPlan,
};

const STEP: Duration = Duration::from_millis(1);
const RUN_TIME: Duration = Duration::from_secs(15);
/// Time at which targets begin to state that they are fragile.
pub(crate) const STATED_AT: TimePoint = TimePoint(2_000_000);
/// Time at which the load rises above what the targets can do.
const SURGE_AT: TimePoint = TimePoint(4_000_000);
/// Time from which targets let fewer calls wait.
pub(crate) const SHRUNK_AT: TimePoint = TimePoint(5_000_000);
/// Time at which routers restart.
const RESTARTED_AT: TimePoint = TimePoint(8_000_000);
/// Time after its start at which a router sends its first heartbeat.
const FIRST_HEARTBEAT_DELAY: Duration = Duration::from_millis(100);
/// Time after its start from which a router is judged.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after which a target that fell over is back.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// One-way delay between any two hosts.
const LINK_DELAY: Duration = Duration::from_millis(1);
/// Calls that wait at a target before it lets fewer wait.
const WAITING_BEFORE: usize = 24;
/// Longest time after which a refused caller returns.
const RETURN_TIME_MAX: Duration = Duration::from_secs(1);

/// What is played.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FragilePlan {
    pub(crate) routers: u16,
    pub(crate) targets: usize,
    pub(crate) slots: u32,
    /// Calls that wait at a target once it lets fewer wait.
    pub(crate) waiting: usize,
    /// Rejections a second above which a target falls over; `None` if targets are not fragile.
    pub(crate) bearable: Option<u32>,
    pub(crate) service_time: Duration,
    /// Calls from the surge on, as a multiple of what the targets can do.
    pub(crate) load: f64,
    pub(crate) heartbeats: HeartbeatPlan,
    /// Share of the routers that restart at 8 s.
    pub(crate) restarted_share: f64,
    pub(crate) seeds: u64,
}

/// What was seen.
#[derive(Debug, Default)]
pub(crate) struct FragileRecord {
    /// When targets fell over, and which; without falls after which most of what was rejected came from
    /// routers that had just started.
    pub(crate) falls: Vec<(TimePoint, usize)>,
    pub(crate) other_falls: u32,
    /// Calls sent by callers, and messages about places sent by routers.
    pub(crate) calls: u64,
    pub(crate) messages: usize,
    /// Rejections by targets.
    pub(crate) rejections: u64,
    /// Calls served from [`SHRUNK_AT`] on.
    pub(crate) served: u64,
    /// Calls refused by routers, and when their callers may return.
    pub(crate) refused: Vec<(TimePoint, TimePoint)>,
}

impl FragileRecord {
    /// Part of what the targets can do that was served after they let fewer calls wait.
    pub(crate) fn served_share(&self, plan: &FragilePlan) -> f64 {
        let seconds = TimePoint(0).after(RUN_TIME).since(SHRUNK_AT).as_secs_f64();
        self.served as f64 / (plan.calls_per_s() * seconds)
    }
}

impl FragilePlan {
    /// Calls a second that the targets can do.
    fn calls_per_s(&self) -> f64 {
        self.targets as f64 * f64::from(self.slots) / self.service_time.as_secs_f64()
    }
}

/// A call at a router, which keeps its key as long as the router runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RoutedCall {
    router: usize,
    /// Start of the router.
    start: u64,
    call: CallKey,
    target: TargetKey,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrives(usize, u64, RoutedCall),
    Completes(usize, u64, RoutedCall),
    Answered(RoutedCall, SimAnswer),
    CallerReturns,
    /// A call is dispatched again, as the keeper of a place has answered or not.
    Dispatched(usize, u64, CallKey),
    /// A message about a place reaches a router.
    Message(usize, usize),
    TargetIsBack(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimAnswer {
    Served,
    Rejected,
    Lost,
    Unsent,
}

#[derive(Debug)]
struct SimTarget {
    incarnation: u64,
    is_up: bool,
    running: usize,
    waiting: VecDeque<RoutedCall>,
    at_work: Vec<RoutedCall>,
    /// When calls were rejected, and whether their routers had run for some time.
    rejected: VecDeque<(TimePoint, bool)>,
}

impl SimTarget {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            is_up: true,
            running: 0,
            waiting: VecDeque::new(),
            at_work: Vec::new(),
            rejected: VecDeque::new(),
        }
    }
}

/// The fleet, its targets and its callers.
#[derive(Debug)]
pub(crate) struct FragileSim {
    plan: FragilePlan,
    random: StdRng,
    now: TimePoint,
    routers: Vec<ForwardCore>,
    starts: Vec<u64>,
    targets: Vec<SimTarget>,
    events: BinaryHeap<Reverse<(TimePoint, u64, SimEvent)>>,
    event_number: u64,
    /// Messages about places, in the order in which they were sent.
    messages: Vec<PlaceMessage>,
    /// Calls whose routers wait for an answer of a keeper.
    asking: BTreeSet<(usize, CallKey)>,
    calls: u64,
    record: FragileRecord,
}

impl FragileSim {
    pub(crate) fn play(plan: FragilePlan, seed: u64) -> FragileRecord {
        let mut sim = Self {
            plan,
            random: StdRng::seed_from_u64(seed),
            now: TimePoint(0),
            routers: Vec::new(),
            starts: vec![1; usize::from(plan.routers)],
            targets: (0..plan.targets).map(|_| SimTarget::new(1)).collect(),
            events: BinaryHeap::new(),
            event_number: 0,
            messages: Vec::new(),
            asking: BTreeSet::new(),
            calls: 0,
            record: FragileRecord::default(),
        };
        sim.routers = (0..usize::from(plan.routers)).map(|index| sim.start_router(index)).collect();
        let mut due_calls = 0.0;
        for step in 0..(RUN_TIME.as_micros() / STEP.as_micros()) as u64 {
            sim.now = TimePoint(0).after(STEP * step as u32);
            sim.restart_routers();
            let load = if SURGE_AT.passed(sim.now) { plan.load } else { 0.6 };
            due_calls += load * plan.calls_per_s() * STEP.as_secs_f64();
            while due_calls >= 1.0 {
                due_calls -= 1.0;
                sim.new_call(true);
            }
            sim.run_events();
            plan.heartbeats.exchange(sim.now, step, &mut sim.routers, &mut sim.random);
            if sim.now == RESTARTED_AT.after(FIRST_HEARTBEAT_DELAY) {
                let restarted = sim.restarted();
                plan.heartbeats.exchange_of(restarted, sim.now, &mut sim.routers, &mut sim.random);
            }
            if step % 100 == 0 {
                sim.probe_links();
            }
            if step % 1_000 == 0 {
                sim.routers.iter_mut().for_each(|core| core.sweep(sim.now));
            }
        }
        sim.record.calls = sim.calls;
        sim.record.messages = sim.messages.len();
        sim.record
    }

    fn entries(&self) -> Vec<TargetEntry> {
        let entries = self.targets.iter().enumerate().map(|(index, target)| TargetEntry {
            slots: self.plan.slots,
            ..target_entry(index, target.incarnation)
        });
        entries.collect()
    }

    fn start_router(&self, index: usize) -> ForwardCore {
        let mut core = {
            let start = self.starts[index];
            new_unlimited_router(self.now, index as u16, start, start == 1)
        };
        core.list_targets(self.now, self.entries());
        let routers = 0..self.plan.routers;
        core.list_routers(
            routers.map(|other| router_entry(other, self.starts[usize::from(other)])).collect(),
        );
        core
    }

    /// Number of the routers that restart, the first ones.
    fn restarted(&self) -> usize {
        (self.plan.restarted_share * self.routers.len() as f64) as usize
    }

    fn restart_routers(&mut self) {
        if self.now != RESTARTED_AT {
            return;
        }
        let restarted = self.restarted();
        for index in 0..restarted {
            self.starts[index] += 1;
            self.drop_calls_of(index);
            let mut core = self.start_router(index);
            let snapshot = self.routers.get(restarted).map(|other| other.snapshot(self.now));
            snapshot.into_iter().for_each(|snapshot| core.restore(self.now, snapshot));
            self.routers[index] = core;
        }
    }

    /// Targets drop the calls of a router whose connections have closed.
    fn drop_calls_of(&mut self, router: usize) {
        for target in &mut self.targets {
            target.waiting.retain(|call| call.router != router);
            let running = target.at_work.len();
            target.at_work.retain(|call| call.router != router);
            target.running -= running - target.at_work.len();
        }
    }

    fn probe_links(&mut self) {
        for core in &mut self.routers {
            for probe in core.take_link_probes(self.now) {
                if self.targets[target_index(probe.address)].is_up {
                    core.on_target_reachable(self.now, probe.target);
                } else {
                    core.on_target_unreachable(self.now, probe.target);
                }
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.event_number += 1;
        self.events.push(Reverse((self.now.after(delay), self.event_number, event)));
    }

    fn run_events(&mut self) {
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && at.passed(self.now)
        {
            let Some(Reverse((_, _, event))) = self.events.pop() else { return };
            self.run_event(event);
            self.wake_calls();
        }
    }

    /// Dispatches the calls that have got a place in the meantime.
    fn wake_calls(&mut self) {
        for router in 0..self.routers.len() {
            for call in self.routers[router].take_startable(self.now) {
                self.redispatch(router, call);
            }
            self.send_place_messages(router);
        }
    }

    fn run_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrives(target, incarnation, call) => self.arrive(target, incarnation, call),
            SimEvent::Completes(target, incarnation, call) => {
                self.complete(target, incarnation, call);
            }
            SimEvent::Answered(call, answer) => self.answer(call, answer),
            SimEvent::CallerReturns => self.new_call(false),
            SimEvent::Dispatched(router, start, call) => {
                if self.starts[router] == start && self.asking.contains(&(router, call)) {
                    self.redispatch(router, call);
                }
            }
            SimEvent::Message(router, index) => {
                let message = self.messages[index].clone();
                if let Some(call) = self.routers[router].on_place_message(self.now, message) {
                    self.redispatch(router, call);
                }
                self.send_place_messages(router);
            }
            SimEvent::TargetIsBack(target) => {
                self.targets[target] = SimTarget::new(self.targets[target].incarnation + 1);
                let entries = self.entries();
                for core in &mut self.routers {
                    core.list_targets(self.now, entries.clone());
                }
            }
        }
    }

    /// Has a caller send a call; one that is refused returns once.
    fn new_call(&mut self, may_return: bool) {
        self.calls += 1;
        let router = self.random.random_range(0..self.routers.len());
        let (now, core) = (self.now, &mut self.routers[router]);
        let head = call_head(now, self.calls, None);
        let digest = ContentDigest(u128::from(self.calls));
        let call = core.admit(now, head, digest).expect("admitted").call;
        if let Some(retry_at) = self.dispatch(router, call)
            && may_return
        {
            let delay = retry_at.since(self.now).min(RETURN_TIME_MAX);
            self.schedule(delay, SimEvent::CallerReturns);
        }
    }

    /// Dispatches a call; returns when its caller may return if it is refused as not run.
    fn dispatch(&mut self, router: usize, call: CallKey) -> Option<TimePoint> {
        let core = &mut self.routers[router];
        match core.dispatch(self.now, call) {
            DispatchStep::Send(attempt) => {
                let target = target_index(attempt.address);
                let start = self.starts[router];
                let routed = RoutedCall { router, start, call, target: attempt.target };
                let incarnation = self.targets[target].incarnation;
                self.schedule(LINK_DELAY, SimEvent::Arrives(target, incarnation, routed));
                None
            }
            DispatchStep::Refuse(refusal) => {
                core.finish(call);
                self.send_place_messages(router);
                let Refusal::NotRun(_, retry_at) = refusal else { return None };
                self.record.refused.push((self.now, retry_at));
                Some(retry_at)
            }
            DispatchStep::AskPlace(until) => {
                self.asking.insert((router, call));
                let wakeup = SimEvent::Dispatched(router, self.starts[router], call);
                self.schedule(until.since(self.now), wakeup);
                self.send_place_messages(router);
                None
            }
            DispatchStep::Detour(_) => {
                // No other router accepts a connection, so that each call is sent by its own router.
                core.on_detour_finished(self.now, call, DetourOutcome::Unsent);
                self.dispatch(router, call)
            }
            step => panic!("{step:?}"),
        }
    }

    fn redispatch(&mut self, router: usize, call: CallKey) {
        self.asking.remove(&(router, call));
        if let Some(retry_at) = self.dispatch(router, call) {
            let delay = retry_at.since(self.now).min(RETURN_TIME_MAX);
            self.schedule(delay, SimEvent::CallerReturns);
        }
    }

    /// Sends the messages that a router has for others.
    fn send_place_messages(&mut self, router: usize) {
        for (address, message) in self.routers[router].take_place_messages() {
            if !self.random.random_bool(self.plan.heartbeats.lost_share) {
                let receiver = router_index(address);
                self.messages.push(message);
                self.schedule(LINK_DELAY, SimEvent::Message(receiver, self.messages.len() - 1));
            }
        }
    }

    fn arrive(&mut self, index: usize, incarnation: u64, call: RoutedCall) {
        let (now, plan) = (self.now, self.plan);
        let target = &mut self.targets[index];
        if !target.is_up || target.incarnation != incarnation {
            return self.schedule(LINK_DELAY, SimEvent::Answered(call, SimAnswer::Unsent));
        }
        let is_shrunk = plan.bearable.is_some() && SHRUNK_AT.passed(now);
        let waiting_max = if is_shrunk { plan.waiting } else { WAITING_BEFORE };
        if target.running < plan.slots as usize {
            target.running += 1;
            target.at_work.push(call);
            self.schedule(plan.service_time, SimEvent::Completes(index, incarnation, call));
        } else if target.waiting.len() < waiting_max {
            target.waiting.push_back(call);
        } else {
            self.reject(index, call);
        }
    }

    fn reject(&mut self, index: usize, call: RoutedCall) {
        let now = self.now;
        self.record.rejections += 1;
        let is_settled = call.start == 1 || RESTARTED_AT.after(SETTLE_TIME).passed(now);
        let target = &mut self.targets[index];
        target.rejected.retain(|(at, _)| now.since(*at) < Duration::from_secs(1));
        target.rejected.push_back((now, is_settled));
        let rejected = target.rejected.len() as u32;
        self.schedule(LINK_DELAY, SimEvent::Answered(call, SimAnswer::Rejected));
        let is_stated = STATED_AT.passed(now);
        if is_stated && self.plan.bearable.is_some_and(|bearable| rejected > bearable) {
            self.fall(index);
        }
    }

    fn fall(&mut self, index: usize) {
        let target = &mut self.targets[index];
        let settled = target.rejected.iter().filter(|(_, is_settled)| *is_settled).count();
        if settled * 2 > target.rejected.len() {
            self.record.falls.push((self.now, index));
        } else {
            self.record.other_falls += 1;
        }
        target.is_up = false;
        let lost: Vec<RoutedCall> =
            target.at_work.drain(..).chain(target.waiting.drain(..)).collect();
        for call in lost {
            self.schedule(LINK_DELAY, SimEvent::Answered(call, SimAnswer::Lost));
        }
        self.schedule(DOWN_TIME, SimEvent::TargetIsBack(index));
    }

    fn complete(&mut self, index: usize, incarnation: u64, call: RoutedCall) {
        let service_time = self.plan.service_time;
        let target = &mut self.targets[index];
        if !target.is_up || target.incarnation != incarnation {
            return;
        }
        let running = target.at_work.len();
        target.at_work.retain(|running| *running != call);
        if target.at_work.len() == running {
            return;
        }
        let next = target.waiting.pop_front();
        match next {
            Some(next) => target.at_work.push(next),
            None => target.running -= 1,
        }
        if let Some(next) = next {
            self.schedule(service_time, SimEvent::Completes(index, incarnation, next));
        }
        self.schedule(LINK_DELAY, SimEvent::Answered(call, SimAnswer::Served));
    }

    fn answer(&mut self, routed: RoutedCall, answer: SimAnswer) {
        let RoutedCall { router, start, call, .. } = routed;
        if self.starts[router] != start {
            return;
        }
        let (now, core) = (self.now, &mut self.routers[router]);
        let outcome = match answer {
            SimAnswer::Served => AttemptOutcome::Completed,
            SimAnswer::Rejected => AttemptOutcome::Declined,
            SimAnswer::Lost => AttemptOutcome::Lost,
            SimAnswer::Unsent => AttemptOutcome::Unsent,
        };
        if let SimAnswer::Served | SimAnswer::Rejected = answer {
            let limit = self.plan.bearable.filter(|_| STATED_AT.passed(now)).map(RejectionLimit);
            core.on_target_answered(now, call);
            core.on_rejection_limit(now, routed.target, limit);
        }
        core.on_attempt_finished(now, call, outcome);
        self.send_place_messages(router);
        if answer == SimAnswer::Served {
            self.routers[router].finish(call);
            self.record.served += u64::from(SHRUNK_AT.passed(now));
        } else {
            self.dispatch(router, call);
        }
    }
}
