//! Command that runs one stand-in in its own process.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use fakes::{run_engine, run_platform, run_service};

/// Runs a stand-in for the platform, a model engine or a plain service.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum StandIn {
    /// The platform: objects, watches and the host list.
    #[bpaf(command)]
    Platform {
        /// Address to listen on.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Delay until a change of the host list becomes visible, in milliseconds.
        #[bpaf(argument("MS"), fallback(0))]
        host_lag_ms: u64,
        /// Journal file that preserves objects and hosts across kills.
        #[bpaf(argument("FILE"))]
        kept: Option<PathBuf>,
    },
    /// A model engine.
    #[bpaf(command)]
    Engine {
        /// Address to listen on.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Time per token, in milliseconds.
        #[bpaf(argument("MS"), fallback(5))]
        step_ms: u64,
    },
    /// A plain service.
    #[bpaf(command)]
    Service {
        /// Address to listen on.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Time per call, in milliseconds.
        #[bpaf(argument("MS"), fallback(5))]
        work_ms: u64,
        /// Journal file that preserves executions across kills.
        #[bpaf(argument("FILE"))]
        kept: Option<PathBuf>,
    },
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let result = match stand_in().run() {
        StandIn::Platform { listen, host_lag_ms, kept } => {
            run_platform(listen, Duration::from_millis(host_lag_ms), kept.as_deref()).await
        }
        StandIn::Engine { listen, step_ms } => {
            run_engine(listen, Duration::from_millis(step_ms)).await
        }
        StandIn::Service { listen, work_ms, kept } => {
            run_service(listen, Duration::from_millis(work_ms), kept.as_deref()).await
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
