//! Runs gateways as processes: signals, kills, and starts while the store does not answer.

use std::{
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use fakes::{
    HttpConnection, Reply, ReplyScript, RunnerStandIn, StoreMode, StoreStandIn, free_address,
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use tokio::time::sleep;

const STOP_MS: u64 = 3_000;
const READY_TIMEOUT: Duration = Duration::from_secs(8);

/// A gateway process, killed on drop.
struct Gateway {
    child: Child,
    settings: temporary_file::TemporaryFile,
    callers: SocketAddr,
    entry: SocketAddr,
    readiness: SocketAddr,
}

/// Files that are deleted on drop.
mod temporary_file {
    use std::path::PathBuf;

    pub(super) struct TemporaryFile(pub(super) PathBuf);

    impl Drop for TemporaryFile {
        fn drop(&mut self) {
            // Cleanup is best effort: a leftover file is harmless.
            let _ = std::fs::remove_file(&self.0);
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    fn start(name: &str, platform: SocketAddr) -> Self {
        Self::start_with(name, platform, STOP_MS, "")
    }

    /// Starts a gateway with a stop timeout and further lines of settings.
    fn start_with(name: &str, platform: SocketAddr, stop_ms: u64, settings: &str) -> Self {
        let [callers, entry, readiness, peers] = [0; 4].map(|_| free_address());
        let text = format!(
            "host = \"{name}\"\nfailure_domain = \"z\"\ncaller_listen = \"{callers}\"\n\
             entry_listen = \"{entry}\"\nreadiness_listen = \"{readiness}\"\n\
             peer_listen = \"{peers}\"\nplatform = \"{platform}\"\n{settings}[fleet]\nstop_ms = {stop_ms}\n",
        );
        let file = format!("knapweedport-gateway-{}-{}.toml", std::process::id(), callers.port());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, text).expect("the settings file is writable");
        let child = Self::spawn(&path);
        let settings = temporary_file::TemporaryFile(path);
        Self { child, settings, callers, entry, readiness }
    }

    fn spawn(settings: &std::path::Path) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_knapweedport"));
        command.arg("gateway").env("KNAPWEEDPORT_SETTINGS", settings);
        command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the gateway starts")
    }

    /// Kills the process and starts a new one with the same settings.
    fn restart(&mut self) {
        self.signal(Signal::SIGKILL);
        self.child.wait().expect("the process is waited for");
        self.child = Self::spawn(&self.settings.0);
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the signal is sent");
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
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .expect("the gateway becomes ready in time");
    }

    /// Returns the gateway addresses that this gateway advertises to callers.
    async fn advertised_addresses(&self) -> Vec<String> {
        let answer = HttpConnection::get(self.entry, "/api/resolve?name=h&region=r&zone=z").await;
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| Some(address.as_str()?.to_owned())).collect()
    }

    /// Waits until this gateway advertises `count` addresses and returns the time that took.
    async fn wait_until_advertised(&self, count: usize) -> Duration {
        let start = Instant::now();
        while self.advertised_addresses().await.len() != count {
            assert!(start.elapsed() < READY_TIMEOUT, "{:?}", self.advertised_addresses().await);
            sleep(Duration::from_millis(20)).await;
        }
        start.elapsed()
    }

    fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("the process state is readable").is_some()
    }
}

/// Stand-ins for the store and a runner that the gateways of a test connect to.
struct TestEnvironment {
    store: StoreStandIn,
    runner: RunnerStandIn,
    script: ReplyScript,
}

fn run_with_environment(test: impl AsyncFnOnce(TestEnvironment)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime starts").block_on(async {
        let store = StoreStandIn::start().await;
        let script = ReplyScript::default();
        let runner = RunnerStandIn::start("r-a", &script).await;
        store.put("servers", &runner.id, runner.entry("pool"));
        store.put("config", "main", configuration(1));
        test(TestEnvironment { store, runner, script }).await;
    });
}

fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, attempts: u32| {
        json!({
            "name": name, "host": "h", "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 5_000, "sloMs": 200, "service": "pool", "attempts": attempts,
            "resumable": attempts > 1,
        })
    };
    let limits = json!({
        "maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    });
    let routes = [
        route("once", "non_idempotent", 1),
        route("stream", "streaming", 1),
        route("resumable", "streaming", 2),
    ];
    json!({"version": version, "routes": routes, "services": [{"name": "pool"}], "limits": limits})
}

/// All targets fall silent for more than a second while a gateway stops and the configuration changes. Guards against
/// streams that start again at another silent target and cut as the process ends.
#[test]
fn a_stopping_gateway_finishes_streams_of_targets_that_pause() {
    run_with_environment(async |environment: TestEnvironment| {
        let other = RunnerStandIn::start("r-b", &environment.script).await;
        environment.store.put("servers", &other.id, other.entry("pool"));
        // A first start has retries to spend.
        let settings = "first_start = true\n";
        let leaving = Gateway::start_with("g-0", environment.store.address, STOP_MS, settings);
        leaving.wait_until_ready().await;
        for _ in 0..16 {
            let reply = Reply::EventsSlow(2, Duration::from_millis(1_200));
            environment.script.lock().expect("the script lock is not poisoned").push_back(reply);
        }
        let mut streams = Vec::new();
        for number in 0..8 {
            let path = if number % 2 == 0 { "/stream/x" } else { "/resumable/x" };
            let mut stream = HttpConnection::connect(leaving.callers).await;
            stream.send(request(path, &format!("a{number}")).as_bytes()).await;
            streams.push(stream);
        }
        let received =
            || environment.runner.received_messages().len() + other.received_messages().len();
        while received() < streams.len() {
            sleep(Duration::from_millis(10)).await;
        }
        leaving.signal(Signal::SIGTERM);
        environment.store.put("config", "main", configuration(2));
        for (number, mut stream) in streams.into_iter().enumerate() {
            let answer = stream.read(true).await.unwrap_or_default();
            assert!(answer.whole && answer.text().contains("id: 2\n"), "stream {number}");
        }
    });
}

fn request(path: &str, id: &str) -> String {
    request_with_deadline(path, id, 4_000)
}

fn request_with_deadline(path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Guards against calls that come late in a planned stop, are passed on, and are cut without an answer as the process
/// ends, because those before them were short.
#[test]
fn a_stopping_gateway_takes_late_calls_only_if_their_deadline_ends_them() {
    run_with_environment(async |environment: TestEnvironment| {
        let mut leaving = Gateway::start_with("g-0", environment.store.address, 6_000, "");
        leaving.wait_until_ready().await;
        let reply = |reply| {
            environment.script.lock().expect("the script lock is not poisoned").push_back(reply);
        };
        for number in 0..30 {
            reply(Reply::Events(2));
            let mut caller = HttpConnection::connect(leaving.callers).await;
            let answer = caller.request(&request("/stream/x", &format!("a{number}"))).await;
            assert_eq!(answer.status(), 200);
        }
        leaving.signal(Signal::SIGTERM);
        sleep(Duration::from_millis(3_500)).await;
        reply(Reply::EventsSlow(30, Duration::from_millis(100)));
        let mut late = HttpConnection::connect(leaving.callers).await;
        let answer = late.request(&request("/stream/x", "b0")).await;
        assert_eq!(answer.status(), 503);
        let return_s = answer.header("retry-after").and_then(|seconds| seconds.parse().ok());
        assert!(return_s.is_some_and(|seconds: f64| (0.05..=2.0).contains(&seconds)));
        environment.script.lock().expect("the script lock is not poisoned").clear();
        reply(Reply::Events(2));
        let mut late = HttpConnection::connect(leaving.callers).await;
        let answer = late.request(&request_with_deadline("/stream/x", "b1", 1_500)).await;
        assert!(answer.status() == 200 && answer.whole);
        let received = environment.runner.received_messages();
        let ids: Vec<&str> = received.iter().filter_map(|call| call.header("attempt-id")).collect();
        assert!(!ids.contains(&"b0") && ids.contains(&"b1"), "{ids:?}");
        assert!(!leaving.has_exited());
    });
}

/// All gateways are killed and start again while odd entries of another writer stand among those of the runners, on a
/// list of several pages.
#[test]
fn gateways_start_beside_odd_entries() {
    run_with_environment(async |environment: TestEnvironment| {
        let mut runners = Vec::new();
        for index in 1..6 {
            let id = format!("r-{index}");
            runners.push(RunnerStandIn::start(&id, &environment.script).await);
            environment.store.put("servers", &id, runners[index - 1].entry("pool"));
        }
        let names = ["g-0", "g-1", "g-2"];
        let mut gateways = names.map(|name| Gateway::start(name, environment.store.address));
        for gateway in &gateways {
            gateway.wait_until_ready().await;
        }
        for name in ["r-1&", "r-1+", "r-1#", "r-1%zz", "r-1 x", "r-1<", "r-1\n", "r-1\u{1}"] {
            environment.store.put("servers", name, environment.runner.entry("pool"));
        }
        let odd_revision = br#"{"metadata":{"name":"r-2x","revision":"4"},"spec":{}}"#;
        environment.store.put_raw("servers", "r-2x", odd_revision);
        environment.store.put_raw("servers", "r-2y", b"{\"metadata\":{\"name\":\"r-2\xff\"}}");
        gateways.iter().for_each(|gateway| gateway.signal(Signal::SIGKILL));
        gateways.iter_mut().for_each(Gateway::restart);
        for gateway in &gateways {
            gateway.wait_until_ready().await;
        }
        for number in 0..60 {
            let mut caller = HttpConnection::connect(gateways[number % 3].callers).await;
            let answer = caller.request(&request("/once/x", &format!("a{number}"))).await;
            assert_eq!(answer.status(), 200, "call {number}");
        }
        assert!(runners.iter().all(|runner| !runner.received_messages().is_empty()));
    });
}

#[test]
fn a_stopping_gateway_finishes_its_calls_and_accepts_new_ones() {
    run_with_environment(async |environment: TestEnvironment| {
        let mut leaving = Gateway::start("g-0", environment.store.address);
        let staying = Gateway::start("g-1", environment.store.address);
        leaving.wait_until_ready().await;
        staying.wait_until_ready().await;
        staying.wait_until_advertised(2).await;
        let mut idle = HttpConnection::connect(leaving.callers).await;
        assert_eq!(idle.request(&request("/once/x", "a0")).await.status(), 200);
        environment
            .script
            .lock()
            .expect("the script lock is not poisoned")
            .push_back(Reply::Events(200));
        let mut stream = HttpConnection::connect(leaving.callers).await;
        stream.send(request("/stream/x", "a1").as_bytes()).await;
        while environment.runner.received_messages().len() < 2 {
            sleep(Duration::from_millis(10)).await;
        }

        let mut unused = HttpConnection::connect(leaving.callers).await;
        sleep(Duration::from_millis(50)).await;
        let signalled_at = Instant::now();
        leaving.signal(Signal::SIGTERM);
        assert!(staying.wait_until_advertised(1).await < Duration::from_millis(600));
        assert!(!leaving.is_ready().await);
        assert!(idle.read(true).await.is_none(), "the idle connection is closed");
        for _ in 0..20 {
            let mut late = HttpConnection::connect(leaving.callers).await;
            let answer = late.request(&request("/once/x", "a2")).await;
            assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        }
        let answer = unused.request(&request("/once/x", "a3")).await;
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        let answer = stream.read(true).await.expect("the stream has an answer");
        assert!(answer.whole && answer.text().contains("id: 200\n"));

        while !leaving.has_exited() {
            assert!(signalled_at.elapsed() < Duration::from_millis(STOP_MS));
            sleep(Duration::from_millis(20)).await;
        }
        assert!(leaving.child.wait().expect("the process is waited for").success());
        assert!(
            signalled_at.elapsed() >= Duration::from_millis(STOP_MS * 6 / 10),
            "callers may still hold its address"
        );
        assert_eq!(environment.store.names("routers"), ["g-1"]);
    });
}

#[test]
fn a_hang_up_signal_does_not_stop_a_gateway() {
    run_with_environment(async |environment: TestEnvironment| {
        let mut gateway = Gateway::start("g-0", environment.store.address);
        gateway.wait_until_ready().await;
        gateway.signal(Signal::SIGHUP);
        sleep(Duration::from_millis(300)).await;
        assert!(!gateway.has_exited());
        assert!(gateway.is_ready().await);
    });
}

#[test]
fn a_killed_gateway_is_no_longer_advertised() {
    run_with_environment(async |environment: TestEnvironment| {
        let killed = Gateway::start("g-0", environment.store.address);
        let staying = Gateway::start("g-1", environment.store.address);
        killed.wait_until_ready().await;
        staying.wait_until_ready().await;
        staying.wait_until_advertised(2).await;
        killed.signal(Signal::SIGKILL);
        assert!(staying.wait_until_advertised(1).await < Duration::from_secs(3));
    });
}

/// A gateway that restarts while the store does not answer gets its state from a peer.
#[test]
fn a_gateway_starts_from_a_peer_while_the_store_is_silent() {
    run_with_environment(async |environment: TestEnvironment| {
        let mut restarted = Gateway::start("g-0", environment.store.address);
        let staying = Gateway::start("g-1", environment.store.address);
        restarted.wait_until_ready().await;
        staying.wait_until_ready().await;
        staying.wait_until_advertised(2).await;
        environment.store.set_mode(StoreMode::Silent);
        restarted.restart();
        restarted.wait_until_ready().await;
        let mut caller = HttpConnection::connect(restarted.callers).await;
        assert_eq!(caller.request(&request("/once/x", "a1")).await.status(), 200);
    });
}
