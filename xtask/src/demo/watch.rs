//! What is seen of the fleet while it is used: load of the engines and control traffic.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use local_fleet::{HttpCaller, LocalFleet};
use serde_json::Value;
use tokio::{sync::oneshot, task::JoinHandle};

use crate::steps::TaskError;

const SAMPLE_GAP: Duration = Duration::from_millis(40);
/// Mean load, in requests, from which a sample counts; below it one request is most of a mean.
const MEAN_MIN: f64 = 1.0;

/// The busiest engine over the mean of all, in samples.
#[derive(Debug, Default)]
pub(crate) struct SkewSamples {
    ratios: Vec<f64>,
}

/// Control bytes that each router had sent at one moment.
#[derive(Debug)]
pub(crate) struct ControlCount {
    taken: Instant,
    /// One entry a live router that counts its bytes.
    sent: Vec<(SocketAddr, u64)>,
}

/// Samples the engines' load until it is finished.
pub(crate) struct FleetWatch {
    stop: oneshot::Sender<()>,
    samples: JoinHandle<SkewSamples>,
}

impl SkewSamples {
    /// The ratio that a share of the samples does not exceed.
    pub(crate) fn quantile(&self, share: f64) -> Option<f64> {
        let mut sorted = self.ratios.clone();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().checked_sub(1)?;
        sorted.get((share * last as f64).round() as usize).copied()
    }
}

impl FleetWatch {
    pub(crate) fn start(fleet: &LocalFleet) -> Self {
        let (stop, stopped) = oneshot::channel();
        let engines = fleet.engines.iter().map(|engine| engine.address).collect();
        let samples = tokio::spawn(sample(fleet.caller().clone(), engines, stopped));
        Self { stop, samples }
    }

    pub(crate) async fn finish(self) -> Result<SkewSamples, Report<TaskError>> {
        // A sampler that has ended needs no word.
        let _ = self.stop.send(());
        self.samples.await.change_context(TaskError)
    }
}

impl ControlCount {
    /// Mean bytes that a router sent each second; absent where no router counts them.
    pub(crate) fn rate_until(&self, later: &Self) -> Option<f64> {
        let seconds = later.taken.duration_since(self.taken).as_secs_f64();
        let spent = |(address, sent): &(SocketAddr, u64)| {
            let earlier = self.sent.iter().find(|(other, _)| other == address)?;
            Some(sent.saturating_sub(earlier.1) as f64 / seconds)
        };
        let rates: Vec<f64> = later.sent.iter().filter_map(spent).collect();
        (!rates.is_empty()).then(|| rates.iter().sum::<f64>() / rates.len() as f64)
    }
}

/// Reads how many control bytes each live router has sent.
pub(crate) async fn control_bytes(fleet: &LocalFleet) -> ControlCount {
    let mut sent = Vec::new();
    for router in fleet.routers.iter().filter(|router| router.process.is_some()) {
        let status = fleet.caller().read::<Value>(router.operator, "/admin/v1/status").await;
        let bytes = status.ok().and_then(|status| status["control"]["sent_bytes"].as_u64());
        sent.extend(bytes.map(|bytes| (router.operator, bytes)));
    }
    ControlCount { taken: Instant::now(), sent }
}

async fn sample(
    caller: HttpCaller,
    engines: Vec<SocketAddr>,
    mut stopped: oneshot::Receiver<()>,
) -> SkewSamples {
    let mut samples = SkewSamples::default();
    while stopped.try_recv() == Err(oneshot::error::TryRecvError::Empty) {
        let loads = read_loads(&caller, &engines).await;
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let busiest = loads.iter().copied().fold(0.0, f64::max);
        if mean >= MEAN_MIN {
            samples.ratios.push(busiest / mean);
        }
        tokio::time::sleep(SAMPLE_GAP).await;
    }
    samples
}

/// Requests that each live engine runs; an engine that is gone is left out.
async fn read_loads(caller: &HttpCaller, engines: &[SocketAddr]) -> Vec<f64> {
    let mut loads = Vec::new();
    for engine in engines {
        let Ok(load) = caller.read::<Value>(*engine, "/load").await else { continue };
        loads.extend(load["in_flight"].as_f64());
    }
    loads
}
