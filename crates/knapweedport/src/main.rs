//! The knapweedport command: reads arguments, runs what they ask for and ends with an exit code.

mod arguments;
mod commands;
mod exit;
mod files;

use std::process::ExitCode;

use crate::{arguments::parse_arguments, commands::run_command, exit::report_end};

fn main() -> ExitCode {
    match parse_arguments() {
        Ok(command) => report_end(run_command(command)),
        Err(code) => code,
    }
}
