//! What a fleet consists of.

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

/// What a fleet consists of.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    pub(super) programs: PathBuf,
    pub(super) workdir: PathBuf,
    pub(super) routers: usize,
    pub(super) domains: usize,
    pub(super) engines: usize,
    pub(super) services: usize,
    pub(super) host_lag: Duration,
    pub(super) linger: Duration,
    pub(super) drain: Duration,
    pub(super) load_every: Duration,
}

impl FleetPlan {
    /// The fleet of today's users: 7 routers in 4 failure domains, 12 engines, 4 services.
    ///
    /// `programs` holds the built binaries; settings and logs go to `workdir`.
    pub fn new(programs: &Path, workdir: &Path) -> Self {
        Self {
            programs: programs.to_owned(),
            workdir: workdir.to_owned(),
            routers: 7,
            domains: 4,
            engines: 12,
            services: 4,
            host_lag: Duration::from_millis(500),
            load_every: Duration::from_secs(10),
            linger: Duration::from_secs(12),
            drain: Duration::from_secs(600),
        }
    }

    /// Sets the number of routers.
    #[must_use]
    pub fn routers(self, routers: usize) -> Self {
        Self { routers, ..self }
    }

    /// Sets the number of failure domains.
    #[must_use]
    pub fn domains(self, domains: usize) -> Self {
        Self { domains, ..self }
    }

    /// Sets the number of engines.
    #[must_use]
    pub fn engines(self, engines: usize) -> Self {
        Self { engines, ..self }
    }

    /// Sets the number of plain services.
    #[must_use]
    pub fn services(self, services: usize) -> Self {
        Self { services, ..self }
    }

    /// Sets the least time between two loads of engines.
    #[must_use]
    pub fn load_every(self, load_every: Duration) -> Self {
        Self { load_every, ..self }
    }

    /// Sets how long the platform's host list lags.
    #[must_use]
    pub fn host_lag(self, host_lag: Duration) -> Self {
        Self { host_lag, ..self }
    }

    /// Sets how long a leaving router serves new callers.
    #[must_use]
    pub fn linger(self, linger: Duration) -> Self {
        Self { linger, ..self }
    }

    /// Sets after how long a leaving router cuts off what is left.
    #[must_use]
    pub fn drain(self, drain: Duration) -> Self {
        Self { drain, ..self }
    }
}
