//! The holds of one router and the pauses between their calls.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{AttemptKey, HostName, NotRunCode, TimePoint, message_types};

use crate::{
    CallAnswer, ClaimOutcome, LedgerCall, OperationClaim, OperationState, StoredAnswer, WallTime,
    operation::{LiveOperation, NextCall, Operation, OperationStep, RecordWriter, Told},
    operation_path,
};

const PAUSE_FIRST: Duration = Duration::from_millis(20);
const PAUSE_DOUBLINGS_MAX: u32 = 6;
const OUTAGE_FAILURES: u32 = 3;
const OUTAGE_PROBE: Duration = Duration::from_millis(500);

message_types! {
    /// What the router asks of the ledger.
    pub enum LedgerOrder {
        /// Claim an operation; answered by [`LedgerEffect::Claimed`].
        Claim(OperationClaim),
        /// Take back a claim whose request was certainly not sent, confirmed or not.
        Release(OperationClaim),
        /// Record the answer of a held operation; answered by [`LedgerEffect::Recorded`].
        Complete(OperationClaim, StoredAnswer),
        /// Record that the outcome of a held operation is not known.
        Lose(OperationClaim),
    }

    /// What the ledger asks of its surroundings.
    pub enum LedgerEffect {
        /// Make a call on the object at a path and return its answer with the attempt.
        Call(AttemptKey, Box<str>, LedgerCall),
        /// The claim of an attempt is decided.
        Claimed(AttemptKey, ClaimOutcome),
        /// The outcome of an attempt's operation is recorded, or was decided by others.
        Recorded(AttemptKey),
    }
}

#[derive(Debug)]
struct BookEntry {
    live: LiveOperation,
    asked_write: bool,
    paused: Option<LedgerCall>,
}

/// All holds of one router.
///
/// Each has at most one call outstanding, so an attempt names the call that is answered.
#[derive(Debug)]
pub struct LedgerBook {
    host: HostName,
    started: WallTime,
    entries: BTreeMap<AttemptKey, BookEntry>,
    pauses: BTreeSet<(TimePoint, AttemptKey)>,
    failures: u32,
    probe: TimePoint,
    effects: Vec<LedgerEffect>,
}

impl LedgerBook {
    /// An empty book; `started` is the wall time at the point zero of the book's clock.
    pub fn new(host: HostName, started: WallTime) -> Self {
        Self {
            host,
            started,
            entries: BTreeMap::new(),
            pauses: BTreeSet::new(),
            failures: 0,
            probe: TimePoint(0),
            effects: Vec::new(),
        }
    }

    /// Takes an order and returns what is to be done.
    pub fn on_order(&mut self, now: TimePoint, order: LedgerOrder) -> Vec<LedgerEffect> {
        match order {
            LedgerOrder::Claim(claim) => self.on_claim(now, claim),
            LedgerOrder::Release(claim) => self.on_release(now, &claim),
            LedgerOrder::Complete(claim, answer) => {
                self.on_finish(now, &claim, OperationState::Completed(answer));
            }
            LedgerOrder::Lose(claim) => self.on_finish(now, &claim, OperationState::Unsettled),
        }
        std::mem::take(&mut self.effects)
    }

    /// Takes the answer of a call and returns what is to be done.
    pub fn on_answer(
        &mut self,
        now: TimePoint,
        attempt: AttemptKey,
        answer: CallAnswer,
    ) -> Vec<LedgerEffect> {
        self.count(now, &answer);
        if let Some(entry) = self.entries.remove(&attempt) {
            let writer = self.writer(now);
            let step = match entry.live {
                LiveOperation::Claiming(operation) => {
                    operation.on_answer(entry.asked_write, answer, writer)
                }
                LiveOperation::Withdrawing(operation) => operation.on_answer(answer, writer),
                LiveOperation::Finishing(operation) => operation.on_answer(answer, writer),
                live @ LiveOperation::Held(_) => {
                    OperationStep { live: Some(live), ..OperationStep::default() }
                }
            };
            self.take(now, attempt, step);
        }
        std::mem::take(&mut self.effects)
    }

    /// Makes the calls whose pause is over.
    pub fn on_timer(&mut self, now: TimePoint) -> Vec<LedgerEffect> {
        while let Some((end, attempt)) = self.pauses.first().copied()
            && end.passed(now)
        {
            self.pauses.remove(&(end, attempt));
            let Some(entry) = self.entries.get_mut(&attempt) else { continue };
            let Some(call) = entry.paused.take() else { continue };
            self.call(attempt, call);
        }
        std::mem::take(&mut self.effects)
    }

    /// The next point at which [`Self::on_timer`] is due.
    pub fn next_deadline(&self) -> TimePoint {
        self.pauses.first().map_or(TimePoint::NEVER, |(end, _)| *end)
    }

    /// Holds with a call outstanding or to come; a router that stops waits for these.
    pub fn unfinished(&self) -> usize {
        let held = |entry: &&BookEntry| matches!(entry.live, LiveOperation::Held(_));
        self.entries.len() - self.entries.values().filter(held).count()
    }

    fn on_claim(&mut self, now: TimePoint, claim: OperationClaim) {
        let attempt = claim.attempt;
        if self.failures >= OUTAGE_FAILURES && !self.probe.passed(now) {
            let outcome = ClaimOutcome::Refused(NotRunCode::LedgerUnavailable);
            self.effects.push(LedgerEffect::Claimed(attempt, outcome));
            return;
        }
        self.probe = now.after(OUTAGE_PROBE);
        let step = Operation::begin(claim, self.writer(now));
        self.take(now, attempt, step);
    }

    fn on_release(&mut self, now: TimePoint, claim: &OperationClaim) {
        let Some(entry) = self.entries.remove(&claim.attempt) else { return };
        match entry.live {
            LiveOperation::Held(operation) => {
                let step = operation.release(self.writer(now));
                self.take(now, claim.attempt, step);
            }
            LiveOperation::Claiming(operation) => {
                let live = LiveOperation::Claiming(operation.abandon());
                self.entries.insert(claim.attempt, BookEntry { live, ..entry });
            }
            live => {
                self.entries.insert(claim.attempt, BookEntry { live, ..entry });
            }
        }
    }

    fn on_finish(&mut self, now: TimePoint, claim: &OperationClaim, outcome: OperationState) {
        let Some(entry) = self.entries.remove(&claim.attempt) else { return };
        match entry.live {
            LiveOperation::Held(operation) => {
                let step = operation.finish(outcome, self.writer(now));
                self.take(now, claim.attempt, step);
            }
            live => {
                self.entries.insert(claim.attempt, BookEntry { live, ..entry });
            }
        }
    }

    fn take(&mut self, now: TimePoint, attempt: AttemptKey, step: OperationStep) {
        if let Some(told) = step.told {
            self.effects.push(match told {
                Told::Claimed(outcome) => LedgerEffect::Claimed(attempt, outcome),
                Told::Recorded => LedgerEffect::Recorded(attempt),
            });
        }
        let Some(live) = step.live else { return };
        let entry = BookEntry { live, asked_write: false, paused: None };
        self.entries.insert(attempt, entry);
        match step.call {
            Some(NextCall::Now(call)) => self.call(attempt, call),
            Some(NextCall::Later(call, tries)) => self.pause(now, attempt, call, tries),
            None => {}
        }
    }

    fn call(&mut self, attempt: AttemptKey, call: LedgerCall) {
        let Some(entry) = self.entries.get_mut(&attempt) else { return };
        entry.asked_write = matches!(call, LedgerCall::Write(..));
        let claim = entry.live.claim();
        let path = operation_path(&claim.account, &claim.operation);
        self.effects.push(LedgerEffect::Call(attempt, path, call));
    }

    fn pause(&mut self, now: TimePoint, attempt: AttemptKey, call: LedgerCall, tries: u32) {
        let Some(entry) = self.entries.get_mut(&attempt) else { return };
        entry.paused = Some(call);
        let doublings = tries.saturating_sub(1).min(PAUSE_DOUBLINGS_MAX);
        self.pauses.insert((now.after(PAUSE_FIRST * 2_u32.pow(doublings)), attempt));
    }

    /// Counts failures in a row; with the platform out, claims are refused at once.
    fn count(&mut self, now: TimePoint, answer: &CallAnswer) {
        if !matches!(answer, CallAnswer::NoEffect | CallAnswer::Unanswered) {
            self.failures = 0;
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures == OUTAGE_FAILURES {
            self.probe = now.after(OUTAGE_PROBE);
        }
    }

    fn writer(&self, now: TimePoint) -> RecordWriter<'_> {
        let wall = WallTime(self.started.0 + now.0 / 1000);
        RecordWriter { host: &self.host, wall }
    }
}
