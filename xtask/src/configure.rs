//! Edits of the tables on real processes, judged by what each router had in force over time.

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
use history_check::{AuditedEdit, EditEnd, REPAIR_TIME, TableHistory};
use local_fleet::{FleetPlan, LocalFleet};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::Value;

use crate::{
    configure::{faults::TableFault, operators::RacingOperator, watchers::watch_router},
    steps::{TaskError, cargo, program_folder},
};

const OPERATORS: usize = 4;
const ACCEPTED_MIN: usize = 20;
/// Longest time for which a call of an operator may stay without an answer.
const OPERATOR_WAIT: Duration = Duration::from_secs(40);
const QUIET: Duration = Duration::from_secs(8);
const AUDIT_PAGE: usize = 100;
const TARGET_DELAY: Duration = Duration::from_secs(1);

/// How edits are tried.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConfigurePlan {
    /// Time for which operators edit, in seconds.
    pub(crate) seconds: u64,
    /// Seed of operators and faults.
    pub(crate) seed: u64,
    /// Also writes rows past the administration API.
    pub(crate) broken: bool,
}

/// What operators, watchers and faults share.
struct ConfigureRun {
    start: Instant,
    history: RefCell<TableHistory>,
    end: Instant,
}

impl ConfigureRun {
    fn now(&self) -> TimePoint {
        TimePoint(0).after(self.start.elapsed())
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.end
    }
}

/// Builds and starts a fleet, edits its tables, and fails when its history breaks a promise.
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
    let programs = program_folder("release")?;
    let workdir = programs.join("configure");
    let fleet_plan = FleetPlan::new(&programs, &workdir).engines(0).services(0);
    let mut fleet = LocalFleet::start(fleet_plan).await.change_context(TaskError)?;
    println!("seed {}, {} seconds", plan.seed, plan.seconds);
    let start = Instant::now();
    let run = Rc::new(ConfigureRun {
        start,
        history: RefCell::new(empty_history(fleet.routers.len())),
        end: start + Duration::from_secs(plan.seconds),
    });
    let watchers = fleet.routers.iter().enumerate().map(|(index, router)| {
        let watch = watch_router(run.clone(), fleet.caller().clone(), index, router.operator);
        tokio::task::spawn_local(watch)
    });
    let watchers: Vec<_> = watchers.collect();
    let operators = (0..OPERATORS).map(|index| {
        let operator = RacingOperator::new(run.clone(), &fleet, index, plan);
        tokio::task::spawn_local(operator.edit_until_over())
    });
    let operators: Vec<_> = operators.collect();
    show_faults(&run, &mut fleet, plan.seed).await?;
    for operator in operators {
        let ended = tokio::time::timeout(OPERATOR_WAIT, operator).await;
        ended.change_context(TaskError)?.change_context(TaskError)?;
    }
    // The last edits become due while the watchers still look.
    tokio::time::sleep(REPAIR_TIME + Duration::from_secs(2)).await;
    watchers.iter().for_each(tokio::task::JoinHandle::abort);
    run.history.borrow_mut().audit = read_audit(&fleet).await?;
    judge(&run.history.borrow())
}

fn empty_history(routers: usize) -> TableHistory {
    let (edits, audit, sightings, faults) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    TableHistory { routers, edits, audit, sightings, faults }
}

/// Shows one fault after the other, with a quiet time before each.
async fn show_faults(
    run: &ConfigureRun,
    fleet: &mut LocalFleet,
    seed: u64,
) -> Result<(), Report<TaskError>> {
    let mut rng = SmallRng::seed_from_u64(seed);
    for fault in TableFault::ALL.into_iter().cycle() {
        tokio::time::sleep(QUIET).await;
        if run.is_over() {
            break;
        }
        let router = rng.random_range(0..fleet.routers.len());
        fault.show(run, fleet, router).await?;
    }
    Ok(())
}

async fn read_audit(fleet: &LocalFleet) -> Result<Vec<AuditedEdit>, Report<TaskError>> {
    let mut audit = Vec::new();
    let mut before = None;
    loop {
        let after = before.map(|before: u64| format!("&before={before}")).unwrap_or_default();
        let path = format!("/admin/v1/audit?limit={AUDIT_PAGE}{after}");
        let page = fleet.caller().read::<Value>(fleet.routers[0].operator, &path).await;
        let page = page.change_context(TaskError)?;
        audit.extend(page["entries"].as_array().into_iter().flatten().filter_map(audited_edit));
        before = page["before"].as_u64();
        if before.is_none() {
            return Ok(audit);
        }
    }
}

fn audited_edit(entry: &Value) -> Option<AuditedEdit> {
    let version = entry["end"]["version"].as_u64()?;
    Some(AuditedEdit {
        name: entry["reason"].as_str()?.into(),
        row: entry["row"].as_str()?.into(),
        version: RowVersion(version),
    })
}

fn judge(history: &TableHistory) -> Result<(), Report<TaskError>> {
    let count = |end: fn(&EditEnd) -> bool| history.edits.iter().filter(|e| end(&e.end)).count();
    let accepted = history.accepted_count();
    println!(
        "edits accepted {accepted}, not accepted {}, unknown {}, audit entries {}",
        count(|end| *end == EditEnd::NotAccepted),
        count(|end| *end == EditEnd::Unknown),
        history.audit.len(),
    );
    println!("faults {}, looks at routers {}", history.faults.len(), history.sightings.len());
    print_delays(&history.delays());
    let violations = history.violations();
    for violation in violations.iter().take(20) {
        println!("VIOLATION {violation:?}");
    }
    println!("violations {}", violations.len());
    if violations.is_empty() && accepted >= ACCEPTED_MIN {
        return Ok(());
    }
    Err(Report::new(TaskError).attach("a promise was broken, or too few edits were accepted"))
}

fn print_delays(delays: &[Duration]) {
    let at = |share: f64| {
        let index = (delays.len() as f64 * share) as usize;
        delays.get(index.min(delays.len().saturating_sub(1))).copied().unwrap_or_default()
    };
    println!(
        "in force after acceptance, no fault near: {} times, p50 {:?}, p99 {:?}, longest {:?}; \
         target {TARGET_DELAY:?} at p99",
        delays.len(),
        at(0.5),
        at(0.99),
        at(1.0),
    );
}
