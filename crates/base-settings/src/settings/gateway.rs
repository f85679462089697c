//! Settings of a gateway: a router that forwards plain HTTP calls for a platform.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use base_types::{AdaptiveCapacity, FailureDomainName, HostName};
use error_stack::Report;

use crate::{
    LogSettings, SecretValue, SettingsError,
    section::{DurationKeys, SettingsSection},
    settings::parse_settings,
};

/// Keys of the addresses that the process binds over TCP.
const LISTEN_KEYS: [&str; 4] =
    ["caller_listen", "entry_listen", "readiness_listen", "metrics_listen"];

const DEFAULT_RETRY_SLACK: u32 = 20;
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
const DEFAULT_TARGET_DRAIN: Duration = Duration::from_secs(2);
const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(8);
const DEFAULT_ENTRY_TTL_MAX: Duration = Duration::from_secs(1);
/// One terabyte.
const MEMORY_MB_MAX: u32 = 1_048_576;
const DURATION_MAX: Duration = Duration::from_secs(86_400);
const RETRY_SLACK_MAX: u32 = 1_000_000;
const RETRY_WINDOWS: RangeInclusive<Duration> = Duration::from_millis(1)..=DURATION_MAX;
/// Times that may be zero, so that nothing is waited for.
const WAITING_TIMES: RangeInclusive<Duration> = Duration::ZERO..=DURATION_MAX;
const DEFAULT_RETRY_RATIO: f64 = 0.2;
const DEFAULT_LOAD_RATIO_MAX: f64 = 2.0;
const DEFAULT_COLD_RATIO: f64 = 1.0;
const DEFAULT_COLD_SLACK: u32 = 1;
const COLD_SLACK_MAX: u32 = 1_000_000;
const RATIO_MAX: f64 = 100.0;
const CPU_SHARE_MAX: f64 = 1_024.0;
const LINK_MBPS_MAX: f64 = 1_000_000.0;
const DESCRIPTORS_MAX: u32 = 100_000_000;

const RETRY_WINDOW: DurationKeys =
    DurationKeys { millis: "retry_window_ms", seconds: "retry_window_s" };
const TARGET_DRAIN: DurationKeys =
    DurationKeys { millis: "target_drain_ms", seconds: "target_drain_s" };
const STOP_TIMEOUT: DurationKeys = DurationKeys { millis: "stop_ms", seconds: "stop_s" };
const ENTRY_TTL_MAX: DurationKeys =
    DurationKeys { millis: "entry_life_max_ms", seconds: "entry_life_max_s" };

/// Words for the values of `adaptive_capacity`.
const ADAPTIVE_CAPACITIES: [(&str, AdaptiveCapacity); 3] = [
    ("off", AdaptiveCapacity::Off),
    ("on", AdaptiveCapacity::On),
    ("auto", AdaptiveCapacity::Auto),
];

/// Lengths of a fleet key in bytes. 32 hexadecimal digits are 128 bits, beyond any search.
const FLEET_KEY_BYTES_MIN: usize = 32;
const FLEET_KEY_BYTES_MAX: usize = 256;

/// Settings of one gateway process, with every value checked, alone and against the others.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of this host, unique in the fleet.
    pub host: HostName,
    /// Failure domain that this host is in.
    pub failure_domain: FailureDomainName,
    /// Address at which the gateway accepts callers.
    pub caller_listen: SocketAddr,
    /// Address at which callers look up the gateways to connect to.
    pub entry_listen: SocketAddr,
    /// Address of the readiness probe, which the platform polls.
    pub readiness_listen: SocketAddr,
    /// Address at which metrics are scraped; metrics are not served when absent.
    pub metrics_listen: Option<SocketAddr>,
    /// Address at which the gateway receives heartbeats of other gateways.
    pub peer_listen: SocketAddr,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Whether the whole fleet starts for the first time, so that nothing was served before. May stay
    /// set: it decides only while the platform keeps no record of an earlier start.
    pub first_start: bool,
    /// What the machine gives to this gateway.
    pub capacity: CapacitySettings,
    /// Keys with which gateways authenticate what they send each other.
    pub fleet_keys: FleetKeySettings,
    /// Memory that the process may use, in megabytes (1,048,576 bytes); the bytes held for callers and
    /// targets are not limited when absent.
    pub memory_mb: Option<u64>,
    /// Bounds that apply to the fleet as a whole.
    pub fleet: FleetSettings,
    /// Level and format of the log.
    pub log: LogSettings,
}

/// What the machine gives to one gateway; each value is optional. Callers are shared among gateways by
/// what they state here.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct CapacitySettings {
    /// Processor share in cores.
    pub cpu_share: Option<f64>,
    /// Bandwidth of the link in each direction in Mbit/s.
    pub link_mbps: Option<f64>,
    /// Number of descriptors that the process may open.
    pub max_descriptors: Option<u32>,
}

/// Keys with which gateways authenticate what they send each other; all absent by default.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetKeySettings {
    /// Key that heartbeats and snapshots are sent with.
    pub current: Option<SecretValue<Box<str>>>,
    /// Further key that is accepted while the key is rotated.
    pub previous: Option<SecretValue<Box<str>>>,
    /// Whether messages that are not authenticated are dropped.
    pub require_authentic_peers: bool,
}

/// Bounds that apply to the fleet as a whole; every gateway must be given the same values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSettings {
    /// Ratio of retries to calls of a pool that is allowed within the retry window.
    pub retry_ratio: f64,
    /// Retries allowed per pool and retry window beyond the ratio.
    pub retry_slack: u32,
    /// Length of the sliding window over which calls and retries are counted.
    pub retry_window: Duration,
    /// Largest load of a target, as a multiple of the mean load of its pool.
    pub load_ratio_max: f64,
    /// When the learned speed of targets is used.
    pub adaptive_capacity: AdaptiveCapacity,
    /// Whether calls wait in the gateway, in an order, while no target has room and learned speeds are used.
    pub queueing: bool,
    /// Whether engines without room in their caches for a call are chosen only if no other has room.
    pub engine_memory_guard: bool,
    /// Time for which a draining target continues to serve.
    pub target_drain: Duration,
    /// Time from the stop signal until the platform kills the process.
    pub stop_timeout: Duration,
    /// Upper bound on the time for which callers may cache the list of gateways.
    pub entry_ttl_max: Duration,
    /// Whether the operator evacuates failure domains of targets.
    pub evacuations: bool,
    /// Calls in one second that a cold target may get, as a multiple of the rate that its pool states.
    pub cold_ratio: f64,
    /// Calls in one second that a cold target may get beyond `cold_ratio`.
    pub cold_slack: u32,
}

impl GatewaySettings {
    /// Parses and checks the TOML text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the text.
    pub fn parse(text: &str) -> Result<Self, Report<SettingsError>> {
        parse_settings(text, &LISTEN_KEYS, Self::read)
    }

    /// Reads all keys before it checks any result, so that all faults are reported.
    fn read(root: &SettingsSection<'_, '_>) -> Option<Self> {
        let host = root.required_name("host");
        let failure_domain = root.required_name("failure_domain");
        let caller_listen = root.required_address("caller_listen");
        let entry_listen = root.required_address("entry_listen");
        let readiness_listen = root.required_address("readiness_listen");
        let metrics_listen = root.address("metrics_listen");
        let peer_listen = root.required_address("peer_listen");
        let platform = root.required_address("platform");
        let first_start = root.flag("first_start", false);
        let capacity = CapacitySettings::read(root);
        let fleet_keys = FleetKeySettings::read(root);
        let memory_mb = root.optional_count("memory_mb", MEMORY_MB_MAX).map(u64::from);
        let fleet = FleetSettings::read(root);
        let log = LogSettings::read(root);
        Some(Self {
            host: HostName::new(host?),
            failure_domain: FailureDomainName::new(failure_domain?),
            caller_listen: caller_listen?,
            entry_listen: entry_listen?,
            readiness_listen: readiness_listen?,
            metrics_listen,
            peer_listen: peer_listen?,
            platform: platform?,
            first_start,
            capacity,
            fleet_keys,
            memory_mb,
            fleet,
            log,
        })
    }
}

impl CapacitySettings {
    fn read(root: &SettingsSection<'_, '_>) -> Self {
        Self {
            cpu_share: root.optional_ratio("cpu_share", CPU_SHARE_MAX),
            link_mbps: root.optional_ratio("link_mbps", LINK_MBPS_MAX),
            max_descriptors: root.optional_count("max_descriptors", DESCRIPTORS_MAX),
        }
    }
}

impl FleetKeySettings {
    fn read(root: &SettingsSection<'_, '_>) -> Self {
        let current = read_fleet_key(root, "fleet_key");
        let previous = read_fleet_key(root, "fleet_key_previous");
        let require_authentic_peers = root.flag("require_authentic_peers", false);
        if root.value_span("fleet_key").is_none() {
            for name in ["fleet_key_previous", "require_authentic_peers"] {
                let is_in_effect = name == "fleet_key_previous" || require_authentic_peers;
                if root.value_span(name).is_some() && is_in_effect {
                    root.report_fault(name, "needs a fleet key", "add `fleet_key`, or omit it");
                }
            }
        }
        Self { current, previous, require_authentic_peers }
    }
}

/// Reads a key; a fault does not show it.
fn read_fleet_key(
    root: &SettingsSection<'_, '_>,
    name: &'static str,
) -> Option<SecretValue<Box<str>>> {
    let text = root.string(name)?;
    if !(FLEET_KEY_BYTES_MIN..=FLEET_KEY_BYTES_MAX).contains(&text.len()) {
        let remedy =
            format!("use {FLEET_KEY_BYTES_MIN} to {FLEET_KEY_BYTES_MAX} random characters");
        root.report_fault(name, format!("has {} bytes", text.len()), remedy);
        return None;
    }
    Some(SecretValue::new(text.into()))
}

impl FleetSettings {
    fn read(root: &SettingsSection<'_, '_>) -> Self {
        let Some(section) = root.section("fleet") else { return Self::default() };
        let fleet = Self {
            retry_ratio: section.amount("retry_ratio", DEFAULT_RETRY_RATIO, RATIO_MAX),
            retry_slack: section.count("retry_slack", DEFAULT_RETRY_SLACK, RETRY_SLACK_MAX),
            retry_window: section.duration(RETRY_WINDOW, DEFAULT_RETRY_WINDOW, &RETRY_WINDOWS),
            load_ratio_max: section.ratio("load_ratio_max", DEFAULT_LOAD_RATIO_MAX, RATIO_MAX),
            queueing: section.flag("queueing", false),
            adaptive_capacity: section.choice(
                "adaptive_capacity",
                AdaptiveCapacity::default(),
                &ADAPTIVE_CAPACITIES,
            ),
            engine_memory_guard: section.flag("engine_memory_guard", false),
            target_drain: section.duration(TARGET_DRAIN, DEFAULT_TARGET_DRAIN, &WAITING_TIMES),
            stop_timeout: section.duration(STOP_TIMEOUT, DEFAULT_STOP_TIMEOUT, &WAITING_TIMES),
            entry_ttl_max: section.duration(ENTRY_TTL_MAX, DEFAULT_ENTRY_TTL_MAX, &WAITING_TIMES),
            evacuations: section.flag("evacuations", false),
            cold_ratio: section.amount("cold_ratio", DEFAULT_COLD_RATIO, RATIO_MAX),
            cold_slack: section.count("cold_slack", DEFAULT_COLD_SLACK, COLD_SLACK_MAX),
        };
        section.finish();
        fleet
    }
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            retry_ratio: DEFAULT_RETRY_RATIO,
            retry_slack: DEFAULT_RETRY_SLACK,
            retry_window: DEFAULT_RETRY_WINDOW,
            load_ratio_max: DEFAULT_LOAD_RATIO_MAX,
            adaptive_capacity: AdaptiveCapacity::default(),
            queueing: false,
            engine_memory_guard: false,
            target_drain: DEFAULT_TARGET_DRAIN,
            stop_timeout: DEFAULT_STOP_TIMEOUT,
            entry_ttl_max: DEFAULT_ENTRY_TTL_MAX,
            evacuations: false,
            cold_ratio: DEFAULT_COLD_RATIO,
            cold_slack: DEFAULT_COLD_SLACK,
        }
    }
}
