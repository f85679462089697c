//! The platform in virtual time: calls wait until a step decides what becomes of them.

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

/// What is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Breakage {
    Sound,
    /// A write without an answer is taken for one without effect.
    LostAnswersTrusted,
    /// Writes of the guard ignore their condition.
    GuardUnconditional,
    /// Writes of rows ignore their condition.
    RowsUnconditional,
    /// Routers take whatever they hear.
    RowsTakenBackwards,
    /// Routers that start forget at which revision they read the tables.
    FloorsForgotten,
    /// The platform confirms audit entries and does not keep them.
    AuditDropped,
}

/// What becomes of a waiting call.
#[derive(Debug, Clone, Copy)]
pub(crate) enum CallFate {
    Answered,
    AnswerLost,
    CallLost,
    /// Unanswered now; a write takes effect at a later step.
    Late,
    Refused,
}

#[derive(Debug, Clone)]
enum SimCall {
    Read(String),
    List(String),
    Write(String, Option<RowVersion>, Value),
}

#[derive(Debug, Clone)]
enum SimReply {
    Object(Option<StoredObject>),
    Table(StoredTable),
    Written(RowVersion),
    Failed(PortError),
}

/// A change as the platform's log keeps it; without a value it is a removal.
#[derive(Debug, Clone)]
pub(crate) struct LogEntry {
    pub(crate) key: String,
    pub(crate) version: RowVersion,
    pub(crate) value: Option<Value>,
}

#[derive(Debug)]
pub(crate) struct SimState {
    breakage: Breakage,
    revision: u64,
    pub(crate) objects: BTreeMap<String, StoredObject>,
    pub(crate) log: Vec<LogEntry>,
    next_call: u64,
    waiting: BTreeMap<u64, SimCall>,
    answered: BTreeMap<u64, SimReply>,
    late: Vec<SimCall>,
}

/// The platform; clones share its state.
#[derive(Debug, Clone)]
pub(crate) struct SimPlatform(Arc<Mutex<SimState>>);

impl SimPlatform {
    pub(crate) fn new(breakage: Breakage) -> Self {
        Self(Arc::new(Mutex::new(SimState {
            breakage,
            revision: 0,
            objects: BTreeMap::new(),
            log: Vec::new(),
            next_call: 0,
            waiting: BTreeMap::new(),
            answered: BTreeMap::new(),
            late: Vec::new(),
        })))
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, SimState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides one waiting call; returns whether one was waiting.
    pub(crate) fn decide(&self, pick: usize, fate: CallFate) -> bool {
        let mut state = self.state();
        let ids: Vec<u64> = state.waiting.keys().copied().collect();
        let Some(id) = ids.get(pick % ids.len().max(1)) else { return false };
        let Some(call) = state.waiting.remove(id) else { return false };
        let reply = state.run(call, fate);
        state.answered.insert(*id, reply);
        true
    }

    /// Runs a write whose caller has given it up.
    pub(crate) fn run_late(&self, pick: usize) {
        let mut state = self.state();
        if state.late.is_empty() {
            return;
        }
        let index = pick % state.late.len();
        let call = state.late.swap_remove(index);
        state.execute(call);
    }

    /// Runs all that is still under way.
    pub(crate) fn drain_late(&self) {
        while !self.state().late.is_empty() {
            self.run_late(0);
        }
    }

    /// Writes or removes an object as if there were no protocol.
    pub(crate) fn write_past(&self, key: &str, value: Option<Value>) {
        self.state().put(key, value);
    }

    fn call(&self, call: SimCall) -> CallFuture {
        let mut state = self.state();
        state.next_call += 1;
        let id = state.next_call;
        state.waiting.insert(id, call);
        CallFuture { platform: self.clone(), id }
    }
}

impl SimState {
    pub(crate) fn revision(&self) -> RowVersion {
        RowVersion(self.revision)
    }

    fn run(&mut self, call: SimCall, fate: CallFate) -> SimReply {
        let unanswered = match self.breakage {
            Breakage::LostAnswersTrusted => PortError::Unsent,
            _ => PortError::Unanswered,
        };
        match fate {
            CallFate::Answered => self.execute(call),
            CallFate::AnswerLost => {
                self.execute(call);
                SimReply::Failed(unanswered)
            }
            CallFate::CallLost => SimReply::Failed(unanswered),
            CallFate::Late => {
                self.late.push(call);
                SimReply::Failed(unanswered)
            }
            CallFate::Refused => SimReply::Failed(PortError::Unsent),
        }
    }

    fn execute(&mut self, call: SimCall) -> SimReply {
        match call {
            SimCall::Read(key) => SimReply::Object(self.objects.get(&key).cloned()),
            SimCall::List(prefix) => SimReply::Table(self.list(&prefix)),
            SimCall::Write(key, expected, value) => {
                let current = self.objects.get(&key).map(|object| object.version);
                if current != expected && !self.ignores_condition(&key) {
                    return SimReply::Failed(PortError::Conflict);
                }
                if self.breakage == Breakage::AuditDropped && key.starts_with(AUDIT_PREFIX) {
                    return SimReply::Written(self.revision());
                }
                SimReply::Written(self.put(&key, Some(value)))
            }
        }
    }

    pub(crate) fn list(&self, prefix: &str) -> StoredTable {
        let objects = self.objects.iter().filter(|(key, _)| key.starts_with(prefix));
        let objects = objects.map(|(_, object)| object.clone()).collect();
        StoredTable { revision: self.revision(), objects }
    }

    fn ignores_condition(&self, key: &str) -> bool {
        match self.breakage {
            Breakage::GuardUnconditional => key == GUARD_OBJECT,
            Breakage::RowsUnconditional => RowKey::from_object(key).is_some(),
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
    type Output = SimReply;

    fn poll(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<SimReply> {
        let reply = self.platform.state().answered.remove(&self.id);
        reply.map_or(Poll::Pending, Poll::Ready)
    }
}

impl ObjectPort for SimPlatform {
    async fn read(&self, key: &str) -> Result<Option<StoredObject>, PortError> {
        match self.call(SimCall::Read(key.to_owned())).await {
            SimReply::Object(object) => Ok(object),
            SimReply::Failed(error) => Err(error),
            reply => panic!("a read was answered by {reply:?}"),
        }
    }

    async fn list(&self, prefix: &str) -> Result<StoredTable, PortError> {
        match self.call(SimCall::List(prefix.to_owned())).await {
            SimReply::Table(table) => Ok(table),
            SimReply::Failed(error) => Err(error),
            reply => panic!("a list was answered by {reply:?}"),
        }
    }

    async fn write(
        &self,
        key: &str,
        expected: Option<RowVersion>,
        value: Value,
    ) -> Result<RowVersion, PortError> {
        match self.call(SimCall::Write(key.to_owned(), expected, value)).await {
            SimReply::Written(version) => Ok(version),
            SimReply::Failed(error) => Err(error),
            reply => panic!("a write was answered by {reply:?}"),
        }
    }

    async fn pause(&self) {}
}
