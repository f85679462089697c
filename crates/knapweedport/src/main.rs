//! The knapweedport command: reads arguments and settings and starts what they ask for.

mod files;

use std::{fmt, path::PathBuf, process::ExitCode};

use base_settings::RouterSettings;
use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};

use crate::files::DiskFiles;

/// Routes language-model requests and calls that may run once to their targets.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs a router until it is told to stop.
    #[bpaf(command)]
    Router {
        /// Settings file in TOML.
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
}

#[derive(Debug)]
struct CommandError;

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the command failed")
    }
}

impl std::error::Error for CommandError {}

fn main() -> ExitCode {
    let command = command().run();
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), Report<CommandError>> {
    match command {
        Command::Router { settings } => run_router(&settings),
    }
}

fn run_router(path: &PathBuf) -> Result<(), Report<CommandError>> {
    let text = std::fs::read_to_string(path)
        .change_context(CommandError)
        .attach_with(|| format!("cannot read {}", path.display()))?;
    let settings =
        RouterSettings::parse(&text, &DiskFiles::beside(path)).change_context(CommandError)?;
    start_logs();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(CommandError)?;
    runtime.block_on(io_router::run_router(settings)).change_context(CommandError)
}

/// A second logger cannot be there, as this runs once before any other code logs.
fn start_logs() {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    let _ = TermLogger::init(LevelFilter::Info, config, TerminalMode::Stderr, ColorChoice::Never);
}
