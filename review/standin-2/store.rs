//! Stand-in of the platform's store: objects by kind and name, with revisions, lists and watches.
//!
//! Each gateway has a door of its own, at which the store can turn that gateway away (503).

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};

#[derive(Default)]
struct State {
    revision: u64,
    /// Objects by kind and name: revision and spec as JSON text.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Changes: revision, kind, object as JSON text, whether it was removed.
    history: Vec<(u64, String, String, bool)>,
    /// Number of restores from a copy, named in all answers.
    era: u64,
    /// Whether the store is away: it closes all connections.
    away: bool,
}

/// A copy of the store's objects.
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// An address of the store.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    turned_away: Arc<AtomicBool>,
}

impl Door {
    /// Has the store answer 503 at this address; watches that wait there are answered so at once.
    pub fn turn_away(&self, store: &Store, turned_away: bool) {
        self.turned_away.store(turned_away, Ordering::SeqCst);
        store.shared.1.notify_all();
    }
}

impl Store {
    /// Writes an object; returns once the store has accepted it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert((kind.into(), name.into()), (revision, spec.into()));
        state.history.push((revision, kind.into(), object_text(name, revision, spec), false));
        self.shared.1.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.shared.0.lock().unwrap();
        let Some((_, spec)) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.revision += 1;
        let revision = state.revision;
        state.history.push((revision, kind.into(), object_text(name, revision, &spec), true));
        self.shared.1.notify_all();
        true
    }

    pub fn copy(&self) -> Copy {
        let state = self.shared.0.lock().unwrap();
        Copy { revision: state.revision, objects: state.objects.clone() }
    }

    pub fn set_away(&self) {
        self.shared.0.lock().unwrap().away = true;
        self.shared.1.notify_all();
    }

    /// Comes back from a copy: later changes are lost, their revisions are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.shared.0.lock().unwrap();
        let era = state.era.max(1) + 1;
        *state = State { revision: copy.revision, objects: copy.objects, era, ..State::default() };
    }

    pub fn open_door(&self) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let door = Door { address, turned_away: Arc::default() };
        let (store, served) = (self.clone(), door.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (store.clone(), served.clone());
                std::thread::spawn(move || store.serve(Connection::new(stream), &door));
            }
        });
        door
    }

    fn serve(&self, mut connection: Connection, door: &Door) {
        while let Ok(request) = connection.read() {
            let (status, body) = match door.turned_away.load(Ordering::SeqCst) {
                true => (503, "{}".to_owned()),
                false => self.answer(&request, door),
            };
            let (away, era) = {
                let state = self.shared.0.lock().unwrap();
                (state.away, state.era.max(1).to_string())
            };
            if away {
                return;
            }
            let start = format!("HTTP/1.1 {status} S");
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            if connection.write(&start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, door: &Door) -> (u16, String) {
        let target = request.second_word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let words: Vec<&str> = path.trim_start_matches("/api/objects/").split('/').collect();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method(), &words[..]) {
            ("GET", [kind]) => match parameter("watch") {
                Some(since) => {
                    let wait_ms = parameter("waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    self.watch(kind, since.parse().unwrap_or(0), wait_ms, door)
                }
                None => self.list(kind),
            },
            ("GET", [kind, name]) => {
                let state = self.shared.0.lock().unwrap();
                match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some((revision, spec)) => (200, object_text(name, *revision, spec)),
                    None => (404, "{}".into()),
                }
            }
            ("POST", [kind]) | ("PUT", [kind, _]) => {
                self.write(request.method(), kind, &words, &body)
            }
            ("DELETE", [kind, name]) => match self.remove(kind, name) {
                true => (200, "{}".into()),
                false => (404, "{}".into()),
            },
            _ => (404, "{}".into()),
        }
    }

    fn write(&self, method: &str, kind: &str, words: &[&str], body: &str) -> (u16, String) {
        let metadata = json_field(body, "metadata").unwrap_or("{}");
        let name = match words {
            [_, name] => (*name).to_owned(),
            _ => json_field(metadata, "name").unwrap_or("\"\"").trim_matches('"').to_owned(),
        };
        let condition = json_field(metadata, "revision").and_then(|text| text.parse::<u64>().ok());
        let spec = json_field(body, "spec").unwrap_or("null").to_owned();
        {
            let state = self.shared.0.lock().unwrap();
            let known = state.objects.get(&(kind.to_owned(), name.clone()));
            match (method, known) {
                ("POST", Some((revision, spec))) => {
                    return (409, object_text(&name, *revision, spec));
                }
                ("PUT", None) => return (404, "{}".into()),
                ("PUT", Some((revision, old))) => {
                    if condition.is_some_and(|condition| condition != *revision) {
                        return (409, object_text(&name, *revision, old));
                    }
                    if *old == spec {
                        return (200, object_text(&name, *revision, old));
                    }
                }
                _ => {}
            }
        }
        let revision = self.put(kind, &name, &spec);
        (if method == "POST" { 201 } else { 200 }, object_text(&name, revision, &spec))
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let entries = state.objects.iter().filter(|((object_kind, _), _)| object_kind == kind);
        let entries: Vec<String> = entries
            .map(|((_, name), (revision, spec))| object_text(name, *revision, spec))
            .collect();
        let revision = state.revision;
        let entries = entries.join(",");
        (200, format!("{{\"entries\":[{entries}],\"truncated\":false,\"currentRev\":{revision}}}"))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64, door: &Door) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if door.turned_away.load(Ordering::SeqCst) || state.away {
                return (503, "{}".into());
            }
            if since > state.revision {
                return (410, "{}".into());
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, event_kind, _, _)| *revision > since && event_kind == kind)
                .map(|(_, _, object, removed)| {
                    format!("{{\"object\":{object},\"removed\":{removed}}}")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"currentRev\":{revision}}}"));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// Text of a field of a JSON object; only fields at the top level are found.
pub fn json_field<'text>(object: &'text str, name: &str) -> Option<&'text str> {
    let bytes = object.as_bytes();
    let (mut depth, mut index) = (0usize, 0);
    let mut start = None;
    while index < bytes.len() {
        match bytes[index] {
            b'"' => {
                let begin = index;
                index += 1;
                while index < bytes.len() && bytes[index] != b'"' {
                    index += if bytes[index] == b'\\' { 2 } else { 1 };
                }
                let is_key = depth == 1
                    && start.is_none()
                    && &object[begin + 1..index] == name
                    && object[index + 1..].trim_start().starts_with(':');
                if is_key {
                    start = Some(index + 2 + object[index + 1..].find(':')?);
                    index = start? - 1;
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                if depth == 1 {
                    return start.map(|start| object[start..index].trim());
                }
                depth -= 1;
            }
            b',' if depth == 1 => {
                if let Some(start) = start {
                    return Some(object[start..index].trim());
                }
            }
            _ => {}
        }
        index += 1;
    }
    None
}
