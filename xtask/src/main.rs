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
    /// Runs all CI checks: formatting, lints, tests and docs.
    #[bpaf(command)]
    Ci,
    /// Starts a fleet on loopback, applies load, injects faults and prints the results.
    #[bpaf(command)]
    Demo {
        /// Keeps the fleet running until a line is read from standard input.
        keep: bool,
    },
    /// Measures the cost of claiming an operation.
    #[bpaf(command)]
    Claims,
    /// Injects faults into a fleet's processes and checks the history of its calls.
    #[bpaf(command)]
    Torture {
        /// Duration of fault injection, in minutes.
        #[bpaf(argument("MINUTES"), fallback(1.0))]
        minutes: f64,
        /// Seed for callers and faults.
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Tests a build whose ledger does not wait for its claims; the run must fail.
        broken: bool,
    },
    /// Runs gateway processes under random faults, once for each seed of a range.
    #[bpaf(command)]
    Soak {
        /// First seed.
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Number of seeds.
        #[bpaf(argument("SEEDS"), fallback(1))]
        seeds: u64,
        /// Number of gateway processes.
        #[bpaf(argument("GATEWAYS"), fallback(5))]
        gateways: usize,
        /// Number of runners.
        #[bpaf(argument("RUNNERS"), fallback(4))]
        runners: usize,
        /// Number of callers.
        #[bpaf(argument("CALLERS"), fallback(12))]
        callers: usize,
        /// Rounds of faults for each seed.
        #[bpaf(argument("ROUNDS"), fallback(2))]
        rounds: u32,
        /// Has a runner announce in its answers in each round that it leaves.
        announcements: bool,
        /// Runs two software versions, whose streams callers break off and resume.
        software_versions: bool,
        /// Restores the store from a copy some seconds old in each round.
        restores: bool,
        /// Writes odd entries among those of the runners and kills all gateways in each round.
        foreign_entries: bool,
        /// Binary to run instead of the release build.
        #[bpaf(argument("PATH"), optional)]
        program: Option<PathBuf>,
    },
    /// Benchmarks a release router: added latency, throughput, start time, memory.
    #[bpaf(command)]
    Bench,
    /// Measures control traffic, CPU time and memory of real processes.
    #[bpaf(command)]
    Capacity {
        /// Number of routers; may be given several times; 7, 14, 28 and 56 if absent.
        #[bpaf(argument("ROUTERS"), many)]
        size: Vec<usize>,
        /// Length of each phase in seconds.
        #[bpaf(argument("SECONDS"), fallback(20))]
        seconds: u64,
        /// Folder of the binaries; the release build if absent.
        #[bpaf(argument("FOLDER"), optional)]
        programs: Option<PathBuf>,
        /// Updates the tables in docs/CAPACITY.md.
        write: bool,
    },
    /// Edits a fleet's tables under faults and checks which rows each router had in force.
    #[bpaf(command)]
    Configure {
        /// Duration of the edits, in seconds.
        #[bpaf(argument("SECONDS"), fallback(60))]
        seconds: u64,
        /// Seed for operators and faults.
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Also writes rows that bypass the admin API; the run must fail.
        broken: bool,
    },
    /// Measures the routers' decisions in virtual time; `-- --help` lists its arguments.
    #[bpaf(command)]
    Measure {
        /// Arguments passed on to the measurement.
        #[bpaf(positional("ARGUMENT"), many)]
        arguments: Vec<String>,
    },
}

fn main() -> ExitCode {
    let result = match task().run() {
        Task::Ci => ci::run_ci(),
        Task::Claims => claims::measure_claims(),
        Task::Torture { minutes, seed, broken } => {
            torture::run_torture(torture::TorturePlan { minutes, seed, broken_ledger: broken })
        }
        Task::Soak {
            seed,
            seeds,
            gateways,
            runners,
            callers,
            rounds,
            announcements,
            software_versions,
            restores,
            foreign_entries,
            program,
        } => soak::run_soaks(soak::SoakTask {
            seed,
            seeds,
            gateways,
            runners,
            callers,
            rounds,
            announcements,
            software_versions,
            restores,
            foreign_entries,
            program,
        }),
        Task::Bench => bench::run_bench(),
        Task::Configure { seconds, seed, broken } => {
            configure::run_configure(configure::ConfigurePlan { seconds, seed, bypass_api: broken })
        }
        Task::Demo { keep } => demo::run_demo(keep),
        Task::Capacity { size, seconds, programs, write } => {
            let sizes = if size.is_empty() { vec![7, 14, 28, 56] } else { size };
            capacity::run_capacity(&capacity::CapacityPlan { sizes, seconds, programs, write })
        }
        Task::Measure { arguments } => steps::run_measure(&arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
