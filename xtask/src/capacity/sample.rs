//! Counters of all routers at one moment.

use std::{collections::BTreeMap, fs, time::Instant};

use local_fleet::LocalFleet;
use serde_json::Value;

/// Clock ticks of `/proc/PID/stat` in a second, fixed by the Linux kernel's interface.
const TICKS_A_SECOND: f64 = 100.0;
const KIB: f64 = 1024.0;

/// Counters of one router process.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouterSample {
    /// Process id; another one shows a restart.
    pub(crate) pid: u32,
    /// Bytes of control traffic sent.
    pub(crate) sent: f64,
    /// Bytes of control traffic received.
    pub(crate) received: f64,
    /// Bytes sent by kind.
    pub(crate) kinds: BTreeMap<String, f64>,
    /// Processor time in seconds.
    pub(crate) processor: f64,
    /// Resident memory in MB.
    pub(crate) memory: f64,
}

/// Counters of the fleet.
#[derive(Debug, Clone)]
pub(crate) struct FleetSample {
    /// When the counters were read.
    pub(crate) at: Instant,
    /// Counters by the router's index; routers that are down are absent.
    pub(crate) routers: BTreeMap<usize, RouterSample>,
    /// Calls of the platform by kind.
    pub(crate) calls: BTreeMap<String, f64>,
}

impl FleetSample {
    /// Reads all counters.
    pub(crate) async fn take(fleet: &LocalFleet) -> Self {
        let at = Instant::now();
        let mut routers = BTreeMap::new();
        for (index, router) in fleet.routers.iter().enumerate() {
            let Some(process) = &router.process else { continue };
            let status = fleet.caller().read::<Value>(router.operator, "/admin/v1/status").await;
            let Ok(status) = status else { continue };
            routers.insert(index, router_sample(process.id(), &status["control"]));
        }
        let calls = fleet.caller().read::<BTreeMap<String, f64>>(fleet.platform, "/calls").await;
        Self { at, routers, calls: calls.unwrap_or_default() }
    }
}

fn router_sample(pid: u32, control: &Value) -> RouterSample {
    let number = |value: &Value| value.as_f64().unwrap_or_default();
    let kinds = control["sent_by_kind"].as_object().into_iter().flatten();
    RouterSample {
        pid,
        sent: number(&control["sent_bytes"]),
        received: number(&control["received_bytes"]),
        kinds: kinds.map(|(kind, bytes)| (kind.clone(), number(bytes))).collect(),
        processor: processor_seconds(pid),
        memory: resident_mb(pid),
    }
}

/// User and system time; the fields follow the command's name, which ends with `)`.
fn processor_seconds(pid: u32) -> f64 {
    const USER_FIELD: usize = 11;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let times = fields.skip(USER_FIELD).take(2).filter_map(|field| field.parse::<f64>().ok());
    times.sum::<f64>() / TICKS_A_SECOND
}

fn resident_mb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or_default() / KIB
}
