//! Command line of the measurement.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use measure::run_suite;

/// Measures the routers' decisions in virtual time from a seed.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct MeasureOptions {
    /// Seed of everything random.
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
    /// Runs only scenarios whose name holds this text.
    #[bpaf(argument::<String>("TEXT"), fallback(String::new()))]
    only: String,
    /// Writes CSV and plots to this folder.
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
