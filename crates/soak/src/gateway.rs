//! One gateway process and what is known of its faults.

use std::{net::SocketAddr, path::PathBuf};

use error_stack::{Report, ResultExt};
use fakes::free_address;
use local_fleet::ChildProcess;

use crate::{
    plan::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW, STOP_BOUND, SoakPlan},
    proxy::FaultProxy,
    run::SoakError,
};

/// A gateway; its process ends with its value.
#[derive(Debug)]
pub(crate) struct SoakGateway {
    pub(crate) callers: SocketAddr,
    pub(crate) entry: SocketAddr,
    /// Its way to the store.
    pub(crate) store: FaultProxy,
    /// Counts the starts of its process.
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
        let store = FaultProxy::start(store).await.change_context(SoakError)?;
        let [callers, entry, readiness, peers] = [0; 4].map(|_| free_address());
        let text = format!(
            "host = \"g-{index}\"\nfailure_domain = \"z{}\"\ncaller_listen = \"{callers}\"\n\
             entry_listen = \"{entry}\"\nreadiness_listen = \"{readiness}\"\n\
             peer_listen = \"{peers}\"\nplatform = \"{}\"\n[fleet]\nstop_ms = {}\n\
             retry_ratio = {RETRY_RATIO}\nretry_slack = {RETRY_SLACK}\nretry_window_ms = {}\n",
            index % 4,
            store.address,
            STOP_BOUND.as_millis(),
            RETRY_WINDOW.as_millis(),
        );
        let settings = plan.folder.join(format!("g-{index}.toml"));
        std::fs::write(&settings, text).change_context(SoakError)?;
        let log = plan.folder.join(format!("g-{index}.log"));
        let program = plan.program.clone();
        let mut gateway =
            Self { callers, entry, store, starts: 0, program, settings, log, process: None };
        gateway.spawn()?;
        Ok(gateway)
    }

    /// Starts the process anew; one that still runs is killed.
    pub(crate) fn spawn(&mut self) -> Result<(), Report<SoakError>> {
        self.process = None;
        let settings = self.settings.to_string_lossy().into_owned();
        let arguments = ["gateway", "--settings", &*settings];
        let process = ChildProcess::start(&self.program, &arguments, &self.log);
        self.process = Some(process.change_context(SoakError)?);
        self.starts += 1;
        Ok(())
    }

    /// Kills the process at once.
    pub(crate) fn kill(&mut self) {
        self.process = None;
    }

    pub(crate) fn process(&self) -> Option<&ChildProcess> {
        self.process.as_ref()
    }

    /// Whether the process of a start has ended.
    pub(crate) fn has_ended_since(&mut self, starts: u32) -> bool {
        self.starts != starts
            || self.process.as_mut().is_none_or(|process| process.ended().is_some())
    }
}
