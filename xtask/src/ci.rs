//! The whole check.

mod known;
mod tests;

use std::time::Instant;

use error_stack::Report;

use crate::{
    ci::{known::KnownFailures, tests::run_tests},
    steps::{TaskError, cargo, cargo_with},
};

/// Runs format, lints, tests and docs, stops at the first that fails, and prints one verdict.
///
/// Tests that `KNOWN-RED.txt` lists may fail; they are printed. No other failure passes.
pub(crate) fn run_ci() -> Result<(), Report<TaskError>> {
    let start = Instant::now();
    let ended = run_steps();
    let seconds = start.elapsed().as_secs();
    match &ended {
        Ok(known) if known.is_empty() => println!("verdict: passed in {seconds} s"),
        Ok(known) => {
            println!("verdict: passed in {seconds} s but for {} known failures:", known.len());
            known.iter().for_each(|entry| println!("  {entry}"));
        }
        Err(_) => println!("verdict: FAILED after {seconds} s"),
    }
    ended.map(drop)
}

fn run_steps() -> Result<Vec<Box<str>>, Report<TaskError>> {
    let known = KnownFailures::read()?;
    cargo(&["fmt", "--all", "--check"])?;
    let lint = ["clippy", "--quiet", "--locked", "--workspace"];
    cargo(&[&lint[..], &["--all-targets", "--", "-D", "warnings"]].concat())?;
    cargo(&[&lint[..], &["--lib", "--bins", "--", "-D", "clippy::unwrap_used"]].concat())?;
    cargo(&["build", "--quiet", "--locked", "--workspace", "--bins"])?;
    let failed = run_tests(&known)?;
    let docs = ["doc", "--quiet", "--locked", "--workspace", "--no-deps"];
    cargo_with(
        &[&docs[..], &["--document-private-items"]].concat(),
        &[("RUSTDOCFLAGS", "-D warnings")],
    )?;
    Ok(failed)
}
