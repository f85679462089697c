//! Stand-in of the platform's metadata store, with the drill of the users' fourth letter.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Conn, Head};

/// Time that an answer takes (site files: 4 ms).
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Entries of one page of a listing (PROTOCOL.md: about 500).
const PAGE: usize = 500;

type Objects = BTreeMap<(String, String), (u64, String)>;

#[derive(Clone)]
struct Event {
    revision: u64,
    kind: String,
    name: String,
    spec: String,
    removed: bool,
}

struct State {
    objects: Objects,
    history: Vec<Event>,
    revision: u64,
    /// Watches since an older revision get 410.
    oldest: u64,
    era: u64,
    away: bool,
    /// Incremented whenever all connections are to break.
    generation: u64,
    open: Vec<TcpStream>,
    /// Doors whose calls get 503: the store turns away the machines behind them.
    closed_doors: BTreeSet<usize>,
    /// The door by which an object of the system's own kinds was last replaced or created, by kind.
    writers: BTreeMap<String, usize>,
}

/// A copy of the store, from which a drill restores it.
pub struct Copy {
    objects: Objects,
    revision: u64,
}

/// Number of addresses at which the store listens.
const DOORS: usize = 8;

#[derive(Clone)]
pub struct Store {
    /// Addresses of the store, one for each machine, so that it can tell them apart.
    pub doors: Vec<SocketAddr>,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let bind = || TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let listeners: Vec<TcpListener> = (0..DOORS).map(|_| bind()).collect();
        let address = |listener: &TcpListener| listener.local_addr().expect("the store's address");
        let doors = listeners.iter().map(address).collect();
        let state = State {
            objects: Objects::new(),
            history: Vec::new(),
            revision: 100,
            oldest: 100,
            era: 1,
            away: false,
            generation: 0,
            open: Vec::new(),
            closed_doors: BTreeSet::new(),
            writers: BTreeMap::new(),
        };
        let store = Self { doors, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        for (door, listener) in listeners.into_iter().enumerate() {
            let server = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    {
                        let mut state = server.state();
                        if state.away {
                            continue;
                        }
                        state.open.extend(stream.try_clone());
                    }
                    let server = server.clone();
                    thread::spawn(move || server.serve(stream, door));
                }
            });
        }
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Writes an object, as the operator or a runner does; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state();
        let revision = state.write(kind, name, spec);
        self.shared.1.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) -> u64 {
        let mut state = self.state();
        let revision = state.delete(kind, name);
        self.shared.1.notify_all();
        revision
    }

    pub fn read(&self, kind: &str, name: &str) -> Option<(u64, String)> {
        self.state().objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    pub fn revision(&self) -> u64 {
        self.state().revision
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state();
        state.objects.keys().filter(|key| key.0 == kind).map(|key| key.1.clone()).collect()
    }

    pub fn copy(&self) -> Copy {
        let state = self.state();
        Copy { objects: state.objects.clone(), revision: state.revision }
    }

    /// The store goes away: it closes its connections and takes none.
    pub fn go_away(&self) {
        let mut state = self.state();
        state.away = true;
        state.generation += 1;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.shared.1.notify_all();
    }

    /// The store comes back from a copy: what was acknowledged since is lost, revisions go back, and
    /// the era rises by one.
    pub fn come_back(&self, copy: &Copy) {
        let mut state = self.state();
        state.objects = copy.objects.clone();
        state.revision = copy.revision;
        state.oldest = copy.revision;
        state.history.clear();
        state.era += 1;
        state.away = false;
    }

    /// Turns away the machine behind a door, or serves it again; its calls that wait end, too.
    pub fn turn_away(&self, door: usize, is_away: bool) {
        let mut state = self.state();
        if is_away {
            state.closed_doors.insert(door);
        } else {
            state.closed_doors.remove(&door);
        }
        self.shared.1.notify_all();
    }

    /// The door by which an object of a kind was last written.
    pub fn writer(&self, kind: &str) -> Option<usize> {
        self.state().writers.get(kind).copied()
    }

    fn serve(&self, stream: TcpStream, door: usize) {
        let mut connection = Conn::new(stream);
        while let Some((head, body)) = connection.read_request(Duration::from_secs(60)) {
            thread::sleep(ANSWER_TIME);
            if self.is_closed(door) {
                if connection.send(b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}").is_err() {
                    return;
                }
                continue;
            }
            let Some((status, body)) = self.answer(&head, &body, door) else { return };
            let era = {
                let mut state = self.state();
                if state.away {
                    return;
                }
                let kind = head.target().trim_start_matches("/api/objects/").split('/').next();
                if head.method() != "GET" && status == 200 {
                    state.writers.insert(kind.unwrap_or("").to_owned(), door);
                }
                state.era
            };
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn is_closed(&self, door: usize) -> bool {
        self.state().closed_doors.contains(&door)
    }

    fn answer(&self, head: &Head, body: &[u8], door: usize) -> Option<(u16, String)> {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let mut segments = path.strip_prefix("/api/objects/")?.split('/');
        let kind = segments.next().unwrap_or("");
        let name = segments.next();
        let body = String::from_utf8_lossy(body);
        match (head.method(), name) {
            ("GET", None) => match query.get("watch").and_then(|since| since.parse().ok()) {
                Some(since) => {
                    let wait = query.get("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    self.watch(kind, since, Duration::from_millis(wait), door)
                }
                None => Some(self.list(kind, query.get("after").copied().unwrap_or(""))),
            },
            ("GET", Some(name)) => Some(match self.read(kind, name) {
                Some((revision, spec)) => (200, object(name, revision, &spec)),
                None => (404, "{}".to_owned()),
            }),
            ("POST", None) => {
                let name = field(&body, "\"name\":\"")?;
                let mut state = self.state();
                let key = (kind.to_owned(), name.to_owned());
                if let Some((revision, spec)) = state.objects.get(&key) {
                    return Some((409, object(name, *revision, spec)));
                }
                let revision = state.write(kind, name, spec_of(&body)?);
                self.shared.1.notify_all();
                Some((200, object(name, revision, spec_of(&body)?)))
            }
            ("PUT", Some(name)) => {
                let mut state = self.state();
                let key = (kind.to_owned(), name.to_owned());
                let Some((revision, spec)) = state.objects.get(&key).cloned() else {
                    return Some((404, "{}".to_owned()));
                };
                let expected = body.split("\"spec\":").next().unwrap_or("");
                let expected = expected.split("\"revision\":").nth(1).and_then(leading_number);
                if expected.is_some_and(|expected| expected != revision) {
                    return Some((409, object(name, revision, &spec)));
                }
                let revision = state.write(kind, name, spec_of(&body)?);
                self.shared.1.notify_all();
                Some((200, object(name, revision, spec_of(&body)?)))
            }
            ("DELETE", Some(name)) => {
                let mut state = self.state();
                if !state.objects.contains_key(&(kind.to_owned(), name.to_owned())) {
                    return Some((404, "{}".to_owned()));
                }
                state.delete(kind, name);
                self.shared.1.notify_all();
                Some((200, "{}".to_owned()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state();
        let found = state.objects.iter().filter(|(key, _)| key.0 == kind && key.1.as_str() > after);
        let found: Vec<String> =
            found.map(|(key, (revision, spec))| object(&key.1, *revision, spec)).collect();
        let truncated = found.len() > PAGE;
        let page = found.into_iter().take(PAGE).collect::<Vec<_>>().join(",");
        let revision = state.revision;
        (200, format!("{{\"entries\":[{page}],\"truncated\":{truncated},\"currentRev\":{revision}}}"))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration, door: usize) -> Option<(u16, String)> {
        let deadline = Instant::now() + wait;
        let mut state = self.state();
        let generation = state.generation;
        loop {
            if state.generation != generation || state.away {
                return None;
            }
            if state.closed_doors.contains(&door) {
                return Some((503, "{}".to_owned()));
            }
            // A revision that the store doesn't have, or whose history is gone.
            if since > state.revision || since < state.oldest {
                return Some((410, "{}".to_owned()));
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|event| event.revision > since && event.kind == kind)
                .map(|event| {
                    let object = object(&event.name, event.revision, &event.spec);
                    format!("{{\"object\":{object},\"removed\":{}}}", event.removed)
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return Some((200, format!("{{\"events\":[{events}],\"currentRev\":{revision}}}")));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, current)) = self.objects.get(&key)
            && current == spec
        {
            return *revision;
        }
        self.revision += 1;
        self.objects.insert(key, (self.revision, spec.to_owned()));
        self.record(kind, name, spec, false)
    }

    fn delete(&mut self, kind: &str, name: &str) -> u64 {
        if self.objects.remove(&(kind.to_owned(), name.to_owned())).is_none() {
            return self.revision;
        }
        self.revision += 1;
        self.record(kind, name, "null", true)
    }

    fn record(&mut self, kind: &str, name: &str, spec: &str, removed: bool) -> u64 {
        let (kind, name, spec) = (kind.to_owned(), name.to_owned(), spec.to_owned());
        self.history.push(Event { revision: self.revision, kind, name, spec, removed });
        self.revision
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn field<'text>(text: &'text str, key: &str) -> Option<&'text str> {
    let start = text.find(key)? + key.len();
    text[start..].split('"').next()
}

/// The content of a write; gateways write `metadata` first and `spec` last.
fn spec_of(body: &str) -> Option<&str> {
    let start = body.find("\"spec\":")? + "\"spec\":".len();
    body[start..].trim_end().strip_suffix('}')
}

fn leading_number(text: &str) -> Option<u64> {
    let digits: String = text.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
