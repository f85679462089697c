//! The operations that one router has claimed, and the backoff between their platform calls.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{AttemptKey, HostName, NotRunCode, TimePoint, message_types};

use crate::{
    ClaimOutcome, LedgerCall, LedgerCallOutcome, OperationClaim, OperationState, StoredAnswer,
    WallTime,
    operation::{LiveOperation, NextCall, Notification, Operation, OperationStep, RecordWriter},
    operation_path,
};

const RETRY_BACKOFF_MIN: Duration = Duration::from_millis(20);
const RETRY_BACKOFF_DOUBLINGS_MAX: u32 = 6;
/// Consecutive failures after which the platform counts as down.
const OUTAGE_FAILURES_MIN: u32 = 3;
/// During an outage, one claim per interval is let through to probe the platform.
const OUTAGE_PROBE_INTERVAL: Duration = Duration::from_millis(500);

message_types! {
    /// A command from the router to the ledger.
    pub enum LedgerCommand {
        /// Claim an operation; answered by [`LedgerEffect::Claimed`], unless the claim is released
        /// before.
        Claim(OperationClaim),
        /// Release a claim, confirmed or not, whose request was certainly not sent.
        Release(OperationClaim),
        /// Record the answer of an operation; answered by [`LedgerEffect::Recorded`], and ignored
        /// unless the claim is held.
        Complete(OperationClaim, StoredAnswer),
        /// Record that the outcome of an operation is unknown; answered by
        /// [`LedgerEffect::Recorded`], and ignored unless the claim is held.
        RecordUnknown(OperationClaim),
    }

    /// An action or a notification for the caller of the ledger.
    pub enum LedgerEffect {
        /// Make a call on the object at this path, and pass its outcome to
        /// [`LedgerCore::on_answer`] with this attempt.
        Call(AttemptKey, Box<str>, LedgerCall),
        /// The claim of an attempt is decided.
        Claimed(AttemptKey, ClaimOutcome),
        /// The outcome of an attempt's operation is recorded, or the record no longer holds the
        /// attempt's claim.
        Recorded(AttemptKey),
    }
}

#[derive(Debug)]
struct TrackedOperation {
    live: LiveOperation,
    last_call_was_write: bool,
    scheduled_call: Option<LedgerCall>,
}

/// All operations that one router has claimed or is claiming.
///
/// Each operation has at most one outstanding call, so the attempt key identifies the call.
#[derive(Debug)]
pub struct LedgerCore {
    host: HostName,
    started_at: WallTime,
    operations: BTreeMap<AttemptKey, TrackedOperation>,
    retry_schedule: BTreeSet<(TimePoint, AttemptKey)>,
    consecutive_failures: u32,
    next_probe_at: TimePoint,
    effects: Vec<LedgerEffect>,
}

impl LedgerCore {
    /// Creates an empty ledger; `started_at` is the wall-clock time at `TimePoint(0)`.
    pub fn new(host: HostName, started_at: WallTime) -> Self {
        Self {
            host,
            started_at,
            operations: BTreeMap::new(),
            retry_schedule: BTreeSet::new(),
            consecutive_failures: 0,
            next_probe_at: TimePoint(0),
            effects: Vec::new(),
        }
    }

    /// Handles a command and returns the resulting effects.
    pub fn on_command(&mut self, now: TimePoint, command: LedgerCommand) -> Vec<LedgerEffect> {
        match command {
            LedgerCommand::Claim(claim) => self.on_claim(now, claim),
            LedgerCommand::Release(claim) => self.on_release(now, &claim),
            LedgerCommand::Complete(claim, answer) => {
                self.on_outcome(now, &claim, OperationState::Completed(answer));
            }
            LedgerCommand::RecordUnknown(claim) => {
                self.on_outcome(now, &claim, OperationState::Unsettled)
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// Handles the outcome of a platform call and returns the resulting effects.
    pub fn on_answer(
        &mut self,
        now: TimePoint,
        attempt: AttemptKey,
        answer: LedgerCallOutcome,
    ) -> Vec<LedgerEffect> {
        self.track_outage(now, &answer);
        if let Some(tracked) = self.operations.remove(&attempt) {
            let writer = self.writer(now);
            let step = match tracked.live {
                LiveOperation::Claiming(operation) => {
                    operation.on_answer(tracked.last_call_was_write, answer, writer)
                }
                LiveOperation::Withdrawing(operation) => operation.on_answer(answer, writer),
                LiveOperation::Recording(operation) => operation.on_answer(answer, writer),
                live @ LiveOperation::Held(_) => {
                    OperationStep { live: Some(live), ..OperationStep::default() }
                }
            };
            self.apply_step(now, attempt, step);
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the calls whose backoff has elapsed.
    pub fn on_timer(&mut self, now: TimePoint) -> Vec<LedgerEffect> {
        while let Some((due_at, attempt)) = self.retry_schedule.first().copied()
            && due_at.passed(now)
        {
            self.retry_schedule.remove(&(due_at, attempt));
            let Some(tracked) = self.operations.get_mut(&attempt) else { continue };
            let Some(call) = tracked.scheduled_call.take() else { continue };
            self.issue_call(attempt, call);
        }
        std::mem::take(&mut self.effects)
    }

    /// Time of the next due retry, at which to call [`Self::on_timer`]; `NEVER` without one.
    pub fn next_deadline(&self) -> TimePoint {
        self.retry_schedule.first().map_or(TimePoint::NEVER, |(due_at, _)| *due_at)
    }

    /// Number of operations with an outstanding or scheduled call. A stopping router waits until
    /// there are none.
    pub fn pending_count(&self) -> usize {
        let is_held = |tracked: &&TrackedOperation| matches!(tracked.live, LiveOperation::Held(_));
        self.operations.len() - self.operations.values().filter(is_held).count()
    }

    /// Starts a claim. During a platform outage, claims are refused at once except for periodic
    /// probes.
    fn on_claim(&mut self, now: TimePoint, claim: OperationClaim) {
        let attempt = claim.attempt;
        if self.consecutive_failures >= OUTAGE_FAILURES_MIN && !self.next_probe_at.passed(now) {
            let outcome = ClaimOutcome::Refused(NotRunCode::LedgerUnavailable);
            self.effects.push(LedgerEffect::Claimed(attempt, outcome));
            return;
        }
        self.next_probe_at = now.after(OUTAGE_PROBE_INTERVAL);
        let step = Operation::start(claim, self.writer(now));
        self.apply_step(now, attempt, step);
    }

    fn on_release(&mut self, now: TimePoint, claim: &OperationClaim) {
        let Some(tracked) = self.operations.remove(&claim.attempt) else { return };
        match tracked.live {
            LiveOperation::Held(operation) => {
                let step = operation.release(self.writer(now));
                self.apply_step(now, claim.attempt, step);
            }
            LiveOperation::Claiming(operation) => {
                let live = LiveOperation::Claiming(operation.abandon());
                self.operations.insert(claim.attempt, TrackedOperation { live, ..tracked });
            }
            live => {
                self.operations.insert(claim.attempt, TrackedOperation { live, ..tracked });
            }
        }
    }

    fn on_outcome(&mut self, now: TimePoint, claim: &OperationClaim, outcome: OperationState) {
        let Some(tracked) = self.operations.remove(&claim.attempt) else { return };
        match tracked.live {
            LiveOperation::Held(operation) => {
                let step = operation.record_outcome(outcome, self.writer(now));
                self.apply_step(now, claim.attempt, step);
            }
            live => {
                self.operations.insert(claim.attempt, TrackedOperation { live, ..tracked });
            }
        }
    }

    fn apply_step(&mut self, now: TimePoint, attempt: AttemptKey, step: OperationStep) {
        if let Some(notification) = step.notification {
            self.effects.push(match notification {
                Notification::Claimed(outcome) => LedgerEffect::Claimed(attempt, outcome),
                Notification::Recorded => LedgerEffect::Recorded(attempt),
            });
        }
        let Some(live) = step.live else { return };
        let tracked = TrackedOperation { live, last_call_was_write: false, scheduled_call: None };
        self.operations.insert(attempt, tracked);
        match step.call {
            Some(NextCall::Now(call)) => self.issue_call(attempt, call),
            Some(NextCall::AfterBackoff(call, failures)) => {
                self.schedule_retry(now, attempt, call, failures)
            }
            None => {}
        }
    }

    fn issue_call(&mut self, attempt: AttemptKey, call: LedgerCall) {
        let Some(tracked) = self.operations.get_mut(&attempt) else { return };
        tracked.last_call_was_write = matches!(call, LedgerCall::Write(..));
        let claim = tracked.live.claim();
        let path = operation_path(&claim.account, &claim.operation);
        self.effects.push(LedgerEffect::Call(attempt, path, call));
    }

    fn schedule_retry(
        &mut self,
        now: TimePoint,
        attempt: AttemptKey,
        call: LedgerCall,
        failures: u32,
    ) {
        let Some(tracked) = self.operations.get_mut(&attempt) else { return };
        tracked.scheduled_call = Some(call);
        let doublings = failures.saturating_sub(1).min(RETRY_BACKOFF_DOUBLINGS_MAX);
        self.retry_schedule.insert((now.after(RETRY_BACKOFF_MIN * 2_u32.pow(doublings)), attempt));
    }

    /// Counts consecutive failures, and starts an outage when there are too many.
    fn track_outage(&mut self, now: TimePoint, answer: &LedgerCallOutcome) {
        if !matches!(answer, LedgerCallOutcome::NoEffect | LedgerCallOutcome::Unanswered) {
            self.consecutive_failures = 0;
            return;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures == OUTAGE_FAILURES_MIN {
            self.next_probe_at = now.after(OUTAGE_PROBE_INTERVAL);
        }
    }

    fn writer(&self, now: TimePoint) -> RecordWriter<'_> {
        let wall_time = WallTime(self.started_at.0 + now.0 / 1000);
        RecordWriter { host: &self.host, wall_time }
    }
}
