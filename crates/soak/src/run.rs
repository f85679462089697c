//! The course of a soak: a world is started, harmed in rounds, healed, and judged.

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
    callers::call_on,
    faults::{drain, harm},
    gateway::SoakGateway,
    judge::{Broken, judge},
    plan::{CALM_BEFORE, CONFIG_BOUND, RECOVER_BOUND, SoakPlan, configuration, reply_rule},
    proxy::FaultProxy,
    record::{CallRecord, FaultBook, FaultKey, FaultScope},
    run::probes::{VersionProbe, probe_versions, serves},
};

pub(crate) use self::probes::ProbeEnd;

/// Time for all gateways to be ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time beyond [`CALM_BEFORE`] after which planned work is done in the calm after each round.
const CALM_SLACK: Duration = Duration::from_millis(300);
/// Time for calls that are under way to end.
const LAST_CALLS: Duration = Duration::from_secs(6);

/// The soak could not be run.
#[derive(Debug)]
pub struct SoakError;

impl fmt::Display for SoakError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the soak could not be run")
    }
}

impl std::error::Error for SoakError {}

/// What came of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// Calls that callers sent.
    pub calls: usize,
    /// Calls that were answered with success.
    pub served: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// Promises that were broken.
    pub broken: Vec<Broken>,
}

/// A runner and the proxy before it.
#[derive(Debug)]
pub(crate) struct SoakRunner {
    pub(crate) stand_in: RunnerStandIn,
    pub(crate) proxy: FaultProxy,
    /// When its entry said that it leaves.
    pub(crate) left: Option<Instant>,
}

/// What the tasks of a soak share.
#[derive(Debug)]
pub(crate) struct SoakWorld {
    pub(crate) plan: SoakPlan,
    pub(crate) store: StoreStandIn,
    pub(crate) gateways: RefCell<Vec<SoakGateway>>,
    pub(crate) runners: RefCell<Vec<SoakRunner>>,
    pub(crate) calls: RefCell<Vec<CallRecord>>,
    pub(crate) probes: RefCell<Vec<VersionProbe>>,
    /// Versions and when the store acknowledged them.
    pub(crate) versions: RefCell<Vec<(u64, Instant)>>,
    pub(crate) book: RefCell<FaultBook>,
    pub(crate) broken: RefCell<Vec<Broken>>,
    addresses: Vec<(SocketAddr, SocketAddr)>,
    stopped: Cell<bool>,
}

/// Runs a soak on a runtime of its own.
///
/// # Errors
///
/// Fails when a process, a port or a file cannot be had; broken promises are in the report.
pub fn run_soak(plan: &SoakPlan) -> Result<SoakReport, Report<SoakError>> {
    std::fs::create_dir_all(&plan.folder).change_context(SoakError)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.change_context(SoakError)?;
    LocalSet::new().block_on(&runtime, run_world(plan.clone()))
}

async fn run_world(plan: SoakPlan) -> Result<SoakReport, Report<SoakError>> {
    let world = Rc::new(SoakWorld::start(plan).await?);
    world.wait_until_ready(START_TIMEOUT).await?;
    let mut tasks: Vec<_> = (0..world.plan.callers as u64)
        .map(|number| tokio::task::spawn_local(call_on(world.clone(), number)))
        .collect();
    tasks.push(tokio::task::spawn_local(probe_versions(world.clone())));
    tokio::time::sleep(CALM_BEFORE).await;
    let mut rng = SmallRng::seed_from_u64(world.plan.seed);
    for _ in 0..world.plan.rounds {
        harm(&world, &mut rng).await?;
        tokio::time::sleep(CALM_BEFORE + CALM_SLACK).await;
        // Bounds on a configuration and on a leaving runner hold now.
        world.configure(1);
        drain(&world).await?;
        tokio::time::sleep(CONFIG_BOUND).await;
    }
    world.check_recovery().await;
    tokio::time::sleep(CONFIG_BOUND).await;
    world.stopped.set(true);
    for task in tasks {
        let ended = tokio::time::timeout(LAST_CALLS, task).await;
        ended.change_context(SoakError)?.change_context(SoakError)?;
    }
    let broken = judge(&world);
    let served = world.calls.borrow().iter().filter(|call| call.is_served()).count();
    let (calls, faults) = (world.calls.borrow().len(), world.book.borrow().len());
    Ok(SoakReport { calls, served, faults, broken })
}

impl SoakWorld {
    async fn start(plan: SoakPlan) -> Result<Self, Report<SoakError>> {
        let store = StoreStandIn::start().await;
        let mut gateways = Vec::new();
        for index in 0..plan.gateways {
            gateways.push(SoakGateway::start(&plan, index, store.address).await?);
        }
        let addresses = gateways.iter().map(|gateway| (gateway.callers, gateway.entry)).collect();
        let world = Self {
            plan,
            store,
            gateways: RefCell::new(gateways),
            runners: RefCell::default(),
            calls: RefCell::default(),
            probes: RefCell::default(),
            versions: RefCell::default(),
            book: RefCell::default(),
            broken: RefCell::default(),
            addresses,
            stopped: Cell::new(false),
        };
        for _ in 0..world.plan.runners {
            world.add_runner().await?;
        }
        world.configure(1);
        Ok(world)
    }

    /// Starts a runner and writes its entry.
    pub(crate) async fn add_runner(&self) -> Result<(), Report<SoakError>> {
        let number = self.runners.borrow().len() as u64;
        let id = format!("r-{number}");
        let seed = self.plan.seed.wrapping_mul(31).wrapping_add(number);
        let stand_in = RunnerStandIn::start_ruled(&id, reply_rule, seed).await;
        let proxy = FaultProxy::start(stand_in.address).await.change_context(SoakError)?;
        let runner = SoakRunner { stand_in, proxy, left: None };
        self.store.put("servers", &id, runner.entry("ready"));
        self.runners.borrow_mut().push(runner);
        Ok(())
    }

    /// Writes a configuration that many versions above the newest one.
    pub(crate) fn configure(&self, step: u64) {
        let version = self.newest_version() + step;
        self.store.put("config", "main", configuration(version));
        self.versions.borrow_mut().push((version, Instant::now()));
    }

    pub(crate) fn newest_version(&self) -> u64 {
        self.versions.borrow().last().map_or(0, |(version, _)| *version)
    }

    pub(crate) fn stopped(&self) -> bool {
        self.stopped.get()
    }

    pub(crate) fn callers_of(&self, gateway: usize) -> SocketAddr {
        self.addresses[gateway].0
    }

    pub(crate) fn entry_of(&self, gateway: usize) -> SocketAddr {
        self.addresses[gateway].1
    }

    pub(crate) fn gateway_at(&self, callers: SocketAddr) -> Option<usize> {
        self.addresses.iter().position(|(address, _)| *address == callers)
    }

    pub(crate) fn record(&self, call: CallRecord) {
        self.calls.borrow_mut().push(call);
    }

    pub(crate) fn fault(&self, scope: FaultScope, what: &str) -> FaultKey {
        self.book.borrow_mut().begin(scope, what)
    }

    pub(crate) fn heal(&self, fault: FaultKey) {
        self.book.borrow_mut().end(fault);
    }

    /// Waits until a gateway says that it is ready; returns whether it did in time.
    pub(crate) async fn ready_within(&self, index: usize, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if serves(self, index).await {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    async fn wait_until_ready(&self, time: Duration) -> Result<(), Report<SoakError>> {
        for index in 0..self.plan.gateways {
            if !self.ready_within(index, time).await {
                return Err(Report::new(SoakError).attach(format!("g-{index} is not ready")));
            }
        }
        Ok(())
    }

    /// All gateways serve again soon after the last fault.
    async fn check_recovery(&self) {
        for index in 0..self.plan.gateways {
            if !self.ready_within(index, RECOVER_BOUND).await {
                let what = format!("g-{index} does not serve {RECOVER_BOUND:?} after the faults");
                self.broken.borrow_mut().push(Broken::new("RECOVER", what));
            }
        }
    }
}

impl SoakRunner {
    /// Its entry, with the proxy's address.
    pub(crate) fn entry(&self, state: &str) -> Value {
        let mut entry = self.stand_in.entry("pool");
        entry["address"] = Value::from(self.proxy.address.to_string());
        entry["state"] = Value::from(state);
        entry
    }
}
