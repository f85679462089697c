//! Running cargo as a step of a task.

use std::{fmt, path::PathBuf, process::Command};

use error_stack::{Report, ResultExt};

/// A task failed.
#[derive(Debug)]
pub(crate) struct TaskError;

impl fmt::Display for TaskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the task failed")
    }
}

impl std::error::Error for TaskError {}

/// Runs cargo with arguments and fails when it does.
pub(crate) fn cargo(arguments: &[&str]) -> Result<(), Report<TaskError>> {
    cargo_with(arguments, &[])
}

/// Runs cargo with arguments and environment variables and fails when it does.
pub(crate) fn cargo_with(
    arguments: &[&str],
    variables: &[(&str, &str)],
) -> Result<(), Report<TaskError>> {
    println!("==> cargo {}", arguments.join(" "));
    let mut command = Command::new(env!("CARGO"));
    let status = command.args(arguments).envs(variables.iter().copied()).status();
    let status = status.change_context(TaskError)?;
    if status.success() {
        return Ok(());
    }
    Err(Report::new(TaskError).attach(format!("cargo {} failed", arguments.join(" "))))
}

/// Builds and runs the measurement.
pub(crate) fn run_measure(arguments: &[String]) -> Result<(), Report<TaskError>> {
    let mut all = vec!["run", "--locked", "--release", "--quiet", "--package", "measure", "--"];
    all.extend(arguments.iter().map(String::as_str));
    cargo(&all)
}

/// Folder of the binaries that a profile builds.
pub(crate) fn program_folder(profile: &str) -> Result<PathBuf, Report<TaskError>> {
    let own = std::env::current_exe().change_context(TaskError)?;
    let target = own.parent().and_then(|folder| folder.parent());
    let target = target.ok_or_else(|| Report::new(TaskError))?;
    Ok(target.join(profile))
}
