//! Probes: which version is in force on each gateway, and whether it serves.

use std::{rc::Rc, time::Duration};

use fakes::HttpConnection;
use tokio::{net::TcpStream, time::Instant};

use crate::{
    callers::request,
    plan::{CallKind, version_path},
    run::SoakWorld,
};

const PROBE_EVERY: Duration = Duration::from_millis(40);
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeEnd {
    /// The version's route is there.
    InForce,
    /// The version's route is not there.
    Missing,
    /// Nothing is known.
    Unknown,
}

/// A call on the route of one version.
#[derive(Debug, Clone)]
pub(crate) struct VersionProbe {
    pub(crate) gateway: usize,
    /// Starts of the gateway's process so far.
    pub(crate) starts: u32,
    pub(crate) version: u64,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) end: ProbeEnd,
}

/// Probes one gateway after the other until the world stops.
pub(crate) async fn probe_versions(world: Rc<SoakWorld>) {
    let mut number = 0u64;
    while !world.stopped() {
        number += 1;
        let gateway = (number % world.plan.gateways as u64) as usize;
        let (version, sent) = (world.newest_version(), Instant::now());
        let starts = world.gateways.borrow()[gateway].starts;
        let status = call(&world, gateway, &version_path(version), &format!("{number:x}")).await;
        let end = match status {
            200 => ProbeEnd::InForce,
            404 => ProbeEnd::Missing,
            _ => ProbeEnd::Unknown,
        };
        // A process that was replaced meanwhile says nothing of the one before.
        if world.gateways.borrow()[gateway].starts == starts {
            let probe = VersionProbe { gateway, starts, version, sent, ended: Instant::now(), end };
            world.probes.borrow_mut().push(probe);
        }
        tokio::time::sleep(PROBE_EVERY).await;
    }
}

/// Whether a gateway answers a call with what a runner says.
pub(crate) async fn serves(world: &SoakWorld, gateway: usize) -> bool {
    matches!(call(world, gateway, CallKind::Safe.path(), "ready").await, 200 | 500)
}

/// Status of one call on a connection of its own; zero when there is none in time.
async fn call(world: &SoakWorld, gateway: usize, path: &str, id: &str) -> u16 {
    let address = world.callers_of(gateway);
    let called = async {
        let mut connection = HttpConnection::new(TcpStream::connect(address).await.ok()?);
        Some(
            connection
                .ask(&request(path, &format!("probe-{}-{id}", world.plan.seed)))
                .await
                .status(),
        )
    };
    tokio::time::timeout(PROBE_TIMEOUT, called).await.ok().flatten().unwrap_or(0)
}
