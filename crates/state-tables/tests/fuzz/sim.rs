//! Simulated platform in virtual time: calls stay in flight until a step decides their outcome.

use std::{
    collections::BTreeMap,
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use base_types::RowVersion;
use serde_json::Value;
use state_tables::{
    AUDIT_PREFIX, GUARD_OBJECT, ObjectPort, PortError, RowKey, StoredObject, StoredTable,
};

/// Fault that is injected into the platform or the routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    NoFault,
    /// Unanswered calls are reported as calls without effect.
    LostAnswersCountAsFailed,
    /// Writes of the guard ignore their precondition.
    GuardUnconditional,
    /// Writes of rows ignore their precondition.
    RowsUnconditional,
    /// Routers adopt every received change, also an older one.
    RowsAdoptedBackwards,
    /// Routers that read the tables do not record the revision of the read.
    FloorsLost,
    /// The platform confirms writes of audit entries without storing them.
    AuditDropped,
}

/// Outcome of a call in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) enum CallOutcome {
    Answered,
    AnswerLost,
    CallLost,
    /// The call is not answered; it is executed at a later step.
    Delayed,
    Refused,
}

#[derive(Debug, Clone)]
enum PlatformCall {
    Read(String),
    List(String),
    Write(String, Option<RowVersion>, Value),
}

#[derive(Debug, Clone)]
enum PlatformReply {
    Object(Option<StoredObject>),
    Table(StoredTable),
    Written(RowVersion),
    Failed(PortError),
}

/// A change in the platform's log; an absent value is a removal.
#[derive(Debug, Clone)]
pub(crate) struct LogEntry {
    pub(crate) key: String,
    pub(crate) version: RowVersion,
    pub(crate) value: Option<Value>,
}

#[derive(Debug)]
pub(crate) struct PlatformState {
    fault: InjectedFault,
    revision: u64,
    pub(crate) objects: BTreeMap<String, StoredObject>,
    pub(crate) log: Vec<LogEntry>,
    next_call: u64,
    in_flight: BTreeMap<u64, PlatformCall>,
    replies: BTreeMap<u64, PlatformReply>,
    delayed: Vec<PlatformCall>,
}

/// Handle of the simulated platform; clones share the state.
#[derive(Debug, Clone)]
pub(crate) struct SimPlatform(Arc<Mutex<PlatformState>>);

impl SimPlatform {
    pub(crate) fn new(fault: InjectedFault) -> Self {
        Self(Arc::new(Mutex::new(PlatformState {
            fault,
            revision: 0,
            objects: BTreeMap::new(),
            log: Vec::new(),
            next_call: 0,
            in_flight: BTreeMap::new(),
            replies: BTreeMap::new(),
            delayed: Vec::new(),
        })))
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Completes one call in flight; returns whether there was one.
    pub(crate) fn complete_call(&self, pick: usize, outcome: CallOutcome) -> bool {
        let mut state = self.state();
        let in_flight_ids: Vec<u64> = state.in_flight.keys().copied().collect();
        let Some(id) = in_flight_ids.get(pick % in_flight_ids.len().max(1)) else { return false };
        let Some(call) = state.in_flight.remove(id) else { return false };
        let reply = state.complete(call, outcome);
        state.replies.insert(*id, reply);
        true
    }

    /// Executes a delayed call, whose caller has given it up.
    pub(crate) fn run_delayed(&self, pick: usize) {
        let mut state = self.state();
        if state.delayed.is_empty() {
            return;
        }
        let index = pick % state.delayed.len();
        let call = state.delayed.swap_remove(index);
        state.execute(call);
    }

    /// Executes all delayed calls.
    pub(crate) fn run_all_delayed(&self) {
        while !self.state().delayed.is_empty() {
            self.run_delayed(0);
        }
    }

    /// Writes or removes an object while bypassing the edit protocol.
    pub(crate) fn write_directly(&self, key: &str, value: Option<Value>) {
        self.state().put(key, value);
    }

    fn call(&self, call: PlatformCall) -> CallFuture {
        let mut state = self.state();
        state.next_call += 1;
        let id = state.next_call;
        state.in_flight.insert(id, call);
        CallFuture { platform: self.clone(), id }
    }
}

impl PlatformState {
    pub(crate) fn revision(&self) -> RowVersion {
        RowVersion(self.revision)
    }

    fn complete(&mut self, call: PlatformCall, outcome: CallOutcome) -> PlatformReply {
        let unanswered = match self.fault {
            InjectedFault::LostAnswersCountAsFailed => PortError::NoEffect,
            _ => PortError::Unanswered,
        };
        match outcome {
            CallOutcome::Answered => self.execute(call),
            CallOutcome::AnswerLost => {
                self.execute(call);
                PlatformReply::Failed(unanswered)
            }
            CallOutcome::CallLost => PlatformReply::Failed(unanswered),
            CallOutcome::Delayed => {
                self.delayed.push(call);
                PlatformReply::Failed(unanswered)
            }
            CallOutcome::Refused => PlatformReply::Failed(PortError::NoEffect),
        }
    }

    fn execute(&mut self, call: PlatformCall) -> PlatformReply {
        match call {
            PlatformCall::Read(key) => PlatformReply::Object(self.objects.get(&key).cloned()),
            PlatformCall::List(prefix) => PlatformReply::Table(self.list(&prefix)),
            PlatformCall::Write(key, expected, value) => {
                let current = self.objects.get(&key).map(|object| object.version);
                if current != expected && !self.ignores_condition(&key) {
                    return PlatformReply::Failed(PortError::Conflict);
                }
                if self.fault == InjectedFault::AuditDropped && key.starts_with(AUDIT_PREFIX) {
                    return PlatformReply::Written(self.revision());
                }
                PlatformReply::Written(self.put(&key, Some(value)))
            }
        }
    }

    pub(crate) fn list(&self, prefix: &str) -> StoredTable {
        let objects = self.objects.iter().filter(|(key, _)| key.starts_with(prefix));
        let objects = objects.map(|(_, object)| object.clone()).collect();
        StoredTable { revision: self.revision(), objects }
    }

    fn ignores_condition(&self, key: &str) -> bool {
        match self.fault {
            InjectedFault::GuardUnconditional => key == GUARD_OBJECT,
            InjectedFault::RowsUnconditional => RowKey::from_object_key(key).is_some(),
            _ => false,
        }
    }

    fn put(&mut self, key: &str, value: Option<Value>) -> RowVersion {
        self.revision += 1;
        let version = RowVersion(self.revision);
        match &value {
            Some(value) => {
                let object = StoredObject { key: key.into(), version, value: value.clone() };
                self.objects.insert(key.to_owned(), object);
            }
            None => {
                self.objects.remove(key);
            }
        }
        self.log.push(LogEntry { key: key.to_owned(), version, value });
        version
    }
}

struct CallFuture {
    platform: SimPlatform,
    id: u64,
}

impl Future for CallFuture {
    type Output = PlatformReply;

    fn poll(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<PlatformReply> {
        let reply = self.platform.state().replies.remove(&self.id);
        reply.map_or(Poll::Pending, Poll::Ready)
    }
}

impl ObjectPort for SimPlatform {
    async fn read(&self, key: &str) -> Result<Option<StoredObject>, PortError> {
        match self.call(PlatformCall::Read(key.to_owned())).await {
            PlatformReply::Object(object) => Ok(object),
            PlatformReply::Failed(error) => Err(error),
            reply => panic!("a read was answered by {reply:?}"),
        }
    }

    async fn list(&self, prefix: &str) -> Result<StoredTable, PortError> {
        match self.call(PlatformCall::List(prefix.to_owned())).await {
            PlatformReply::Table(table) => Ok(table),
            PlatformReply::Failed(error) => Err(error),
            reply => panic!("a list was answered by {reply:?}"),
        }
    }

    async fn write(
        &self,
        key: &str,
        expected: Option<RowVersion>,
        value: Value,
    ) -> Result<RowVersion, PortError> {
        match self.call(PlatformCall::Write(key.to_owned(), expected, value)).await {
            PlatformReply::Written(version) => Ok(version),
            PlatformReply::Failed(error) => Err(error),
            reply => panic!("a write was answered by {reply:?}"),
        }
    }

    async fn back_off(&self) {}
}
