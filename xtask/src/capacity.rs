//! Measures control traffic, processor time, memory and calls of the platform on real processes,
//! at several sizes of the fleet, and refreshes the tables of `docs/CAPACITY.md`.

mod phases;
mod sample;
mod tables;

use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use local_fleet::{FleetPlan, LocalFleet};

use crate::{
    capacity::{phases::run_phases, tables::write_tables},
    steps::{TaskError, cargo, program_folder},
};

const DOMAINS: usize = 4;
const ENGINES: usize = 4;
const PAGE: &str = "docs/CAPACITY.md";

/// What the measurement takes.
#[derive(Debug, Clone)]
pub(crate) struct CapacityPlan {
    /// Numbers of routers, one fleet each.
    pub(crate) sizes: Vec<usize>,
    /// Length of each phase in seconds.
    pub(crate) seconds: u64,
    /// Folder of the binaries; the release build when absent.
    pub(crate) programs: Option<PathBuf>,
    /// Whether the tables of the page are refreshed.
    pub(crate) write: bool,
}

/// Runs the phases at each size.
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
        write_tables(Path::new(PAGE), &text)?;
    }
    Ok(())
}

fn build_release() -> Result<PathBuf, Report<TaskError>> {
    cargo(&["build", "--locked", "--release", "--package", "knapweedport", "--package", "fakes"])?;
    program_folder("release")
}

async fn measure_size(
    programs: &Path,
    size: usize,
    seconds: u64,
) -> Result<Vec<phases::PhaseResult>, Report<TaskError>> {
    let workdir = program_folder("release")?.join(format!("capacity-{size}"));
    let plan = FleetPlan::new(programs, &workdir);
    let plan = plan.routers(size).domains(DOMAINS).engines(ENGINES).services(1);
    let mut fleet = LocalFleet::start(plan).await.change_context(TaskError)?;
    fleet.put_tables().await.change_context(TaskError)?;
    run_phases(&mut fleet, seconds).await
}
