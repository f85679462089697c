//! Simulation of routers, targets, callers and the platform in virtual time, driven by one seed.

use std::{collections::BTreeMap, time::Duration};

use base_types::{
    AccountName, AttemptKey, ContentDigest, IncomingRequest, OperationName, RequestKey, TimePoint,
    UnknownCode,
};
use bytes::Bytes;
use core_router::{AttemptOutcome, Event, RequestStep, StoredAnswer};
use history_check::{CallHistory, CallOutcome, CallRecord, ExecutionRecord};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use state_ledger::{LedgerCall, LedgerCallOutcome, OperationState};

use super::{
    faults::{Defect, FaultPlan},
    platform::ObjectStore,
    router::{RouterInput, RouterOutput, SimRouter},
};

const ROUTERS: usize = 4;
const OPERATIONS: usize = 6;
const CALLS_PER_OPERATION_MAX: usize = 4;
const ACTIVE_PERIOD: Duration = Duration::from_secs(8);
const RUN_DURATION: Duration = Duration::from_secs(600);
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The results of a simulation run.
#[derive(Debug, Default)]
pub(crate) struct SimulationReport {
    pub(crate) history: CallHistory,
    /// Operations that are still claimed at the end by a router that was never killed.
    pub(crate) unreleased_claims: Vec<Box<str>>,
    /// Number of requests and ledger records that the routers have not finished at the end.
    pub(crate) unfinished: usize,
}

impl SimulationReport {
    pub(crate) fn completed(&self) -> usize {
        let completed = |call: &&CallRecord| matches!(call.outcome, CallOutcome::Completed(_));
        self.history.calls.iter().filter(completed).count()
    }
}

#[derive(Debug, Clone)]
struct SimCall {
    operation: Box<str>,
    content: Box<str>,
    router: usize,
    timeout: Duration,
    cancel_delay: Option<Duration>,
    /// Whether the caller sends the call once more, to a random router, after it has completed.
    resends_call: bool,
}

#[derive(Debug)]
enum SimEvent {
    StartCall(usize),
    CancelCall(usize),
    FinishCall(usize, CallOutcome),
    DeliverInput(usize, u32, RouterInput),
    ApplyLedgerCall(usize, u32, AttemptKey, Box<str>, LedgerCall, Option<TimePoint>),
    ExecuteAttempt(usize, u32, usize, AttemptKey),
    PauseRouter(usize, Duration),
    KillRouter(usize),
}

struct RouterSlot {
    router: SimRouter,
    /// Number of restarts. Inputs scheduled for an earlier epoch are dropped.
    epoch: u32,
    paused_until: TimePoint,
}

pub(crate) struct Simulation {
    plan: FaultPlan,
    defect: Defect,
    rng: SmallRng,
    now: TimePoint,
    event_sequence: u64,
    events: BTreeMap<(TimePoint, u64), SimEvent>,
    routers: Vec<RouterSlot>,
    store: ObjectStore,
    calls: Vec<SimCall>,
    records: Vec<CallRecord>,
    executions: Vec<ExecutionRecord>,
    previous_answer: Option<StoredAnswer>,
    /// Start and end of the platform outage.
    outage: (TimePoint, TimePoint),
}

impl Simulation {
    pub(crate) fn new(plan: FaultPlan, defect: Defect, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let store = ObjectStore::new(defect == Defect::IgnoredConditions);
        let slot = |index: usize| RouterSlot {
            router: SimRouter::new(index, index as u64, defect),
            epoch: 0,
            paused_until: TimePoint(0),
        };
        let mut simulation = Self {
            plan,
            defect,
            rng,
            now: TimePoint(0),
            event_sequence: 0,
            events: BTreeMap::new(),
            routers: (0..ROUTERS).map(slot).collect(),
            store,
            calls: Vec::new(),
            records: Vec::new(),
            executions: Vec::new(),
            previous_answer: None,
            outage: (TimePoint::NEVER, TimePoint::NEVER),
        };
        simulation.schedule_calls();
        simulation.schedule_faults();
        simulation
    }

    pub(crate) fn run(mut self) -> SimulationReport {
        let end = TimePoint(0).after(RUN_DURATION);
        while let Some(((time, _), event)) = self.events.pop_first()
            && time < end
        {
            self.now = time;
            self.on_event(event);
        }
        let unfinished = self.routers.iter().map(|slot| slot.router.unfinished()).sum();
        let unreleased_claims = self.unreleased_claims();
        let history = CallHistory { calls: self.records, executions: self.executions };
        SimulationReport { history, unreleased_claims, unfinished }
    }

    /// Returns the operations still claimed by routers that were never killed. Once all requests
    /// are finished, none may remain.
    fn unreleased_claims(&self) -> Vec<Box<str>> {
        let never_killed = |host: &str| {
            let mut slots = self.routers.iter().enumerate();
            slots.any(|(index, slot)| slot.epoch == 0 && host == format!("router-{index}"))
        };
        let claimed = self.store.records().filter(|record| {
            record.state == OperationState::Claimed && never_killed(record.host.as_str())
        });
        claimed.map(|record| record.operation.as_str().into()).collect()
    }

    fn schedule_calls(&mut self) {
        for operation in 0..OPERATIONS {
            let first_delay = self.random_duration(Duration::ZERO, ACTIVE_PERIOD / 2);
            for call_index in 0..self.rng.random_range(1..=CALLS_PER_OPERATION_MAX) {
                let content_differs = self.rng.random_bool(0.05);
                let cancels = self.rng.random_bool(0.2);
                let call = SimCall {
                    operation: format!("operation-{operation}").into(),
                    content: if content_differs { "other" } else { "amount" }.into(),
                    router: self.rng.random_range(0..ROUTERS),
                    timeout: self
                        .random_duration(Duration::from_millis(50), Duration::from_secs(5)),
                    cancel_delay: cancels
                        .then(|| self.random_duration(Duration::ZERO, Duration::from_millis(300))),
                    resends_call: self.rng.random_bool(0.5),
                };
                self.add_call(call);
                let spread = [Duration::from_millis(40), ACTIVE_PERIOD / 2]
                    [usize::from(call_index % 2 == 1)];
                let delay = first_delay + self.random_duration(Duration::ZERO, spread);
                self.schedule_from_start(delay, SimEvent::StartCall(self.calls.len() - 1));
            }
        }
    }

    fn add_call(&mut self, call: SimCall) {
        self.records.push(CallRecord {
            operation: call.operation.clone(),
            request: None,
            content: call.content.clone(),
            started_at: 0,
            finished_at: u64::MAX,
            outcome: CallOutcome::NoResponse,
        });
        self.calls.push(call);
    }

    fn schedule_faults(&mut self) {
        for _ in 0..self.plan.pauses {
            let pause = self.random_duration(Duration::from_millis(100), Duration::from_secs(6));
            let router = self.rng.random_range(0..ROUTERS);
            let delay = self.random_duration(Duration::ZERO, ACTIVE_PERIOD);
            self.schedule_from_start(delay, SimEvent::PauseRouter(router, pause));
        }
        for _ in 0..self.plan.kills {
            let router = self.rng.random_range(0..ROUTERS);
            let delay = self.random_duration(Duration::ZERO, ACTIVE_PERIOD);
            self.schedule_from_start(delay, SimEvent::KillRouter(router));
        }
        if self.plan.outage {
            let start = TimePoint(0).after(self.random_duration(Duration::ZERO, ACTIVE_PERIOD / 2));
            let duration = self.random_duration(Duration::from_secs(1), Duration::from_secs(12));
            self.outage = (start, start.after(duration));
        }
    }

    fn on_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::StartCall(call) => self.start_call(call),
            SimEvent::CancelCall(call) => {
                let event = Event::CallerDisconnected(request_key(call));
                let router = self.calls[call].router;
                self.send_input(router, RouterInput::Core(event));
            }
            SimEvent::FinishCall(call, outcome) => self.finish_call(call, outcome),
            SimEvent::DeliverInput(router, epoch, input) => self.on_input(router, epoch, input),
            SimEvent::ApplyLedgerCall(router, epoch, attempt, path, call, answered_at) => {
                let answer = self.store.apply(&path, call);
                let Some(answered_at) = answered_at else { return };
                let input = RouterInput::Ledger(attempt, answer);
                self.schedule_at(answered_at, SimEvent::DeliverInput(router, epoch, input));
            }
            SimEvent::ExecuteAttempt(router, epoch, call, attempt) => {
                self.execute_attempt(router, epoch, call, attempt);
            }
            SimEvent::PauseRouter(router, duration) => {
                self.routers[router].paused_until = self.now.after(duration);
            }
            SimEvent::KillRouter(router) => self.restart_router(router),
        }
    }

    fn start_call(&mut self, call: usize) {
        let SimCall { operation, content, router, timeout, cancel_delay, .. } =
            self.calls[call].clone();
        self.records[call].started_at = self.now.0;
        let incoming = IncomingRequest {
            request: request_key(call),
            path: "/pay".into(),
            account: AccountName::new("counter"),
            chat: None,
            operation: Some(OperationName::new(&operation)),
            content_digest: ContentDigest::of(content.as_bytes()),
            placement: None,
            is_first_turn: false,
            prompt_prefix: Bytes::new(),
            estimated_tokens: 1,
            deadline: self.now.after(timeout),
        };
        self.send_input(router, RouterInput::Core(Event::Arrived(incoming)));
        let Some(cancel_delay) = cancel_delay else { return };
        self.schedule_after(cancel_delay, SimEvent::CancelCall(call));
    }

    fn finish_call(&mut self, call: usize, outcome: CallOutcome) {
        let record = &mut self.records[call];
        if record.outcome != CallOutcome::NoResponse {
            return;
        }
        record.request = Some(request_text(call));
        record.finished_at = self.now.0;
        record.outcome = outcome;
        if matches!(record.outcome, CallOutcome::Completed(_)) && self.calls[call].resends_call {
            self.resend_call(call);
        }
    }

    fn resend_call(&mut self, call: usize) {
        let router = self.rng.random_range(0..ROUTERS);
        let resent =
            SimCall { router, cancel_delay: None, resends_call: false, ..self.calls[call].clone() };
        self.add_call(resent);
        self.schedule_after(Duration::from_micros(1), SimEvent::StartCall(self.calls.len() - 1));
    }

    fn on_input(&mut self, router: usize, epoch: u32, input: RouterInput) {
        let slot = &mut self.routers[router];
        if slot.epoch != epoch {
            return;
        }
        if slot.paused_until > self.now {
            let until = slot.paused_until;
            return self.schedule_at(until, SimEvent::DeliverInput(router, epoch, input));
        }
        let outputs = slot.router.on_input(self.now, input);
        for output in outputs {
            match output {
                RouterOutput::Step(request, step) => self.apply_step(router, request, step),
                RouterOutput::Call(attempt, path, call) => {
                    self.start_ledger_call(router, attempt, path, call);
                }
            }
        }
        let deadline = self.routers[router].router.next_deadline();
        if deadline != TimePoint::NEVER {
            let epoch = self.routers[router].epoch;
            self.schedule_at(
                deadline.max(TimePoint(self.now.0 + 1)),
                SimEvent::DeliverInput(router, epoch, RouterInput::Timer),
            );
        }
    }

    fn apply_step(&mut self, router: usize, request: RequestKey, step: RequestStep) {
        let call = request.0 as usize;
        let outcome = match step {
            RequestStep::Send { attempt, .. } => return self.start_attempt(router, call, attempt),
            RequestStep::Deliver(answer) | RequestStep::Replay(answer) => {
                CallOutcome::Completed(String::from_utf8_lossy(&answer.body).into())
            }
            RequestStep::ConfirmSettled(code) => CallOutcome::new(code.number(), ""),
            RequestStep::Refuse(refusal) => CallOutcome::new(refusal.row().number, ""),
        };
        let network_delay =
            self.random_duration(Duration::from_millis(1), Duration::from_millis(3));
        self.schedule_after(network_delay, SimEvent::FinishCall(call, outcome));
    }

    fn start_ledger_call(
        &mut self,
        router: usize,
        attempt: AttemptKey,
        path: Box<str>,
        call: LedgerCall,
    ) {
        let epoch = self.routers[router].epoch;
        let timeout_at = self.now.after(PLATFORM_CALL_TIMEOUT);
        if self.is_platform_down() {
            let sent = self.rng.random_bool(0.5);
            let answer =
                if sent { LedgerCallOutcome::Unanswered } else { LedgerCallOutcome::NoEffect };
            let answered_at =
                if sent { timeout_at } else { self.now.after(Duration::from_millis(1)) };
            let input = RouterInput::Ledger(attempt, answer);
            return self.schedule_at(answered_at, SimEvent::DeliverInput(router, epoch, input));
        }
        let is_late = self.rng.random_bool(self.plan.late_effect);
        let max_delay = if is_late { Duration::from_secs(8) } else { Duration::from_millis(20) };
        let effect_delay = self.random_duration(Duration::from_millis(1), max_delay);
        let effect_at = self.now.after(effect_delay);
        let answered_at = effect_at
            .after(self.random_duration(Duration::from_millis(1), Duration::from_millis(20)));
        let lost = self.rng.random_bool(self.plan.platform_answer_lost) || answered_at > timeout_at;
        let apply = SimEvent::ApplyLedgerCall(
            router,
            epoch,
            attempt,
            path,
            call,
            (!lost).then_some(answered_at),
        );
        self.schedule_at(effect_at, apply);
        if lost {
            let input = RouterInput::Ledger(attempt, LedgerCallOutcome::Unanswered);
            self.schedule_at(timeout_at, SimEvent::DeliverInput(router, epoch, input));
        }
    }

    fn start_attempt(&mut self, router: usize, call: usize, attempt: AttemptKey) {
        let epoch = self.routers[router].epoch;
        let request = request_key(call);
        if self.rng.random_bool(self.plan.unsent) {
            let event = Event::AttemptUnsent(request, attempt);
            return self.schedule_after(
                Duration::from_millis(1),
                SimEvent::DeliverInput(router, epoch, RouterInput::Core(event)),
            );
        }
        let network_delay =
            self.random_duration(Duration::from_millis(1), Duration::from_millis(5));
        self.schedule_after(network_delay, SimEvent::ExecuteAttempt(router, epoch, call, attempt));
    }

    fn execute_attempt(&mut self, router: usize, epoch: u32, call: usize, attempt: AttemptKey) {
        let request = request_key(call);
        let lost = self.rng.random_bool(self.plan.target_answer_lost);
        if lost && self.rng.random_bool(0.5) {
            return self.lose_answer(router, epoch, request, attempt);
        }
        let SimCall { operation, content, .. } = self.calls[call].clone();
        let answer = format!("{operation} run {}", self.executions.len());
        self.executions.push(ExecutionRecord {
            operation,
            request: request_text(call),
            content,
            answer: answer.clone().into(),
        });
        if lost {
            return self.lose_answer(router, epoch, request, attempt);
        }
        let body = Bytes::from(answer);
        let mut stored = StoredAnswer { status: 200, content_type: "text/plain".into(), body };
        if self.defect == Defect::SwappedAnswers
            && let Some(previous) = self.previous_answer.replace(stored.clone())
        {
            stored = previous;
        }
        let is_slow = self.rng.random_bool(0.2);
        let max_delay = Duration::from_millis(if is_slow { 8000 } else { 30 });
        let execution_time = self.random_duration(Duration::from_millis(1), max_delay);
        let event = Event::AttemptEnded(request, attempt, AttemptOutcome::Completed(Some(stored)));
        self.schedule_after(
            execution_time,
            SimEvent::DeliverInput(router, epoch, RouterInput::Core(event)),
        );
    }

    fn lose_answer(&mut self, router: usize, epoch: u32, request: RequestKey, attempt: AttemptKey) {
        let outcome = AttemptOutcome::LostBeforeAnswer(UnknownCode::TargetLost);
        let event = if self.defect == Defect::RetryAfterSend {
            Event::AttemptUnsent(request, attempt)
        } else {
            Event::AttemptEnded(request, attempt, outcome)
        };
        let detection_delay =
            self.random_duration(Duration::from_millis(1), Duration::from_millis(500));
        self.schedule_after(
            detection_delay,
            SimEvent::DeliverInput(router, epoch, RouterInput::Core(event)),
        );
    }

    /// Restarts the router with empty state. Messages that it has already sent still take effect.
    fn restart_router(&mut self, router: usize) {
        let seed = self.rng.random();
        let slot = &mut self.routers[router];
        slot.epoch += 1;
        slot.paused_until = TimePoint(0);
        slot.router = SimRouter::new(router, seed, self.defect);
    }

    fn is_platform_down(&self) -> bool {
        (self.outage.0..self.outage.1).contains(&self.now)
    }

    fn send_input(&mut self, router: usize, input: RouterInput) {
        let epoch = self.routers[router].epoch;
        let network_delay =
            self.random_duration(Duration::from_millis(1), Duration::from_millis(3));
        self.schedule_after(network_delay, SimEvent::DeliverInput(router, epoch, input));
    }

    fn schedule_from_start(&mut self, delay: Duration, event: SimEvent) {
        self.schedule_at(TimePoint(0).after(delay), event);
    }

    fn schedule_after(&mut self, delay: Duration, event: SimEvent) {
        self.schedule_at(self.now.after(delay), event);
    }

    fn schedule_at(&mut self, time: TimePoint, event: SimEvent) {
        self.event_sequence += 1;
        self.events.insert((time, self.event_sequence), event);
    }

    fn random_duration(&mut self, from: Duration, to: Duration) -> Duration {
        let range = from.as_micros() as u64..=to.as_micros().max(from.as_micros()) as u64;
        Duration::from_micros(self.rng.random_range(range))
    }
}

fn request_key(call: usize) -> RequestKey {
    RequestKey(call as u128)
}

fn request_text(call: usize) -> Box<str> {
    format!("request-{call}").into()
}
