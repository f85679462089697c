//! Dispatches each subcommand to its module.

mod account;
mod check;
mod gateway;
mod keys;
mod remote;
mod router;
mod rows;
mod views;

use error_stack::{Report, ResultExt};
use io_operator::RowTable;

use crate::{
    arguments::{Command, ExplainCommand, print_completions},
    exit::CommandError,
};

type CommandResult = Result<(), Report<CommandError>>;

/// Runs a command to completion.
pub(crate) fn run_command(command: Command) -> CommandResult {
    match command {
        Command::Router { settings } => router::run(&settings),
        Command::Gateway { settings } => gateway::run(&settings),
        Command::Check { settings, gateway, tables } => check::run(&settings, &gateway, &tables),
        Command::Route(command) => block_on(rows::run(RowTable::Routes, command)),
        Command::Pool(command) => block_on(rows::run(RowTable::Pools, command)),
        Command::Explain(ExplainCommand::Logs { logs, call }) => account::run(&logs, &call),
        Command::Explain(ExplainCommand::Remote { remote_options, request }) => {
            block_on(views::explain(&remote_options, &request))
        }
        Command::Audit { remote_options, row } => {
            block_on(views::audit(&remote_options, row.as_deref()))
        }
        Command::Status { remote_options } => block_on(views::status(&remote_options)),
        Command::Keys { out, hosts } => keys::run(&out, &hosts),
        Command::Completions { shell } => {
            print_completions(&shell);
            let report = Report::new(CommandError::NotFound);
            Err(report.attach(format!("unknown shell `{shell}`; use bash, zsh, fish or elvish")))
        }
    }
}

/// Runs a future on a single-threaded runtime.
fn block_on(future: impl Future<Output = CommandResult>) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.change_context(CommandError::Failed)?.block_on(future)
}
