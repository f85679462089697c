//! Runs a gateway with the settings that `deploy/gateway.toml.template` gives on the users' platform.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use fakes::{
    EndlessPart, HttpConnection, HttpMessage, Reply, RunnerStandIn, StoreStandIn, free_address,
};
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

/// Memory of the machine that the platform's settings name, in megabytes.
const MACHINE_MB: u64 = 160;
const RUNNERS: usize = 3;
const CALLERS: usize = 40;
const CALLS: usize = 60;
const START_TIME: Duration = Duration::from_secs(8);
/// Time in which the answers without end are read as far as the gateway reads them.
const READ_TIME: Duration = Duration::from_millis(1_500);

/// Settings that the platform knows, by their names in templates.
type PlatformSettings = BTreeMap<&'static str, String>;

/// A gateway process with its settings file; the one is killed and the other deleted on drop.
struct DeployedGateway {
    child: Child,
    settings: PathBuf,
    callers: SocketAddr,
    readiness: SocketAddr,
}

impl DeployedGateway {
    fn start(store: SocketAddr) -> Self {
        let [callers, entry, readiness, peers] = [0; 4].map(|_| free_address());
        let memory_mb = MACHINE_MB.to_string();
        let settings = [
            ("nodeName", "g-0".to_owned()),
            ("zone", "z".to_owned()),
            ("listen.http", callers.to_string()),
            ("listen.registry", entry.to_string()),
            ("listen.readiness", readiness.to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("portRange.0", peers.port().to_string()),
            ("platform.address", store.to_string()),
            ("limits.cpuShare", "0.25".to_owned()),
            ("limits.linkMbps", "1000.0".to_owned()),
            ("limits.maxFds", "4100".to_owned()),
            ("limits.memoryMb", memory_mb),
            ("bootstrap", "true".to_owned()),
            ("bounds.retryRatio", "0.2".to_owned()),
            ("bounds.retrySlack", "54".to_owned()),
            ("bounds.retryWindowS", "10".to_owned()),
            ("bounds.capFactor", "2".to_owned()),
            ("bounds.drainMs", "2000".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
        ];
        let template = Path::new(env!("CARGO_MANIFEST_DIR"));
        let template = template.join("../../deploy/gateway.toml.template");
        let template = fs::read_to_string(template).expect("the template");
        // Two processes of one machine cannot have the same port for metrics.
        let metrics = format!("127.0.0.1:{}", free_address().port());
        let text = render(&template, &settings.into()).replace("127.0.0.1:9464", &metrics);
        let file = format!("knapweedport-deployed-{}.toml", callers.port());
        let settings = std::env::temp_dir().join(file);
        fs::write(&settings, text).expect("the settings file is writable");
        let mut command = Command::new(env!("CARGO_BIN_EXE_knapweedport"));
        command.arg("gateway").env("KNAPWEEDPORT_SETTINGS", &settings);
        let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn();
        Self { child: child.expect("the gateway starts"), settings, callers, readiness }
    }

    async fn wait_until_ready(&self) {
        let ready = async {
            while HttpConnection::get(self.readiness, "/api/readyz").await.status() != 200 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(START_TIME, ready).await.expect("a ready gateway");
    }

    /// The most memory that the process had resident, in megabytes.
    fn peak_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes =
            peak.and_then(|peak| peak.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kilobytes.expect("a peak") / 1_024
    }

    async fn call(&self, path: &str, number: usize) -> HttpMessage {
        HttpConnection::connect(self.callers).await.request(&request(path, number)).await
    }
}

impl Drop for DeployedGateway {
    fn drop(&mut self) {
        // The process may have exited already, and a leftover file is harmless.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Renders a template as the platform does, with the parts of its language that ours uses.
fn render(template: &str, settings: &PlatformSettings) -> String {
    let Some((before, rest)) = template.split_once("{{") else { return template.to_owned() };
    let (tag, rest) = rest.split_once("}}").expect("the end of a placeholder");
    let (text, rest) = match tag.split_at(1) {
        (kind @ ("#" | "^"), name) => {
            let (section, rest) =
                rest.split_once(&format!("{{{{/{name}}}}}")).expect("the end of a section");
            let value = settings.get(name);
            let is_shown = value.is_some() == (kind == "#");
            let section = section.replace("{{.}}", value.map_or("", String::as_str));
            (if is_shown { render(&section, settings) } else { String::new() }, rest)
        }
        _ => {
            let (name, is_text) =
                tag.strip_suffix("|json").map_or((tag, false), |name| (name, true));
            let value = settings.get(name).map_or("", String::as_str);
            (if is_text { Value::from(value).to_string() } else { value.to_owned() }, rest)
        }
    };
    format!("{before}{text}{}", render(rest, settings))
}

fn request(path: &str, number: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {number:016x}\r\nDeadline-Ms: 4000\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

fn reply_rule(call: &HttpMessage, number: u64) -> Reply {
    let parts = [EndlessPart::Chunks, EndlessPart::Body, EndlessPart::Event];
    match call.target() {
        "/once/endless" => Reply::Endless(parts[number as usize % parts.len()]),
        _ => Reply::Whole,
    }
}

fn configuration() -> Value {
    let route = json!({
        "name": "once", "host": "h", "pathPrefix": "/once/", "kind": "non_idempotent",
        "timeoutMs": 5_000, "sloMs": 200, "service": "pool", "attempts": 1,
    });
    let limits = json!({
        "maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    });
    json!({"version": 1, "routes": [route], "services": [{"name": "pool"}], "limits": limits})
}

/// Targets send bytes without end to callers that read nothing: the gateway stays within the memory of its machine,
/// and serves the others.
#[test]
fn answers_without_end_stay_within_the_memory_of_the_machine() {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let store = StoreStandIn::start().await;
        for number in 0..RUNNERS {
            let id = format!("r-{number}");
            let runner = RunnerStandIn::start_with_rule(&id, reply_rule, 1).await;
            store.put("servers", &id, runner.entry("pool"));
        }
        store.put("config", "main", configuration());
        let gateway = DeployedGateway::start(store.address);
        gateway.wait_until_ready().await;
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let mut caller = HttpConnection::connect(gateway.callers).await;
            caller.send(request("/once/endless", number).as_bytes()).await;
            callers.push(caller);
        }
        sleep(READ_TIME).await;
        for number in 0..CALLS {
            let answer = gateway.call("/once/x", CALLERS + number).await;
            assert_eq!(answer.status(), 200, "call {number}");
        }
        let peak_mb = gateway.peak_mb();
        assert!(peak_mb < MACHINE_MB, "{peak_mb} MB of {MACHINE_MB}");
    });
}
