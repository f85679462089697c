//! Executes the ledger's calls on the platform, which stores each operation as one object.

use std::collections::BTreeMap;

use base_types::{AttemptKey, HostName, RequestKey, TimePoint};
use core_router::Event;
use error_stack::Report;
use io_platform::{ObjectKey, ObjectRecord, PlatformClient, PlatformError, WriteCondition};
use state_ledger::{
    ClaimOutcome, LedgerCall, LedgerCallOutcome, LedgerCommand, LedgerCore, LedgerEffect,
    OperationRecord, RecordCondition, WallTime,
};

use crate::handle::{LoopHandle, LoopInput};

/// The ledger as the event loop uses it: handles commands and returns events for the core.
pub(crate) struct OperationLedger {
    core: LedgerCore,
    platform: PlatformClient,
    handle: LoopHandle,
    request_by_attempt: BTreeMap<AttemptKey, RequestKey>,
}

impl OperationLedger {
    pub(crate) fn new(host: HostName, platform: PlatformClient, handle: LoopHandle) -> Self {
        let core = LedgerCore::new(host, wall_time());
        Self { core, platform, handle, request_by_attempt: BTreeMap::new() }
    }

    /// Handles a command. `request` receives the outcome of a claim or of a recorded answer.
    pub(crate) fn on_command(
        &mut self,
        now: TimePoint,
        request: Option<RequestKey>,
        command: LedgerCommand,
    ) -> Vec<Event> {
        if cfg!(feature = "broken-ledger")
            && let (LedgerCommand::Claim(_), Some(request)) = (&command, request)
        {
            return vec![Event::ClaimAnswered(request, ClaimOutcome::Granted)];
        }
        match (&command, request) {
            (LedgerCommand::Claim(claim) | LedgerCommand::Complete(claim, _), Some(request)) => {
                self.request_by_attempt.insert(claim.attempt, request);
            }
            (LedgerCommand::Release(claim) | LedgerCommand::RecordUnknown(claim), _) => {
                self.request_by_attempt.remove(&claim.attempt);
            }
            _ => {}
        }
        let effects = self.core.on_command(now, command);
        self.apply_effects(effects)
    }

    pub(crate) fn on_answer(
        &mut self,
        now: TimePoint,
        attempt: AttemptKey,
        answer: LedgerCallOutcome,
    ) -> Vec<Event> {
        let effects = self.core.on_answer(now, attempt, answer);
        self.apply_effects(effects)
    }

    pub(crate) fn on_timer(&mut self, now: TimePoint) -> Vec<Event> {
        let effects = self.core.on_timer(now);
        self.apply_effects(effects)
    }

    pub(crate) fn next_deadline(&self) -> TimePoint {
        self.core.next_deadline()
    }

    /// Number of operations with an outstanding or scheduled ledger call.
    pub(crate) fn pending_operations(&self) -> usize {
        self.core.pending_count()
    }

    fn apply_effects(&mut self, effects: Vec<LedgerEffect>) -> Vec<Event> {
        let mut events = Vec::new();
        for effect in effects {
            match effect {
                LedgerEffect::Call(attempt, path, call) => self.spawn_call(attempt, &path, call),
                LedgerEffect::Claimed(attempt, outcome) => {
                    let Some(request) = self.request_by_attempt.remove(&attempt) else { continue };
                    events.push(Event::ClaimAnswered(request, outcome));
                }
                LedgerEffect::Recorded(attempt) => {
                    let Some(request) = self.request_by_attempt.remove(&attempt) else { continue };
                    events.push(Event::AnswerRecorded(request));
                }
            }
        }
        events
    }

    fn spawn_call(&self, attempt: AttemptKey, path: &str, call: LedgerCall) {
        let platform = self.platform.clone();
        let handle = self.handle.clone();
        let key = ObjectKey::new(path);
        tokio::task::spawn_local(async move {
            let answer = execute_call(&platform, &key, call).await;
            handle.send(LoopInput::LedgerAnswered(attempt, answer));
        });
    }
}

async fn execute_call(
    platform: &PlatformClient,
    key: &ObjectKey,
    call: LedgerCall,
) -> LedgerCallOutcome {
    match call {
        LedgerCall::Read => match platform.read(key).await {
            Ok(Some(object)) => found_answer(&object),
            Ok(None) => LedgerCallOutcome::Missing,
            Err(report) => error_answer(&report),
        },
        LedgerCall::Write(condition, record) => {
            match platform.write(key, write_condition(condition), &record).await {
                Ok(written) => LedgerCallOutcome::Written(written.version),
                Err(report) => error_answer(&report),
            }
        }
    }
}

fn found_answer(object: &ObjectRecord) -> LedgerCallOutcome {
    match parse_record(object) {
        Some(record) => LedgerCallOutcome::Found(object.version, record),
        None => LedgerCallOutcome::Unreadable,
    }
}

fn error_answer(report: &Report<PlatformError>) -> LedgerCallOutcome {
    match report.current_context() {
        PlatformError::Conflict => LedgerCallOutcome::Conflict,
        PlatformError::Unreachable | PlatformError::Refused => LedgerCallOutcome::NoEffect,
        PlatformError::Unanswered | PlatformError::Malformed => LedgerCallOutcome::Unanswered,
    }
}

fn write_condition(condition: RecordCondition) -> WriteCondition {
    match condition {
        RecordCondition::Absent => WriteCondition::Absent,
        RecordCondition::Version(version) => WriteCondition::Version(version),
    }
}

/// Parses an operation's object; `None` if it was deleted or is unreadable.
pub(crate) fn parse_record(object: &ObjectRecord) -> Option<OperationRecord> {
    serde_json::from_value(object.value.clone()?).ok()
}

/// This host's wall-clock time.
pub(crate) fn wall_time() -> WallTime {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let millis = elapsed.map(|elapsed| elapsed.as_millis()).unwrap_or_default();
    WallTime(u64::try_from(millis).unwrap_or(u64::MAX))
}
