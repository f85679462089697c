//! Samples engine load and control traffic while the fleet is under load.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use local_fleet::{HttpClient, LocalFleet};
use serde_json::Value;
use tokio::{sync::oneshot, task::JoinHandle};

use crate::steps::TaskError;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(40);
/// Minimum mean load, in requests, for a sample to count. Below it, a single request makes up most
/// of the mean and skews the ratio.
const MEAN_LOAD_MIN: f64 = 1.0;

/// Samples of the ratio between the load of the busiest engine and the mean load.
#[derive(Debug, Default)]
pub(crate) struct SkewSamples {
    ratios: Vec<f64>,
}

/// Total control bytes sent by each router at one point in time.
#[derive(Debug)]
pub(crate) struct ControlTraffic {
    taken_at: Instant,
    /// One entry for each live router that counts its bytes.
    sent: Vec<(SocketAddr, u64)>,
}

/// Background task that samples the engines' load until `finish` is called.
pub(crate) struct LoadSampler {
    stop: oneshot::Sender<()>,
    samples: JoinHandle<SkewSamples>,
}

impl SkewSamples {
    /// Ratio that the fraction `quantile` of the samples does not exceed.
    pub(crate) fn quantile(&self, quantile: f64) -> Option<f64> {
        let mut sorted = self.ratios.clone();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().checked_sub(1)?;
        sorted.get((quantile * last as f64).round() as usize).copied()
    }
}

impl LoadSampler {
    pub(crate) fn start(fleet: &LocalFleet) -> Self {
        let (stop, stopped) = oneshot::channel();
        let engines = fleet.engines.iter().map(|engine| engine.address).collect();
        let samples = tokio::spawn(sample_loads(fleet.client().clone(), engines, stopped));
        Self { stop, samples }
    }

    pub(crate) async fn finish(self) -> Result<SkewSamples, Report<TaskError>> {
        // The send fails only if the sampler has already stopped.
        let _ = self.stop.send(());
        self.samples.await.change_context(TaskError)
    }
}

impl ControlTraffic {
    /// Mean bytes per second sent by a router between two counts; absent if no router is in both.
    pub(crate) fn rate_until(&self, later: &Self) -> Option<f64> {
        let seconds = later.taken_at.duration_since(self.taken_at).as_secs_f64();
        let rate = |(address, sent): &(SocketAddr, u64)| {
            let earlier = self.sent.iter().find(|(other, _)| other == address)?;
            Some(sent.saturating_sub(earlier.1) as f64 / seconds)
        };
        let rates: Vec<f64> = later.sent.iter().filter_map(rate).collect();
        (!rates.is_empty()).then(|| rates.iter().sum::<f64>() / rates.len() as f64)
    }
}

/// Reads the number of control bytes that each live router has sent.
pub(crate) async fn control_traffic(fleet: &LocalFleet) -> ControlTraffic {
    let mut sent = Vec::new();
    for router in fleet.routers.iter().filter(|router| router.process.is_some()) {
        let status =
            fleet.client().get_json::<Value>(router.operator_address, "/admin/v1/status").await;
        let bytes = status.ok().and_then(|status| status["control"]["sent_bytes"].as_u64());
        sent.extend(bytes.map(|bytes| (router.operator_address, bytes)));
    }
    ControlTraffic { taken_at: Instant::now(), sent }
}

async fn sample_loads(
    caller: HttpClient,
    engines: Vec<SocketAddr>,
    mut stopped: oneshot::Receiver<()>,
) -> SkewSamples {
    let mut samples = SkewSamples::default();
    while stopped.try_recv() == Err(oneshot::error::TryRecvError::Empty) {
        let loads = read_loads(&caller, &engines).await;
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let busiest = loads.iter().copied().fold(0.0, f64::max);
        if mean >= MEAN_LOAD_MIN {
            samples.ratios.push(busiest / mean);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    samples
}

/// Number of requests in flight at each engine; engines that do not answer are skipped.
async fn read_loads(caller: &HttpClient, engines: &[SocketAddr]) -> Vec<f64> {
    let mut loads = Vec::new();
    for engine in engines {
        let Ok(load) = caller.get_json::<Value>(*engine, "/load").await else { continue };
        loads.extend(load["in_flight"].as_f64());
    }
    loads
}
