//! Routers, targets, callers and the platform in virtual time, driven by one seed.

use std::{collections::BTreeMap, time::Duration};

use base_types::{
    AccountName, Arrival, AttemptKey, ContentDigest, OperationName, RequestKey, TimePoint,
    UnknownCode,
};
use bytes::Bytes;
use core_router::{AttemptEnd, Event, RequestStep, StoredAnswer};
use history_check::{CallEnd, CallRecord, RunHistory, RunRecord};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use state_ledger::{CallAnswer, LedgerCall, OperationState};

use super::{
    faults::{Defect, FaultPlan},
    platform::ObjectStore,
    router::{RouterInput, RouterOutput, SimRouter},
};

const ROUTERS: usize = 4;
const OPERATIONS: usize = 6;
const SENDS_MAX: usize = 4;
const SPAN: Duration = Duration::from_secs(8);
const QUIET_END: Duration = Duration::from_secs(600);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What a run showed.
#[derive(Debug, Default)]
pub(crate) struct WorldReport {
    pub(crate) history: RunHistory,
    /// Operations that a live router left claimed although it was told to let go of them.
    pub(crate) stranded: Vec<Box<str>>,
    /// Requests and records that live routers did not finish.
    pub(crate) unfinished: usize,
}

impl WorldReport {
    pub(crate) fn completed(&self) -> usize {
        let completed = |call: &&CallRecord| matches!(call.end, CallEnd::Completed(_));
        self.history.calls.iter().filter(completed).count()
    }
}

#[derive(Debug, Clone)]
struct SimCall {
    operation: Box<str>,
    content: Box<str>,
    router: usize,
    wait: Duration,
    leaves: Option<Duration>,
    /// Whether the caller asks again as soon as it has its answer.
    asks_again: bool,
}

#[derive(Debug)]
enum Moment {
    Send(usize),
    Leave(usize),
    Answered(usize, CallEnd),
    Input(usize, u32, RouterInput),
    Apply(usize, u32, AttemptKey, Box<str>, LedgerCall, Option<TimePoint>),
    Execute(usize, u32, usize, AttemptKey),
    Pause(usize, Duration),
    Kill(usize),
}

struct RouterPlace {
    router: SimRouter,
    epoch: u32,
    paused_until: TimePoint,
}

pub(crate) struct World {
    plan: FaultPlan,
    defect: Defect,
    rng: SmallRng,
    now: TimePoint,
    turn: u64,
    moments: BTreeMap<(TimePoint, u64), Moment>,
    routers: Vec<RouterPlace>,
    store: ObjectStore,
    calls: Vec<SimCall>,
    records: Vec<CallRecord>,
    runs: Vec<RunRecord>,
    last_answer: Option<StoredAnswer>,
    outage: (TimePoint, TimePoint),
}

impl World {
    pub(crate) fn new(plan: FaultPlan, defect: Defect, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let store = ObjectStore::new(defect == Defect::IgnoredConditions);
        let place = |index: usize| RouterPlace {
            router: SimRouter::new(index, index as u64, defect),
            epoch: 0,
            paused_until: TimePoint(0),
        };
        let mut world = Self {
            plan,
            defect,
            rng,
            now: TimePoint(0),
            turn: 0,
            moments: BTreeMap::new(),
            routers: (0..ROUTERS).map(place).collect(),
            store,
            calls: Vec::new(),
            records: Vec::new(),
            runs: Vec::new(),
            last_answer: None,
            outage: (TimePoint::NEVER, TimePoint::NEVER),
        };
        world.plan_calls();
        world.plan_faults();
        world
    }

    pub(crate) fn run(mut self) -> WorldReport {
        let end = TimePoint(0).after(QUIET_END);
        while let Some(((time, _), moment)) = self.moments.pop_first()
            && time < end
        {
            self.now = time;
            self.on_moment(moment);
        }
        let unfinished = self.routers.iter().map(|place| place.router.unfinished()).sum();
        let stranded = self.stranded();
        let history = RunHistory { calls: self.records, runs: self.runs };
        WorldReport { history, stranded, unfinished }
    }

    /// Claims of routers that were never killed: with all requests done, none may be left.
    fn stranded(&self) -> Vec<Box<str>> {
        let alive = |host: &str| {
            let mut places = self.routers.iter().enumerate();
            places.any(|(index, place)| place.epoch == 0 && host == format!("router-{index}"))
        };
        let claimed = self.store.records().filter(|record| {
            record.state == OperationState::Claimed && alive(record.host.as_str())
        });
        claimed.map(|record| record.operation.as_str().into()).collect()
    }

    fn plan_calls(&mut self) {
        for operation in 0..OPERATIONS {
            let begin = self.any_span(Duration::ZERO, SPAN / 2);
            for send in 0..self.rng.random_range(1..=SENDS_MAX) {
                let other = self.rng.random_bool(0.05);
                let leaves = self.rng.random_bool(0.2);
                let call = SimCall {
                    operation: format!("operation-{operation}").into(),
                    content: if other { "other" } else { "amount" }.into(),
                    router: self.rng.random_range(0..ROUTERS),
                    wait: self.any_span(Duration::from_millis(50), Duration::from_secs(5)),
                    leaves: leaves
                        .then(|| self.any_span(Duration::ZERO, Duration::from_millis(300))),
                    asks_again: self.rng.random_bool(0.5),
                };
                self.add_call(call);
                let apart = [Duration::from_millis(40), SPAN / 2][usize::from(send % 2 == 1)];
                let after = begin + self.any_span(Duration::ZERO, apart);
                self.plan_moment(after, Moment::Send(self.calls.len() - 1));
            }
        }
    }

    fn add_call(&mut self, call: SimCall) {
        self.records.push(CallRecord {
            operation: call.operation.clone(),
            request: None,
            content: call.content.clone(),
            begun: 0,
            ended: u64::MAX,
            end: CallEnd::Silent,
        });
        self.calls.push(call);
    }

    fn plan_faults(&mut self) {
        for _ in 0..self.plan.pauses {
            let pause = self.any_span(Duration::from_millis(100), Duration::from_secs(6));
            let router = self.rng.random_range(0..ROUTERS);
            let at = self.any_span(Duration::ZERO, SPAN);
            self.plan_moment(at, Moment::Pause(router, pause));
        }
        for _ in 0..self.plan.kills {
            let router = self.rng.random_range(0..ROUTERS);
            let at = self.any_span(Duration::ZERO, SPAN);
            self.plan_moment(at, Moment::Kill(router));
        }
        if self.plan.outage {
            let begin = TimePoint(0).after(self.any_span(Duration::ZERO, SPAN / 2));
            let outage = self.any_span(Duration::from_secs(1), Duration::from_secs(12));
            self.outage = (begin, begin.after(outage));
        }
    }

    fn on_moment(&mut self, moment: Moment) {
        match moment {
            Moment::Send(call) => self.on_send(call),
            Moment::Leave(call) => {
                let event = Event::CallerLeft(request_key(call));
                let router = self.calls[call].router;
                self.input(router, RouterInput::Core(event));
            }
            Moment::Answered(call, end) => self.on_answered(call, end),
            Moment::Input(router, epoch, input) => self.on_input(router, epoch, input),
            Moment::Apply(router, epoch, attempt, path, call, answered) => {
                let answer = self.store.apply(&path, call);
                let Some(answered) = answered else { return };
                let input = RouterInput::Ledger(attempt, answer);
                self.at(answered, Moment::Input(router, epoch, input));
            }
            Moment::Execute(router, epoch, call, attempt) => {
                self.on_execute(router, epoch, call, attempt);
            }
            Moment::Pause(router, pause) => {
                self.routers[router].paused_until = self.now.after(pause);
            }
            Moment::Kill(router) => self.on_kill(router),
        }
    }

    fn on_send(&mut self, call: usize) {
        let SimCall { operation, content, router, wait, leaves, .. } = self.calls[call].clone();
        self.records[call].begun = self.now.0;
        let arrival = Arrival {
            request: request_key(call),
            path: "/pay".into(),
            account: AccountName::new("counter"),
            chat: None,
            operation: Some(OperationName::new(&operation)),
            content: ContentDigest::of(content.as_bytes()),
            placement: None,
            chat_begins: false,
            prompt_head: Bytes::new(),
            tokens: 1,
            deadline: self.now.after(wait),
        };
        self.input(router, RouterInput::Core(Event::Arrived(arrival)));
        let Some(leaves) = leaves else { return };
        self.after(leaves, Moment::Leave(call));
    }

    fn on_answered(&mut self, call: usize, end: CallEnd) {
        let record = &mut self.records[call];
        if record.end != CallEnd::Silent {
            return;
        }
        record.request = Some(request_text(call));
        record.ended = self.now.0;
        record.end = end;
        if matches!(record.end, CallEnd::Completed(_)) && self.calls[call].asks_again {
            self.ask_again(call);
        }
    }

    fn ask_again(&mut self, call: usize) {
        let router = self.rng.random_range(0..ROUTERS);
        let again = SimCall { router, leaves: None, asks_again: false, ..self.calls[call].clone() };
        self.add_call(again);
        self.after(Duration::from_micros(1), Moment::Send(self.calls.len() - 1));
    }

    fn on_input(&mut self, router: usize, epoch: u32, input: RouterInput) {
        let place = &mut self.routers[router];
        if place.epoch != epoch {
            return;
        }
        if place.paused_until > self.now {
            let until = place.paused_until;
            return self.at(until, Moment::Input(router, epoch, input));
        }
        let outputs = place.router.on_input(self.now, input);
        for output in outputs {
            match output {
                RouterOutput::Step(request, step) => self.on_step(router, request, step),
                RouterOutput::Call(attempt, path, call) => {
                    self.on_call(router, attempt, path, call);
                }
            }
        }
        let deadline = self.routers[router].router.next_deadline();
        if deadline != TimePoint::NEVER {
            let epoch = self.routers[router].epoch;
            self.at(
                deadline.max(TimePoint(self.now.0 + 1)),
                Moment::Input(router, epoch, RouterInput::Timer),
            );
        }
    }

    fn on_step(&mut self, router: usize, request: RequestKey, step: RequestStep) {
        let call = request.0 as usize;
        let end = match step {
            RequestStep::Send { attempt, .. } => return self.on_attempt(router, call, attempt),
            RequestStep::Deliver(answer) | RequestStep::Replay(answer) => {
                CallEnd::Completed(String::from_utf8_lossy(&answer.body).into())
            }
            RequestStep::Confirm(code) => CallEnd::new(code.number(), ""),
            RequestStep::Refuse(refusal) => CallEnd::new(refusal.row().number, ""),
        };
        let travel = self.any_span(Duration::from_millis(1), Duration::from_millis(3));
        self.after(travel, Moment::Answered(call, end));
    }

    fn on_call(&mut self, router: usize, attempt: AttemptKey, path: Box<str>, call: LedgerCall) {
        let epoch = self.routers[router].epoch;
        let timeout = self.now.after(CALL_TIMEOUT);
        if self.out() {
            let sent = self.rng.random_bool(0.5);
            let answer = if sent { CallAnswer::Unanswered } else { CallAnswer::NoEffect };
            let at = if sent { timeout } else { self.now.after(Duration::from_millis(1)) };
            let input = RouterInput::Ledger(attempt, answer);
            return self.at(at, Moment::Input(router, epoch, input));
        }
        let late = self.rng.random_bool(self.plan.late_effect);
        let slowest = if late { Duration::from_secs(8) } else { Duration::from_millis(20) };
        let effect = self.any_span(Duration::from_millis(1), slowest);
        let effect = self.now.after(effect);
        let answered =
            effect.after(self.any_span(Duration::from_millis(1), Duration::from_millis(20)));
        let lost = self.rng.random_bool(self.plan.answer_lost) || answered > timeout;
        let apply = Moment::Apply(router, epoch, attempt, path, call, (!lost).then_some(answered));
        self.at(effect, apply);
        if lost {
            let input = RouterInput::Ledger(attempt, CallAnswer::Unanswered);
            self.at(timeout, Moment::Input(router, epoch, input));
        }
    }

    fn on_attempt(&mut self, router: usize, call: usize, attempt: AttemptKey) {
        let epoch = self.routers[router].epoch;
        let request = request_key(call);
        if self.rng.random_bool(self.plan.unsent) {
            let event = Event::AttemptUnsent(request, attempt);
            return self.after(
                Duration::from_millis(1),
                Moment::Input(router, epoch, RouterInput::Core(event)),
            );
        }
        let travel = self.any_span(Duration::from_millis(1), Duration::from_millis(5));
        self.after(travel, Moment::Execute(router, epoch, call, attempt));
    }

    fn on_execute(&mut self, router: usize, epoch: u32, call: usize, attempt: AttemptKey) {
        let request = request_key(call);
        let lost = self.rng.random_bool(self.plan.target_lost);
        if lost && self.rng.random_bool(0.5) {
            return self.lose(router, epoch, request, attempt);
        }
        let SimCall { operation, content, .. } = self.calls[call].clone();
        let answer = format!("{operation} run {}", self.runs.len());
        self.runs.push(RunRecord {
            operation,
            request: request_text(call),
            content,
            answer: answer.clone().into(),
        });
        if lost {
            return self.lose(router, epoch, request, attempt);
        }
        let body = Bytes::from(answer);
        let mut stored = StoredAnswer { status: 200, content_type: "text/plain".into(), body };
        if self.defect == Defect::SwappedAnswers
            && let Some(last) = self.last_answer.replace(stored.clone())
        {
            stored = last;
        }
        let slow = self.rng.random_bool(0.2);
        let slowest = Duration::from_millis(if slow { 8000 } else { 30 });
        let work = self.any_span(Duration::from_millis(1), slowest);
        let event = Event::AttemptEnded(request, attempt, AttemptEnd::Whole(Some(stored)));
        self.after(work, Moment::Input(router, epoch, RouterInput::Core(event)));
    }

    fn lose(&mut self, router: usize, epoch: u32, request: RequestKey, attempt: AttemptKey) {
        let end = AttemptEnd::LostEarly(UnknownCode::TargetLost);
        let event = if self.defect == Defect::RepeatAfterSend {
            Event::AttemptUnsent(request, attempt)
        } else {
            Event::AttemptEnded(request, attempt, end)
        };
        let noticed = self.any_span(Duration::from_millis(1), Duration::from_millis(500));
        self.after(noticed, Moment::Input(router, epoch, RouterInput::Core(event)));
    }

    /// The router starts anew with nothing; what it had sent goes on without it.
    fn on_kill(&mut self, router: usize) {
        let seed = self.rng.random();
        let place = &mut self.routers[router];
        place.epoch += 1;
        place.paused_until = TimePoint(0);
        place.router = SimRouter::new(router, seed, self.defect);
    }

    fn out(&self) -> bool {
        (self.outage.0..self.outage.1).contains(&self.now)
    }

    fn input(&mut self, router: usize, input: RouterInput) {
        let epoch = self.routers[router].epoch;
        let travel = self.any_span(Duration::from_millis(1), Duration::from_millis(3));
        self.after(travel, Moment::Input(router, epoch, input));
    }

    fn plan_moment(&mut self, after: Duration, moment: Moment) {
        self.at(TimePoint(0).after(after), moment);
    }

    fn after(&mut self, span: Duration, moment: Moment) {
        self.at(self.now.after(span), moment);
    }

    fn at(&mut self, time: TimePoint, moment: Moment) {
        self.turn += 1;
        self.moments.insert((time, self.turn), moment);
    }

    fn any_span(&mut self, from: Duration, to: Duration) -> Duration {
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
