//! The platform stand-in: objects, watches and a host list that lags.

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
    serve::{FakeError, read_body, serve},
    store::{ObjectStore, StoreGuard, StoredObject},
};

/// Runs the platform stand-in; changes of the host list show after `host_lag`.
///
/// Objects and hosts are appended to the file `kept`, so that they outlive the process.
///
/// # Errors
///
/// Fails when the address cannot be bound or the file not read.
pub async fn run_platform(
    listen: SocketAddr,
    host_lag: Duration,
    kept: Option<&Path>,
) -> Result<(), Report<FakeError>> {
    let faults = FaultState::default();
    let (journal, changes) = ChangeJournal::open(kept)?;
    let (store, hosts) = restore(changes);
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
                .put(HostHandler(state.clone()))
                .delete(HostHandler(state.clone())),
        )
        .push(Router::with_path("calls").get(CallsHandler(state.clone())));
    serve(listen, router, faults).await
}

struct PlatformState {
    store: Mutex<ObjectStore>,
    hosts: Mutex<Vec<HostChange>>,
    journal: ChangeJournal<KeptChange>,
    calls: Mutex<BTreeMap<&'static str, u64>>,
    changed: Notify,
    host_lag: Duration,
    faults: FaultState,
}

/// A change that outlives the process.
#[derive(Debug, Serialize, Deserialize)]
enum KeptChange {
    Object(StoredObject),
    Host(Box<str>, Option<Value>),
}

struct HostChange {
    name: Box<str>,
    row: Option<Value>,
    made: Instant,
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

struct HostHandler(Arc<PlatformState>);

struct CallsHandler(Arc<PlatformState>);

#[async_trait]
impl Handler for PlatformHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let state = &self.state;
        *lock(&state.calls).entry(self.call.name()).or_default() += 1;
        state.faults.delay().await;
        if state.faults.order().refuse {
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
        if matches!(self.call, PlatformCall::Write) && state.faults.take_lost_answer() {
            std::future::pending::<()>().await;
        }
    }
}

#[async_trait]
impl Handler for HostHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, _: &mut Response, _: &mut FlowCtrl) {
        let name = req.param::<String>("name").unwrap_or_default();
        let body = read_body(req).await;
        let row = serde_json::from_slice(&body).ok().filter(|_| req.method() == Method::PUT);
        self.0.journal.append(&KeptChange::Host(name.as_str().into(), row.clone()));
        let change = HostChange { name: name.into(), row, made: Instant::now() };
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
        let written = self.write_kept(&object_key(req), store_guard(req), value);
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

    fn write_kept(&self, key: &str, guard: StoreGuard, value: Option<Value>) -> Option<u64> {
        let mut store = lock(&self.store);
        let version = store.write(key, guard, value)?;
        if let Some(change) = store.last_change() {
            self.journal.append(&KeptChange::Object(change.clone()));
        }
        Some(version)
    }

    async fn watch(&self, req: &Request, res: &mut Response) {
        let prefix = req.query::<String>("prefix").unwrap_or_default();
        let since = req.query::<u64>("since").unwrap_or_default();
        let wait = Duration::from_millis(req.query::<u64>("wait_ms").unwrap_or_default());
        let end = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.answer_watch(&prefix, since, res) {
                return;
            }
            if tokio::time::timeout_at(end, changed).await.is_err() {
                let revision = lock(&self.store).revision();
                res.render(Json(json!({ "revision": revision, "events": [] })));
                return;
            }
        }
    }

    fn answer_watch(&self, prefix: &str, since: u64, res: &mut Response) -> bool {
        let store = lock(&self.store);
        let events = store.since(prefix, since);
        if events.is_empty() {
            return false;
        }
        res.render(Json(json!({ "revision": store.revision(), "events": events })));
        true
    }

    fn visible_hosts(&self) -> Vec<Value> {
        let changes = lock(&self.hosts);
        let visible = changes.iter().filter(|change| change.made.elapsed() >= self.host_lag);
        let mut rows = BTreeMap::new();
        for change in visible {
            rows.insert(&change.name, &change.row);
        }
        rows.into_values().flatten().cloned().collect()
    }
}

fn restore(changes: Vec<KeptChange>) -> (ObjectStore, Vec<HostChange>) {
    let mut store = ObjectStore::default();
    let mut hosts = Vec::new();
    for change in changes {
        match change {
            KeptChange::Object(object) => store.restore(object),
            KeptChange::Host(name, row) => {
                hosts.push(HostChange { name, row, made: Instant::now() });
            }
        }
    }
    (store, hosts)
}

fn object_key(req: &Request) -> String {
    req.param::<String>("key").unwrap_or_default()
}

fn store_guard(req: &Request) -> StoreGuard {
    if req.headers().contains_key(header::IF_NONE_MATCH) {
        return StoreGuard::Absent;
    }
    let version = req
        .headers()
        .get(header::IF_MATCH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim_matches('"').parse().ok());
    version.map_or(StoreGuard::Any, StoreGuard::Version)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
