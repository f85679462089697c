//! Life cycle of one attempt's claim on an operation, as typestate.
//!
//! `Claiming` becomes `Held` only through a confirmed write. A held claim then either records its
//! outcome (`Recording`) or is withdrawn (`Withdrawing`); a withdrawn claim is never held again.

use base_types::{
    CompletedCode, HostName, NotRunCode, RowVersion, UnknownCode, key_types, message_types,
};

use crate::{
    ClaimOutcome, OperationClaim, OperationRecord, OperationState, SettledOutcome, WallTime,
};

/// Failed calls after which a claim is refused.
const CLAIM_FAILURES_MAX: u32 = 3;

key_types! {
    /// Precondition of a conditional write.
    pub enum RecordCondition {
        /// The object must not exist.
        Absent,
        /// The object must have this version.
        Version(RowVersion),
    }
}

message_types! {
    /// A platform call on the object that stores an operation.
    pub enum LedgerCall {
        /// Reads the object.
        Read,
        /// Writes the object if its precondition holds.
        Write(RecordCondition, OperationRecord),
    }

    /// Outcome of a platform call.
    pub enum LedgerCallOutcome {
        /// The object exists and was read at this version.
        Found(RowVersion, OperationRecord),
        /// The object does not exist.
        Missing,
        /// The object exists, but its value is not a valid operation record.
        Unreadable,
        /// The write took effect and gave the object this version.
        Written(RowVersion),
        /// The precondition of the write did not hold, so the write had no effect.
        Conflict,
        /// The call failed and certainly had no effect.
        NoEffect,
        /// No answer arrived; a write may still take effect at any later time.
        Unanswered,
    }
}

/// The claim is being written or read back, and is not confirmed yet.
#[derive(Debug)]
pub(crate) struct Claiming {
    condition: RecordCondition,
    /// Whether an unanswered write with the precondition `condition` may still take effect.
    write_in_doubt: bool,
    abandoned: bool,
    failures: u32,
}

/// The write of the claim is confirmed.
#[derive(Debug)]
pub(crate) struct Held {
    version: RowVersion,
}

/// The claim is being released, so that none of its writes is in effect or can take effect later.
#[derive(Debug)]
pub(crate) struct Withdrawing {
    condition: RecordCondition,
    failures: u32,
}

/// The outcome of the operation is being recorded.
#[derive(Debug)]
pub(crate) struct Recording {
    version: RowVersion,
    outcome: OperationState,
    failures: u32,
}

/// One attempt's claim on an operation.
#[derive(Debug)]
pub(crate) struct Operation<State> {
    claim: OperationClaim,
    state: State,
}

/// An operation in any state.
#[derive(Debug)]
pub(crate) enum LiveOperation {
    Claiming(Operation<Claiming>),
    Held(Operation<Held>),
    Withdrawing(Operation<Withdrawing>),
    Recording(Operation<Recording>),
}

/// A result that the router is notified of once.
#[derive(Debug)]
pub(crate) enum Notification {
    Claimed(ClaimOutcome),
    Recorded,
}

/// The next platform call and when to make it.
#[derive(Debug)]
pub(crate) enum NextCall {
    Now(LedgerCall),
    /// After a backoff that grows with the second value, the number of failures so far.
    AfterBackoff(LedgerCall, u32),
}

/// Result of a state transition; `live` is absent once the operation needs no further tracking.
#[derive(Debug, Default)]
pub(crate) struct OperationStep {
    pub(crate) live: Option<LiveOperation>,
    pub(crate) call: Option<NextCall>,
    pub(crate) notification: Option<Notification>,
}

impl OperationStep {
    /// The operation continues with a platform call.
    fn with_call(live: LiveOperation, call: NextCall) -> Self {
        Self { live: Some(live), call: Some(call), notification: None }
    }
}

/// Host and wall-clock time that are stored in the records it writes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RecordWriter<'a> {
    pub(crate) host: &'a HostName,
    pub(crate) wall_time: WallTime,
}

impl RecordWriter<'_> {
    fn write(
        self,
        claim: &OperationClaim,
        condition: RecordCondition,
        state: OperationState,
    ) -> LedgerCall {
        LedgerCall::Write(condition, OperationRecord::new(claim, self.host, self.wall_time, state))
    }
}

impl<State> Operation<State> {
    pub(crate) fn claim(&self) -> &OperationClaim {
        &self.claim
    }

    fn was_written_by_attempt(&self, record: &OperationRecord) -> bool {
        record.attempt == self.claim.attempt
    }

    fn is_claimed_in(&self, record: &OperationRecord) -> bool {
        self.was_written_by_attempt(record) && record.state == OperationState::Claimed
    }
}

impl Operation<Claiming> {
    /// Starts a claim. Most operations are new, so the first write expects no object.
    pub(crate) fn start(claim: OperationClaim, writer: RecordWriter<'_>) -> OperationStep {
        let state = Claiming {
            condition: RecordCondition::Absent,
            write_in_doubt: false,
            abandoned: false,
            failures: 0,
        };
        Self { claim, state }.write(writer)
    }

    /// Abandons the claim, whose caller is answered "not run". If the outstanding call claims the
    /// operation, the claim is released.
    pub(crate) fn abandon(mut self) -> Self {
        self.state.abandoned = true;
        self
    }

    pub(crate) fn on_answer(
        mut self,
        answers_write: bool,
        answer: LedgerCallOutcome,
        writer: RecordWriter<'_>,
    ) -> OperationStep {
        match answer {
            LedgerCallOutcome::Written(version) => self.confirm(version, writer),
            LedgerCallOutcome::Conflict => self.read_now(),
            LedgerCallOutcome::Found(version, record) => self.on_found(version, &record, writer),
            LedgerCallOutcome::Missing => self.on_missing(writer),
            LedgerCallOutcome::Unreadable => {
                self.finish_without_claim(ClaimOutcome::Unsettled(UnknownCode::OperationUnsettled))
            }
            LedgerCallOutcome::NoEffect => self.on_failure(writer),
            LedgerCallOutcome::Unanswered => {
                self.state.write_in_doubt |= answers_write;
                self.on_failure(writer)
            }
        }
    }

    fn confirm(self, version: RowVersion, writer: RecordWriter<'_>) -> OperationStep {
        if self.state.abandoned {
            return self.withdraw(RecordCondition::Version(version), writer);
        }
        let held = Operation { claim: self.claim, state: Held { version } };
        OperationStep {
            live: Some(LiveOperation::Held(held)),
            call: None,
            notification: Some(Notification::Claimed(ClaimOutcome::Granted)),
        }
    }

    fn on_found(
        mut self,
        version: RowVersion,
        record: &OperationRecord,
        writer: RecordWriter<'_>,
    ) -> OperationStep {
        if self.is_claimed_in(record) {
            return self.confirm(version, writer);
        }
        if self.state.condition == RecordCondition::Version(version) {
            return self.write_or_give_up(writer);
        }
        self.state.write_in_doubt = false;
        if record.content != self.claim.content {
            return self.finish_without_claim(ClaimOutcome::Refused(NotRunCode::OperationReused));
        }
        if record.state == OperationState::Released {
            self.state.condition = RecordCondition::Version(version);
            return self.write_or_give_up(writer);
        }
        self.finish_without_claim(outcome_of_record(record))
    }

    fn on_missing(mut self, writer: RecordWriter<'_>) -> OperationStep {
        if self.state.condition != RecordCondition::Absent {
            self.state.condition = RecordCondition::Absent;
            self.state.write_in_doubt = false;
        }
        self.write_or_give_up(writer)
    }

    /// Writes the claim, or gives up if it is abandoned. No write of the claim is in effect
    /// now, but an unanswered one may still take effect.
    fn write_or_give_up(self, writer: RecordWriter<'_>) -> OperationStep {
        if !self.state.abandoned {
            return self.write(writer);
        }
        self.give_up(writer, None)
    }

    fn on_failure(mut self, writer: RecordWriter<'_>) -> OperationStep {
        self.state.failures += 1;
        if self.state.abandoned {
            return self.give_up(writer, None);
        }
        if self.state.failures >= CLAIM_FAILURES_MAX {
            let outcome = ClaimOutcome::Refused(NotRunCode::LedgerUnavailable);
            return self.give_up(writer, Some(Notification::Claimed(outcome)));
        }
        let failures = self.state.failures;
        OperationStep::with_call(
            LiveOperation::Claiming(self),
            NextCall::AfterBackoff(LedgerCall::Read, failures),
        )
    }

    fn give_up(
        self,
        writer: RecordWriter<'_>,
        notification: Option<Notification>,
    ) -> OperationStep {
        if !self.state.write_in_doubt {
            return OperationStep { notification, ..OperationStep::default() };
        }
        let condition = self.state.condition;
        OperationStep { notification, ..self.withdraw(condition, writer) }
    }

    fn write(self, writer: RecordWriter<'_>) -> OperationStep {
        let call = writer.write(&self.claim, self.state.condition, OperationState::Claimed);
        OperationStep::with_call(LiveOperation::Claiming(self), NextCall::Now(call))
    }

    fn read_now(self) -> OperationStep {
        OperationStep::with_call(LiveOperation::Claiming(self), NextCall::Now(LedgerCall::Read))
    }

    fn finish_without_claim(self, outcome: ClaimOutcome) -> OperationStep {
        let notification = (!self.state.abandoned).then_some(Notification::Claimed(outcome));
        OperationStep { notification, ..OperationStep::default() }
    }

    fn withdraw(self, condition: RecordCondition, writer: RecordWriter<'_>) -> OperationStep {
        Operation { claim: self.claim, state: Withdrawing { condition, failures: 0 } }.write(writer)
    }
}

impl Operation<Held> {
    /// Releases a claim whose request was certainly not sent.
    pub(crate) fn release(self, writer: RecordWriter<'_>) -> OperationStep {
        let condition = RecordCondition::Version(self.state.version);
        Operation { claim: self.claim, state: Withdrawing { condition, failures: 0 } }.write(writer)
    }

    /// Records the outcome of an operation whose request was sent.
    pub(crate) fn record_outcome(
        self,
        outcome: OperationState,
        writer: RecordWriter<'_>,
    ) -> OperationStep {
        let state = Recording { version: self.state.version, outcome, failures: 0 };
        Operation { claim: self.claim, state }.write(writer)
    }
}

impl Operation<Withdrawing> {
    pub(crate) fn on_answer(
        mut self,
        answer: LedgerCallOutcome,
        writer: RecordWriter<'_>,
    ) -> OperationStep {
        match answer {
            LedgerCallOutcome::Conflict => self.read(false),
            LedgerCallOutcome::NoEffect | LedgerCallOutcome::Unanswered => self.read(true),
            LedgerCallOutcome::Found(version, record) => {
                let condition = RecordCondition::Version(version);
                if !self.is_claimed_in(&record) && self.state.condition != condition {
                    return OperationStep::default();
                }
                self.state.condition = condition;
                self.write(writer)
            }
            LedgerCallOutcome::Missing if self.state.condition == RecordCondition::Absent => {
                self.write(writer)
            }
            LedgerCallOutcome::Written(_)
            | LedgerCallOutcome::Missing
            | LedgerCallOutcome::Unreadable => OperationStep::default(),
        }
    }

    fn write(self, writer: RecordWriter<'_>) -> OperationStep {
        let call = writer.write(&self.claim, self.state.condition, OperationState::Released);
        OperationStep::with_call(LiveOperation::Withdrawing(self), NextCall::Now(call))
    }

    fn read(mut self, failed: bool) -> OperationStep {
        self.state.failures += u32::from(failed);
        let call = next_read(failed, self.state.failures);
        OperationStep::with_call(LiveOperation::Withdrawing(self), call)
    }
}

impl Operation<Recording> {
    pub(crate) fn on_answer(
        mut self,
        answer: LedgerCallOutcome,
        writer: RecordWriter<'_>,
    ) -> OperationStep {
        match answer {
            LedgerCallOutcome::Conflict => self.read(false),
            LedgerCallOutcome::NoEffect | LedgerCallOutcome::Unanswered => self.read(true),
            LedgerCallOutcome::Found(version, record) if self.is_claimed_in(&record) => {
                self.state.version = version;
                self.write(writer)
            }
            LedgerCallOutcome::Written(_)
            | LedgerCallOutcome::Found(..)
            | LedgerCallOutcome::Missing
            | LedgerCallOutcome::Unreadable => OperationStep {
                notification: Some(Notification::Recorded),
                ..OperationStep::default()
            },
        }
    }

    fn write(self, writer: RecordWriter<'_>) -> OperationStep {
        let condition = RecordCondition::Version(self.state.version);
        let call = writer.write(&self.claim, condition, self.state.outcome.clone());
        OperationStep::with_call(LiveOperation::Recording(self), NextCall::Now(call))
    }

    fn read(mut self, failed: bool) -> OperationStep {
        self.state.failures += u32::from(failed);
        let call = next_read(failed, self.state.failures);
        OperationStep::with_call(LiveOperation::Recording(self), call)
    }
}

impl LiveOperation {
    pub(crate) fn claim(&self) -> &OperationClaim {
        match self {
            Self::Claiming(operation) => operation.claim(),
            Self::Held(operation) => operation.claim(),
            Self::Withdrawing(operation) => operation.claim(),
            Self::Recording(operation) => operation.claim(),
        }
    }
}

fn next_read(failed: bool, failures: u32) -> NextCall {
    if failed {
        NextCall::AfterBackoff(LedgerCall::Read, failures)
    } else {
        NextCall::Now(LedgerCall::Read)
    }
}

/// Outcome of a claim on an operation whose record another attempt wrote.
fn outcome_of_record(record: &OperationRecord) -> ClaimOutcome {
    match &record.state {
        OperationState::Completed(answer) => ClaimOutcome::Replayed(answer.clone()),
        OperationState::Settled(settlement) => match settlement.outcome {
            SettledOutcome::Run => ClaimOutcome::Settled(CompletedCode::SettledComplete),
            SettledOutcome::NotRun => ClaimOutcome::Refused(NotRunCode::OperationReleased),
        },
        OperationState::Unsettled => ClaimOutcome::Unsettled(UnknownCode::OperationUnsettled),
        OperationState::Claimed | OperationState::Released => {
            ClaimOutcome::Unsettled(UnknownCode::OperationRunning)
        }
    }
}
