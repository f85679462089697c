//! Simulates one policy in one scenario.

mod faults;
mod totals;

use std::{collections::BTreeMap, time::Duration};

use base_types::{
    AttemptKey, FailureDomainName, HostName, PeerNotice, PlacementToken, Refusal, RequestKey,
    TimePoint, UnknownCode, message_types,
};
use core_router::{
    AttemptOutcome, Effect, Event, HostEntry, HostRole, HostState, LoadReport, RequestStep,
};
use policy_routing::unit_hash;

use crate::{
    FakeEngine, FleetChange, PolicyKind, PromptSegments, RunFigures, ScenarioPlan,
    engine::StartedAttempt,
    fleet::{FleetRouter, create_router, incoming_request, target_group},
    run::totals::RunTotals,
    trace::{ChatSource, ChatState},
};

const NETWORK_DELAY: Duration = Duration::from_millis(1);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);
/// Time until an attempt on a failing target is reported lost.
const FAILURE_DELAY: Duration = Duration::from_millis(20);
const HOST_LIST_DELAY_MIN: Duration = Duration::from_millis(200);
const HOST_LIST_DELAY_SPREAD_MS: u32 = 1800;
const CALLER_RETRIES_MAX: u32 = 5;

/// Lowest number of a chat whose requests crash the targets that run them.
const FIRST_CRASHING_CHAT: u64 = 1 << 60;

/// Time from the start of a crashing request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(50);
/// Pause of the caller before it sends a crashing request again.
const CRASHING_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Runs a policy in a scenario and returns the results.
pub fn run_scenario(plan: &ScenarioPlan, policy: PolicyKind) -> RunFigures {
    let mut run = ScenarioRun::new(plan.clone(), policy);
    run.schedule_initial_events();
    run.run_to_end();
    run.totals.figures(plan)
}

message_types! {
    /// An event of the simulation, scheduled at a point in virtual time.
    enum SimEvent {
        /// A caller sends the next turn of a chat, after this number of refusals.
        StartTurn(ChatState, u32),
        /// A router receives an event.
        DeliverEvent(u32, Event),
        /// A target completes an attempt.
        FinishAttempt(u32, AttemptKey),
        /// The timer of a router fires, unless it was rescheduled.
        RouterTimer(u32),
        InjectFault(FleetChange),
        /// A drained target goes down.
        TakeDownDrained(u32),
        /// A target crashes because of a chat's content.
        CrashTarget(u32, u64),
        SampleLoads,
    }

    /// A chat turn that a router is handling.
    struct InFlightTurn {
        router: u32,
        chat: ChatState,
        prompt: PromptSegments,
        started_at: TimePoint,
        retries: u32,
    }

    /// An attempt that an engine runs or queues.
    #[derive(Copy)]
    struct InFlightAttempt {
        target: u32,
        request: RequestKey,
    }
}

/// A simulated target: its engine and its current condition.
#[derive(Debug)]
struct TargetState {
    engine: FakeEngine,
    is_up: bool,
    draining_since: Option<TimePoint>,
    is_failing: bool,
}

struct ScenarioRun {
    plan: ScenarioPlan,
    now: TimePoint,
    events: BTreeMap<(TimePoint, u64), SimEvent>,
    event_sequence: u64,
    chat_source: ChatSource,
    routers: Vec<Box<dyn FleetRouter>>,
    /// Next timer of each router.
    timers: Vec<TimePoint>,
    targets: Vec<TargetState>,
    turns: BTreeMap<RequestKey, InFlightTurn>,
    attempts: BTreeMap<AttemptKey, InFlightAttempt>,
    /// Target that received the most recent turn of each chat.
    holders: BTreeMap<u64, u32>,
    /// Holders at the last drain or `StartMoveCount`, without the chats that have returned since.
    holders_at_count_start: BTreeMap<u64, u32>,
    placement_tokens: BTreeMap<u64, PlacementToken>,
    surge_active: bool,
    request_count: u64,
    cache_capacity_tokens: u64,
    totals: RunTotals,
}

impl ScenarioRun {
    fn new(plan: ScenarioPlan, policy: PolicyKind) -> Self {
        let routers = (0..plan.routers).map(|index| create_router(&plan, policy, index)).collect();
        let cache_capacity_tokens = cache_capacity_tokens(&plan);
        let mut run = Self {
            now: TimePoint(0),
            events: BTreeMap::new(),
            event_sequence: 0,
            chat_source: ChatSource::new(plan.workload, plan.seed),
            routers,
            timers: vec![TimePoint::NEVER; plan.routers as usize],
            targets: Vec::new(),
            turns: BTreeMap::new(),
            attempts: BTreeMap::new(),
            holders: BTreeMap::new(),
            holders_at_count_start: BTreeMap::new(),
            placement_tokens: BTreeMap::new(),
            surge_active: false,
            request_count: 0,
            cache_capacity_tokens,
            totals: RunTotals::new(&plan, policy),
            plan,
        };
        for _ in 0..run.plan.targets {
            run.add_target();
        }
        run
    }

    fn schedule_initial_events(&mut self) {
        for router in 0..self.plan.routers {
            let hosts = self.listed_hosts();
            self.deliver_event(router, Event::HostsListed(hosts));
        }
        for _ in 0..chat_count(&self.plan) {
            let chat = self.chat_source.start_chat_midway(self.plan.routers);
            let delay = self
                .plan
                .workload
                .pause
                .mul_f64(f64::from(self.chat_source.random_below(1000)) / 1000.0);
            self.schedule_after(delay, SimEvent::StartTurn(chat, 0));
        }
        for fault in self.plan.faults.clone() {
            self.schedule_after(fault.at, SimEvent::InjectFault(fault.kind));
        }
        self.schedule_after(self.plan.warm_up, SimEvent::SampleLoads);
    }

    fn run_to_end(&mut self) {
        let end = TimePoint(0).after(self.plan.warm_up).after(self.plan.measured_duration);
        while let Some(((at, _), event)) = self.events.pop_first()
            && at < end
        {
            self.now = at;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::StartTurn(chat, retries) => self.start_turn(chat, retries),
            SimEvent::DeliverEvent(router, event) => self.deliver_event(router, event),
            SimEvent::FinishAttempt(target, attempt) => self.finish_attempt(target, attempt),
            SimEvent::RouterTimer(router) => {
                if self.timers[router as usize] == self.now {
                    self.deliver_event(router, Event::TimerFired);
                }
            }
            SimEvent::InjectFault(kind) => self.inject_fault(kind),
            SimEvent::CrashTarget(target, chat) => self.crash_target(target, chat),
            SimEvent::TakeDownDrained(target) => self.targets[target as usize].is_up = false,
            SimEvent::SampleLoads => {
                self.totals.sample(&self.targets);
                self.schedule_after(SAMPLE_INTERVAL, SimEvent::SampleLoads);
            }
        }
    }

    fn schedule_after(&mut self, delay: Duration, event: SimEvent) {
        self.event_sequence += 1;
        self.events.insert((self.now.after(delay), self.event_sequence), event);
    }

    fn start_turn(&mut self, mut chat: ChatState, retries: u32) {
        if chat.surging && !self.surge_active {
            return;
        }
        if !self.chat_source.random_bool(self.plan.same_router_probability) {
            chat.router = self.chat_source.random_below(self.plan.routers);
        }
        let prompt = self.chat_source.next_prompt(&chat);
        self.request_count += 1;
        let request = RequestKey(u128::from(self.request_count));
        let router = chat.router;
        let turn = InFlightTurn { router, chat, prompt, started_at: self.now, retries };
        self.totals.count_request(self.now);
        let tokens = prompt.chat_tokens + prompt.group_tokens + prompt.answer_tokens;
        let placement = self.placement_tokens.get(&chat.chat).copied();
        let deadline = self.now.after(CALLER_TIMEOUT);
        let incoming = incoming_request(request, &turn.chat, tokens, placement, deadline);
        self.turns.insert(request, turn);
        self.deliver_event(router, Event::Arrived(incoming));
    }

    fn deliver_event(&mut self, router: u32, event: Event) {
        let effects = self.routers[router as usize].on_event(self.now, event);
        for effect in effects {
            self.apply_effect(router, effect);
        }
        let next_deadline = self.routers[router as usize].next_deadline();
        if next_deadline != self.timers[router as usize] && next_deadline != TimePoint::NEVER {
            self.timers[router as usize] = next_deadline.max(self.now);
            let delay = next_deadline.since(self.now);
            self.schedule_after(delay, SimEvent::RouterTimer(router));
        }
    }

    fn apply_effect(&mut self, router: u32, effect: Effect) {
        match effect {
            Effect::Step(request, RequestStep::Send { attempt, address, placement, .. }) => {
                self.store_placement_token(request, placement);
                self.start_attempt(router, request, attempt, &address);
            }
            Effect::Step(request, RequestStep::Refuse(refusal)) => {
                self.handle_refusal(request, refusal);
            }
            Effect::Broadcast(notice) => self.broadcast_notice(router, &notice),
            _ => {}
        }
    }

    /// Stores the placement token of a chat whose caller sends tokens back.
    fn store_placement_token(&mut self, request: RequestKey, placement: PlacementToken) {
        let Some(turn) = self.turns.get(&request) else { return };
        let chat = turn.chat.chat;
        if unit_hash(chat) < self.plan.token_return_ratio {
            self.placement_tokens.insert(chat, placement);
        }
    }

    fn broadcast_notice(&mut self, router: u32, notice: &PeerNotice) {
        self.totals.count_notice(self.now, notice);
        for peer in (0..self.plan.routers).filter(|peer| *peer != router) {
            let delay = self.plan.notice_delay + NETWORK_DELAY;
            self.schedule_after(
                delay,
                SimEvent::DeliverEvent(peer, Event::NoticeReceived(notice.clone())),
            );
        }
    }

    fn start_attempt(
        &mut self,
        router: u32,
        request: RequestKey,
        attempt: AttemptKey,
        address: &str,
    ) {
        let Ok(target) = address.parse::<u32>() else { return };
        let state = &self.targets[target as usize];
        self.totals.count_attempt(self.now, state.draining_since);
        let Some(turn) = self.turns.get(&request) else { return };
        if !state.is_up || state.refuses_requests(self.now) {
            let event = Event::AttemptUnsent(request, attempt);
            return self.schedule_after(NETWORK_DELAY, SimEvent::DeliverEvent(router, event));
        }
        if state.is_failing {
            let outcome = AttemptOutcome::LostBeforeAnswer(UnknownCode::TargetLost);
            let event = Event::AttemptEnded(request, attempt, outcome);
            return self.schedule_after(FAILURE_DELAY, SimEvent::DeliverEvent(router, event));
        }
        let (chat, prompt) = (turn.chat, turn.prompt);
        self.record_holder(&chat, target);
        self.attempts.insert(attempt, InFlightAttempt { target, request });
        if chat.chat >= FIRST_CRASHING_CHAT {
            self.schedule_after(CRASH_DELAY, SimEvent::CrashTarget(target, chat.chat));
        }
        let started = self.targets[target as usize].engine.submit(attempt, prompt);
        self.schedule_finish(target, started);
    }

    fn record_holder(&mut self, chat: &ChatState, target: u32) {
        let previous = self.holders.insert(chat.chat, target);
        if let Some(previous) = previous {
            self.totals.count_returning_turn(self.now, previous != target);
        }
        if let Some(previous) = self.holders_at_count_start.remove(&chat.chat) {
            self.totals.count_first_return(previous != target);
        }
    }

    fn schedule_finish(&mut self, target: u32, started: Option<StartedAttempt>) {
        let Some(started) = started else { return };
        self.schedule_after(started.service_time, SimEvent::FinishAttempt(target, started.attempt));
    }

    fn finish_attempt(&mut self, target: u32, attempt: AttemptKey) {
        if !self.targets[target as usize].engine.is_running(attempt) {
            return;
        }
        let next = self.targets[target as usize].engine.finish(attempt);
        self.schedule_finish(target, next);
        let Some(in_flight_attempt) = self.attempts.remove(&attempt) else { return };
        let Some(turn) = self.turns.remove(&in_flight_attempt.request) else { return };
        self.totals.count_completed(self.now, &turn);
        // A load report includes the request whose answer carries the report.
        let in_flight = self.targets[target as usize].engine.load().in_flight + 1;
        let report = LoadReport { in_flight, received_at: self.now };
        let key = base_types::TargetKey(target);
        self.deliver_event(turn.router, Event::LoadReported(key, report));
        let event = Event::AttemptEnded(
            in_flight_attempt.request,
            attempt,
            AttemptOutcome::Completed(None),
        );
        self.deliver_event(turn.router, event);
        self.continue_chat(turn);
    }

    fn continue_chat(&mut self, turn: InFlightTurn) {
        let mut chat = turn.chat;
        chat.history = turn.prompt.chat_tokens + turn.prompt.answer_tokens;
        chat.turns_left = chat.turns_left.saturating_sub(1);
        if chat.turns_left == 0 {
            self.holders.remove(&chat.chat);
            self.placement_tokens.remove(&chat.chat);
            chat = if chat.surging {
                self.chat_source.start_chat_for(chat.account, self.plan.routers, true)
            } else {
                self.chat_source.start_chat(self.plan.routers)
            };
        }
        let pause = self.chat_source.next_pause();
        self.schedule_after(pause, SimEvent::StartTurn(chat, 0));
    }

    fn handle_refusal(&mut self, request: RequestKey, refusal: Refusal) {
        let Some(turn) = self.turns.remove(&request) else { return };
        let is_crashing = turn.chat.chat >= FIRST_CRASHING_CHAT;
        self.totals.count_refusal(self.now, refusal, &turn, is_crashing);
        if is_crashing {
            return self.schedule_crashing_request(turn.chat.chat, CRASHING_RETRY_DELAY);
        }
        let Refusal::NotRun(_, retry_after) = refusal else {
            let pause = self.chat_source.next_pause();
            return self.schedule_after(pause, SimEvent::StartTurn(turn.chat, 0));
        };
        if turn.retries == CALLER_RETRIES_MAX {
            let pause = self.chat_source.next_pause();
            return self.schedule_after(pause, SimEvent::StartTurn(turn.chat, 0));
        }
        let retry_delay = retry_after.since(self.now)
            + Duration::from_millis(self.chat_source.random_below(200).into());
        self.schedule_after(retry_delay, SimEvent::StartTurn(turn.chat, turn.retries + 1));
    }

    fn listed_hosts(&self) -> Vec<HostEntry> {
        let targets = self.targets.iter().enumerate();
        let listed = targets.filter(|(_, state)| state.is_up || state.draining_since.is_none());
        listed.map(|(index, state)| host_entry(index, state)).collect()
    }
}

fn host_entry(index: usize, state: &TargetState) -> HostEntry {
    let is_draining = state.draining_since.is_some();
    HostEntry {
        name: HostName::new(&format!("runner-{index}")),
        role: HostRole::Target,
        group: target_group(),
        address: index.to_string().into(),
        failure_domain: FailureDomainName::new(&format!("domain-{}", index % 4)),
        peer: None,
        state: if is_draining { HostState::Leaving } else { HostState::Live },
    }
}

/// Returns the number of chats that keeps the planned number of requests in flight (Little's law).
fn chat_count(plan: &ScenarioPlan) -> u64 {
    // Per answer token 10 ms to decode it, plus 5 percent.
    let service_time = f64::from(plan.workload.answer_tokens) * 0.0105;
    let pause = plan.workload.pause.as_secs_f64();
    let in_flight = f64::from(plan.targets * plan.in_flight);
    (in_flight * (pause + service_time) / service_time) as u64
}

fn cache_capacity_tokens(plan: &ScenarioPlan) -> u64 {
    let turn_tokens = plan.workload.question_tokens + plan.workload.answer_tokens;
    let history_tokens = chat_count(plan) * u64::from(plan.workload.turns * turn_tokens);
    let group_tokens = u64::from(plan.workload.groups * plan.workload.group_tokens);
    let needed_tokens = history_tokens / u64::from(plan.targets.max(1)) + group_tokens;
    (needed_tokens as f64 * plan.cache_ratio) as u64
}
