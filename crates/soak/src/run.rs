//! Runs a soak: starts the cluster, injects faults in rounds, waits for recovery, checks the
//! guarantees.

mod probes;

use std::{
    cell::{Cell, RefCell},
    fmt,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use fakes::{RunnerStandIn, StoreStandIn};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::Value;
use tokio::{task::LocalSet, time::Instant};

use crate::{
    callers::send_calls,
    faults::{announce_leaving, inject_faults, replace_runner},
    foreign::put_foreign_entries,
    gateway::SoakGateway,
    judge::{Violation, find_violations},
    plan::{
        CONFIG_BOUND, FAULT_FREE_TIME, RECOVER_BOUND, SOFTWARE_VERSIONS, SoakPlan, configuration,
        reply_rule,
    },
    proxy::FaultProxy,
    record::{CallRecord, FaultId, FaultLog, FaultScope, StreamRecord},
    run::probes::{VersionProbe, is_serving, probe_versions},
    streams::resume_streams,
};

pub(crate) use self::probes::ProbeOutcome;

/// Time for all gateways to become ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time beyond [`FAULT_FREE_TIME`] between the last fault of a round and the planned changes.
const SETTLE_SLACK: Duration = Duration::from_millis(300);
/// Callers that break streams off and resume them.
const STREAM_CALLERS: u64 = 4;
/// Time for calls in flight to finish at the end of the soak.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(6);

/// The soak could not be run.
#[derive(Debug)]
pub struct SoakError;

impl fmt::Display for SoakError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the soak could not be run")
    }
}

impl std::error::Error for SoakError {}

/// Result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// Calls that callers sent.
    pub calls: usize,
    /// Calls whose callers received the complete answer.
    pub served: usize,
    /// Calls that resumed a stream.
    pub resumed: usize,
    /// Those of them whose stream continued.
    pub continued: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// Guarantees that were violated.
    pub violations: Vec<Violation>,
}

/// A runner and the proxy through which gateways reach it.
#[derive(Debug)]
pub(crate) struct SoakRunner {
    pub(crate) stand_in: RunnerStandIn,
    pub(crate) proxy: FaultProxy,
    /// When the runner's entry was set to draining; none while it is ready.
    pub(crate) drain_started_at: Option<Instant>,
    /// Whether the runner announces in its answers that it leaves.
    pub(crate) announces_leaving: bool,
}

/// The cluster under test and the records of the soak, shared by all its tasks.
#[derive(Debug)]
pub(crate) struct SoakCluster {
    pub(crate) plan: SoakPlan,
    pub(crate) store: StoreStandIn,
    pub(crate) gateways: RefCell<Vec<SoakGateway>>,
    pub(crate) runners: RefCell<Vec<SoakRunner>>,
    pub(crate) calls: RefCell<Vec<CallRecord>>,
    pub(crate) streams: RefCell<Vec<StreamRecord>>,
    pub(crate) probes: RefCell<Vec<VersionProbe>>,
    /// Configuration versions and when the store accepted them.
    pub(crate) versions: RefCell<Vec<(u64, Instant)>>,
    pub(crate) fault_log: RefCell<FaultLog>,
    pub(crate) violations: RefCell<Vec<Violation>>,
    /// Caller and entry address of each gateway.
    addresses: Vec<(SocketAddr, SocketAddr)>,
    stopped: Cell<bool>,
}

/// Runs a soak on its own single-threaded runtime.
///
/// # Errors
///
/// Fails when a process cannot be started, an address not bound or a file not written; violated
/// guarantees are in the report.
pub fn run_soak(plan: &SoakPlan) -> Result<SoakReport, Report<SoakError>> {
    std::fs::create_dir_all(&plan.folder).change_context(SoakError)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.change_context(SoakError)?;
    LocalSet::new().block_on(&runtime, run_cluster(plan.clone()))
}

async fn run_cluster(plan: SoakPlan) -> Result<SoakReport, Report<SoakError>> {
    let cluster = Rc::new(SoakCluster::start(plan).await?);
    cluster.wait_until_ready(START_TIMEOUT).await?;
    let mut tasks: Vec<_> = (0..cluster.plan.callers as u64)
        .map(|caller_index| tokio::task::spawn_local(send_calls(cluster.clone(), caller_index)))
        .collect();
    tasks.push(tokio::task::spawn_local(probe_versions(cluster.clone())));
    if cluster.plan.software_versions {
        let stream_callers = (0..STREAM_CALLERS).map(|caller_index| {
            tokio::task::spawn_local(resume_streams(cluster.clone(), caller_index))
        });
        tasks.extend(stream_callers);
    }
    tokio::time::sleep(FAULT_FREE_TIME).await;
    let mut rng = SmallRng::seed_from_u64(cluster.plan.seed);
    for _ in 0..cluster.plan.rounds {
        let announcement = cluster
            .plan
            .announcements
            .then(|| tokio::task::spawn_local(announce_leaving(cluster.clone())));
        if cluster.plan.foreign_entries {
            put_foreign_entries(&cluster);
        }
        inject_faults(&cluster, &mut rng).await?;
        if let Some(announcement) = announcement {
            announcement.await.change_context(SoakError)??;
        }
        tokio::time::sleep(FAULT_FREE_TIME + SETTLE_SLACK).await;
        // No fault is active, so the bounds on configuration and draining apply.
        cluster.configure(1);
        replace_runner(&cluster).await?;
        tokio::time::sleep(CONFIG_BOUND).await;
    }
    cluster.check_recovery().await;
    tokio::time::sleep(CONFIG_BOUND).await;
    cluster.stopped.set(true);
    for task in tasks {
        let ended = tokio::time::timeout(IN_FLIGHT_TIMEOUT, task).await;
        ended.change_context(SoakError)?.change_context(SoakError)?;
    }
    let violations = find_violations(&cluster);
    let served = cluster.calls.borrow().iter().filter(|call| call.is_served()).count();
    let (calls, faults) = (cluster.calls.borrow().len(), cluster.fault_log.borrow().len());
    let streams = cluster.streams.borrow();
    let resumptions = || streams.iter().flat_map(|stream| &stream.resumptions);
    let resumed = resumptions().count();
    let continued = resumptions().filter(|call| call.continued).count();
    Ok(SoakReport { calls, served, resumed, continued, faults, violations })
}

impl SoakCluster {
    async fn start(plan: SoakPlan) -> Result<Self, Report<SoakError>> {
        let store = StoreStandIn::start().await;
        let mut gateways = Vec::new();
        for index in 0..plan.gateways {
            gateways.push(SoakGateway::start(&plan, index, store.address).await?);
        }
        let addresses = gateways
            .iter()
            .map(|gateway| (gateway.caller_address, gateway.entry_address))
            .collect();
        let cluster = Self {
            plan,
            store,
            gateways: RefCell::new(gateways),
            runners: RefCell::default(),
            calls: RefCell::default(),
            streams: RefCell::default(),
            probes: RefCell::default(),
            versions: RefCell::default(),
            fault_log: RefCell::default(),
            violations: RefCell::default(),
            addresses,
            stopped: Cell::new(false),
        };
        for _ in 0..cluster.plan.runners {
            cluster.add_runner().await?;
        }
        cluster.configure(1);
        Ok(cluster)
    }

    /// Starts a runner and writes its entry.
    pub(crate) async fn add_runner(&self) -> Result<(), Report<SoakError>> {
        let index = self.runners.borrow().len() as u64;
        let id = format!("r-{index}");
        let seed = self.plan.seed.wrapping_mul(31).wrapping_add(index);
        let stand_in = RunnerStandIn::start_with_rule(&id, reply_rule, seed).await;
        if self.plan.software_versions {
            stand_in.run_software(SOFTWARE_VERSIONS[index as usize % SOFTWARE_VERSIONS.len()]);
        }
        let proxy = FaultProxy::start(stand_in.address).await.change_context(SoakError)?;
        let runner =
            SoakRunner { stand_in, proxy, drain_started_at: None, announces_leaving: false };
        self.store.put("servers", &id, runner.entry("ready"));
        self.runners.borrow_mut().push(runner);
        Ok(())
    }

    /// Writes a configuration whose version is the newest one plus `step`.
    pub(crate) fn configure(&self, step: u64) {
        let version = self.newest_version() + step;
        self.store.put("config", "main", configuration(version));
        self.versions.borrow_mut().push((version, Instant::now()));
    }

    pub(crate) fn newest_version(&self) -> u64 {
        self.versions.borrow().last().map_or(0, |(version, _)| *version)
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    pub(crate) fn gateway_caller_address(&self, gateway: usize) -> SocketAddr {
        self.addresses[gateway].0
    }

    pub(crate) fn entry_address(&self, gateway: usize) -> SocketAddr {
        self.addresses[gateway].1
    }

    pub(crate) fn gateway_at(&self, caller_address: SocketAddr) -> Option<usize> {
        self.addresses.iter().position(|(address, _)| *address == caller_address)
    }

    pub(crate) fn record(&self, call: CallRecord) {
        self.calls.borrow_mut().push(call);
    }

    pub(crate) fn start_fault(&self, scope: FaultScope, description: &str) -> FaultId {
        self.fault_log.borrow_mut().start(scope, description)
    }

    pub(crate) fn finish_fault(&self, fault: FaultId) {
        self.fault_log.borrow_mut().finish(fault);
    }

    /// Waits until a gateway serves calls; returns whether it did in time.
    pub(crate) async fn ready_within(&self, index: usize, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if is_serving(self, index).await {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    async fn wait_until_ready(&self, timeout: Duration) -> Result<(), Report<SoakError>> {
        for index in 0..self.plan.gateways {
            if !self.ready_within(index, timeout).await {
                return Err(Report::new(SoakError)
                    .attach(format!("g-{index} is not ready within {timeout:?}")));
            }
        }
        Ok(())
    }

    /// Checks the gateways one after another: each must serve within `RECOVER_BOUND` of the start
    /// of its check.
    async fn check_recovery(&self) {
        for index in 0..self.plan.gateways {
            if !self.ready_within(index, RECOVER_BOUND).await {
                let description = format!(
                    "g-{index} did not serve within {RECOVER_BOUND:?} of the recovery check"
                );
                self.violations.borrow_mut().push(Violation::new("RECOVER", description));
            }
        }
    }
}

impl SoakRunner {
    /// Whether the runner has no reason to leave.
    pub(crate) fn stays(&self) -> bool {
        self.drain_started_at.is_none() && !self.announces_leaving
    }

    /// The runner's store entry, with the address of its proxy.
    pub(crate) fn entry(&self, state: &str) -> Value {
        let mut entry = self.stand_in.entry("pool");
        entry["address"] = Value::from(self.proxy.address.to_string());
        entry["state"] = Value::from(state);
        entry
    }
}
