//! One run of a policy through a scenario.

mod faults;
mod totals;

use std::{collections::BTreeMap, time::Duration};

use base_types::{
    AttemptKey, DomainName, HostName, PeerNotice, PlacementToken, Refusal, RequestKey, TimePoint,
    UnknownCode, message_types,
};
use core_router::{
    AttemptEnd, Effect, Event, HostEntry, HostRole, HostState, LoadReport, RequestStep,
};

use policy_routing::unit_hash;

use crate::{
    FakeEngine, FaultKind, PolicyKind, PromptParts, RunFigures, ScenarioPlan,
    engine::BegunRun,
    fleet::{FleetRouter, arrival, open_router, target_group},
    run::totals::RunTotals,
    trace::{ChatSource, ChatState},
};

const HOP: Duration = Duration::from_millis(1);
const SAMPLE_EVERY: Duration = Duration::from_millis(50);
const CALLER_WAIT: Duration = Duration::from_secs(60);
const LOST_AFTER: Duration = Duration::from_millis(20);
const LIST_LAG_MIN: Duration = Duration::from_millis(200);
const LIST_LAG_SPREAD_MS: u32 = 1800;
const RETURNS_MAX: u32 = 5;

/// Chats from this number on crash the targets that run them.
const CRASHERS: u64 = 1 << 60;

const CRASH_AFTER: Duration = Duration::from_millis(50);
const CRASHER_AGAIN: Duration = Duration::from_millis(300);

/// Runs a policy through a scenario.
pub fn run_scenario(plan: &ScenarioPlan, policy: PolicyKind) -> RunFigures {
    let mut run = ScenarioRun::new(plan.clone(), policy);
    run.start();
    run.advance();
    run.totals.figures(plan)
}

message_types! {
    /// Something that happens at a point in time.
    enum Happening {
        Turn(ChatState, u32),
        Deliver(u32, Event),
        EngineEnd(u32, AttemptKey),
        Timer(u32),
        Fault(FaultKind),
        Gone(u32),
        Crash(u32, u64),
        Sample,
    }

    /// A turn that a router works on.
    struct LiveTurn {
        router: u32,
        chat: ChatState,
        prompt: PromptParts,
        began: TimePoint,
        returns: u32,
    }

    /// An attempt that an engine has.
    #[derive(Copy)]
    struct LiveAttempt {
        target: u32,
        request: RequestKey,
    }
}

/// An engine and what it tells of itself.
#[derive(Debug)]
struct TargetState {
    engine: FakeEngine,
    up: bool,
    leaving_since: Option<TimePoint>,
    failing: bool,
}

struct ScenarioRun {
    plan: ScenarioPlan,
    now: TimePoint,
    happenings: BTreeMap<(TimePoint, u64), Happening>,
    order: u64,
    source: ChatSource,
    routers: Vec<Box<dyn FleetRouter>>,
    timers: Vec<TimePoint>,
    targets: Vec<TargetState>,
    turns: BTreeMap<RequestKey, LiveTurn>,
    attempts: BTreeMap<AttemptKey, LiveAttempt>,
    holders: BTreeMap<u64, u32>,
    marked: BTreeMap<u64, u32>,
    tokens: BTreeMap<u64, PlacementToken>,
    surging: bool,
    requests: u64,
    cache_tokens: u64,
    totals: RunTotals,
}

impl ScenarioRun {
    fn new(plan: ScenarioPlan, policy: PolicyKind) -> Self {
        let routers = (0..plan.routers).map(|index| open_router(&plan, policy, index)).collect();
        let cache_tokens = cache_tokens(&plan);
        let mut run = Self {
            now: TimePoint(0),
            happenings: BTreeMap::new(),
            order: 0,
            source: ChatSource::new(plan.trace, plan.seed),
            routers,
            timers: vec![TimePoint::NEVER; plan.routers as usize],
            targets: Vec::new(),
            turns: BTreeMap::new(),
            attempts: BTreeMap::new(),
            holders: BTreeMap::new(),
            marked: BTreeMap::new(),
            tokens: BTreeMap::new(),
            surging: false,
            requests: 0,
            cache_tokens,
            totals: RunTotals::new(&plan, policy),
            plan,
        };
        for _ in 0..run.plan.targets {
            run.add_target();
        }
        run
    }

    fn start(&mut self) {
        for router in 0..self.plan.routers {
            let hosts = self.hosts();
            self.deliver(router, Event::HostsListed(hosts));
        }
        for _ in 0..chat_count(&self.plan) {
            let chat = self.source.open_midway(self.plan.routers);
            let wait = self.plan.trace.pause.mul_f64(f64::from(self.source.pick(1000)) / 1000.0);
            self.plan_in(wait, Happening::Turn(chat, 0));
        }
        for fault in self.plan.faults.clone() {
            self.plan_in(fault.at, Happening::Fault(fault.kind));
        }
        self.plan_in(self.plan.warm_up, Happening::Sample);
    }

    fn advance(&mut self) {
        let end = TimePoint(0).after(self.plan.warm_up).after(self.plan.counted);
        while let Some(((at, _), happening)) = self.happenings.pop_first()
            && at < end
        {
            self.now = at;
            self.on_happening(happening);
        }
    }

    fn on_happening(&mut self, happening: Happening) {
        match happening {
            Happening::Turn(chat, returns) => self.on_turn(chat, returns),
            Happening::Deliver(router, event) => self.deliver(router, event),
            Happening::EngineEnd(target, attempt) => self.on_engine_end(target, attempt),
            Happening::Timer(router) => {
                if self.timers[router as usize] == self.now {
                    self.deliver(router, Event::TimerFired);
                }
            }
            Happening::Fault(kind) => self.on_fault(kind),
            Happening::Crash(target, chat) => self.on_crash(target, chat),
            Happening::Gone(target) => self.targets[target as usize].up = false,
            Happening::Sample => {
                self.totals.sample(&self.targets);
                self.plan_in(SAMPLE_EVERY, Happening::Sample);
            }
        }
    }

    fn plan_in(&mut self, wait: Duration, happening: Happening) {
        self.order += 1;
        self.happenings.insert((self.now.after(wait), self.order), happening);
    }

    fn on_turn(&mut self, mut chat: ChatState, returns: u32) {
        if chat.surging && !self.surging {
            return;
        }
        if !self.source.happens(self.plan.sticky) {
            chat.router = self.source.pick(self.plan.routers);
        }
        let prompt = self.source.ask(&chat);
        self.requests += 1;
        let request = RequestKey(u128::from(self.requests));
        let router = chat.router;
        let turn = LiveTurn { router, chat, prompt, began: self.now, returns };
        self.totals.count_request(self.now);
        let tokens = prompt.chat_tokens + prompt.group_tokens + prompt.answer_tokens;
        let placement = self.tokens.get(&chat.chat).copied();
        let deadline = self.now.after(CALLER_WAIT);
        let arrival = arrival(request, &turn.chat, tokens, placement, deadline);
        self.turns.insert(request, turn);
        self.deliver(router, Event::Arrived(arrival));
    }

    fn deliver(&mut self, router: u32, event: Event) {
        let effects = self.routers[router as usize].on_event(self.now, event);
        for effect in effects {
            self.on_effect(router, effect);
        }
        let due = self.routers[router as usize].next_deadline();
        if due != self.timers[router as usize] && due != TimePoint::NEVER {
            self.timers[router as usize] = due.max(self.now);
            let wait = due.since(self.now);
            self.plan_in(wait, Happening::Timer(router));
        }
    }

    fn on_effect(&mut self, router: u32, effect: Effect) {
        match effect {
            Effect::Step(request, RequestStep::Send { attempt, address, placement, .. }) => {
                self.keep_token(request, placement);
                self.on_send(router, request, attempt, &address);
            }
            Effect::Step(request, RequestStep::Refuse(refusal)) => {
                self.on_refusal(request, refusal);
            }
            Effect::Notify(notice) => self.spread(router, &notice),
            _ => {}
        }
    }

    /// A caller of some chats sends its placement back.
    fn keep_token(&mut self, request: RequestKey, placement: PlacementToken) {
        let Some(turn) = self.turns.get(&request) else { return };
        let chat = turn.chat.chat;
        if unit_hash(chat) < self.plan.token_share {
            self.tokens.insert(chat, placement);
        }
    }

    fn spread(&mut self, router: u32, notice: &PeerNotice) {
        self.totals.count_notice(self.now, notice);
        for peer in (0..self.plan.routers).filter(|peer| *peer != router) {
            let lag = self.plan.view_lag + HOP;
            self.plan_in(lag, Happening::Deliver(peer, Event::NoticeHeard(notice.clone())));
        }
    }

    fn on_send(&mut self, router: u32, request: RequestKey, attempt: AttemptKey, address: &str) {
        let Ok(target) = address.parse::<u32>() else { return };
        let state = &self.targets[target as usize];
        self.totals.count_attempt(self.now, state.leaving_since);
        let Some(turn) = self.turns.get(&request) else { return };
        if !state.up || state.refuses(self.now) {
            let event = Event::AttemptUnsent(request, attempt);
            return self.plan_in(HOP, Happening::Deliver(router, event));
        }
        if state.failing {
            let end = AttemptEnd::LostEarly(UnknownCode::TargetLost);
            let event = Event::AttemptEnded(request, attempt, end);
            return self.plan_in(LOST_AFTER, Happening::Deliver(router, event));
        }
        let (chat, prompt) = (turn.chat, turn.prompt);
        self.note_holder(&chat, target);
        self.attempts.insert(attempt, LiveAttempt { target, request });
        if chat.chat >= CRASHERS {
            self.plan_in(CRASH_AFTER, Happening::Crash(target, chat.chat));
        }
        let begun = self.targets[target as usize].engine.take(attempt, prompt);
        self.schedule(target, begun);
    }

    fn note_holder(&mut self, chat: &ChatState, target: u32) {
        let former = self.holders.insert(chat.chat, target);
        if let Some(former) = former {
            self.totals.count_return(self.now, former != target);
        }
        if let Some(former) = self.marked.remove(&chat.chat) {
            self.totals.count_first_return(former != target);
        }
    }

    fn schedule(&mut self, target: u32, begun: Option<BegunRun>) {
        let Some(begun) = begun else { return };
        self.plan_in(begun.service, Happening::EngineEnd(target, begun.attempt));
    }

    fn on_engine_end(&mut self, target: u32, attempt: AttemptKey) {
        if !self.targets[target as usize].engine.runs(attempt) {
            return;
        }
        let begun = self.targets[target as usize].engine.end(attempt);
        self.schedule(target, begun);
        let Some(live) = self.attempts.remove(&attempt) else { return };
        let Some(turn) = self.turns.remove(&live.request) else { return };
        self.totals.count_answer(self.now, &turn);
        // The report counts the request that it comes with.
        let in_flight = self.targets[target as usize].engine.load().in_flight + 1;
        let report = LoadReport { in_flight, heard: self.now };
        let key = base_types::TargetKey(target);
        self.deliver(turn.router, Event::LoadHeard(key, report));
        let end = Event::AttemptEnded(live.request, attempt, AttemptEnd::Whole(None));
        self.deliver(turn.router, end);
        self.continue_chat(turn);
    }

    fn continue_chat(&mut self, turn: LiveTurn) {
        let mut chat = turn.chat;
        chat.history = turn.prompt.chat_tokens + turn.prompt.answer_tokens;
        chat.turns_left = chat.turns_left.saturating_sub(1);
        if chat.turns_left == 0 {
            self.holders.remove(&chat.chat);
            self.tokens.remove(&chat.chat);
            chat = if chat.surging {
                self.source.open_for(chat.account, self.plan.routers, true)
            } else {
                self.source.open(self.plan.routers)
            };
        }
        let pause = self.source.pause();
        self.plan_in(pause, Happening::Turn(chat, 0));
    }

    fn on_refusal(&mut self, request: RequestKey, refusal: Refusal) {
        let Some(turn) = self.turns.remove(&request) else { return };
        let crashes = turn.chat.chat >= CRASHERS;
        self.totals.count_refusal(self.now, refusal, crashes);
        if crashes {
            return self.send_crasher(turn.chat.chat, CRASHER_AGAIN);
        }
        let Refusal::NotRun(_, come_back) = refusal else {
            let pause = self.source.pause();
            return self.plan_in(pause, Happening::Turn(turn.chat, 0));
        };
        if turn.returns == RETURNS_MAX {
            let pause = self.source.pause();
            return self.plan_in(pause, Happening::Turn(turn.chat, 0));
        }
        let wait = come_back.since(self.now) + Duration::from_millis(self.source.pick(200).into());
        self.plan_in(wait, Happening::Turn(turn.chat, turn.returns + 1));
    }

    fn hosts(&self) -> Vec<HostEntry> {
        let listed = self.targets.iter().enumerate();
        let listed = listed.filter(|(_, state)| state.up || state.leaving_since.is_none());
        listed.map(|(index, state)| host_entry(index, state)).collect()
    }
}

fn host_entry(index: usize, state: &TargetState) -> HostEntry {
    let leaving = state.leaving_since.is_some();
    HostEntry {
        name: HostName::new(&format!("runner-{index}")),
        role: HostRole::Target,
        group: target_group(),
        address: index.to_string().into(),
        failure_domain: DomainName::new(&format!("domain-{}", index % 4)),
        peer: None,
        state: if leaving { HostState::Leaving } else { HostState::Live },
    }
}

/// Chats that keep the wanted number of requests in flight (Little's law).
fn chat_count(plan: &ScenarioPlan) -> u64 {
    let service = f64::from(plan.trace.answer_tokens) * 0.0105;
    let pause = plan.trace.pause.as_secs_f64();
    let in_flight = f64::from(plan.targets * plan.in_flight);
    (in_flight * (pause + service) / service) as u64
}

fn cache_tokens(plan: &ScenarioPlan) -> u64 {
    let turn = plan.trace.question_tokens + plan.trace.answer_tokens;
    let history = chat_count(plan) * u64::from(plan.trace.turns * turn);
    let groups = u64::from(plan.trace.groups * plan.trace.group_tokens);
    let needed = history / u64::from(plan.targets.max(1)) + groups;
    (needed as f64 * plan.cache_ratio) as u64
}
