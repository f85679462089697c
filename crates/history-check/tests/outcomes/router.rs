//! A simulated router: the production core and ledger, connected as in the production event loop.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base_types::{
    AttemptKey, FailureDomainName, HostName, NotRunCode, PoolName, RequestKey, RouteName,
    RowVersion, TimePoint,
};
use core_router::{
    ClaimOutcome, Effect, Event, HostEntry, HostRole, HostState, RequestStep, RouterCore,
};
use state_ledger::{
    LedgerCall, LedgerCallOutcome, LedgerCommand, LedgerCore, LedgerEffect, WallTime,
};
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

/// An input to a simulated router.
#[derive(Debug, Clone)]
pub(crate) enum RouterInput {
    Core(Event),
    Ledger(AttemptKey, LedgerCallOutcome),
    Timer,
}

/// An action that a router requests from the simulation.
#[derive(Debug)]
pub(crate) enum RouterOutput {
    Step(RequestKey, RequestStep),
    Call(AttemptKey, Box<str>, LedgerCall),
}

pub(crate) struct SimRouter {
    core: RouterCore,
    ledger: LedgerCore,
    defect: Defect,
    requests_by_attempt: BTreeMap<AttemptKey, RequestKey>,
    pending_claims: BTreeSet<AttemptKey>,
    abandoned_claims: BTreeSet<AttemptKey>,
}

impl SimRouter {
    pub(crate) fn new(index: usize, seed: u64, defect: Defect) -> Self {
        let host = HostName::new(&format!("router-{index}"));
        let mut core = RouterCore::new(host.clone(), seed);
        for event in initial_events() {
            core.on_event(TimePoint(0), event);
        }
        Self {
            core,
            ledger: LedgerCore::new(host, WallTime(0)),
            defect,
            requests_by_attempt: BTreeMap::new(),
            pending_claims: BTreeSet::new(),
            abandoned_claims: BTreeSet::new(),
        }
    }

    pub(crate) fn next_deadline(&self) -> TimePoint {
        self.core.next_deadline().min(self.ledger.next_deadline())
    }

    pub(crate) fn unfinished(&self) -> usize {
        self.ledger.pending_count() + self.core.status().requests
    }

    pub(crate) fn on_input(&mut self, now: TimePoint, input: RouterInput) -> Vec<RouterOutput> {
        let mut outputs = Vec::new();
        let mut events = VecDeque::new();
        match input {
            RouterInput::Core(event) => events.push_back(event),
            RouterInput::Ledger(attempt, answer) => {
                let effects = self.ledger.on_answer(now, attempt, answer);
                self.apply_ledger_effects(effects, &mut events, &mut outputs);
            }
            RouterInput::Timer => {
                let effects = self.ledger.on_timer(now);
                self.apply_ledger_effects(effects, &mut events, &mut outputs);
                events.push_back(Event::TimerFired);
            }
        }
        while let Some(event) = events.pop_front() {
            for effect in self.core.on_event(now, event) {
                self.apply_effect(now, effect, &mut events, &mut outputs);
            }
        }
        outputs
    }

    fn apply_effect(
        &mut self,
        now: TimePoint,
        effect: Effect,
        events: &mut VecDeque<Event>,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let command = match effect {
            Effect::Step(request, step) => {
                outputs.push(RouterOutput::Step(request, step));
                return;
            }
            Effect::Claim(request, claim) => {
                self.requests_by_attempt.insert(claim.attempt, request);
                self.pending_claims.insert(claim.attempt);
                if self.defect == Defect::DispatchBeforeConfirmation {
                    events.push_back(Event::ClaimAnswered(request, ClaimOutcome::Granted));
                }
                LedgerCommand::Claim(claim)
            }
            Effect::Complete(request, claim, answer) => {
                self.requests_by_attempt.insert(claim.attempt, request);
                if self.defect == Defect::DeliveryBeforeRecord {
                    events.push_back(Event::AnswerRecorded(request));
                }
                LedgerCommand::Complete(claim, answer)
            }
            Effect::RecordUnknown(claim) => LedgerCommand::RecordUnknown(claim),
            Effect::Release(claim) => {
                if self.defect == Defect::SkippedRelease
                    && self.pending_claims.contains(&claim.attempt)
                {
                    self.abandoned_claims.insert(claim.attempt);
                }
                LedgerCommand::Release(claim)
            }
            Effect::Broadcast(_) => return,
        };
        let effects = self.ledger.on_command(now, command);
        self.apply_ledger_effects(effects, events, outputs);
    }

    fn apply_ledger_effects(
        &mut self,
        effects: Vec<LedgerEffect>,
        events: &mut VecDeque<Event>,
        outputs: &mut Vec<RouterOutput>,
    ) {
        for effect in effects {
            match effect {
                LedgerEffect::Call(attempt, path, call) => {
                    if !self.abandoned_claims.contains(&attempt) {
                        outputs.push(RouterOutput::Call(attempt, path, call));
                    }
                }
                LedgerEffect::Claimed(attempt, outcome) => {
                    self.pending_claims.remove(&attempt);
                    let unavailable = ClaimOutcome::Refused(NotRunCode::LedgerUnavailable);
                    if self.defect == Defect::AbandonedClaim && outcome == unavailable {
                        self.abandoned_claims.insert(attempt);
                    }
                    let Some(request) = self.requests_by_attempt.remove(&attempt) else { continue };
                    events.push_back(Event::ClaimAnswered(request, outcome));
                }
                LedgerEffect::Recorded(attempt) => {
                    let Some(request) = self.requests_by_attempt.remove(&attempt) else { continue };
                    events.push_back(Event::AnswerRecorded(request));
                }
            }
        }
    }
}

fn initial_events() -> Vec<Event> {
    let Ok(mut file) = TableFile::parse(TABLES) else { return Vec::new() };
    let row_change =
        |key, content| Event::RowReceived(RowChange { key, version: RowVersion(1), content });
    let hosts = (0..TARGETS).map(|index| HostEntry {
        name: HostName::new(&format!("target-{index}")),
        role: HostRole::Target,
        group: "payments".into(),
        address: format!("127.0.0.1:{index}").into(),
        peer: None,
        failure_domain: FailureDomainName::new("domain"),
        state: HostState::Live,
    });
    vec![
        row_change(RowKey::Pool(PoolName::new("payments")), RowContent::Pool(file.pools.remove(0))),
        row_change(RowKey::Route(RouteName::new("pay")), RowContent::Route(file.routes.remove(0))),
        Event::HostsListed(hosts.collect()),
        Event::TablesComplete,
    ]
}
