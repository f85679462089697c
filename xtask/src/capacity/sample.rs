//! Samples the counters of all routers.

use std::{collections::BTreeMap, fs, time::Instant};

use local_fleet::LocalFleet;
use serde_json::Value;

/// Clock ticks per second in `/proc/PID/stat`, fixed by the Linux kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;
const KIB: f64 = 1024.0;

/// Counters of one router process.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouterSample {
    /// Process id; a changed id shows that the router was restarted.
    pub(crate) pid: u32,
    /// Bytes of control traffic sent.
    pub(crate) sent_bytes: f64,
    /// Bytes of control traffic received.
    pub(crate) received_bytes: f64,
    /// Bytes of control traffic sent, by message kind.
    pub(crate) sent_by_kind: BTreeMap<String, f64>,
    /// User and system CPU time in seconds.
    pub(crate) cpu_seconds: f64,
    /// Resident memory in MiB.
    pub(crate) resident_mib: f64,
}

/// Counters of all routers and of the platform.
#[derive(Debug, Clone)]
pub(crate) struct FleetSample {
    /// When reading of the counters started.
    pub(crate) taken_at: Instant,
    /// Counters by router index; routers that are down or do not answer are absent.
    pub(crate) routers: BTreeMap<usize, RouterSample>,
    /// Platform calls by kind.
    pub(crate) platform_calls: BTreeMap<String, f64>,
}

impl FleetSample {
    /// Reads all counters.
    pub(crate) async fn take(fleet: &LocalFleet) -> Self {
        let taken_at = Instant::now();
        let mut routers = BTreeMap::new();
        for (index, router) in fleet.routers.iter().enumerate() {
            let Some(process) = &router.process else { continue };
            let status =
                fleet.client().get_json::<Value>(router.operator_address, "/admin/v1/status").await;
            let Ok(status) = status else { continue };
            routers.insert(index, router_sample(process.id(), &status["control"]));
        }
        let calls =
            fleet.client().get_json::<BTreeMap<String, f64>>(fleet.platform, "/calls").await;
        Self { taken_at, routers, platform_calls: calls.unwrap_or_default() }
    }
}

fn router_sample(pid: u32, control: &Value) -> RouterSample {
    let number = |value: &Value| value.as_f64().unwrap_or_default();
    let kinds = control["sent_by_kind"].as_object().into_iter().flatten();
    RouterSample {
        pid,
        sent_bytes: number(&control["sent_bytes"]),
        received_bytes: number(&control["received_bytes"]),
        sent_by_kind: kinds.map(|(kind, bytes)| (kind.clone(), number(bytes))).collect(),
        cpu_seconds: read_cpu_seconds(pid),
        resident_mib: read_resident_mib(pid),
    }
}

/// Sum of user and system CPU time. Counts fields from the last `)`, which ends the command name,
/// as the name may contain spaces.
fn read_cpu_seconds(pid: u32) -> f64 {
    const USER_TIME_FIELD: usize = 11;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let times = fields.skip(USER_TIME_FIELD).take(2).filter_map(|field| field.parse::<f64>().ok());
    times.sum::<f64>() / TICKS_PER_SECOND
}

fn read_resident_mib(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or_default() / KIB
}
