//! Command line of the routing measurement.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use measure::run_suite;

/// Measures routing policies in simulated scenarios, in virtual time and from a seed.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct MeasureOptions {
    /// Seed of all random number generators.
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
    /// Runs only scenarios whose name contains this text.
    #[bpaf(argument::<String>("TEXT"), fallback(String::new()))]
    only: String,
    /// Writes a CSV file and plots to this folder.
    #[bpaf(argument("FOLDER"), optional)]
    folder: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = measure_options().run();
    match run_suite(options.seed, &options.only, options.folder.as_deref()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
