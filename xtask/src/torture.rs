//! The torture: real processes under kills, freezes and lost answers, judged by their history.

mod callers;
mod faults;

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use history_check::{CallEnd, HistoryChecker, RunHistory, RunRecord};
use local_fleet::{FleetPlan, LocalFleet};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    steps::{TaskError, cargo, program_folder},
    torture::{callers::CallerBook, faults::FaultDriver},
};

const SETTLE: Duration = Duration::from_secs(15);

/// How the torture is run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TorturePlan {
    /// Time for which faults are shown, in minutes.
    pub(crate) minutes: f64,
    /// Seed of callers and faults.
    pub(crate) seed: u64,
    /// Tortures a build whose ledger does not wait for its claims.
    pub(crate) broken: bool,
}

/// Builds and starts a fleet, tortures it, and fails when its history breaks a promise.
pub(crate) fn run_torture(plan: TorturePlan) -> Result<(), Report<TaskError>> {
    let mut build = vec!["build", "--locked", "--release", "-p", "knapweedport", "-p", "fakes"];
    if plan.broken {
        build.extend(["--features", "knapweedport/broken-ledger"]);
    }
    cargo(&build)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(TaskError)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, torture(plan))
}

async fn torture(plan: TorturePlan) -> Result<(), Report<TaskError>> {
    let programs = program_folder("release")?;
    let workdir = programs.join("torture");
    let fleet_plan = FleetPlan::new(&programs, &workdir).engines(4);
    let mut fleet = LocalFleet::start(fleet_plan).await.change_context(TaskError)?;
    fleet.put_tables().await.change_context(TaskError)?;
    println!("seed {}, {} minutes", plan.seed, plan.minutes);
    let book = CallerBook::start(&fleet, plan.seed);
    let mut driver = FaultDriver::new(SmallRng::seed_from_u64(plan.seed));
    let end = Instant::now() + Duration::from_secs_f64(plan.minutes * 60.0);
    while Instant::now() < end {
        driver.show_faults(&mut fleet).await?;
    }
    driver.end_faults(&mut fleet).await?;
    book.stop();
    tokio::time::sleep(SETTLE).await;
    judge(&fleet, &book, &driver)
}

fn judge(
    fleet: &LocalFleet,
    book: &Rc<CallerBook>,
    driver: &FaultDriver,
) -> Result<(), Report<TaskError>> {
    let runs = fleet.service_runs().change_context(TaskError)?.into_iter().map(|run| RunRecord {
        operation: run.operation,
        request: run.request,
        content: run.content,
        answer: run.answer,
    });
    let history = RunHistory { calls: book.take_records(), runs: runs.collect() };
    driver.print();
    print_calls(&history);
    let chats = book.chats();
    println!("chats whole {}, refused or broken {}", chats.whole, chats.broken);
    println!("chats passed off as whole {}", chats.foreign);
    let violations = HistoryChecker::default().check(&history);
    for violation in violations.iter().take(20) {
        println!("VIOLATION {violation:?}");
    }
    println!("violations {}", violations.len());
    if violations.is_empty() && chats.foreign == 0 {
        return Ok(());
    }
    Err(Report::new(TaskError).attach("a promise was broken"))
}

fn print_calls(history: &RunHistory) {
    let mut ends = BTreeMap::<String, usize>::new();
    for call in &history.calls {
        let end = match &call.end {
            CallEnd::Completed(_) => "completed".to_owned(),
            CallEnd::NotRun(code) => format!("not run {code}"),
            CallEnd::Unknown(code) => format!("unknown {code}"),
            CallEnd::Silent => "no answer".to_owned(),
        };
        *ends.entry(end).or_default() += 1;
    }
    println!("calls {}, executions {}", history.calls.len(), history.runs.len());
    for (end, count) in ends {
        println!("  {end}: {count}");
    }
}
