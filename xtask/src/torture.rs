//! The torture test: injects kills, freezes and lost answers into real processes and checks the
//! history of their calls.

mod callers;
mod faults;

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use history_check::{CallHistory, CallOutcome, ExecutionRecord, HistoryChecker};
use local_fleet::{FleetPlan, LocalFleet};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    steps::{TaskError, cargo, target_path},
    torture::{callers::CallerSimulation, faults::FaultInjector},
};

/// Time for retries and repairs to finish before the history is checked.
const FINISH_TIME: Duration = Duration::from_secs(15);

/// Parameters of the torture test.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TorturePlan {
    /// Duration of fault injection, in minutes.
    pub(crate) minutes: f64,
    /// Seed for callers and faults.
    pub(crate) seed: u64,
    /// Whether to test a build whose ledger does not wait for its claims, which must fail.
    pub(crate) broken_ledger: bool,
}

/// Builds and starts a fleet, injects faults, and fails if the call history has a violation.
pub(crate) fn run_torture(plan: TorturePlan) -> Result<(), Report<TaskError>> {
    let mut build = vec!["build", "--locked", "--release", "-p", "knapweedport", "-p", "fakes"];
    if plan.broken_ledger {
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
    let programs = target_path("release")?;
    let workdir = programs.join("torture");
    let fleet_plan = FleetPlan::new(&programs, &workdir).engines(4);
    let mut fleet = LocalFleet::start(fleet_plan).await.change_context(TaskError)?;
    fleet.put_tables().await.change_context(TaskError)?;
    println!("seed {}, {} minutes", plan.seed, plan.minutes);
    let callers = CallerSimulation::start(&fleet, plan.seed);
    let mut injector = FaultInjector::new(SmallRng::seed_from_u64(plan.seed));
    let deadline = Instant::now() + Duration::from_secs_f64(plan.minutes * 60.0);
    while Instant::now() < deadline {
        injector.inject_faults(&mut fleet).await?;
    }
    injector.clear_all_faults(&mut fleet).await?;
    callers.stop();
    tokio::time::sleep(FINISH_TIME).await;
    check_history(&fleet, &callers, &injector)
}

fn check_history(
    fleet: &LocalFleet,
    callers: &Rc<CallerSimulation>,
    injector: &FaultInjector,
) -> Result<(), Report<TaskError>> {
    let executions =
        fleet.service_executions().change_context(TaskError)?.into_iter().map(|execution| {
            ExecutionRecord {
                operation: execution.operation,
                request: execution.request,
                content: execution.content,
                answer: execution.answer,
            }
        });
    let history = CallHistory { calls: callers.take_records(), executions: executions.collect() };
    injector.print_counts();
    print_outcomes(&history);
    let chats = callers.chat_counts();
    println!("chats complete {}, rejected or failed {}", chats.complete, chats.failed);
    println!("chats reported as complete but wrong {}", chats.wrong);
    let violations = HistoryChecker::default().check(&history);
    for violation in violations.iter().take(20) {
        println!("VIOLATION {violation:?}");
    }
    println!("violations {}", violations.len());
    if violations.is_empty() && chats.wrong == 0 {
        return Ok(());
    }
    Err(Report::new(TaskError).attach("the history has violations"))
}

fn print_outcomes(history: &CallHistory) {
    let mut outcomes = BTreeMap::<String, usize>::new();
    for call in &history.calls {
        let outcome = match &call.outcome {
            CallOutcome::Completed(_) => "completed".to_owned(),
            CallOutcome::NotRun(code) => format!("not run {code}"),
            CallOutcome::Unknown(code) => format!("unknown {code}"),
            CallOutcome::NoResponse => "no answer".to_owned(),
        };
        *outcomes.entry(outcome).or_default() += 1;
    }
    println!("calls {}, executions {}", history.calls.len(), history.executions.len());
    for (outcome, count) in outcomes {
        println!("  {outcome}: {count}");
    }
}
