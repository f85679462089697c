//! The check of tables on real processes: operators race while routers and the platform fail.

mod operators;
mod watch;

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use base_types::{RowVersion, TimePoint};
use error_stack::{Report, ResultExt};
use fakes::FaultOrder;
use history_check::{AcceptedEdit, RowEdition, RowHistory, RowView};
use local_fleet::{FleetPlan, LocalFleet};
use serde_json::{Value, json};

use crate::{
    steps::{TaskError, cargo, program_folder},
    tables::{operators::run_operator, watch::watch_router},
};

/// Time within which an accepted edit must be in force on every router.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(7);
const OPERATORS: usize = 4;
const POOLS: usize = 6;
const ROUTERS: usize = 7;
const AUDIT_PAGE: usize = 100;
/// Longest time of the run; the last seconds have no faults, so that every edit comes to its end.
const RUN: Duration = Duration::from_secs(30);
const EDITS: Duration = Duration::from_secs(20);

/// What is broken during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunFaults {
    /// Nothing.
    None,
    /// Routers and the platform, one after the other and twice at once.
    All,
    /// A router is frozen for longer than an edit may take; the check must fail.
    Freeze,
}

/// What the tasks of a run write down.
#[derive(Debug)]
pub(super) struct RunLog {
    start: Instant,
    state: Mutex<LogState>,
}

#[derive(Debug, Default)]
struct LogState {
    accepted: Vec<AcceptedEdit>,
    refused: usize,
    unknown: Vec<Box<str>>,
    views: Vec<RowView>,
}

impl RunLog {
    fn new() -> Self {
        Self { start: Instant::now(), state: Mutex::default() }
    }

    pub(super) fn now(&self) -> TimePoint {
        TimePoint(0).after(self.start.elapsed())
    }

    pub(super) fn accept(&self, row: &str, version: u64) {
        let edition = RowEdition { row: row.into(), version: RowVersion(version) };
        let accepted = self.now();
        self.change(|state| state.accepted.push(AcceptedEdit { edition, accepted }));
    }

    pub(super) fn refuse(&self) {
        self.change(|state| state.refused += 1);
    }

    pub(super) fn doubt(&self, edit: &str) {
        self.change(|state| state.unknown.push(edit.into()));
    }

    pub(super) fn view(&self, view: RowView) {
        self.change(|state| state.views.push(view));
    }

    fn change(&self, change: impl FnOnce(&mut LogState)) {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn take(&self) -> LogState {
        std::mem::take(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Runs the check and fails when a promise was broken.
pub(crate) fn run_tables(faults: RunFaults) -> Result<(), Report<TaskError>> {
    cargo(&["build", "--locked", "--release", "--package", "knapweedport", "--package", "fakes"])?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(TaskError)?;
    runtime.block_on(check(faults))
}

async fn check(faults: RunFaults) -> Result<(), Report<TaskError>> {
    let programs = program_folder("release")?;
    let plan = FleetPlan::new(&programs, &programs.join("tables-check"));
    let plan = plan.routers(ROUTERS).engines(0).services(0);
    let mut fleet = LocalFleet::start(plan).await.change_context(TaskError)?;
    put_first_rows(&fleet).await?;
    let log = Arc::new(RunLog::new());
    let mut tasks = tokio::task::JoinSet::new();
    let addresses: Vec<_> = fleet.routers.iter().map(|router| router.operator).collect();
    for router in &fleet.routers {
        let (host, address) = (router.host.clone(), router.operator);
        tasks.spawn(watch_router(fleet.caller().clone(), host, address, log.clone(), RUN));
    }
    for _ in 0..OPERATORS {
        let caller = fleet.caller().clone();
        tasks.spawn(run_operator(caller, addresses.clone(), log.clone(), EDITS));
    }
    match faults {
        RunFaults::None => {}
        RunFaults::Freeze => freeze_router(&fleet).await,
        RunFaults::All => break_things(&mut fleet).await?,
    };
    tasks.join_all().await;
    judge(&fleet, log.take()).await
}

/// Two pools have a route; the others are deleted and created anew during the run.
async fn put_first_rows(fleet: &LocalFleet) -> Result<(), Report<TaskError>> {
    for pool in 0..POOLS {
        let row = operators::pool_row(pool, 1.5);
        let path = operators::pool_path(pool);
        fleet.put_row(0, &path, None, &row).await.change_context(TaskError)?;
    }
    for pool in 0..2 {
        let name = format!("route-{pool}");
        let row = json!({
            "name": name, "team": "renewals", "path": format!("/{pool}"),
            "pool": format!("pool-{pool}"),
        });
        let path = format!("routes/{name}");
        fleet.put_row(0, &path, None, &row).await.change_context(TaskError)?;
    }
    fleet.wait_rows(POOLS + 2).await.change_context(TaskError)
}

/// Freezes a router for longer than an edit may take.
async fn freeze_router(fleet: &LocalFleet) {
    pause(2_000).await;
    let frozen = fleet.routers[ROUTERS - 1].process.as_ref();
    frozen.inspect(|process| process.freeze());
    tokio::time::sleep(IN_FORCE_LIMIT * 2).await;
    frozen.inspect(|process| process.wake());
}

/// The faults of a run, one after the other and twice at once.
async fn break_things(fleet: &mut LocalFleet) -> Result<(), Report<TaskError>> {
    pause(2_000).await;
    kill_router(fleet, 1);
    pause(1_000).await;
    order(fleet, FaultOrder { lose_answers: 6, ..FaultOrder::default() }).await?;
    pause(2_000).await;
    fleet.start_router(1).change_context(TaskError)?;
    pause(1_000).await;
    order(fleet, FaultOrder { refuse: true, ..FaultOrder::default() }).await?;
    kill_router(fleet, 2);
    pause(1_000).await;
    fleet.start_router(2).change_context(TaskError)?;
    pause(2_000).await;
    order(fleet, FaultOrder::default()).await?;
    pause(2_000).await;
    order(fleet, FaultOrder { freeze: true, ..FaultOrder::default() }).await?;
    pause(2_500).await;
    order(fleet, FaultOrder { lose_answers: 3, ..FaultOrder::default() }).await?;
    kill_router(fleet, 3);
    kill_router(fleet, 4);
    pause(1_500).await;
    fleet.start_router(3).change_context(TaskError)?;
    fleet.start_router(4).change_context(TaskError)
}

fn kill_router(fleet: &mut LocalFleet, index: usize) {
    fleet.routers[index].process = None;
}

async fn order(fleet: &LocalFleet, order: FaultOrder) -> Result<(), Report<TaskError>> {
    fleet.order_faults(fleet.platform, &order).await.change_context(TaskError)
}

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

async fn judge(fleet: &LocalFleet, state: LogState) -> Result<(), Report<TaskError>> {
    let settled = settle_unknown(fleet, &state.unknown).await?;
    let trail = read_trail(fleet).await?;
    println!("edits accepted         {}", state.accepted.len());
    println!("edits not accepted     {}", state.refused);
    println!("edits not known        {}, {settled} found accepted", state.unknown.len());
    println!("audit entries          {}", trail.len());
    println!("views of routers       {}", state.views.len());
    let history = RowHistory { accepted: state.accepted, trail, views: state.views };
    let delays = history.delays();
    println!(
        "in force after         p50 {:?}, p99 {:?}, max {:?} ({} pairs of edit and router)",
        delays.p50, delays.p99, delays.max, delays.samples,
    );
    let violations = history.violations(IN_FORCE_LIMIT);
    for violation in violations.iter().take(10) {
        println!("broken: {violation:?}");
    }
    println!("promises broken        {}", violations.len());
    if violations.is_empty() && !history.accepted.is_empty() {
        return Ok(());
    }
    Err(Report::new(TaskError).attach("a promise was broken or nothing was accepted"))
}

/// Every edit whose end was not known must be found accepted or not.
async fn settle_unknown(
    fleet: &LocalFleet,
    edits: &[Box<str>],
) -> Result<usize, Report<TaskError>> {
    let mut accepted = 0;
    for edit in edits {
        let path = format!("/admin/v1/edits/{edit}");
        let operator = fleet.routers[0].operator;
        let found: Value = fleet.caller().read(operator, &path).await.change_context(TaskError)?;
        match found["outcome"].as_str() {
            Some("accepted") => accepted += 1,
            Some("not-accepted") => {}
            _ => return Err(Report::new(TaskError).attach(format!("edit {edit} stays unknown"))),
        }
    }
    Ok(accepted)
}

async fn read_trail(fleet: &LocalFleet) -> Result<BTreeSet<RowEdition>, Report<TaskError>> {
    let mut trail = BTreeSet::new();
    let mut query = String::new();
    loop {
        let path = format!("/admin/v1/audit?limit={AUDIT_PAGE}{query}");
        let operator = fleet.routers[0].operator;
        let page: Value = fleet.caller().read(operator, &path).await.change_context(TaskError)?;
        trail.extend(page["entries"].as_array().into_iter().flatten().filter_map(edition));
        let Some(before) = page["before"].as_u64() else { return Ok(trail) };
        query = format!("&before={before}");
    }
}

fn edition(entry: &Value) -> Option<RowEdition> {
    let version = entry["end"]["version"].as_u64()?;
    Some(RowEdition { row: entry["row"].as_str()?.into(), version: RowVersion(version) })
}
