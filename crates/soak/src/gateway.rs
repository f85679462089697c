//! One gateway process of the soak, with its settings and its connection to the store.

use std::{net::SocketAddr, path::PathBuf};

use error_stack::{Report, ResultExt};
use fakes::free_address;
use local_fleet::ChildProcess;

use crate::{
    plan::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW, STOP_BOUND, SoakPlan},
    proxy::FaultProxy,
    run::SoakError,
};

/// A gateway; dropping the value kills the process.
#[derive(Debug)]
pub(crate) struct SoakGateway {
    pub(crate) caller_address: SocketAddr,
    pub(crate) entry_address: SocketAddr,
    /// Proxy through which the gateway reaches the store.
    pub(crate) store_proxy: FaultProxy,
    /// Number of process starts so far.
    pub(crate) starts: u32,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    process: Option<ChildProcess>,
}

impl SoakGateway {
    /// Writes the settings of a gateway and starts it.
    pub(crate) async fn start(
        plan: &SoakPlan,
        index: usize,
        store: SocketAddr,
    ) -> Result<Self, Report<SoakError>> {
        let store_proxy = FaultProxy::start(store).await.change_context(SoakError)?;
        let [caller_address, entry_address, readiness_address, peer_address] =
            [0; 4].map(|_| free_address());
        let settings_text = format!(
            "host = \"g-{index}\"\nfailure_domain = \"z{}\"\ncaller_listen = \"{caller_address}\"\n\
             entry_listen = \"{entry_address}\"\nreadiness_listen = \"{readiness_address}\"\n\
             peer_listen = \"{peer_address}\"\nplatform = \"{}\"\n[fleet]\nstop_ms = {}\n\
             retry_ratio = {RETRY_RATIO}\nretry_slack = {RETRY_SLACK}\nretry_window_ms = {}\n",
            index % 4,
            store_proxy.address,
            STOP_BOUND.as_millis(),
            RETRY_WINDOW.as_millis(),
        );
        let settings = plan.folder.join(format!("g-{index}.toml"));
        std::fs::write(&settings, settings_text).change_context(SoakError)?;
        let log = plan.folder.join(format!("g-{index}.log"));
        let program = plan.program.clone();
        let mut gateway = Self {
            caller_address,
            entry_address,
            store_proxy,
            starts: 0,
            program,
            settings,
            log,
            process: None,
        };
        gateway.spawn()?;
        Ok(gateway)
    }

    /// Starts a new process; a previous one that still runs is killed.
    pub(crate) fn spawn(&mut self) -> Result<(), Report<SoakError>> {
        self.process = None;
        let settings = self.settings.to_string_lossy().into_owned();
        let arguments = ["gateway", "--settings", &*settings];
        let process = ChildProcess::start(&self.program, &arguments, &self.log);
        self.process = Some(process.change_context(SoakError)?);
        self.starts += 1;
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        self.process = None;
    }

    pub(crate) fn process(&self) -> Option<&ChildProcess> {
        self.process.as_ref()
    }

    /// Whether the process that was current at that number of starts has exited.
    pub(crate) fn has_exited_since(&mut self, starts: u32) -> bool {
        self.starts != starts
            || self.process.as_mut().is_none_or(|process| process.exit_status().is_some())
    }
}
