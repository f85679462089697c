//! Gateways as processes: signals, kills, and starts without the store.

use std::{
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use fakes::{
    HttpConnection, Reply, RunnerStandIn, SharedScript, StoreMood, StoreStandIn, free_address,
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use tokio::time::sleep;

const STOP_MS: u64 = 3_000;
const READY_TIMEOUT: Duration = Duration::from_secs(8);

/// A gateway process; it ends with its value.
struct Gateway {
    child: Child,
    settings: tempfile_path::TemporaryFile,
    callers: SocketAddr,
    entry: SocketAddr,
    readiness: SocketAddr,
}

/// Files that go with their value.
mod tempfile_path {
    use std::path::PathBuf;

    pub(super) struct TemporaryFile(pub(super) PathBuf);

    impl Drop for TemporaryFile {
        fn drop(&mut self) {
            // A file that stays behind harms nobody.
            let _ = std::fs::remove_file(&self.0);
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    fn start(name: &str, platform: SocketAddr) -> Self {
        let [callers, entry, readiness, peers] = [0; 4].map(|_| free_address());
        let text = format!(
            "host = \"{name}\"\nfailure_domain = \"z\"\ncaller_listen = \"{callers}\"\n\
             entry_listen = \"{entry}\"\nreadiness_listen = \"{readiness}\"\n\
             peer_listen = \"{peers}\"\nplatform = \"{platform}\"\n[fleet]\nstop_ms = {STOP_MS}\n",
        );
        let file = format!("knapweedport-gateway-{}-{}.toml", std::process::id(), callers.port());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, text).expect("a settings file");
        let child = Self::spawn(&path);
        let settings = tempfile_path::TemporaryFile(path);
        Self { child, settings, callers, entry, readiness }
    }

    fn spawn(settings: &std::path::Path) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_knapweedport"));
        command.arg("gateway").env("KNAPWEEDPORT_SETTINGS", settings);
        command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("a process")
    }

    /// Kills the process and starts another one in its place.
    fn restart(&mut self) {
        self.signal(Signal::SIGKILL);
        self.child.wait().expect("an end");
        self.child = Self::spawn(&self.settings.0);
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("a signal");
    }

    async fn is_ready(&self) -> bool {
        HttpConnection::get(self.readiness, "/api/readyz").await.status() == 200
    }

    async fn wait_until_ready(&self) {
        let ready = async {
            while !self.is_ready().await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready).await.expect("a ready router");
    }

    /// Addresses that this router tells callers.
    async fn told(&self) -> Vec<String> {
        let answer = HttpConnection::get(self.entry, "/api/resolve?name=h&region=r&zone=z").await;
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| Some(address.as_str()?.to_owned())).collect()
    }

    /// Time until this router tells callers of as many addresses as named.
    async fn tells(&self, count: usize) -> Duration {
        let start = Instant::now();
        while self.told().await.len() != count {
            assert!(start.elapsed() < READY_TIMEOUT, "{:?}", self.told().await);
            sleep(Duration::from_millis(20)).await;
        }
        start.elapsed()
    }

    fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a state").is_some()
    }
}

/// What the gateways stand between.
struct Surroundings {
    store: StoreStandIn,
    runner: RunnerStandIn,
    script: SharedScript,
}

fn run(check: impl AsyncFnOnce(Surroundings)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let store = StoreStandIn::start().await;
        let script = SharedScript::default();
        let runner = RunnerStandIn::start("r-a", &script).await;
        store.put("servers", &runner.id, runner.entry("pool"));
        let route = |name: &str, kind: &str| {
            json!({
                "name": name, "host": "h", "pathPrefix": format!("/{name}/"), "kind": kind,
                "timeoutMs": 5_000, "sloMs": 200, "service": "pool", "attempts": 1,
            })
        };
        let limits = json!({
            "maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        });
        let routes = [route("once", "non_idempotent"), route("stream", "streaming")];
        let config = json!({
            "version": 1, "routes": routes, "services": [{"name": "pool"}], "limits": limits,
        });
        store.put("config", "main", config);
        check(Surroundings { store, runner, script }).await;
    });
}

fn request(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nDeadline-Ms: 4000\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

#[test]
fn a_router_that_is_told_to_stop_cuts_nothing_and_turns_nobody_away() {
    run(async |around: Surroundings| {
        let mut leaving = Gateway::start("g-0", around.store.address);
        let staying = Gateway::start("g-1", around.store.address);
        leaving.wait_until_ready().await;
        staying.wait_until_ready().await;
        staying.tells(2).await;
        let mut idle = HttpConnection::connect(leaving.callers).await;
        assert_eq!(idle.ask(&request("/once/x", "a0")).await.status(), 200);
        around.script.lock().expect("the script").push_back(Reply::Events(200));
        let mut stream = HttpConnection::connect(leaving.callers).await;
        stream.send(request("/stream/x", "a1").as_bytes()).await;
        while around.runner.seen().len() < 2 {
            sleep(Duration::from_millis(10)).await;
        }

        let mut unused = HttpConnection::connect(leaving.callers).await;
        sleep(Duration::from_millis(50)).await;
        let told = Instant::now();
        leaving.signal(Signal::SIGTERM);
        assert!(staying.tells(1).await < Duration::from_millis(600));
        assert!(!leaving.is_ready().await);
        assert!(idle.read(true).await.is_none(), "the idle connection ends");
        for _ in 0..20 {
            let mut late = HttpConnection::connect(leaving.callers).await;
            let answer = late.ask(&request("/once/x", "a2")).await;
            assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        }
        let answer = unused.ask(&request("/once/x", "a3")).await;
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        let answer = stream.read(true).await.expect("an answer");
        assert!(answer.whole && answer.text().contains("id: 200\n"));

        while !leaving.has_ended() {
            assert!(told.elapsed() < Duration::from_millis(STOP_MS));
            sleep(Duration::from_millis(20)).await;
        }
        assert!(leaving.child.wait().expect("an end").success());
        assert!(
            told.elapsed() >= Duration::from_millis(STOP_MS * 6 / 10),
            "callers may still come"
        );
        assert_eq!(around.store.names("routers"), ["g-1"]);
    });
}

#[test]
fn a_hang_up_ends_nothing() {
    run(async |around: Surroundings| {
        let mut gateway = Gateway::start("g-0", around.store.address);
        gateway.wait_until_ready().await;
        gateway.signal(Signal::SIGHUP);
        sleep(Duration::from_millis(300)).await;
        assert!(!gateway.has_ended());
        assert!(gateway.is_ready().await);
    });
}

#[test]
fn a_router_that_is_killed_is_no_longer_told_to_callers() {
    run(async |around: Surroundings| {
        let killed = Gateway::start("g-0", around.store.address);
        let staying = Gateway::start("g-1", around.store.address);
        killed.wait_until_ready().await;
        staying.wait_until_ready().await;
        staying.tells(2).await;
        killed.signal(Signal::SIGKILL);
        assert!(staying.tells(1).await < Duration::from_secs(3));
    });
}

/// A router that comes back while the store is away learns all from another one.
#[test]
fn a_router_starts_without_the_store_when_another_knows() {
    run(async |around: Surroundings| {
        let mut restarted = Gateway::start("g-0", around.store.address);
        let staying = Gateway::start("g-1", around.store.address);
        restarted.wait_until_ready().await;
        staying.wait_until_ready().await;
        staying.tells(2).await;
        around.store.be(StoreMood::Silent);
        restarted.restart();
        restarted.wait_until_ready().await;
        let mut caller = HttpConnection::connect(restarted.callers).await;
        assert_eq!(caller.ask(&request("/once/x", "a1")).await.status(), 200);
    });
}
