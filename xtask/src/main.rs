//! The project's automation. `cargo xtask --help` lists the tasks.

mod bench;
mod capacity;
mod ci;
mod claims;
mod configure;
mod demo;
mod soak;
mod steps;
mod torture;

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;

/// Runs one of the project's tasks.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Task {
    /// Runs the whole check: format, lints, tests, docs.
    #[bpaf(command)]
    Ci,
    /// Starts a fleet on loopback, uses it, breaks it, and shows what was seen.
    #[bpaf(command)]
    Demo {
        /// Leaves the fleet up until a line is read from standard input.
        keep: bool,
    },
    /// Measures what claiming an operation costs.
    #[bpaf(command)]
    Claims,
    /// Kills, freezes and cuts off a fleet's processes and judges the history of its calls.
    #[bpaf(command)]
    Torture {
        /// Time for which faults are shown, in minutes.
        #[bpaf(argument("MINUTES"), fallback(1.0))]
        minutes: f64,
        /// Seed of callers and faults.
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Tortures a build whose ledger does not wait for its claims; this must fail.
        broken: bool,
    },
    /// Soaks gateway processes under random faults with each seed of a range.
    #[bpaf(command)]
    Soak {
        /// First seed.
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Number of seeds.
        #[bpaf(argument("SEEDS"), fallback(1))]
        seeds: u64,
        /// Gateway processes.
        #[bpaf(argument("GATEWAYS"), fallback(5))]
        gateways: usize,
        /// Runners.
        #[bpaf(argument("RUNNERS"), fallback(4))]
        runners: usize,
        /// Callers.
        #[bpaf(argument("CALLERS"), fallback(12))]
        callers: usize,
        /// Series of faults of one seed.
        #[bpaf(argument("ROUNDS"), fallback(2))]
        rounds: u32,
    },
    /// Measures a release router: added latency, throughput, start time, memory.
    #[bpaf(command)]
    Bench,
    /// Measures control traffic, processor time and memory on real processes.
    #[bpaf(command)]
    Capacity {
        /// Numbers of routers; 7, 14, 28 and 56 when none is given.
        #[bpaf(argument("ROUTERS"), many)]
        size: Vec<usize>,
        /// Length of each phase in seconds.
        #[bpaf(argument("SECONDS"), fallback(20))]
        seconds: u64,
        /// Folder of the binaries; the release build when absent.
        #[bpaf(argument("FOLDER"), optional)]
        programs: Option<PathBuf>,
        /// Refreshes the tables of docs/CAPACITY.md.
        write: bool,
    },
    /// Edits a fleet's tables under faults and judges what each router had in force.
    #[bpaf(command)]
    Configure {
        /// Time for which operators edit, in seconds.
        #[bpaf(argument("SECONDS"), fallback(60))]
        seconds: u64,
        /// Seed of operators and faults.
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Also writes rows past the administration API; this must fail.
        broken: bool,
    },
    /// Measures the routers' decisions in virtual time; `-- --help` lists what it takes.
    #[bpaf(command)]
    Measure {
        /// Arguments of the measurement.
        #[bpaf(positional("ARGUMENT"), many)]
        arguments: Vec<String>,
    },
}

fn main() -> ExitCode {
    let ended = match task().run() {
        Task::Ci => ci::run_ci(),
        Task::Claims => claims::measure_claims(),
        Task::Torture { minutes, seed, broken } => {
            torture::run_torture(torture::TorturePlan { minutes, seed, broken })
        }
        Task::Soak { seed, seeds, gateways, runners, callers, rounds } => {
            soak::run_soaks(soak::SoakTask { seed, seeds, gateways, runners, callers, rounds })
        }
        Task::Bench => bench::run_bench(),
        Task::Configure { seconds, seed, broken } => {
            configure::run_configure(configure::ConfigurePlan { seconds, seed, broken })
        }
        Task::Demo { keep } => demo::run_demo(keep),
        Task::Capacity { size, seconds, programs, write } => {
            let sizes = if size.is_empty() { vec![7, 14, 28, 56] } else { size };
            capacity::run_capacity(&capacity::CapacityPlan { sizes, seconds, programs, write })
        }
        Task::Measure { arguments } => steps::run_measure(&arguments),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
