//! Executes the ledger's calls on the platform, which stores each operation as one object.

use std::collections::BTreeMap;

use base_types::{AttemptKey, HostName, RequestKey, TimePoint};
use core_router::Event;
use error_stack::Report;
use io_platform::{ObjectKey, ObjectRecord, PlatformClient, PlatformError, WriteGuard};
use state_ledger::{
    CallAnswer, ClaimOutcome, LedgerBook, LedgerCall, LedgerEffect, LedgerOrder, OperationRecord,
    RecordGuard, WallTime,
};

use crate::handle::{LoopHandle, LoopInput};

/// The ledger as the event loop uses it: handles commands and returns events for the core.
pub(crate) struct OperationLedger {
    book: LedgerBook,
    platform: PlatformClient,
    handle: LoopHandle,
    request_by_attempt: BTreeMap<AttemptKey, RequestKey>,
}

impl OperationLedger {
    pub(crate) fn new(host: HostName, platform: PlatformClient, handle: LoopHandle) -> Self {
        let book = LedgerBook::new(host, wall_time());
        Self { book, platform, handle, request_by_attempt: BTreeMap::new() }
    }

    /// Handles a command. `request` receives the outcome of a claim or of a recorded answer.
    pub(crate) fn on_order(
        &mut self,
        now: TimePoint,
        request: Option<RequestKey>,
        command: LedgerOrder,
    ) -> Vec<Event> {
        if cfg!(feature = "broken-ledger")
            && let (LedgerOrder::Claim(_), Some(request)) = (&command, request)
        {
            return vec![Event::ClaimAnswered(request, ClaimOutcome::Held)];
        }
        match (&command, request) {
            (LedgerOrder::Claim(claim) | LedgerOrder::Complete(claim, _), Some(request)) => {
                self.request_by_attempt.insert(claim.attempt, request);
            }
            (LedgerOrder::Release(claim) | LedgerOrder::Lose(claim), _) => {
                self.request_by_attempt.remove(&claim.attempt);
            }
            _ => {}
        }
        let effects = self.book.on_order(now, command);
        self.apply_effects(effects)
    }

    pub(crate) fn on_answer(
        &mut self,
        now: TimePoint,
        attempt: AttemptKey,
        answer: CallAnswer,
    ) -> Vec<Event> {
        let effects = self.book.on_answer(now, attempt, answer);
        self.apply_effects(effects)
    }

    pub(crate) fn on_timer(&mut self, now: TimePoint) -> Vec<Event> {
        let effects = self.book.on_timer(now);
        self.apply_effects(effects)
    }

    pub(crate) fn next_deadline(&self) -> TimePoint {
        self.book.next_deadline()
    }

    /// Number of operations with an outstanding or scheduled ledger call.
    pub(crate) fn pending_operations(&self) -> usize {
        self.book.unfinished()
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

async fn execute_call(platform: &PlatformClient, key: &ObjectKey, call: LedgerCall) -> CallAnswer {
    match call {
        LedgerCall::Read => match platform.read(key).await {
            Ok(Some(object)) => found_answer(&object),
            Ok(None) => CallAnswer::Missing,
            Err(report) => error_answer(&report),
        },
        LedgerCall::Write(condition, record) => {
            match platform.write(key, write_condition(condition), &record).await {
                Ok(written) => CallAnswer::Written(written.version),
                Err(report) => error_answer(&report),
            }
        }
    }
}

fn found_answer(object: &ObjectRecord) -> CallAnswer {
    match parse_record(object) {
        Some(record) => CallAnswer::Found(object.version, record),
        None => CallAnswer::Unreadable,
    }
}

fn error_answer(report: &Report<PlatformError>) -> CallAnswer {
    match report.current_context() {
        PlatformError::Conflict => CallAnswer::Conflict,
        PlatformError::Unreachable | PlatformError::Refused => CallAnswer::NoEffect,
        PlatformError::Unanswered | PlatformError::Malformed => CallAnswer::Unanswered,
    }
}

fn write_condition(condition: RecordGuard) -> WriteGuard {
    match condition {
        RecordGuard::Absent => WriteGuard::Absent,
        RecordGuard::Version(version) => WriteGuard::Version(version),
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
