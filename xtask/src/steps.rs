//! Runs cargo and locates its output.

use std::{fmt, path::PathBuf, process::Command};

use error_stack::{Report, ResultExt};

/// Failure of a task; the attachments of its report hold the cause.
#[derive(Debug)]
pub(crate) struct TaskError;

impl fmt::Display for TaskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the task failed")
    }
}

impl std::error::Error for TaskError {}

/// Runs cargo with arguments; a non-zero exit status is an error.
pub(crate) fn cargo(arguments: &[&str]) -> Result<(), Report<TaskError>> {
    cargo_with_env(arguments, &[])
}

/// Runs cargo with arguments and environment variables; a non-zero exit status is an error.
pub(crate) fn cargo_with_env(
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

/// Builds and runs the `measure` program.
pub(crate) fn run_measure(arguments: &[String]) -> Result<(), Report<TaskError>> {
    let mut cargo_arguments =
        vec!["run", "--locked", "--release", "--quiet", "--package", "measure", "--"];
    cargo_arguments.extend(arguments.iter().map(String::as_str));
    cargo(&cargo_arguments)
}

/// Path in cargo's target folder, such as the folder of a profile's binaries.
pub(crate) fn target_path(name: &str) -> Result<PathBuf, Report<TaskError>> {
    let executable = std::env::current_exe().change_context(TaskError)?;
    let target = executable.parent().and_then(|folder| folder.parent());
    let target = target.ok_or_else(|| Report::new(TaskError))?;
    Ok(target.join(name))
}
