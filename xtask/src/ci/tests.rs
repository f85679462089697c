//! Runs the tests and separates known failures from new ones.

use std::{
    fs,
    process::{Command, Output},
};

use error_stack::{Report, ResultExt};

use crate::{
    ci::known::KnownFailures,
    steps::{TaskError, target_path},
};

const TEST_ARGUMENTS: [&str; 5] = ["test", "--locked", "--workspace", "--quiet", "--no-fail-fast"];
const FAILED_TEST_SUFFIX: &str = " --- FAILED";
const FAILED_RESULT_PREFIX: &str = "test result: FAILED";
/// Prefix of the lines in which cargo lists the test targets that failed.
const FAILED_TARGET_PREFIX: &str = "    `-p ";

/// Runs all tests and returns the entries of known failures seen. Any other failure is an error.
pub(crate) fn run_tests(known: &KnownFailures) -> Result<Vec<Box<str>>, Report<TaskError>> {
    println!("==> cargo {}", TEST_ARGUMENTS.join(" "));
    let output = Command::new(env!("CARGO")).args(TEST_ARGUMENTS).output();
    let output = output.change_context(TaskError)?;
    let text = format!(
        "{}\n{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    println!(
        "tests: {} passed, {} failed",
        sum_counts(&text, "passed"),
        sum_counts(&text, "failed")
    );
    if output.status.success() {
        return Ok(Vec::new());
    }
    let log = target_path("ci-tests.log")?;
    fs::write(&log, &text).change_context(TaskError)?;
    check_failures(&text, &output, known).attach_with(|| format!("all output: {}", log.display()))
}

/// Checks that every failed test is a known failure. A failed target without a result line did not
/// run to completion, for example because it crashed, so its failed tests are not known.
fn check_failures(
    text: &str,
    output: &Output,
    known: &KnownFailures,
) -> Result<Vec<Box<str>>, Report<TaskError>> {
    let failed: Vec<&str> = parse_failed_tests(text);
    let results = text.lines().filter(|line| line.starts_with(FAILED_RESULT_PREFIX)).count();
    let targets = text.lines().filter(|line| line.starts_with(FAILED_TARGET_PREFIX)).count();
    if failed.is_empty() || results != targets {
        print!("{text}");
        let report = Report::new(TaskError);
        return Err(report.attach(format!("the test run did not complete: {}", output.status)));
    }
    let new_failures: Vec<&&str> =
        failed.iter().filter(|test| known.find(test).is_none()).collect();
    if new_failures.is_empty() {
        return Ok(failed.iter().filter_map(|test| known.find(test)).map(Into::into).collect());
    }
    print!("{text}");
    let report = Report::new(TaskError);
    Err(new_failures
        .into_iter()
        .fold(report, |report, test| report.attach(format!("failed: {test}"))))
}

fn parse_failed_tests(text: &str) -> Vec<&str> {
    text.lines()
        .filter_map(|line| line.trim_start_matches('.').strip_suffix(FAILED_TEST_SUFFIX))
        .collect()
}

/// Sums the counts labelled `label`, such as `passed`, over all `test result:` lines.
fn sum_counts(text: &str, label: &str) -> usize {
    let results = text.lines().filter(|line| line.starts_with("test result: "));
    let counts = results.flat_map(|line| line.split([';', '.'])).filter_map(|part| {
        let (number, rest) = part.trim().split_once(' ')?;
        (rest == label).then_some(number)
    });
    counts.filter_map(|number| number.parse::<usize>().ok()).sum()
}
