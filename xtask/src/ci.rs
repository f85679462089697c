//! The CI checks.

mod known;
mod tests;

use std::time::Instant;

use error_stack::Report;

use crate::{
    ci::{known::KnownFailures, tests::run_tests},
    steps::{TaskError, cargo, cargo_with_env},
};

/// Runs formatting, lints, tests and docs, stops at the first failing step, and prints one verdict.
///
/// Tests listed in `KNOWN-RED.txt` may fail, and their entries are printed. Any other failure fails
/// the run.
pub(crate) fn run_ci() -> Result<(), Report<TaskError>> {
    let start = Instant::now();
    let result = run_steps();
    let seconds = start.elapsed().as_secs();
    match &result {
        Ok(failures) if failures.is_empty() => println!("verdict: passed in {seconds} s"),
        Ok(failures) => {
            println!("verdict: passed in {seconds} s but for {} known failures:", failures.len());
            failures.iter().for_each(|entry| println!("  {entry}"));
        }
        Err(_) => println!("verdict: FAILED after {seconds} s"),
    }
    result.map(drop)
}

fn run_steps() -> Result<Vec<Box<str>>, Report<TaskError>> {
    let known = KnownFailures::read()?;
    cargo(&["fmt", "--all", "--check"])?;
    let clippy = ["clippy", "--quiet", "--locked", "--workspace"];
    cargo(&[&clippy[..], &["--all-targets", "--", "-D", "warnings"]].concat())?;
    cargo(&[&clippy[..], &["--lib", "--bins", "--", "-D", "clippy::unwrap_used"]].concat())?;
    cargo(&["build", "--quiet", "--locked", "--workspace", "--bins"])?;
    let known_failures = run_tests(&known)?;
    let docs = ["doc", "--quiet", "--locked", "--workspace", "--no-deps"];
    cargo_with_env(
        &[&docs[..], &["--document-private-items"]].concat(),
        &[("RUSTDOCFLAGS", "-D warnings")],
    )?;
    Ok(known_failures)
}
