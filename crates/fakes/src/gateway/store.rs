//! Stand-in of the object store of the users' platform.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify};

use super::{HttpConnection, HttpMessage};

const PAGE_SIZE: usize = 3;

/// Parts in which a body is sent that takes some time.
const BODY_PARTS: u32 = 8;

/// Start of the strings that stand for entire objects.
const RAW_PREFIX: &str = "object ";

/// How the store treats calls.
///
/// The soak prints the names of the variants in its verdict lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Calls are answered.
    Healthy,
    /// Calls get no answer, and calls that already wait for one never get it.
    Silent,
    /// Calls are refused with status 503.
    Busy,
}

/// A further address of the store, at which it treats calls in a mode of its own.
#[derive(Debug, Clone)]
pub struct StoreDoor {
    /// Address on which the store listens.
    pub address: SocketAddr,
    number: usize,
    mode: Arc<Mutex<StoreMode>>,
}

/// A copy of the store's objects, from which it can be restored.
#[derive(Debug)]
pub struct StoreCopy {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
}

#[derive(Debug)]
struct StoreState {
    mode: StoreMode,
    /// Rises by one with each restore from a copy; all answers name it.
    era: u64,
    /// Number of times that the store was made silent; calls that began before the latest one are
    /// never answered, nor are later ones on the same connections.
    silence_count: u64,
    revision: u64,
    /// Watches since an older revision than this one are refused with status 410.
    compacted_revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    history: Vec<(u64, String, Value, bool)>,
    calls: Vec<String>,
    /// Number of the door through which each kind was last written.
    writers: BTreeMap<String, usize>,
    doors: usize,
    /// Time that the bodies of answers about a kind take.
    body_times: BTreeMap<String, Duration>,
    /// Bytes of specs and of objects that are no JSON values of this process, by the strings that stand for them.
    texts: BTreeMap<String, Vec<u8>>,
}

/// The stand-in; clones share one set of objects.
#[derive(Debug, Clone)]
pub struct StoreStandIn {
    /// Address on which the store listens.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

impl StoreStandIn {
    /// Starts an empty store.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a port");
        let state = StoreState {
            mode: StoreMode::Healthy,
            era: 1,
            silence_count: 0,
            revision: 10,
            compacted_revision: 0,
            objects: BTreeMap::new(),
            history: Vec::new(),
            calls: Vec::new(),
            writers: BTreeMap::new(),
            doors: 0,
            body_times: BTreeMap::new(),
            texts: BTreeMap::new(),
        };
        let store = Self {
            address: listener.local_addr().expect("the listener has no address"),
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
        };
        store.listen(listener);
        store
    }

    /// Opens a further address, so that calls of one router can be refused.
    pub async fn open_door(&self) -> StoreDoor {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a port");
        self.listen(listener)
    }

    fn listen(&self, listener: TcpListener) -> StoreDoor {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        let number = state.doors;
        state.doors += 1;
        let door = StoreDoor {
            address: listener.local_addr().expect("the listener has no address"),
            number,
            mode: Arc::new(Mutex::new(StoreMode::Healthy)),
        };
        let (server, accepting) = (self.clone(), door.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = HttpConnection::new(stream);
                tokio::spawn(server.clone().serve(connection, accepting.clone()));
            }
        });
        door
    }

    /// Whether objects of a kind were last written through a door.
    pub fn was_written_through(&self, kind: &str, door: &StoreDoor) -> bool {
        let state = self.state.lock().expect("the state lock is poisoned");
        state.writers.get(kind) == Some(&door.number)
    }

    /// Writes an object without a check of its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert((kind.to_owned(), name.to_owned()), (revision, spec.clone()));
        let object = object_json(name, revision, &spec);
        state.history.push((revision, kind.to_owned(), object, false));
        self.changed.notify_waiters();
    }

    /// Writes an object whose spec is sent as this text.
    pub fn put_text(&self, kind: &str, name: &str, text: &str) {
        self.put_stand_in(format!("text of {kind}/{name}"), kind, name, text.as_bytes());
    }

    /// Writes an object that is sent as these bytes, with its envelope; `name` gives its place in lists.
    pub fn put_raw(&self, kind: &str, name: &str, object: &[u8]) {
        self.put_stand_in(format!("{RAW_PREFIX}{kind}/{name}"), kind, name, object);
    }

    fn put_stand_in(&self, stand_in: String, kind: &str, name: &str, bytes: &[u8]) {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        state.texts.insert(Value::from(stand_in.as_str()).to_string(), bytes.to_owned());
        drop(state);
        self.put(kind, name, Value::from(stand_in));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        if state.objects.remove(&(kind.to_owned(), name.to_owned())).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let object = object_json(name, revision, &Value::Null);
        state.history.push((revision, kind.to_owned(), object, true));
        self.changed.notify_waiters();
    }

    /// Names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.lock().expect("the state lock is poisoned");
        let names = state.objects.keys().filter(|(object_kind, _)| object_kind == kind);
        names.map(|(_, name)| name.clone()).collect()
    }

    /// The objects of a kind, by name.
    pub fn objects(&self, kind: &str) -> Vec<(String, Value)> {
        let state = self.state.lock().expect("the state lock is poisoned");
        let objects = state.objects.iter().filter(|((object_kind, _), _)| object_kind == kind);
        objects.map(|((_, name), (_, spec))| (name.clone(), spec.clone())).collect()
    }

    /// Sets how the store treats calls from now on; only `Silent` also affects watches that already
    /// wait.
    pub fn set_mode(&self, mode: StoreMode) {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        state.mode = mode;
        if mode == StoreMode::Silent {
            state.silence_count += 1;
        }
        self.changed.notify_waiters();
    }

    /// Sets the time that the bodies of answers about a kind take from now on, as those of large objects on a slow link
    /// do.
    pub fn set_body_time(&self, kind: &str, time: Duration) {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        state.body_times.insert(kind.to_owned(), time);
    }

    /// Marks the history up to now as compacted, so that watches since an older revision are
    /// refused with status 410.
    pub fn compact_history(&self) {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        state.revision += 1;
        state.compacted_revision = state.revision;
        self.changed.notify_waiters();
    }

    /// Copies the objects as they are.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock().expect("the state lock is poisoned");
        StoreCopy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Restores a copy: what was written since is lost, its revisions are given out again, and calls that wait are
    /// never answered.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        state.revision = copy.revision;
        state.compacted_revision = copy.revision;
        state.objects = copy.objects;
        state.history.clear();
        state.era += 1;
        state.silence_count += 1;
        self.changed.notify_waiters();
    }

    /// Number of calls so far whose method and target begin with a prefix.
    pub fn call_count(&self, prefix: &str) -> usize {
        let state = self.state.lock().expect("the state lock is poisoned");
        state.calls.iter().filter(|call| call.starts_with(prefix)).count()
    }

    async fn serve(self, mut connection: HttpConnection, door: StoreDoor) {
        while let Some(request) = connection.read(false).await {
            let silence_count = self.silence_count();
            let answer = match door.mode() {
                StoreMode::Healthy => self.answer(&request).await,
                StoreMode::Busy => Some((503, json!({}))),
                StoreMode::Silent => None,
            };
            let Some((mut status, mut body)) = answer else { return stall().await };
            if self.silence_count() != silence_count || door.mode() == StoreMode::Silent {
                return stall().await;
            }
            if door.mode() == StoreMode::Busy {
                (status, body) = (503, json!({}));
            }
            if status == 200 && matches!(request.method(), "POST" | "PUT") {
                self.record_writer(&request, &door);
            }
            let mut body = body.to_string().into_bytes();
            for (stand_in, text) in &self.state.lock().expect("the state lock is poisoned").texts {
                body = replace_bytes(&body, stand_in.as_bytes(), text);
            }
            let length = body.len();
            let era = self.state.lock().expect("the state lock is poisoned").era;
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {length}\r\n\r\n"
            );
            match self.body_time(&request) {
                Some(time) => {
                    connection.send(head.as_bytes()).await;
                    for part in body.chunks(length.div_ceil(BODY_PARTS as usize).max(1)) {
                        tokio::time::sleep(time / BODY_PARTS).await;
                        connection.send(part).await;
                    }
                }
                None => connection.send(&[head.as_bytes(), &body].concat()).await,
            }
        }
    }

    fn body_time(&self, request: &HttpMessage) -> Option<Duration> {
        let path = request.target().trim_start_matches("/api/objects/");
        let kind = path.split(['/', '?']).next()?;
        self.state.lock().expect("the state lock is poisoned").body_times.get(kind).copied()
    }

    fn record_writer(&self, request: &HttpMessage, door: &StoreDoor) {
        let kind = request.target().trim_start_matches("/api/objects/").split('/').next();
        let mut state = self.state.lock().expect("the state lock is poisoned");
        state.writers.insert(kind.unwrap_or("").to_owned(), door.number);
    }

    fn silence_count(&self) -> u64 {
        self.state.lock().expect("the state lock is poisoned").silence_count
    }

    async fn answer(&self, request: &HttpMessage) -> Option<(u16, Value)> {
        let call = format!("{} {}", request.method(), request.target());
        self.state.lock().expect("the state lock is poisoned").calls.push(call);
        match self.state.lock().expect("the state lock is poisoned").mode {
            StoreMode::Silent => return None,
            StoreMode::Busy => return Some((503, json!({}))),
            StoreMode::Healthy => {}
        }
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let mut segments = path.trim_start_matches("/api/objects/").split('/');
        let kind = segments.next().unwrap_or("").to_owned();
        let name = segments.next().map(decode_percent);
        let after = decode_percent(&query.get("after").copied().unwrap_or("").replace('+', " "));
        let (Ok(name), Ok(after)) = (name.transpose(), after) else {
            return Some((400, json!({})));
        };
        let spec = serde_json::from_slice::<Value>(&request.body).ok();
        match (request.method(), name) {
            ("GET", Some(name)) => Some(self.read(&kind, &name)),
            ("GET", None) => match query.get("watch") {
                Some(since) => {
                    let wait_ms = query.get("waitMs").and_then(|wait_ms| wait_ms.parse().ok());
                    self.watch(&kind, since.parse().ok()?, wait_ms.unwrap_or(0)).await
                }
                None => Some(self.list(&kind, &after)),
            },
            ("POST", None) => {
                let spec = spec?;
                let name = spec["metadata"]["name"].as_str()?.to_owned();
                if self.read(&kind, &name).0 == 200 {
                    return Some((409, json!({})));
                }
                self.put(&kind, &name, spec["spec"].clone());
                Some((200, json!({})))
            }
            ("PUT", Some(name)) => {
                let (status, current) = self.read(&kind, &name);
                if status != 200 {
                    return Some((404, json!({})));
                }
                let spec = spec?;
                let expected = &spec["metadata"]["revision"];
                if !expected.is_null() && *expected != current["metadata"]["revision"] {
                    return Some((409, current));
                }
                self.put(&kind, &name, spec["spec"].clone());
                Some((200, json!({})))
            }
            ("DELETE", Some(name)) => {
                self.remove(&kind, &name);
                Some((200, json!({})))
            }
            _ => Some((400, json!({}))),
        }
    }

    fn read(&self, kind: &str, name: &str) -> (u16, Value) {
        let state = self.state.lock().expect("the state lock is poisoned");
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => (200, object_json(name, *revision, spec)),
            None => (404, json!({})),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Value) {
        let state = self.state.lock().expect("the state lock is poisoned");
        let objects: Vec<Value> = state
            .objects
            .iter()
            .filter(|((object_kind, name), _)| object_kind == kind && name.as_str() > after)
            .map(|((_, name), (revision, spec))| object_json(name, *revision, spec))
            .collect();
        let truncated = objects.len() > PAGE_SIZE;
        let page: Vec<Value> = objects.into_iter().take(PAGE_SIZE).collect();
        let answer = json!({"entries": page, "truncated": truncated, "currentRev": state.revision});
        (200, answer)
    }

    async fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> Option<(u16, Value)> {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            {
                let state = self.state.lock().expect("the state lock is poisoned");
                if since < state.compacted_revision || since > state.revision {
                    return Some((410, json!({})));
                }
                let events: Vec<Value> = state
                    .history
                    .iter()
                    .filter(|(revision, object_kind, ..)| *revision > since && object_kind == kind)
                    .map(|(_, _, object, removed)| json!({"object": object, "removed": removed}))
                    .collect();
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    return Some((200, json!({"events": events, "currentRev": state.revision})));
                }
                if state.mode == StoreMode::Silent {
                    return None;
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }
}

impl StoreDoor {
    /// Sets how calls through this door are treated from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        *self.mode.lock().expect("the mode lock is poisoned") = mode;
    }

    fn mode(&self) -> StoreMode {
        *self.mode.lock().expect("the mode lock is poisoned")
    }
}

async fn stall() {
    std::future::pending::<()>().await;
}

/// Decodes a name of a path or a query; fails if a percent sign begins no escape.
fn decode_percent(text: &str) -> Result<String, ()> {
    let is_escape = |rest: &str| {
        let digits = rest.as_bytes().get(..2);
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    };
    if !text.split('%').skip(1).all(is_escape) {
        return Err(());
    }
    Ok(percent_decode_str(text).decode_utf8_lossy().into_owned())
}

fn replace_bytes(body: &[u8], pattern: &[u8], replacement: &[u8]) -> Vec<u8> {
    let (mut replaced, mut rest) = (Vec::new(), body);
    while let Some(at) = rest.windows(pattern.len()).position(|window| window == pattern) {
        replaced.extend_from_slice(&rest[..at]);
        replaced.extend_from_slice(replacement);
        rest = &rest[at + pattern.len()..];
    }
    replaced.extend_from_slice(rest);
    replaced
}

fn object_json(name: &str, revision: u64, spec: &Value) -> Value {
    if spec.as_str().is_some_and(|text| text.starts_with(RAW_PREFIX)) {
        return spec.clone();
    }
    json!({"metadata": {"name": name, "revision": revision}, "spec": spec, "status": null})
}
