//! One router: the real core and the real ledger, wired as the shipped loop wires them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base_types::{
    AttemptKey, DomainName, HostName, NotRunCode, PoolName, RequestKey, RouteName, RowVersion,
    TimePoint,
};
use core_router::{
    ClaimOutcome, Effect, Event, HostEntry, HostRole, HostState, RequestStep, RouterCore,
};
use state_ledger::{CallAnswer, LedgerBook, LedgerCall, LedgerEffect, LedgerOrder, WallTime};
use state_tables::{RowChange, RowContent, RowKey, TableFile};

use super::faults::Defect;

pub(crate) const TARGETS: usize = 3;

const TABLES: &str = r#"
[[pool]]
name = "payments"
team = "payments"
group = "payments"
kind = "service"
repeatable = false

[[route]]
name = "pay"
team = "payments"
path = "/pay"
pool = "payments"
"#;

/// Input of a router.
#[derive(Debug, Clone)]
pub(crate) enum RouterInput {
    Core(Event),
    Ledger(AttemptKey, CallAnswer),
    Timer,
}

/// What a router asks of the world.
#[derive(Debug)]
pub(crate) enum RouterOutput {
    Step(RequestKey, RequestStep),
    Call(AttemptKey, Box<str>, LedgerCall),
}

pub(crate) struct SimRouter {
    core: RouterCore,
    book: LedgerBook,
    defect: Defect,
    requests: BTreeMap<AttemptKey, RequestKey>,
    claiming: BTreeSet<AttemptKey>,
    forgotten: BTreeSet<AttemptKey>,
}

impl SimRouter {
    pub(crate) fn new(index: usize, seed: u64, defect: Defect) -> Self {
        let host = HostName::new(&format!("router-{index}"));
        let mut core = RouterCore::new(host.clone(), seed);
        for event in first_events() {
            core.on_event(TimePoint(0), event);
        }
        Self {
            core,
            book: LedgerBook::new(host, WallTime(0)),
            defect,
            requests: BTreeMap::new(),
            claiming: BTreeSet::new(),
            forgotten: BTreeSet::new(),
        }
    }

    pub(crate) fn next_deadline(&self) -> TimePoint {
        self.core.next_deadline().min(self.book.next_deadline())
    }

    pub(crate) fn unfinished(&self) -> usize {
        self.book.unfinished() + self.core.status().requests
    }

    pub(crate) fn on_input(&mut self, now: TimePoint, input: RouterInput) -> Vec<RouterOutput> {
        let mut outputs = Vec::new();
        let mut queue = VecDeque::new();
        match input {
            RouterInput::Core(event) => queue.push_back(event),
            RouterInput::Ledger(attempt, answer) => {
                let effects = self.book.on_answer(now, attempt, answer);
                self.run_ledger(effects, &mut queue, &mut outputs);
            }
            RouterInput::Timer => {
                let effects = self.book.on_timer(now);
                self.run_ledger(effects, &mut queue, &mut outputs);
                queue.push_back(Event::TimerFired);
            }
        }
        while let Some(event) = queue.pop_front() {
            for effect in self.core.on_event(now, event) {
                self.run_effect(now, effect, &mut queue, &mut outputs);
            }
        }
        outputs
    }

    fn run_effect(
        &mut self,
        now: TimePoint,
        effect: Effect,
        queue: &mut VecDeque<Event>,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let order = match effect {
            Effect::Step(request, step) => {
                outputs.push(RouterOutput::Step(request, step));
                return;
            }
            Effect::Claim(request, claim) => {
                self.requests.insert(claim.attempt, request);
                self.claiming.insert(claim.attempt);
                if self.defect == Defect::UnconfirmedDispatch {
                    queue.push_back(Event::ClaimAnswered(request, ClaimOutcome::Held));
                }
                LedgerOrder::Claim(claim)
            }
            Effect::Complete(request, claim, answer) => {
                self.requests.insert(claim.attempt, request);
                if self.defect == Defect::AnswerBeforeRecord {
                    queue.push_back(Event::AnswerRecorded(request));
                }
                LedgerOrder::Complete(claim, answer)
            }
            Effect::Lose(claim) => LedgerOrder::Lose(claim),
            Effect::Release(claim) => {
                if self.defect == Defect::RacingRelease && self.claiming.contains(&claim.attempt) {
                    self.forgotten.insert(claim.attempt);
                }
                LedgerOrder::Release(claim)
            }
            Effect::Notify(_) => return,
        };
        let effects = self.book.on_order(now, order);
        self.run_ledger(effects, queue, outputs);
    }

    fn run_ledger(
        &mut self,
        effects: Vec<LedgerEffect>,
        queue: &mut VecDeque<Event>,
        outputs: &mut Vec<RouterOutput>,
    ) {
        for effect in effects {
            match effect {
                LedgerEffect::Call(attempt, path, call) => {
                    if !self.forgotten.contains(&attempt) {
                        outputs.push(RouterOutput::Call(attempt, path, call));
                    }
                }
                LedgerEffect::Claimed(attempt, outcome) => {
                    self.claiming.remove(&attempt);
                    let unavailable = ClaimOutcome::Refused(NotRunCode::LedgerUnavailable);
                    if self.defect == Defect::ForgottenClaim && outcome == unavailable {
                        self.forgotten.insert(attempt);
                    }
                    let Some(request) = self.requests.remove(&attempt) else { continue };
                    queue.push_back(Event::ClaimAnswered(request, outcome));
                }
                LedgerEffect::Recorded(attempt) => {
                    let Some(request) = self.requests.remove(&attempt) else { continue };
                    queue.push_back(Event::AnswerRecorded(request));
                }
            }
        }
    }
}

fn first_events() -> Vec<Event> {
    let Ok(mut file) = TableFile::parse(TABLES) else { return Vec::new() };
    let change = |key, content| Event::RowHeard(RowChange { key, version: RowVersion(1), content });
    let hosts = (0..TARGETS).map(|index| HostEntry {
        name: HostName::new(&format!("target-{index}")),
        role: HostRole::Target,
        group: "payments".into(),
        address: format!("127.0.0.1:{index}").into(),
        peer: None,
        failure_domain: DomainName::new("domain"),
        state: HostState::Live,
    });
    vec![
        change(RowKey::Pool(PoolName::new("payments")), RowContent::Pool(file.pools.remove(0))),
        change(RowKey::Route(RouteName::new("pay")), RowContent::Route(file.routes.remove(0))),
        Event::HostsListed(hosts.collect()),
        Event::TablesComplete,
    ]
}
