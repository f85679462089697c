//! Runs the soak test on a range of seeds, one after another.

use std::path::PathBuf;

use error_stack::{Report, ResultExt};
use soak::{SoakPlan, run_soak};

use crate::steps::{TaskError, cargo, target_path};

/// Parameters of the soak runs.
#[derive(Debug, Clone)]
pub(crate) struct SoakTask {
    /// First seed to run.
    pub(crate) seed: u64,
    /// Number of consecutive seeds to run.
    pub(crate) seeds: u64,
    pub(crate) gateways: usize,
    pub(crate) runners: usize,
    pub(crate) callers: usize,
    pub(crate) rounds: u32,
    pub(crate) announcements: bool,
    pub(crate) software_versions: bool,
    pub(crate) restores: bool,
    pub(crate) foreign_entries: bool,
    /// Binary to run instead of the release build.
    pub(crate) program: Option<PathBuf>,
}

impl Default for SoakTask {
    fn default() -> Self {
        Self {
            seed: 1,
            seeds: 1,
            gateways: 5,
            runners: 4,
            callers: 12,
            rounds: 2,
            announcements: false,
            software_versions: false,
            restores: false,
            foreign_entries: false,
            program: None,
        }
    }
}

/// Builds the release binary, runs each seed, and fails if any seed has a violation.
pub(crate) fn run_soaks(task: SoakTask) -> Result<(), Report<TaskError>> {
    cargo(&["build", "--release", "--quiet", "--locked", "--package", "knapweedport"])?;
    let failed: Vec<u64> = (task.seed..task.seed + task.seeds)
        .map(|seed| soak_once(&task, seed).map(|passed| (!passed).then_some(seed)))
        .collect::<Result<Vec<_>, _>>()?
        .into_iter()
        .flatten()
        .collect();
    println!("{} of {} seeds had violations: {failed:?}", failed.len(), task.seeds);
    if failed.is_empty() { Ok(()) } else { Err(Report::new(TaskError)) }
}

/// Runs one seed on the release binary; returns whether it passed without violations.
pub(crate) fn soak_once(task: &SoakTask, seed: u64) -> Result<bool, Report<TaskError>> {
    let program = match &task.program {
        Some(program) => program.clone(),
        None => target_path("release")?.join("knapweedport"),
    };
    let folder = target_path("soak")?.join(seed.to_string());
    let plan = SoakPlan {
        seed,
        gateways: task.gateways,
        runners: task.runners,
        callers: task.callers,
        rounds: task.rounds,
        announcements: task.announcements,
        software_versions: task.software_versions,
        restores: task.restores,
        foreign_entries: task.foreign_entries,
        program,
        folder: folder.clone(),
    };
    let report = run_soak(&plan).change_context(TaskError)?;
    println!(
        "seed {seed}: {} calls, {} served, {} of {} streams continued, {} faults, {} violations",
        report.calls,
        report.served,
        report.continued,
        report.resumed,
        report.faults,
        report.violations.len()
    );
    for violation in &report.violations {
        println!("  {violation}");
    }
    if !report.violations.is_empty() {
        println!("  logs: {}", folder.display());
    }
    Ok(report.violations.is_empty())
}
