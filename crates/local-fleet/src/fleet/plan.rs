//! Size and timing of a fleet.

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

/// Size and timing of a fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    pub(super) programs: PathBuf,
    pub(super) workdir: PathBuf,
    pub(super) routers: usize,
    pub(super) domains: usize,
    pub(super) engines: usize,
    pub(super) services: usize,
    pub(super) host_lag: Duration,
    pub(super) linger_time: Duration,
    pub(super) drain_timeout: Duration,
    pub(super) model_load_interval: Duration,
}

impl FleetPlan {
    /// A fleet of the size that users run: 7 routers in 4 failure domains, 12 engines, 4 services.
    ///
    /// `programs` is the folder of the built binaries; settings and logs are written to `workdir`.
    pub fn new(programs: &Path, workdir: &Path) -> Self {
        Self {
            programs: programs.to_owned(),
            workdir: workdir.to_owned(),
            routers: 7,
            domains: 4,
            engines: 12,
            services: 4,
            host_lag: Duration::from_millis(500),
            model_load_interval: Duration::from_secs(10),
            linger_time: Duration::from_secs(12),
            drain_timeout: Duration::from_secs(600),
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

    /// Sets the shortest time between two orders to engines to load a model.
    #[must_use]
    pub fn model_load_interval(self, model_load_interval: Duration) -> Self {
        Self { model_load_interval, ..self }
    }

    /// Sets the delay until a change of the platform's host list becomes visible.
    #[must_use]
    pub fn host_lag(self, host_lag: Duration) -> Self {
        Self { host_lag, ..self }
    }

    /// Sets how long a stopping router still accepts new calls (`[stop] linger_ms`).
    #[must_use]
    pub fn linger_time(self, linger_time: Duration) -> Self {
        Self { linger_time, ..self }
    }

    /// Sets the time after which a stopping router cuts off the calls in flight.
    #[must_use]
    pub fn drain_timeout(self, drain_timeout: Duration) -> Self {
        Self { drain_timeout, ..self }
    }
}
