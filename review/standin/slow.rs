//! LOST: clients that read their answers slowly lose them.

use std::{
    net::{SocketAddr, TcpStream},
    os::fd::{FromRawFd, RawFd},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Scene, Verdict, config,
    client::new_id,
    gateway::Bounds,
    http::Conn,
    runner::{Runner, RunnerRules},
};

const ZONES: [&str; 3] = ["puget-a", "puget-b", "puget-c"];
const CLIENTS: usize = 12;
/// Receive buffer of a client, in bytes: "Links have [...] small windows" (DEPLOY.md).
const WINDOW: i32 = 2_304;
/// Time for which a slow client reads nothing, after the first event.
const PAUSE: Duration = Duration::from_millis(3_500);
const PATIENCE: Duration = Duration::from_secs(8);
const ROUNDS: usize = 3;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> RawFd;
    fn setsockopt(socket: RawFd, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: RawFd, address: *const u8, length: u32) -> i32;
}

/// Connects with a small receive buffer, which the standard library cannot set.
fn connect_with_small_window(address: SocketAddr) -> Option<Conn> {
    let SocketAddr::V4(address) = address else { return None };
    let mut bytes = [0u8; 16];
    bytes[..2].copy_from_slice(&2u16.to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: plain calls of the C library; the buffers outlive them, and the descriptor is new.
    unsafe {
        let descriptor = socket(2, 1, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        // SOL_SOCKET and SO_RCVBUF of Linux on x86-64 and arm64.
        let is_set = setsockopt(descriptor, 1, 8, &WINDOW, 4) == 0;
        let is_connected = connect(descriptor, bytes.as_ptr(), 16) == 0;
        (is_set && is_connected).then(|| Conn::new(stream))
    }
}

#[derive(Debug, Clone)]
struct Result {
    id: String,
    kept: bool,
    status: u16,
    events: usize,
    whole: bool,
}

pub fn play(mut scene: Scene) -> Verdict {
    let rules = RunnerRules {
        slots: 16,
        queue: 16,
        work: Duration::ZERO,
        events: 42,
        pause: Duration::from_millis(40),
        copy_each: u64::MAX,
        event_bytes: 300,
    };
    let runners = [0, 1, 2].map(|number| {
        let id = format!("i-llm{number}");
        Runner::start(&id, "glazemind", ZONES[number], "v1", rules.clone(), &scene.record)
    });
    let services = "{\"name\":\"glazemind\",\"slots\":16,\"maxConns\":630,\
                    \"engine\":{\"slots\":16,\"kvCapacity\":333000}}";
    let routes = "{\"name\":\"chat\",\"host\":\"host.example\",\"pathPrefix\":\"/stream/\",\
                  \"kind\":\"streaming\",\"resumable\":false,\"sticky\":true,\"timeoutMs\":8000,\
                  \"sloMs\":300,\"gapTargetMs\":300,\"priority\":1,\"service\":\"glazemind\",\
                  \"attempts\":1}";
    scene.store.put("config", "main", &config(3, services, routes));
    for runner in &runners {
        scene.store.put("servers", &runner.id, &runner.entry("ready"));
    }
    let bounds = Bounds { drain_ms: 3000, retry_slack: 208, evacuations: false };
    scene.start_gateways(&ZONES, bounds);
    if !scene.wait_until_ready() {
        return Verdict::CannotRun("the gateways did not become ready");
    }
    scene.sleep_until(scene.record.now() + 5.0);
    let is_slow = scene.has_trouble();
    let results: Arc<Mutex<Vec<Result>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let address = scene.gateways[number % scene.gateways.len()].callers;
            let (record, results) = (scene.record.clone(), results.clone());
            thread::spawn(move || {
                let mut connection: Option<Conn> = None;
                for round in 0..=ROUNDS {
                    let kept = connection.is_some();
                    let current = connection.take().or_else(|| connect_with_small_window(address));
                    let Some(mut current) = current else { return };
                    let id = new_id();
                    // The first request of a connection is read at once, so that the next ones come on a
                    // kept connection.
                    let pause = if is_slow && kept { PAUSE } else { Duration::ZERO };
                    record.line(&format!("client {number} sends {id} (round {round}, kept: {kept})"));
                    let result = exchange_slowly(&mut current, &id, pause);
                    let Result { status, events, whole, .. } = result;
                    record.line(&format!(
                        "client {number} got {status} to {id}: {events} events, complete: {whole}"
                    ));
                    results.lock().unwrap_or_else(|e| e.into_inner()).push(Result { kept, ..result });
                    connection = whole.then_some(current);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let (runs, results) = (scene.record.runs(), results.lock().unwrap_or_else(|e| e.into_inner()));
    let is_lost = |result: &&Result| result.kept && !result.whole && runs.contains_key(&result.id);
    let lost: Vec<&Result> = results.iter().filter(is_lost).collect();
    for result in &lost {
        let Result { id, events, .. } = result;
        scene.record.say(&format!("LOST: {id} was run, and its connection ended after {events} of 42 events"));
    }
    let whole = results.iter().filter(|result| result.whole).count();
    scene.record.say(&format!(
        "{} requests, {whole} got a complete answer, {} on kept connections were run and lost",
        results.len(), lost.len()
    ));
    if whole == 0 {
        return Verdict::CannotRun("no request was served");
    }
    // The rule allows three.
    if lost.len() > 3 { Verdict::Broken } else { Verdict::Held }
}

fn exchange_slowly(connection: &mut Conn, id: &str, pause: Duration) -> Result {
    let mut result = Result { id: id.to_owned(), kept: false, status: 0, events: 0, whole: false };
    let deadline = Instant::now() + PATIENCE;
    let request = format!(
        "POST /stream/chat HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Model: m\r\nToken-Usage: 830,300\r\nPrefix-Hash: 5c1e07a2:700,{id}:130\r\nContent-Length: 2\r\n\r\nhi",
        PATIENCE.as_millis()
    );
    if connection.send(request.as_bytes()).is_err() {
        return result;
    }
    let Ok(head) = connection.read_head(deadline) else { return result };
    result.status = head.status();
    let (mut events, mut has_paused) = (0, false);
    result.whole = connection.read_body(&head, true, deadline, |bytes| {
        events += bytes.windows(2).filter(|pair| *pair == b"\n\n").count();
        if !std::mem::replace(&mut has_paused, true) {
            thread::sleep(pause);
        }
    });
    result.events = events;
    result
}
