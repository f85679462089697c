//! Edits the tables of a real fleet under faults and checks which rows each router had in force
//! over time.

mod faults;
mod operators;
mod watchers;

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use base_types::{RowVersion, TimePoint};
use error_stack::{Report, ResultExt};
use history_check::{AuditedEdit, CONVERGENCE_TIMEOUT, EditOutcome, TableHistory};
use local_fleet::{FleetPlan, LocalFleet};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::Value;

use crate::{
    configure::{faults::TableFault, operators::RacingOperator, watchers::watch_router},
    steps::{TaskError, cargo, target_path},
};

const OPERATORS: usize = 4;
const ACCEPTED_MIN: usize = 20;
/// Time limit for an operator's last edit, a read and a write, to finish.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(40);
const FAULT_FREE_TIME: Duration = Duration::from_secs(8);
const AUDIT_PAGE: usize = 100;
const DELAY_TARGET: Duration = Duration::from_secs(1);

/// Parameters of the run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConfigurePlan {
    /// Duration of the edits, in seconds.
    pub(crate) seconds: u64,
    /// Seed for operators and faults.
    pub(crate) seed: u64,
    /// Whether an operator also writes rows that bypass the admin API; the run must fail.
    pub(crate) bypass_api: bool,
}

/// State shared by operators, watchers and fault injection.
struct ConfigureRun {
    start: Instant,
    history: RefCell<TableHistory>,
    edit_deadline: Instant,
}

impl ConfigureRun {
    fn now(&self) -> TimePoint {
        TimePoint(0).after(self.start.elapsed())
    }

    fn edits_finished(&self) -> bool {
        Instant::now() >= self.edit_deadline
    }
}

/// Builds and starts a fleet, edits its tables, and fails if the history has a violation.
pub(crate) fn run_configure(plan: ConfigurePlan) -> Result<(), Report<TaskError>> {
    cargo(&["build", "--locked", "--release", "-p", "knapweedport", "-p", "fakes"])?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(TaskError)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, configure(plan))
}

async fn configure(plan: ConfigurePlan) -> Result<(), Report<TaskError>> {
    let programs = target_path("release")?;
    let workdir = programs.join("configure");
    let fleet_plan = FleetPlan::new(&programs, &workdir).engines(0).services(0);
    let mut fleet = LocalFleet::start(fleet_plan).await.change_context(TaskError)?;
    println!("seed {}, {} seconds", plan.seed, plan.seconds);
    let start = Instant::now();
    let run = Rc::new(ConfigureRun {
        start,
        history: RefCell::new(empty_history(fleet.routers.len())),
        edit_deadline: start + Duration::from_secs(plan.seconds),
    });
    let watchers = fleet.routers.iter().enumerate().map(|(index, router)| {
        let watcher =
            watch_router(run.clone(), fleet.client().clone(), index, router.operator_address);
        tokio::task::spawn_local(watcher)
    });
    let watchers: Vec<_> = watchers.collect();
    let operators = (0..OPERATORS).map(|index| {
        let operator = RacingOperator::new(run.clone(), &fleet, index, plan);
        tokio::task::spawn_local(operator.edit_until_finished())
    });
    let operators: Vec<_> = operators.collect();
    inject_faults(&run, &mut fleet, plan.seed).await?;
    for operator in operators {
        let result = tokio::time::timeout(OPERATOR_TIMEOUT, operator).await;
        result.change_context(TaskError)?.change_context(TaskError)?;
    }
    // Keeps the watchers running until the last edits must be in force on all routers, and 2 s
    // longer, as a router must be observed after each deadline (`NotSeen`).
    tokio::time::sleep(CONVERGENCE_TIMEOUT + Duration::from_secs(2)).await;
    watchers.iter().for_each(tokio::task::JoinHandle::abort);
    run.history.borrow_mut().audit = read_audit(&fleet).await?;
    check_history(&run.history.borrow())
}

fn empty_history(routers: usize) -> TableHistory {
    let (edits, audit, observations, faults) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    TableHistory { routers, edits, audit, observations, faults }
}

/// Injects one fault after another, with a fault-free period before each.
async fn inject_faults(
    run: &ConfigureRun,
    fleet: &mut LocalFleet,
    seed: u64,
) -> Result<(), Report<TaskError>> {
    let mut rng = SmallRng::seed_from_u64(seed);
    for fault in TableFault::ALL.into_iter().cycle() {
        tokio::time::sleep(FAULT_FREE_TIME).await;
        if run.edits_finished() {
            break;
        }
        let router = rng.random_range(0..fleet.routers.len());
        fault.inject(run, fleet, router).await?;
    }
    Ok(())
}

async fn read_audit(fleet: &LocalFleet) -> Result<Vec<AuditedEdit>, Report<TaskError>> {
    let mut audit = Vec::new();
    let mut cursor = None;
    loop {
        let cursor_query =
            cursor.map(|cursor: u64| format!("&before={cursor}")).unwrap_or_default();
        let path = format!("/admin/v1/audit?limit={AUDIT_PAGE}{cursor_query}");
        let page = fleet.client().get_json::<Value>(fleet.routers[0].operator_address, &path).await;
        let page = page.change_context(TaskError)?;
        audit.extend(
            page["entries"].as_array().into_iter().flatten().filter_map(parse_audited_edit),
        );
        cursor = page["before"].as_u64();
        if cursor.is_none() {
            return Ok(audit);
        }
    }
}

fn parse_audited_edit(entry: &Value) -> Option<AuditedEdit> {
    let version = entry["end"]["version"].as_u64()?;
    Some(AuditedEdit {
        name: entry["reason"].as_str()?.into(),
        row: entry["row"].as_str()?.into(),
        version: RowVersion(version),
    })
}

fn check_history(history: &TableHistory) -> Result<(), Report<TaskError>> {
    let count = |is_outcome: fn(&EditOutcome) -> bool| {
        history.edits.iter().filter(|e| is_outcome(&e.outcome)).count()
    };
    let accepted = history.accepted_count();
    println!(
        "edits accepted {accepted}, not accepted {}, unknown {}, audit entries {}",
        count(|outcome| *outcome == EditOutcome::NotAccepted),
        count(|outcome| *outcome == EditOutcome::Unknown),
        history.audit.len(),
    );
    println!("faults {}, router samples {}", history.faults.len(), history.observations.len());
    print_delays(&history.propagation_delays());
    let violations = history.violations();
    for violation in violations.iter().take(20) {
        println!("VIOLATION {violation:?}");
    }
    println!("violations {}", violations.len());
    if violations.is_empty() && accepted >= ACCEPTED_MIN {
        return Ok(());
    }
    Err(Report::new(TaskError).attach("the history has violations, or too few edits were accepted"))
}

fn print_delays(delays: &[Duration]) {
    let quantile = |fraction: f64| {
        let index = (delays.len() as f64 * fraction) as usize;
        delays.get(index.min(delays.len().saturating_sub(1))).copied().unwrap_or_default()
    };
    println!(
        "edit delay without a fault nearby: {} samples, p50 {:?}, p99 {:?}, max {:?}; \
         target {DELAY_TARGET:?} at p99",
        delays.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
    );
}
