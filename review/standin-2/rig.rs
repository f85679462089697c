//! Runners, clients and gateway processes of a small deployment, and the record of what they did.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::template::{Fields, render};

/// What clients, runners, the operator and the platform did, with times since the start.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started_at: Instant::now(), lines: Arc::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: impl Into<String>) {
        let line = line.into();
        let mut lines = self.lines.lock().unwrap();
        let now = self.now_ms();
        lines.push((now, line));
    }

    /// Writes all lines in order of time.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut file = std::fs::File::create(path).expect("cannot write the record");
        for (at, line) in lines {
            let _ = writeln!(file, "{:>9.3} s  {line}", at as f64 / 1e3);
        }
    }
}

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub runner: String,
    pub service: String,
    pub attempt: String,
    pub ran: bool,
}

#[derive(Clone)]
pub struct Rig {
    pub record: Record,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    next_id: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

/// A request of a client, and how it ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: String,
    pub gateway: String,
    pub at_ms: u64,
    pub ended_ms: u64,
    /// Status of the answer; zero if there was none.
    pub status: u16,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    down: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
    running: Arc<AtomicU64>,
}

impl Runner {
    /// Waits until the runner has nothing to do.
    pub fn await_idle(&self) {
        while self.running.load(Ordering::SeqCst) > 0 {
            std::thread::yield_now();
        }
    }

    /// From now on, all answers say that the runner leaves; it goes on serving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    pub fn down_flag(&self) -> Arc<AtomicBool> {
        self.down.clone()
    }

    /// Crashes the runner, which takes no connections until it is started again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }
}

impl Rig {
    pub fn new() -> Self {
        Self {
            record: Record::new(),
            arrivals: Arc::default(),
            sent: Arc::default(),
            next_id: Arc::default(),
            stop: Arc::default(),
        }
    }

    pub fn stop_clients(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Starts a runner that takes `work` for each request.
    pub fn start_runner(&self, id: &str, service: &str, work: Duration) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let runner = Runner {
            id: id.into(),
            address,
            down: Arc::default(),
            leaving: Arc::default(),
            running: Arc::default(),
        };
        let (rig, down, leaving) = (self.clone(), runner.down.clone(), runner.leaving.clone());
        let running = runner.running.clone();
        let (id, service) = (id.to_owned(), service.to_owned());
        std::thread::spawn(move || {
            let mut listener = Some(listener);
            let mut streams: Vec<TcpStream> = Vec::new();
            loop {
                if down.load(Ordering::SeqCst) {
                    listener = None;
                    for stream in streams.drain(..) {
                        let _ = stream.shutdown(Shutdown::Both);
                    }
                    sleep(Duration::from_millis(2));
                    continue;
                }
                let open = listener.get_or_insert_with(|| TcpListener::bind(address).unwrap());
                open.set_nonblocking(true).unwrap();
                let Ok((stream, _)) = open.accept() else {
                    sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                streams.push(stream.try_clone().unwrap());
                let (rig, id, service) = (rig.clone(), id.clone(), service.clone());
                let (leaving, running) = (leaving.clone(), running.clone());
                std::thread::spawn(move || {
                    let connection = Connection::new(stream);
                    rig.serve_runner(connection, &id, &service, work, &leaving, &running)
                });
            }
        });
        runner
    }

    fn serve_runner(
        &self,
        mut connection: Connection,
        id: &str,
        service: &str,
        work: Duration,
        leaving: &AtomicBool,
        running: &AtomicU64,
    ) {
        while let Ok(request) = connection.read() {
            let attempt = request.header("attempt-id").unwrap_or("").to_owned();
            let expected = request.header("expect-runner").unwrap_or(id).to_owned();
            let ran = expected == id;
            let at_ms = self.record.now_ms();
            let arrival = Arrival {
                at_ms,
                runner: id.into(),
                service: service.into(),
                attempt: attempt.clone(),
                ran,
            };
            self.arrivals.lock().unwrap().push(arrival);
            self.record.add(format!("runner {id} ({service}) gets {attempt}, runs it: {ran}"));
            running.fetch_add(1, Ordering::SeqCst);
            let written = if ran {
                sleep(work);
                let signature = format!("sig.{id}.{attempt}");
                let mut headers =
                    vec![("Attempt-Id", attempt.as_str()), ("Runner-Signature", &signature)];
                if leaving.load(Ordering::SeqCst) {
                    headers.push(("Server-Leaving", "1"));
                }
                connection.write("HTTP/1.1 200 OK", &headers, format!("ran at {id}").as_bytes())
            } else {
                let headers = [("Attempt-Id", attempt.as_str())];
                connection.write("HTTP/1.1 421 Misdirected", &headers, b"")
            };
            running.fetch_sub(1, Ordering::SeqCst);
            if written.is_err() {
                return;
            }
        }
    }

    /// Starts a client that sends a request to one gateway each `pause`.
    pub fn start_client(
        &self,
        gateway: &Gateway,
        call: CallShape,
        pause: Duration,
    ) -> JoinHandle<()> {
        let (rig, address, name) = (self.clone(), gateway.callers, gateway.name.clone());
        std::thread::spawn(move || {
            let mut connection: Option<Connection> = None;
            while !rig.stop.load(Ordering::SeqCst) {
                let number = rig.next_id.fetch_add(1, Ordering::SeqCst);
                let attempt = format!("r{number:06}");
                let at_ms = rig.record.now_ms();
                let answer = call.send(&mut connection, address, &attempt);
                let status = answer.as_ref().map_or(0, Message::status);
                if answer.as_ref().is_none_or(|a| a.header("connection") == Some("close")) {
                    connection = None;
                }
                let ended_ms = rig.record.now_ms();
                rig.record.add(format!(
                    "client sent {attempt} to {name} at {:.3} s, gets {status} after {} ms",
                    at_ms as f64 / 1e3,
                    ended_ms - at_ms
                ));
                let gateway = name.clone();
                rig.sent.lock().unwrap().push(Sent { attempt, gateway, at_ms, ended_ms, status });
                sleep(pause);
            }
        })
    }
}

/// The requests of a client.
#[derive(Clone, Copy)]
pub struct CallShape {
    pub method: &'static str,
    pub path: &'static str,
    pub host: &'static str,
    pub deadline_ms: u64,
}

impl CallShape {
    fn send(
        &self,
        connection: &mut Option<Connection>,
        address: SocketAddr,
        attempt: &str,
    ) -> Option<Message> {
        if connection.is_none() {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
            *connection = Some(Connection::new(stream));
        }
        let open = connection.as_mut()?;
        open.set_timeout(Duration::from_millis(self.deadline_ms));
        let deadline = self.deadline_ms.to_string();
        let headers =
            [("Host", self.host), ("Attempt-Id", attempt), ("Deadline-Ms", deadline.as_str())];
        let start = format!("{} {} HTTP/1.1", self.method, self.path);
        let body: &[u8] = if self.method == "POST" { b"{}" } else { b"" };
        open.write(&start, &headers, body).ok()?;
        open.read().ok()
    }
}

/// A gateway process.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    fields: Fields,
    folder: PathBuf,
    child: Child,
}

impl Gateway {
    /// Starts the program of the deploy file with the settings that its template renders, with the bounds of
    /// `gls-compressor-hub-grown`.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let ports: Vec<u16> = (0..5).map(|_| free_port()).collect();
        let address = |index: usize| SocketAddr::from(([127, 0, 0, 1], ports[index]));
        let (callers, readiness) = (address(0), address(2));
        let quoted = |text: &dyn std::fmt::Display| format!("\"{text}\"");
        let fields = [
            ("nodeName", quoted(&name)),
            ("zone", quoted(&zone)),
            ("ip", quoted(&"127.0.0.1")),
            ("listen.http", quoted(&callers)),
            ("listen.registry", quoted(&address(1))),
            ("listen.readiness", quoted(&readiness)),
            ("metricsPort", address(3).port().to_string()),
            ("portRange.0", address(4).port().to_string()),
            ("platform.address", quoted(&store)),
            ("limits.cpuShare", "0.5".into()),
            ("limits.linkMbps", "200.0".into()),
            ("limits.maxFds", "8192".into()),
            ("limits.memoryMb", "512".into()),
            ("bootstrap", "true".into()),
            ("bounds.retryRatio", "0.2".into()),
            ("bounds.retrySlack", "176".into()),
            ("bounds.retryWindowS", "10".into()),
            ("bounds.capFactor", "2".into()),
            ("bounds.drainMs", "3000".into()),
            ("bounds.graceS", "8".into()),
            ("bounds.ttl_max_s", "5".into()),
            ("bounds.evacuateMs", "5000".into()),
            ("bounds.coldOverage", "1.5".into()),
            ("bounds.coldSlack", "5".into()),
        ];
        let fields = fields.into_iter().map(|(path, value)| (path.to_owned(), value)).collect();
        let folder = folder.to_owned();
        write_settings(&folder, name, &fields);
        let child = spawn(&folder, name);
        Self { name: name.into(), callers, readiness, fields, folder, child }
    }

    /// Changes a field of the platform's settings.
    pub fn set_field(&mut self, path: &str, value: &str) {
        self.fields.insert(path.into(), value.into());
    }

    pub fn write_settings(&self) {
        write_settings(&self.folder, &self.name, &self.fields);
    }

    pub fn signal(&self, signal: &str) {
        let command = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Whether the process ends by itself within a time.
    pub fn await_end(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.child.try_wait().is_ok_and(|status| status.is_some()) {
                return true;
            }
            sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn start_again(&mut self) {
        self.child = spawn(&self.folder, &self.name);
    }

    /// Waits until the gateway says that it is ready.
    pub fn await_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(self.readiness) {
                let mut connection = Connection::new(stream);
                connection.set_timeout(Duration::from_secs(1));
                let sent = connection.write("GET /api/readyz HTTP/1.1", &[("Host", "r")], b"");
                if sent.is_ok() && connection.read().is_ok_and(|answer| answer.status() == 200) {
                    return;
                }
            }
            sleep(Duration::from_millis(50));
        }
        crate::cannot_run("a gateway did not become ready");
    }
}

/// A port that is free for TCP and UDP, below those that the system gives to outgoing connections.
fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    for _ in 0..10_000 {
        let number = NEXT.fetch_add(1, Ordering::SeqCst) + u64::from(std::process::id()) * 61;
        let port = 20_000 + (number % 12_000) as u16;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok()
            && std::net::UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            return port;
        }
    }
    crate::cannot_run("no free port");
}

/// Renders the template of the deploy file. The port of the metrics, which the template fixes, is a free one, as all
/// machines share one address here.
fn write_settings(folder: &Path, name: &str, fields: &Fields) {
    let template = std::fs::read_to_string("deploy/gateway.toml.template")
        .unwrap_or_else(|error| crate::cannot_run(&format!("template: {error}")));
    let template = template.replace("{{ip}}:9464", "{{ip}}:{{metricsPort}}");
    std::fs::write(folder.join(format!("{name}.toml")), render(&template, fields, None)).unwrap();
}

fn spawn(folder: &Path, name: &str) -> Child {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")))
        .unwrap();
    let child = Command::new("target/release/knapweedport")
        .arg("gateway")
        .env("KNAPWEEDPORT_SETTINGS", folder.join(format!("{name}.toml")))
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|error| crate::cannot_run(&format!("gateway: {error}")));
    // The script ends these processes if this one is ended first.
    let pids = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("pids"));
    let _ = writeln!(pids.unwrap(), "{}", child.id());
    child
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
