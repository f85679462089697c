//! Probes that find which configuration version a gateway has in force, and whether it serves.

use std::{rc::Rc, time::Duration};

use fakes::HttpConnection;
use tokio::{net::TcpStream, time::Instant};

use crate::{
    callers::request,
    plan::{CallKind, version_path},
    run::SoakCluster,
};

const PROBE_INTERVAL: Duration = Duration::from_millis(40);
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of a probe; the names of the variants are printed in verdict lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// The route of the version answers.
    InForce,
    /// The route of the version does not exist.
    Missing,
    /// The gateway gave no answer, or one that does not tell whether the route exists.
    Unknown,
}

/// A call on the route that one version adds.
///
/// The names of its fields are printed in verdict lines.
#[derive(Debug, Clone)]
pub(crate) struct VersionProbe {
    pub(crate) gateway: usize,
    /// Number of process starts of the gateway before the probe.
    pub(crate) starts: u32,
    pub(crate) version: u64,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) end: ProbeOutcome,
}

/// Probes the gateways in turn until the soak stops.
pub(crate) async fn probe_versions(cluster: Rc<SoakCluster>) {
    let mut number = 0u64;
    while !cluster.is_stopped() {
        number += 1;
        let gateway = (number % cluster.plan.gateways as u64) as usize;
        let (version, sent) = (cluster.newest_version(), Instant::now());
        let starts = cluster.gateways.borrow()[gateway].starts;
        let status = call(&cluster, gateway, &version_path(version), &format!("{number:x}")).await;
        let end = match status {
            200 => ProbeOutcome::InForce,
            404 => ProbeOutcome::Missing,
            _ => ProbeOutcome::Unknown,
        };
        // An answer of a process that was started during the probe says nothing about the previous
        // process.
        if cluster.gateways.borrow()[gateway].starts == starts {
            let probe = VersionProbe { gateway, starts, version, sent, ended: Instant::now(), end };
            cluster.probes.borrow_mut().push(probe);
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Whether a runner's answer (status 200 or 500) comes back through a gateway.
pub(crate) async fn is_serving(cluster: &SoakCluster, gateway: usize) -> bool {
    matches!(call(cluster, gateway, CallKind::Safe.path(), "ready").await, 200 | 500)
}

/// Status of one call on a new connection; zero when no answer comes in time.
async fn call(cluster: &SoakCluster, gateway: usize, path: &str, id: &str) -> u16 {
    let address = cluster.gateway_caller_address(gateway);
    let probed = async {
        let mut connection = HttpConnection::new(TcpStream::connect(address).await.ok()?);
        Some(
            connection
                .request(&request(path, &format!("probe-{}-{id}", cluster.plan.seed)))
                .await
                .status(),
        )
    };
    tokio::time::timeout(PROBE_TIMEOUT, probed).await.ok().flatten().unwrap_or(0)
}
