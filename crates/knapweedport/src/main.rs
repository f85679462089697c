//! The `knapweedport` command-line program.

mod arguments;
mod commands;
mod exit;
mod files;

use std::process::ExitCode;

use crate::{arguments::parse_arguments, commands::run_command, exit::report_result};

fn main() -> ExitCode {
    match parse_arguments() {
        Ok(command) => report_result(run_command(command)),
        Err(code) => code,
    }
}
