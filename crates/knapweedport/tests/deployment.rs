//! Runs a gateway with the settings that `deploy/gateway.toml.template` gives on the users' platform.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use base_settings::{CapacitySettings, FleetSettings, GatewaySettings};
use base_types::test_cases;
use fakes::{
    EndlessPart, HttpConnection, HttpMessage, Reply, RunnerStandIn, StoreStandIn, free_address,
};
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

/// Memory that the platform's settings name, in megabytes.
const MACHINE_MB: u64 = 160;
const RUNNERS: usize = 3;
const CALLERS: usize = 40;
const CALLS: usize = 60;
const START_TIME: Duration = Duration::from_secs(8);
/// Time in which the answers without end are read as far as the gateway reads them.
const READ_TIME: Duration = Duration::from_millis(1_500);

/// A figure of the platform's settings in the notations that it may have.
struct PlatformFigure {
    name: &'static str,
    whole: &'static str,
    /// The same value, written as a fraction.
    decimal: &'static str,
    fraction: &'static str,
}

const fn figure(
    name: &'static str,
    whole: &'static str,
    decimal: &'static str,
    fraction: &'static str,
) -> PlatformFigure {
    PlatformFigure { name, whole, decimal, fraction }
}

const FIGURES: [PlatformFigure; 13] = [
    figure("limits.cpuShare", "1", "1.0", "0.25"),
    figure("limits.linkMbps", "1000", "1000.0", "12.5"),
    figure("limits.maxFds", "4100", "4100.0", "4100.5"),
    figure("limits.memoryMb", "160", "160.0", "160.5"),
    figure("bounds.retryRatio", "1", "1.0", "0.2"),
    figure("bounds.retrySlack", "54", "54.0", "54.5"),
    figure("bounds.retryWindowS", "10", "10.0", "7.5"),
    figure("bounds.capFactor", "2", "2.0", "1.5"),
    figure("bounds.drainMs", "2000", "2000.0", "1500.5"),
    figure("bounds.graceS", "8", "8.0", "7.5"),
    figure("bounds.ttl_max_s", "5", "5.0", "2.5"),
    figure("bounds.coldOverage", "2", "2.0", "1.5"),
    figure("bounds.coldSlack", "5", "5.0", "5.5"),
];

/// Figures that may be zero.
const ZERO_FIGURES: [&str; 7] = [
    "bounds.retryRatio",
    "bounds.retrySlack",
    "bounds.drainMs",
    "bounds.graceS",
    "bounds.ttl_max_s",
    "bounds.coldOverage",
    "bounds.coldSlack",
];

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
        Self::start_with(store, [])
    }

    /// Starts a gateway whose platform has some settings of its own.
    fn start_with(
        store: SocketAddr,
        changed: impl IntoIterator<Item = (&'static str, &'static str)>,
    ) -> Self {
        let [callers, entry, readiness, peers] = [0; 4].map(|_| free_address());
        let mut settings = platform_settings();
        settings.extend([
            ("listen.http", callers.to_string()),
            ("listen.registry", entry.to_string()),
            ("listen.readiness", readiness.to_string()),
            ("portRange.0", peers.port().to_string()),
            ("platform.address", store.to_string()),
        ]);
        settings.extend(changed.into_iter().map(|(name, value)| (name, value.to_owned())));
        // Two processes of one machine cannot have the same port for metrics.
        let metrics = format!("127.0.0.1:{}", free_address().port());
        let text = render_settings(&settings).replace("127.0.0.1:9464", &metrics);
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

/// Settings of a process of the users' platform.
fn platform_settings() -> PlatformSettings {
    let texts = [
        ("nodeName", "g-0"),
        ("zone", "z"),
        ("listen.http", "127.0.0.1:8227"),
        ("listen.registry", "127.0.0.1:8224"),
        ("listen.readiness", "127.0.0.1:8220"),
        ("ip", "127.0.0.1"),
        ("portRange.0", "7340"),
        ("platform.address", "127.0.0.1:8223"),
        ("bootstrap", "true"),
        ("bounds.evacuateMs", "5000"),
    ];
    let figures = FIGURES.map(|figure| (figure.name, figure.whole));
    texts.into_iter().chain(figures).map(|(name, text)| (name, text.to_owned())).collect()
}

/// The settings file that the platform writes for a process.
fn render_settings(settings: &PlatformSettings) -> String {
    let template = Path::new(env!("CARGO_MANIFEST_DIR"));
    let template = template.join("../../deploy/gateway.toml.template");
    let template = fs::read_to_string(template).expect("the template");
    render(&template, settings)
}

/// Renders a template as the platform does, with the parts of its language that ours uses.
fn render(template: &str, settings: &PlatformSettings) -> String {
    let Some((before, rest)) = template.split_once("{{") else { return template.to_owned() };
    let (tag, rest) = rest.split_once("}}").expect("the end of a placeholder");
    let (text, rest) = match tag.split_at(1) {
        (kind @ ("#" | "^"), name) => {
            let (section, rest) =
                rest.split_once(&format!("{{{{/{name}}}}}")).expect("the end of a section");
            let value = settings.get(name).filter(|value| *value != "false");
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

/// Guards against a gateway that does not start because a figure of the platform's settings is written in another
/// notation than before, is zero or is absent.
fn check_notation(notation: impl Fn(&PlatformFigure) -> Option<&'static str>) {
    let mut refused = Vec::new();
    for figure in &FIGURES {
        let mut settings = platform_settings();
        match notation(figure) {
            Some(text) => drop(settings.insert(figure.name, text.to_owned())),
            None => drop(settings.remove(figure.name)),
        }
        if let Err(fault) = GatewaySettings::parse(&render_settings(&settings)) {
            refused.push(format!("{}: {}", figure.name, fault.current_context()));
        }
    }
    assert_eq!(refused, Vec::<String>::new());
}

fn zero_if_allowed(figure: &PlatformFigure) -> Option<&'static str> {
    Some(if ZERO_FIGURES.contains(&figure.name) { "0" } else { figure.whole })
}

test_cases! {
    check_notation:
    figures_may_be_whole_numbers(|figure| Some(figure.whole));
    figures_may_be_whole_numbers_with_a_point(|figure| Some(figure.decimal));
    figures_may_be_fractions(|figure| Some(figure.fraction));
    figures_may_be_zero(zero_if_allowed);
    figures_may_be_absent(|_| None);
    figures_may_be_turned_off(|_| Some("false"));
}

/// A figure has the same value in each notation, in the unit of the platform.
fn check_figures(
    changed: &[(&'static str, &str)],
    fleet: FleetSettings,
    capacity: CapacitySettings,
) {
    let mut settings = platform_settings();
    settings.extend(changed.iter().map(|(name, text)| (*name, (*text).to_owned())));
    let settings = GatewaySettings::parse(&render_settings(&settings)).expect("settings");
    assert_eq!((settings.fleet, settings.capacity), (fleet, capacity));
}

fn whole_fleet() -> FleetSettings {
    FleetSettings {
        retry_ratio: 1.0,
        retry_slack: 54,
        retry_window: Duration::from_secs(10),
        load_ratio_max: 2.0,
        target_drain: Duration::from_secs(2),
        stop_timeout: Duration::from_secs(8),
        entry_ttl_max: Duration::from_secs(5),
        evacuations: true,
        cold_ratio: 2.0,
        cold_slack: 5,
        ..FleetSettings::default()
    }
}

fn fractional_fleet() -> FleetSettings {
    FleetSettings {
        retry_ratio: 0.2,
        retry_window: Duration::from_millis(7_500),
        load_ratio_max: 1.5,
        target_drain: Duration::from_micros(1_500_500),
        stop_timeout: Duration::from_millis(7_500),
        entry_ttl_max: Duration::from_millis(2_500),
        cold_ratio: 1.5,
        ..whole_fleet()
    }
}

const WHOLE_CAPACITY: CapacitySettings = CapacitySettings {
    cpu_share: Some(1.0),
    link_mbps: Some(1_000.0),
    max_descriptors: Some(4_100),
};
const FRACTIONAL_CAPACITY: CapacitySettings =
    CapacitySettings { cpu_share: Some(0.25), link_mbps: Some(12.5), ..WHOLE_CAPACITY };

test_cases! {
    check_figures:
    whole_numbers_have_their_value(&[], whole_fleet(), WHOLE_CAPACITY);
    whole_numbers_with_a_point_have_their_value(
        &FIGURES.map(|figure| (figure.name, figure.decimal)), whole_fleet(), WHOLE_CAPACITY,
    );
    fractions_have_their_value(
        &FIGURES.map(|figure| (figure.name, figure.fraction)), fractional_fleet(), FRACTIONAL_CAPACITY,
    );
    a_number_with_an_exponent_has_its_value(&[("bounds.graceS", "8e0")], whole_fleet(), WHOLE_CAPACITY);
}

/// Guards against gateways that serve no call after a restart, because the stop timeout became a fraction.
#[test]
fn a_gateway_starts_with_a_fractional_stop_timeout() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let store = StoreStandIn::start().await;
        let runner = RunnerStandIn::start_with_rule("r-0", reply_rule, 1).await;
        store.put("servers", "r-0", runner.entry("pool"));
        store.put("config", "main", configuration());
        let gateway = DeployedGateway::start_with(store.address, [("bounds.graceS", "7.5")]);
        gateway.wait_until_ready().await;
        assert_eq!(gateway.call("/once/x", 0).await.status(), 200);
    });
}
