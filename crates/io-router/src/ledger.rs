//! Runs the ledger's calls on the platform, one object an operation.

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

/// The ledger as the loop uses it: orders in, events for the core out.
pub(crate) struct OperationLedger {
    book: LedgerBook,
    platform: PlatformClient,
    handle: LoopHandle,
    requests: BTreeMap<AttemptKey, RequestKey>,
}

impl OperationLedger {
    pub(crate) fn new(host: HostName, platform: PlatformClient, handle: LoopHandle) -> Self {
        let book = LedgerBook::new(host, wall_time());
        Self { book, platform, handle, requests: BTreeMap::new() }
    }

    /// Takes an order; a claim or an answer names the request that is told of its end.
    pub(crate) fn on_order(
        &mut self,
        now: TimePoint,
        request: Option<RequestKey>,
        order: LedgerOrder,
    ) -> Vec<Event> {
        if cfg!(feature = "broken-ledger")
            && let (LedgerOrder::Claim(_), Some(request)) = (&order, request)
        {
            return vec![Event::ClaimAnswered(request, ClaimOutcome::Held)];
        }
        match (&order, request) {
            (LedgerOrder::Claim(claim) | LedgerOrder::Complete(claim, _), Some(request)) => {
                self.requests.insert(claim.attempt, request);
            }
            (LedgerOrder::Release(claim) | LedgerOrder::Lose(claim), _) => {
                self.requests.remove(&claim.attempt);
            }
            _ => {}
        }
        let effects = self.book.on_order(now, order);
        self.run(effects)
    }

    pub(crate) fn on_answer(
        &mut self,
        now: TimePoint,
        attempt: AttemptKey,
        answer: CallAnswer,
    ) -> Vec<Event> {
        let effects = self.book.on_answer(now, attempt, answer);
        self.run(effects)
    }

    pub(crate) fn on_timer(&mut self, now: TimePoint) -> Vec<Event> {
        let effects = self.book.on_timer(now);
        self.run(effects)
    }

    pub(crate) fn next_deadline(&self) -> TimePoint {
        self.book.next_deadline()
    }

    /// Holds whose record is still being written.
    pub(crate) fn unfinished(&self) -> usize {
        self.book.unfinished()
    }

    fn run(&mut self, effects: Vec<LedgerEffect>) -> Vec<Event> {
        let mut events = Vec::new();
        for effect in effects {
            match effect {
                LedgerEffect::Call(attempt, path, call) => self.spawn_call(attempt, &path, call),
                LedgerEffect::Claimed(attempt, outcome) => {
                    let Some(request) = self.requests.remove(&attempt) else { continue };
                    events.push(Event::ClaimAnswered(request, outcome));
                }
                LedgerEffect::Recorded(attempt) => {
                    let Some(request) = self.requests.remove(&attempt) else { continue };
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
            let answer = make_call(&platform, &key, call).await;
            handle.input(LoopInput::LedgerAnswered(attempt, answer));
        });
    }
}

async fn make_call(platform: &PlatformClient, key: &ObjectKey, call: LedgerCall) -> CallAnswer {
    match call {
        LedgerCall::Read => match platform.read(key).await {
            Ok(Some(object)) => found(&object),
            Ok(None) => CallAnswer::Missing,
            Err(report) => failed(&report),
        },
        LedgerCall::Write(guard, record) => {
            match platform.write(key, write_guard(guard), &record).await {
                Ok(written) => CallAnswer::Written(written.version),
                Err(report) => failed(&report),
            }
        }
    }
}

fn found(object: &ObjectRecord) -> CallAnswer {
    match parse_record(object) {
        Some(record) => CallAnswer::Found(object.version, record),
        None => CallAnswer::Unreadable,
    }
}

fn failed(report: &Report<PlatformError>) -> CallAnswer {
    match report.current_context() {
        PlatformError::Conflict => CallAnswer::Conflict,
        PlatformError::Unreachable | PlatformError::Refused => CallAnswer::NoEffect,
        PlatformError::Unanswered | PlatformError::Malformed => CallAnswer::Unanswered,
    }
}

fn write_guard(guard: RecordGuard) -> WriteGuard {
    match guard {
        RecordGuard::Absent => WriteGuard::Absent,
        RecordGuard::Version(version) => WriteGuard::Version(version),
    }
}

/// The record that an operation's object holds.
pub(crate) fn parse_record(object: &ObjectRecord) -> Option<OperationRecord> {
    serde_json::from_value(object.value.clone()?).ok()
}

/// The time by this host's clock.
pub(crate) fn wall_time() -> WallTime {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let millis = elapsed.map(|elapsed| elapsed.as_millis()).unwrap_or_default();
    WallTime(u64::try_from(millis).unwrap_or(u64::MAX))
}
