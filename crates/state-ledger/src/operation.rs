//! Life cycle of one attempt's hold on an operation, as typestate.
//!
//! `Claiming` becomes `Held` only by a confirmed write. From there the hold ends as finished
//! (`Finishing`) or withdrawn (`Withdrawing`); a withdrawn claim never becomes held again.

use base_types::{
    CompletedCode, HostName, NotRunCode, RowVersion, UnknownCode, key_types, message_types,
};

use crate::{
    ClaimOutcome, OperationClaim, OperationRecord, OperationState, SettledOutcome, WallTime,
};

const CLAIM_TRIES: u32 = 3;

key_types! {
    /// Condition of a write.
    pub enum RecordGuard {
        /// The object must not exist.
        Absent,
        /// The object must have this version.
        Version(RowVersion),
    }
}

message_types! {
    /// A call on an operation's object.
    pub enum LedgerCall {
        /// Reads the object.
        Read,
        /// Writes the object under a condition.
        Write(RecordGuard, OperationRecord),
    }

    /// How a call ended.
    pub enum CallAnswer {
        /// The object was read at a version.
        Found(RowVersion, OperationRecord),
        /// The object does not exist.
        Missing,
        /// The object cannot be understood.
        Unreadable,
        /// The write took effect.
        Written(RowVersion),
        /// The condition of the write did not hold.
        Conflict,
        /// The call certainly had no effect.
        NoEffect,
        /// The call was not answered; a write may take effect at any later time.
        Unanswered,
    }
}

/// A claim is being written and is not confirmed.
#[derive(Debug)]
pub(crate) struct Claiming {
    guard: RecordGuard,
    /// An unanswered write under `guard` may take effect yet.
    at_risk: bool,
    abandoned: bool,
    tries: u32,
}

/// The claim is confirmed.
#[derive(Debug)]
pub(crate) struct Held {
    version: RowVersion,
}

/// The claim is taken back, so that no write of it stands or can ever take effect.
#[derive(Debug)]
pub(crate) struct Withdrawing {
    guard: RecordGuard,
    tries: u32,
}

/// The outcome of the held operation is being recorded.
#[derive(Debug)]
pub(crate) struct Finishing {
    version: RowVersion,
    outcome: OperationState,
    tries: u32,
}

/// One attempt's hold on an operation.
#[derive(Debug)]
pub(crate) struct Operation<State> {
    claim: OperationClaim,
    state: State,
}

/// A hold in any state.
#[derive(Debug)]
pub(crate) enum LiveOperation {
    Claiming(Operation<Claiming>),
    Held(Operation<Held>),
    Withdrawing(Operation<Withdrawing>),
    Finishing(Operation<Finishing>),
}

/// What is told once about a hold.
#[derive(Debug)]
pub(crate) enum Told {
    Claimed(ClaimOutcome),
    Recorded,
}

/// When the next call is made.
#[derive(Debug)]
pub(crate) enum NextCall {
    Now(LedgerCall),
    /// After a pause that grows with the number of tries.
    Later(LedgerCall, u32),
}

/// What follows from an answer.
#[derive(Debug, Default)]
pub(crate) struct OperationStep {
    pub(crate) live: Option<LiveOperation>,
    pub(crate) call: Option<NextCall>,
    pub(crate) told: Option<Told>,
}

impl OperationStep {
    /// The operation goes on with a call of the platform.
    fn calling(live: LiveOperation, call: NextCall) -> Self {
        Self { live: Some(live), call: Some(call), told: None }
    }
}

/// Who writes records and when.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RecordWriter<'a> {
    pub(crate) host: &'a HostName,
    pub(crate) wall: WallTime,
}

impl RecordWriter<'_> {
    fn write(
        self,
        claim: &OperationClaim,
        guard: RecordGuard,
        state: OperationState,
    ) -> LedgerCall {
        LedgerCall::Write(guard, OperationRecord::new(claim, self.host, self.wall, state))
    }
}

impl<State> Operation<State> {
    pub(crate) fn claim(&self) -> &OperationClaim {
        &self.claim
    }

    fn owns(&self, record: &OperationRecord) -> bool {
        record.attempt == self.claim.attempt
    }

    fn holds(&self, record: &OperationRecord) -> bool {
        self.owns(record) && record.state == OperationState::Claimed
    }
}

impl Operation<Claiming> {
    /// Starts a claim; most operations are new, so the first write expects no object.
    pub(crate) fn begin(claim: OperationClaim, writer: RecordWriter<'_>) -> OperationStep {
        let state =
            Claiming { guard: RecordGuard::Absent, at_risk: false, abandoned: false, tries: 0 };
        Self { claim, state }.write(writer)
    }

    /// The caller is told "not run"; whatever the outstanding call does is undone.
    pub(crate) fn abandon(mut self) -> Self {
        self.state.abandoned = true;
        self
    }

    pub(crate) fn on_answer(
        mut self,
        asked_write: bool,
        answer: CallAnswer,
        writer: RecordWriter<'_>,
    ) -> OperationStep {
        match answer {
            CallAnswer::Written(version) => self.hold(version, writer),
            CallAnswer::Conflict => self.read_now(),
            CallAnswer::Found(version, record) => self.on_found(version, &record, writer),
            CallAnswer::Missing => self.on_missing(writer),
            CallAnswer::Unreadable => {
                self.refused(ClaimOutcome::Unsettled(UnknownCode::OperationUnsettled))
            }
            CallAnswer::NoEffect => self.on_failure(writer),
            CallAnswer::Unanswered => {
                self.state.at_risk |= asked_write;
                self.on_failure(writer)
            }
        }
    }

    fn hold(self, version: RowVersion, writer: RecordWriter<'_>) -> OperationStep {
        if self.state.abandoned {
            return self.withdraw(RecordGuard::Version(version), writer);
        }
        let held = Operation { claim: self.claim, state: Held { version } };
        OperationStep {
            live: Some(LiveOperation::Held(held)),
            call: None,
            told: Some(Told::Claimed(ClaimOutcome::Held)),
        }
    }

    fn on_found(
        mut self,
        version: RowVersion,
        record: &OperationRecord,
        writer: RecordWriter<'_>,
    ) -> OperationStep {
        if self.holds(record) {
            return self.hold(version, writer);
        }
        if self.state.guard == RecordGuard::Version(version) {
            return self.write_or_leave(writer);
        }
        self.state.at_risk = false;
        if record.content != self.claim.content {
            return self.refused(ClaimOutcome::Refused(NotRunCode::OperationReused));
        }
        if record.state == OperationState::Released {
            self.state.guard = RecordGuard::Version(version);
            return self.write_or_leave(writer);
        }
        self.refused(standing(record))
    }

    fn on_missing(mut self, writer: RecordWriter<'_>) -> OperationStep {
        if self.state.guard != RecordGuard::Absent {
            self.state.guard = RecordGuard::Absent;
            self.state.at_risk = false;
        }
        self.write_or_leave(writer)
    }

    /// Nothing of this claim stands now, but an unanswered write of it still may.
    fn write_or_leave(self, writer: RecordWriter<'_>) -> OperationStep {
        if !self.state.abandoned {
            return self.write(writer);
        }
        self.leave(writer, None)
    }

    fn on_failure(mut self, writer: RecordWriter<'_>) -> OperationStep {
        self.state.tries += 1;
        if self.state.abandoned {
            return self.leave(writer, None);
        }
        if self.state.tries >= CLAIM_TRIES {
            let told = ClaimOutcome::Refused(NotRunCode::LedgerUnavailable);
            return self.leave(writer, Some(Told::Claimed(told)));
        }
        let tries = self.state.tries;
        OperationStep::calling(
            LiveOperation::Claiming(self),
            NextCall::Later(LedgerCall::Read, tries),
        )
    }

    fn leave(self, writer: RecordWriter<'_>, told: Option<Told>) -> OperationStep {
        if !self.state.at_risk {
            return OperationStep { told, ..OperationStep::default() };
        }
        let guard = self.state.guard;
        OperationStep { told, ..self.withdraw(guard, writer) }
    }

    fn write(self, writer: RecordWriter<'_>) -> OperationStep {
        let call = writer.write(&self.claim, self.state.guard, OperationState::Claimed);
        OperationStep::calling(LiveOperation::Claiming(self), NextCall::Now(call))
    }

    fn read_now(self) -> OperationStep {
        OperationStep::calling(LiveOperation::Claiming(self), NextCall::Now(LedgerCall::Read))
    }

    fn refused(self, outcome: ClaimOutcome) -> OperationStep {
        let told = (!self.state.abandoned).then_some(Told::Claimed(outcome));
        OperationStep { told, ..OperationStep::default() }
    }

    fn withdraw(self, guard: RecordGuard, writer: RecordWriter<'_>) -> OperationStep {
        Operation { claim: self.claim, state: Withdrawing { guard, tries: 0 } }.write(writer)
    }
}

impl Operation<Held> {
    /// Takes back a claim whose request was certainly not sent.
    pub(crate) fn release(self, writer: RecordWriter<'_>) -> OperationStep {
        let guard = RecordGuard::Version(self.state.version);
        Operation { claim: self.claim, state: Withdrawing { guard, tries: 0 } }.write(writer)
    }

    /// Records the outcome of an operation that was sent.
    pub(crate) fn finish(self, outcome: OperationState, writer: RecordWriter<'_>) -> OperationStep {
        let state = Finishing { version: self.state.version, outcome, tries: 0 };
        Operation { claim: self.claim, state }.write(writer)
    }
}

impl Operation<Withdrawing> {
    pub(crate) fn on_answer(
        mut self,
        answer: CallAnswer,
        writer: RecordWriter<'_>,
    ) -> OperationStep {
        match answer {
            CallAnswer::Conflict => self.read(false),
            CallAnswer::NoEffect | CallAnswer::Unanswered => self.read(true),
            CallAnswer::Found(version, record) => {
                let guard = RecordGuard::Version(version);
                if !self.holds(&record) && self.state.guard != guard {
                    return OperationStep::default();
                }
                self.state.guard = guard;
                self.write(writer)
            }
            CallAnswer::Missing if self.state.guard == RecordGuard::Absent => self.write(writer),
            CallAnswer::Written(_) | CallAnswer::Missing | CallAnswer::Unreadable => {
                OperationStep::default()
            }
        }
    }

    fn write(self, writer: RecordWriter<'_>) -> OperationStep {
        let call = writer.write(&self.claim, self.state.guard, OperationState::Released);
        OperationStep::calling(LiveOperation::Withdrawing(self), NextCall::Now(call))
    }

    fn read(mut self, failed: bool) -> OperationStep {
        self.state.tries += u32::from(failed);
        let call = next_read(failed, self.state.tries);
        OperationStep::calling(LiveOperation::Withdrawing(self), call)
    }
}

impl Operation<Finishing> {
    pub(crate) fn on_answer(
        mut self,
        answer: CallAnswer,
        writer: RecordWriter<'_>,
    ) -> OperationStep {
        match answer {
            CallAnswer::Conflict => self.read(false),
            CallAnswer::NoEffect | CallAnswer::Unanswered => self.read(true),
            CallAnswer::Found(version, record) if self.holds(&record) => {
                self.state.version = version;
                self.write(writer)
            }
            CallAnswer::Written(_)
            | CallAnswer::Found(..)
            | CallAnswer::Missing
            | CallAnswer::Unreadable => {
                OperationStep { told: Some(Told::Recorded), ..OperationStep::default() }
            }
        }
    }

    fn write(self, writer: RecordWriter<'_>) -> OperationStep {
        let guard = RecordGuard::Version(self.state.version);
        let call = writer.write(&self.claim, guard, self.state.outcome.clone());
        OperationStep::calling(LiveOperation::Finishing(self), NextCall::Now(call))
    }

    fn read(mut self, failed: bool) -> OperationStep {
        self.state.tries += u32::from(failed);
        let call = next_read(failed, self.state.tries);
        OperationStep::calling(LiveOperation::Finishing(self), call)
    }
}

impl LiveOperation {
    pub(crate) fn claim(&self) -> &OperationClaim {
        match self {
            Self::Claiming(operation) => operation.claim(),
            Self::Held(operation) => operation.claim(),
            Self::Withdrawing(operation) => operation.claim(),
            Self::Finishing(operation) => operation.claim(),
        }
    }
}

fn next_read(failed: bool, tries: u32) -> NextCall {
    if failed { NextCall::Later(LedgerCall::Read, tries) } else { NextCall::Now(LedgerCall::Read) }
}

/// What a repeat is told of an operation that another attempt wrote.
fn standing(record: &OperationRecord) -> ClaimOutcome {
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
