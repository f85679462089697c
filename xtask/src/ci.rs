//! The whole check.

use error_stack::Report;

use crate::steps::{TaskError, cargo};

/// Runs format, lints, tests and docs, and stops at the first that fails.
pub(crate) fn run_ci() -> Result<(), Report<TaskError>> {
    cargo(&["fmt", "--all", "--check"])?;
    cargo(&["clippy", "--locked", "--workspace", "--all-targets", "--", "-D", "warnings"])?;
    cargo(&[
        "clippy",
        "--locked",
        "--workspace",
        "--lib",
        "--bins",
        "--",
        "-D",
        "clippy::unwrap_used",
    ])?;
    cargo(&["build", "--locked", "--workspace", "--bins"])?;
    cargo(&["test", "--locked", "--workspace", "--quiet"])?;
    cargo(&["doc", "--locked", "--workspace", "--no-deps", "--document-private-items", "--quiet"])
}
