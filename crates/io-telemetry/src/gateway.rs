//! Metrics of a forwarding router, read by a scrape.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use base_types::message_types;
use error_stack::{Report, ResultExt};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::{
    MetricsError, lines_left_out,
    metrics::{METER, SECONDS_BOUNDS, start_reader},
};

message_types! {
    /// A gauge's value for one subject.
    pub struct GaugeSample {
        /// Name of the gauge, without the program's prefix.
        pub gauge: GatewayGauge,
        /// What the value is of; empty where there is only one.
        pub subject: Box<str>,
        /// The value.
        pub value: f64,
    }
}

/// Gauges of a forwarding router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum GatewayGauge {
    /// Calls in flight.
    Calls,
    /// 1 while the router takes callers.
    Ready,
    /// Open connections of callers.
    CallerConnections,
    /// Other routers heard lately.
    Peers,
    /// Version of the configuration in force.
    ConfigVersion,
    /// Seconds since it was adopted.
    ConfigAge,
    /// Prompt parts whose holders are known.
    PromptParts,
    /// Calls of this router in flight on a target.
    TargetOwnCalls,
    /// Calls of other routers in flight on a target.
    TargetOtherCalls,
    /// Share of all routers' calls to a target that failed lately.
    TargetFailureRate,
    /// Prompt parts that a target is known to hold.
    TargetParts,
    /// Repeats that are left to this router, by pool.
    RetryRoom,
    /// Connections opened to targets since the start.
    TargetConnections,
    /// Calls of the platform since the start.
    PlatformCalls,
    /// Log lines left out since the start.
    LogLinesLeftOut,
    /// Resident memory in bytes.
    ResidentMemory,
}

impl GatewayGauge {
    const ALL: [Self; 16] = [
        Self::Calls,
        Self::Ready,
        Self::CallerConnections,
        Self::Peers,
        Self::ConfigVersion,
        Self::ConfigAge,
        Self::PromptParts,
        Self::TargetOwnCalls,
        Self::TargetOtherCalls,
        Self::TargetFailureRate,
        Self::TargetParts,
        Self::RetryRoom,
        Self::TargetConnections,
        Self::PlatformCalls,
        Self::LogLinesLeftOut,
        Self::ResidentMemory,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Calls => "knapweedport_calls_in_flight",
            Self::Ready => "knapweedport_ready",
            Self::CallerConnections => "knapweedport_caller_connections",
            Self::Peers => "knapweedport_peers",
            Self::ConfigVersion => "knapweedport_config_version",
            Self::ConfigAge => "knapweedport_config_age_seconds",
            Self::PromptParts => "knapweedport_prompt_parts",
            Self::TargetOwnCalls => "knapweedport_target_own_calls",
            Self::TargetOtherCalls => "knapweedport_target_other_calls",
            Self::TargetFailureRate => "knapweedport_target_failure_rate",
            Self::TargetParts => "knapweedport_target_prompt_parts",
            Self::RetryRoom => "knapweedport_retry_room",
            Self::TargetConnections => "knapweedport_target_connections_opened",
            Self::PlatformCalls => "knapweedport_platform_calls",
            Self::LogLinesLeftOut => "knapweedport_log_lines_left_out",
            Self::ResidentMemory => "knapweedport_resident_memory_bytes",
        }
    }
}

type SharedSamples = Arc<Mutex<Vec<GaugeSample>>>;

/// The instruments of one forwarding router.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Keeps the instruments' reader alive.
    _provider: SdkMeterProvider,
    samples: SharedSamples,
    calls: Counter<u64>,
    call_seconds: Histogram<f64>,
    sends: Counter<u64>,
    platform_seconds: Histogram<f64>,
}

impl GatewayMetrics {
    /// Sets up the instruments.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be registered.
    pub fn new() -> Result<Self, Report<MetricsError>> {
        let (registry, provider) = start_reader()?;
        let meter = provider.meter(METER);
        let samples = SharedSamples::default();
        for gauge in GatewayGauge::ALL {
            observe(&meter, gauge, &samples);
        }
        Ok(Self {
            registry,
            samples,
            calls: meter
                .u64_counter("knapweedport_calls")
                .with_description("Calls that ended, by route, outcome and status.")
                .build(),
            call_seconds: histogram(&meter, "knapweedport_call_seconds"),
            sends: meter
                .u64_counter("knapweedport_sends")
                .with_description("Sends to targets that ended, by pool and end.")
                .build(),
            platform_seconds: histogram(&meter, "knapweedport_platform_call_seconds"),
            _provider: provider,
        })
    }

    /// Counts a call that ended.
    pub fn count_call(&self, route: &str, outcome: &'static str, status: u16, elapsed: Duration) {
        let route = KeyValue::new("route", route.to_owned());
        let outcome = KeyValue::new("outcome", outcome);
        self.call_seconds.record(elapsed.as_secs_f64(), &[route.clone(), outcome.clone()]);
        self.calls.add(1, &[route, outcome, KeyValue::new("status", i64::from(status))]);
    }

    /// Counts a send that ended; a repeat is any send of a call after its first.
    pub fn count_send(&self, pool: &str, end: &'static str, repeat: bool) {
        let pool = KeyValue::new("pool", pool.to_owned());
        self.sends.add(1, &[pool, KeyValue::new("end", end), KeyValue::new("repeat", repeat)]);
    }

    /// Counts a call of the platform.
    pub fn count_platform_call(&self, kind: &'static str, answered: bool, elapsed: Duration) {
        let attributes = [KeyValue::new("kind", kind), KeyValue::new("answered", answered)];
        self.platform_seconds.record(elapsed.as_secs_f64(), &attributes);
    }

    /// Takes the state of the router and returns all metrics in Prometheus's text form.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be written as text.
    pub fn scrape(&self, mut samples: Vec<GaugeSample>) -> Result<String, Report<MetricsError>> {
        samples.push(single(GatewayGauge::LogLinesLeftOut, lines_left_out() as f64));
        if let Some(bytes) = resident_bytes() {
            samples.push(single(GatewayGauge::ResidentMemory, bytes));
        }
        *self.samples.lock().unwrap_or_else(PoisonError::into_inner) = samples;
        TextEncoder::new().encode_to_string(&self.registry.gather()).change_context(MetricsError)
    }
}

fn single(gauge: GatewayGauge, value: f64) -> GaugeSample {
    GaugeSample { gauge, subject: "".into(), value }
}

/// Registers a gauge that shows the samples of the latest scrape, so that a target that is gone
/// leaves no series behind.
fn observe(meter: &Meter, gauge: GatewayGauge, samples: &SharedSamples) {
    let samples = samples.clone();
    let callback = move |observer: &dyn opentelemetry::metrics::AsyncInstrument<f64>| {
        let samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
        for sample in samples.iter().filter(|sample| sample.gauge == gauge) {
            let subject = (!sample.subject.is_empty())
                .then(|| KeyValue::new("target", sample.subject.to_string()));
            observer.observe(sample.value, subject.as_slice());
        }
    };
    meter.f64_observable_gauge(gauge.name()).with_callback(callback).build();
}

fn histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter.f64_histogram(name).with_unit("s").with_boundaries(SECONDS_BOUNDS.to_vec()).build()
}

/// Resident memory of the process; none where the system does not tell.
fn resident_bytes() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: f64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kibibytes * 1_024.0)
}
