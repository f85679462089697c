//! Running the tests and telling known failures from others.

use std::{
    fs,
    process::{Command, Output},
};

use error_stack::{Report, ResultExt};

use crate::{
    ci::known::KnownFailures,
    steps::{TaskError, program_folder},
};

const ARGUMENTS: [&str; 5] = ["test", "--locked", "--workspace", "--quiet", "--no-fail-fast"];
const FAILED_MARK: &str = " --- FAILED";
const FAILED_RESULT: &str = "test result: FAILED";
/// Start of the lines in which cargo lists the targets that failed.
const FAILED_TARGET: &str = "    `-p ";

/// Runs all tests; returns the entries of the known failures seen, and fails on any other.
pub(crate) fn run_tests(known: &KnownFailures) -> Result<Vec<Box<str>>, Report<TaskError>> {
    println!("==> cargo {}", ARGUMENTS.join(" "));
    let output = Command::new(env!("CARGO")).args(ARGUMENTS).output();
    let output = output.change_context(TaskError)?;
    let text = format!(
        "{}\n{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    println!("tests: {} passed, {} failed", count(&text, "passed"), count(&text, "failed"));
    if output.status.success() {
        return Ok(Vec::new());
    }
    let log = program_folder("ci-tests.log")?;
    fs::write(&log, &text).change_context(TaskError)?;
    judge(&text, &output, known).attach_with(|| format!("all output: {}", log.display()))
}

fn judge(
    text: &str,
    output: &Output,
    known: &KnownFailures,
) -> Result<Vec<Box<str>>, Report<TaskError>> {
    let failed: Vec<&str> = failed_tests(text);
    let results = text.lines().filter(|line| line.starts_with(FAILED_RESULT)).count();
    let targets = text.lines().filter(|line| line.starts_with(FAILED_TARGET)).count();
    if failed.is_empty() || results != targets {
        print!("{text}");
        let report = Report::new(TaskError);
        return Err(report.attach(format!("the tests did not run to their end: {}", output.status)));
    }
    let new: Vec<&&str> = failed.iter().filter(|test| known.find(test).is_none()).collect();
    if new.is_empty() {
        return Ok(failed.iter().filter_map(|test| known.find(test)).map(Into::into).collect());
    }
    print!("{text}");
    let report = Report::new(TaskError);
    Err(new.into_iter().fold(report, |report, test| report.attach(format!("failed: {test}"))))
}

fn failed_tests(text: &str) -> Vec<&str> {
    text.lines().filter_map(|line| line.trim_start_matches('.').strip_suffix(FAILED_MARK)).collect()
}

/// Sum of a word's counts over all lines of results.
fn count(text: &str, word: &str) -> usize {
    let results = text.lines().filter(|line| line.starts_with("test result: "));
    let counts = results.flat_map(|line| line.split([';', '.'])).filter_map(|part| {
        let (number, rest) = part.trim().split_once(' ')?;
        (rest == word).then_some(number)
    });
    counts.filter_map(|number| number.parse::<usize>().ok()).sum()
}
