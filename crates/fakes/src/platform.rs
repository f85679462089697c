//! The platform stand-in: objects, watches and a host list with a delay.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use error_stack::Report;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    http::{Method, StatusCode, header},
    writing::Json,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::{
    faults::FaultState,
    journal::ChangeJournal,
    serve::{StandInError, read_body, serve},
    store::{ObjectStore, StoredObject, WriteCondition},
};

/// Runs the platform stand-in; changes of the host list become visible after `host_lag`.
///
/// Changes of objects and hosts are appended to the file at `journal_path`, and an earlier
/// process's entries are replayed from it.
///
/// # Errors
///
/// Fails when the address cannot be bound or the journal not opened.
pub async fn run_platform(
    listen: SocketAddr,
    host_lag: Duration,
    journal_path: Option<&Path>,
) -> Result<(), Report<StandInError>> {
    let faults = FaultState::default();
    let (journal, entries) = ChangeJournal::open(journal_path)?;
    let (store, hosts) = replay(entries);
    let state = Arc::new(PlatformState {
        store: Mutex::new(store),
        hosts: Mutex::new(hosts),
        journal,
        calls: Mutex::default(),
        changed: Notify::new(),
        host_lag,
        faults: faults.clone(),
    });
    let handler = |call| PlatformHandler { state: state.clone(), call };
    let router = Router::new()
        .push(Router::with_path("objects").get(handler(PlatformCall::List)))
        .push(
            Router::with_path("objects/{**key}")
                .get(handler(PlatformCall::Read))
                .put(handler(PlatformCall::Write))
                .delete(handler(PlatformCall::Write)),
        )
        .push(Router::with_path("watch").get(handler(PlatformCall::Watch)))
        .push(Router::with_path("hosts").get(handler(PlatformCall::Hosts)))
        .push(
            Router::with_path("hosts/{name}")
                .put(HostEditHandler(state.clone()))
                .delete(HostEditHandler(state.clone())),
        )
        .push(Router::with_path("calls").get(CallsHandler(state.clone())));
    serve(listen, router, faults).await
}

struct PlatformState {
    store: Mutex<ObjectStore>,
    hosts: Mutex<Vec<HostChange>>,
    journal: ChangeJournal<JournalChange>,
    calls: Mutex<BTreeMap<&'static str, u64>>,
    changed: Notify,
    host_lag: Duration,
    faults: FaultState,
}

/// A change in the journal; the names of the variants are part of the file format.
#[derive(Debug, Serialize, Deserialize)]
enum JournalChange {
    Object(StoredObject),
    Host(Box<str>, Option<Value>),
}

struct HostChange {
    name: Box<str>,
    row: Option<Value>,
    changed_at: Instant,
}

#[derive(Debug, Clone, Copy)]
enum PlatformCall {
    List,
    Read,
    Write,
    Watch,
    Hosts,
}

impl PlatformCall {
    fn name(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
            Self::Hosts => "hosts",
        }
    }
}

struct PlatformHandler {
    state: Arc<PlatformState>,
    call: PlatformCall,
}

struct HostEditHandler(Arc<PlatformState>);

struct CallsHandler(Arc<PlatformState>);

#[async_trait]
impl Handler for PlatformHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let state = &self.state;
        *lock(&state.calls).entry(self.call.name()).or_default() += 1;
        state.faults.delay().await;
        if state.faults.active().refuse {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        match self.call {
            PlatformCall::List => state.list(req, res),
            PlatformCall::Read => state.read(req, res),
            PlatformCall::Write => state.write(req, res).await,
            PlatformCall::Watch => state.watch(req, res).await,
            PlatformCall::Hosts => res.render(Json(json!({ "hosts": state.visible_hosts() }))),
        }
        if matches!(self.call, PlatformCall::Write) && state.faults.consume_lost_answer() {
            std::future::pending::<()>().await;
        }
    }
}

#[async_trait]
impl Handler for HostEditHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, _: &mut Response, _: &mut FlowCtrl) {
        let name = req.param::<String>("name").unwrap_or_default();
        let body = read_body(req).await;
        let row = serde_json::from_slice(&body).ok().filter(|_| req.method() == Method::PUT);
        self.0.journal.append(&JournalChange::Host(name.as_str().into(), row.clone()));
        let change = HostChange { name: name.into(), row, changed_at: Instant::now() };
        lock(&self.0.hosts).push(change);
    }
}

#[async_trait]
impl Handler for CallsHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render(Json(lock(&self.0.calls).clone()));
    }
}

impl PlatformState {
    fn list(&self, req: &Request, res: &mut Response) {
        let store = lock(&self.store);
        let objects = store.list(&req.query::<String>("prefix").unwrap_or_default());
        res.render(Json(json!({ "revision": store.revision(), "objects": objects })));
    }

    fn read(&self, req: &Request, res: &mut Response) {
        match lock(&self.store).read(&object_key(req)) {
            Some(object) => res.render(Json(object)),
            None => {
                res.status_code(StatusCode::NOT_FOUND);
            }
        }
    }

    async fn write(&self, req: &mut Request, res: &mut Response) {
        let body = read_body(req).await;
        let value = (req.method() == Method::PUT).then(|| serde_json::from_slice(&body));
        let Ok(value) = value.transpose() else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let written = self.write_and_journal(&object_key(req), write_condition(req), value);
        match written {
            Some(version) => {
                self.changed.notify_waiters();
                res.render(Json(json!({ "version": version })));
            }
            None => {
                res.status_code(StatusCode::PRECONDITION_FAILED);
            }
        }
    }

    fn write_and_journal(
        &self,
        key: &str,
        condition: WriteCondition,
        value: Option<Value>,
    ) -> Option<u64> {
        let mut store = lock(&self.store);
        let version = store.write(key, condition, value)?;
        if let Some(entry) = store.last_change() {
            self.journal.append(&JournalChange::Object(entry.clone()));
        }
        Some(version)
    }

    async fn watch(&self, req: &Request, res: &mut Response) {
        let prefix = req.query::<String>("prefix").unwrap_or_default();
        let since = req.query::<u64>("since").unwrap_or_default();
        let wait = Duration::from_millis(req.query::<u64>("wait_ms").unwrap_or_default());
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.answer_watch(&prefix, since, res) {
                return;
            }
            if tokio::time::timeout_at(deadline, notified).await.is_err() {
                let revision = lock(&self.store).revision();
                res.render(Json(json!({ "revision": revision, "events": [] })));
                return;
            }
        }
    }

    fn answer_watch(&self, prefix: &str, since: u64, res: &mut Response) -> bool {
        let store = lock(&self.store);
        let events = store.changes_since(prefix, since);
        if events.is_empty() {
            return false;
        }
        res.render(Json(json!({ "revision": store.revision(), "events": events })));
        true
    }

    fn visible_hosts(&self) -> Vec<Value> {
        let changes = lock(&self.hosts);
        let visible_changes =
            changes.iter().filter(|change| change.changed_at.elapsed() >= self.host_lag);
        let mut rows = BTreeMap::new();
        for change in visible_changes {
            rows.insert(&change.name, &change.row);
        }
        rows.into_values().flatten().cloned().collect()
    }
}

fn replay(entries: Vec<JournalChange>) -> (ObjectStore, Vec<HostChange>) {
    let mut store = ObjectStore::default();
    let mut hosts = Vec::new();
    for entry in entries {
        match entry {
            JournalChange::Object(object) => store.restore(object),
            JournalChange::Host(name, row) => {
                hosts.push(HostChange { name, row, changed_at: Instant::now() });
            }
        }
    }
    (store, hosts)
}

fn object_key(req: &Request) -> String {
    req.param::<String>("key").unwrap_or_default()
}

fn write_condition(req: &Request) -> WriteCondition {
    if req.headers().contains_key(header::IF_NONE_MATCH) {
        return WriteCondition::Absent;
    }
    let version = req
        .headers()
        .get(header::IF_MATCH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim_matches('"').parse().ok());
    version.map_or(WriteCondition::Any, WriteCondition::Version)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
