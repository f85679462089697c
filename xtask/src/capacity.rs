//! Measures control traffic, CPU time, memory and platform calls of real processes at several fleet
//! sizes, and updates the tables in `docs/CAPACITY.md`.

mod phases;
mod sample;
mod tables;

use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use local_fleet::{FleetPlan, LocalFleet};

use crate::{
    capacity::{phases::run_phases, tables::write_tables},
    steps::{TaskError, cargo, target_path},
};

const DOMAIN_COUNT: usize = 4;
const ENGINE_COUNT: usize = 4;
const CAPACITY_PAGE: &str = "docs/CAPACITY.md";

/// Parameters of the measurement.
#[derive(Debug, Clone)]
pub(crate) struct CapacityPlan {
    /// Fleet sizes in routers, measured one after another.
    pub(crate) sizes: Vec<usize>,
    /// Length of each phase in seconds.
    pub(crate) seconds: u64,
    /// Folder of the binaries; the release build if absent.
    pub(crate) programs: Option<PathBuf>,
    /// Whether to update the tables in `docs/CAPACITY.md`.
    pub(crate) write: bool,
}

/// Runs all phases at each fleet size and prints the tables; with `write` also updates
/// `docs/CAPACITY.md`.
pub(crate) fn run_capacity(plan: &CapacityPlan) -> Result<(), Report<TaskError>> {
    let programs = match &plan.programs {
        Some(programs) => programs.clone(),
        None => build_release()?,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(TaskError)?;
    let mut results = Vec::new();
    for size in &plan.sizes {
        results.extend(runtime.block_on(measure_size(&programs, *size, plan.seconds))?);
    }
    let text = tables::render(&results);
    println!("{text}");
    if plan.write {
        write_tables(Path::new(CAPACITY_PAGE), &text)?;
    }
    Ok(())
}

fn build_release() -> Result<PathBuf, Report<TaskError>> {
    cargo(&["build", "--locked", "--release", "--package", "knapweedport", "--package", "fakes"])?;
    target_path("release")
}

async fn measure_size(
    programs: &Path,
    size: usize,
    seconds: u64,
) -> Result<Vec<phases::PhaseResult>, Report<TaskError>> {
    let workdir = target_path("release")?.join(format!("capacity-{size}"));
    let plan = FleetPlan::new(programs, &workdir);
    let plan = plan.routers(size).domains(DOMAIN_COUNT).engines(ENGINE_COUNT).services(1);
    let mut fleet = LocalFleet::start(plan).await.change_context(TaskError)?;
    fleet.put_tables().await.change_context(TaskError)?;
    run_phases(&mut fleet, seconds).await
}
