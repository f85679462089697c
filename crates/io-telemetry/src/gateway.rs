//! Metrics of a gateway (a router that forwards plain HTTP calls), exposed to scrapes.

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
    MetricsError, dropped_lines,
    metrics::{LATENCY_BUCKETS_SECONDS, METER_NAME, create_registry},
};

message_types! {
    /// Value of a gauge at the time of a scrape, for the router or for one of its targets or pools.
    pub struct GaugeSample {
        /// Gauge that the value belongs to.
        pub gauge: GatewayGauge,
        /// Target or pool that the value is about, exported as the label `target`; empty when the
        /// value is about the router.
        pub subject: Box<str>,
        /// Value in the unit of the exported metric.
        pub value: f64,
    }
}

/// Gauges of a gateway; their values are collected at each scrape.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum GatewayGauge {
    /// Calls of callers in flight at this router.
    CallsInFlight,
    /// 1 while the router is ready for callers, else 0.
    Ready,
    /// Open connections from callers.
    CallerConnections,
    /// Number of other routers whose heartbeats were received recently.
    Peers,
    /// Version of the configuration in force.
    ConfigVersion,
    /// Seconds since the configuration in force was adopted.
    ConfigAge,
    /// Number of prompt segments that at least one target is known to have cached.
    PromptSegments,
    /// Pieces of content that are refused because targets crashed while they ran them.
    BlockedContent,
    /// Pools none of whose targets accepts connections of this router.
    UnreachablePools,
    /// Resumable streams whose origins are known.
    StreamOrigins,
    /// Whether the router records the origins of streams in the platform.
    RecordingOrigins,
    /// Origins of streams that were dropped because too many were known.
    DroppedOrigins,
    /// Calls of this router in flight at a target.
    TargetOwnCalls,
    /// Calls of other routers in flight at a target, from their latest heartbeats.
    TargetOtherCalls,
    /// Fraction (0 to 1) of all routers' recent calls to a target that failed.
    TargetFailureRate,
    /// Limit in calls a second that a target names; absent while it names none.
    TargetRateLimit,
    /// Number of prompt segments that a target is known to have cached.
    TargetSegments,
    /// Retries left in this router's part of a pool's retry budget.
    RetriesLeft,
    /// Connections opened to targets since the process started.
    ConnectionsOpened,
    /// Calls made to the platform since the process started.
    PlatformCalls,
    /// Log lines dropped since the process started; see [`dropped_lines`].
    DroppedLogLines,
    /// Bytes held for callers and targets; absent without a memory budget.
    HeldBytes,
    /// Bytes that may be held for callers and targets; absent without a memory budget.
    HeldBytesMax,
    /// Resident memory of the process in bytes; absent where the system does not report it.
    ResidentMemory,
}

impl GatewayGauge {
    const ALL: [Self; 24] = [
        Self::CallsInFlight,
        Self::Ready,
        Self::CallerConnections,
        Self::Peers,
        Self::ConfigVersion,
        Self::ConfigAge,
        Self::PromptSegments,
        Self::BlockedContent,
        Self::UnreachablePools,
        Self::StreamOrigins,
        Self::RecordingOrigins,
        Self::DroppedOrigins,
        Self::TargetOwnCalls,
        Self::TargetOtherCalls,
        Self::TargetFailureRate,
        Self::TargetRateLimit,
        Self::TargetSegments,
        Self::RetriesLeft,
        Self::ConnectionsOpened,
        Self::PlatformCalls,
        Self::DroppedLogLines,
        Self::HeldBytes,
        Self::HeldBytesMax,
        Self::ResidentMemory,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::CallsInFlight => "knapweedport_calls_in_flight",
            Self::Ready => "knapweedport_ready",
            Self::CallerConnections => "knapweedport_caller_connections",
            Self::Peers => "knapweedport_peers",
            Self::ConfigVersion => "knapweedport_config_version",
            Self::ConfigAge => "knapweedport_config_age_seconds",
            Self::PromptSegments => "knapweedport_prompt_parts",
            Self::BlockedContent => "knapweedport_blocked_content",
            Self::UnreachablePools => "knapweedport_unreachable_pools",
            Self::StreamOrigins => "knapweedport_stream_origins",
            Self::RecordingOrigins => "knapweedport_recording_origins",
            Self::DroppedOrigins => "knapweedport_dropped_stream_origins",
            Self::TargetOwnCalls => "knapweedport_target_own_calls",
            Self::TargetOtherCalls => "knapweedport_target_other_calls",
            Self::TargetFailureRate => "knapweedport_target_failure_rate",
            Self::TargetRateLimit => "knapweedport_target_rate_limit",
            Self::TargetSegments => "knapweedport_target_prompt_parts",
            Self::RetriesLeft => "knapweedport_retry_room",
            Self::ConnectionsOpened => "knapweedport_target_connections_opened",
            Self::PlatformCalls => "knapweedport_platform_calls",
            Self::DroppedLogLines => "knapweedport_log_lines_left_out",
            Self::HeldBytes => "knapweedport_held_bytes",
            Self::HeldBytesMax => "knapweedport_held_bytes_max",
            Self::ResidentMemory => "knapweedport_resident_memory_bytes",
        }
    }
}

type SharedSamples = Arc<Mutex<Vec<GaugeSample>>>;

/// The instruments of one gateway process.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Owns the reader of the instruments; when dropped, the registry has no metrics.
    _provider: SdkMeterProvider,
    samples: SharedSamples,
    calls: Counter<u64>,
    call_seconds: Histogram<f64>,
    attempts: Counter<u64>,
    detours: Counter<u64>,
    response_ends: Counter<u64>,
    memory_ends: Counter<u64>,
    platform_seconds: Histogram<f64>,
}

impl GatewayMetrics {
    /// Registers all instruments with a new registry.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be registered.
    pub fn new() -> Result<Self, Report<MetricsError>> {
        let (registry, provider) = create_registry()?;
        let meter = provider.meter(METER_NAME);
        let samples = SharedSamples::default();
        for gauge in GatewayGauge::ALL {
            register_gauge(&meter, gauge, &samples);
        }
        Ok(Self {
            registry,
            samples,
            calls: meter
                .u64_counter("knapweedport_calls")
                .with_description("Calls that ended, by route, outcome and status.")
                .build(),
            call_seconds: histogram(&meter, "knapweedport_call_seconds"),
            attempts: meter
                .u64_counter("knapweedport_sends")
                .with_description("Sends to targets that ended, by pool and end.")
                .build(),
            detours: meter
                .u64_counter("knapweedport_detours")
                .with_description("Calls sent through another router, by pool and end.")
                .build(),
            response_ends: meter
                .u64_counter("knapweedport_response_ends")
                .with_description(
                    "Responses of targets whose body ended, by framing, end and position.",
                )
                .build(),
            memory_ends: meter
                .u64_counter("knapweedport_memory_ends")
                .with_description("Calls refused or ended for want of memory, by end.")
                .build(),
            platform_seconds: histogram(&meter, "knapweedport_platform_call_seconds"),
            _provider: provider,
        })
    }

    /// Counts a call when its answer has ended; `elapsed` is the time since its arrival.
    pub fn count_call(&self, route: &str, outcome: &'static str, status: u16, elapsed: Duration) {
        let route = KeyValue::new("route", route.to_owned());
        let outcome = KeyValue::new("outcome", outcome);
        self.call_seconds.record(elapsed.as_secs_f64(), &[route.clone(), outcome.clone()]);
        self.calls.add(1, &[route, outcome, KeyValue::new("status", i64::from(status))]);
    }

    /// Counts an attempt when it has ended; `is_retry` is true for all but the first of a call.
    pub fn count_attempt(&self, pool: &str, outcome: &'static str, is_retry: bool) {
        let pool = KeyValue::new("pool", pool.to_owned());
        self.attempts
            .add(1, &[pool, KeyValue::new("end", outcome), KeyValue::new("repeat", is_retry)]);
    }

    /// Counts a call that was sent through another router, when that has ended.
    pub fn count_detour(&self, pool: &str, outcome: &'static str) {
        let pool = KeyValue::new("pool", pool.to_owned());
        self.detours.add(1, &[pool, KeyValue::new("end", outcome)]);
    }

    /// Counts a response of a target when its body has ended, completely or not.
    pub fn count_response_end(
        &self,
        framing: &'static str,
        outcome: &'static str,
        inside_event: bool,
    ) {
        let labels = [
            KeyValue::new("framing", framing),
            KeyValue::new("end", outcome),
            KeyValue::new("inside_event", inside_event),
        ];
        self.response_ends.add(1, &labels);
    }

    /// Counts a call that ended because bytes could not be held or passed on: `refused` before its body
    /// was read, `answer` for an answer that did not fit, `unread` for a stream that its caller left
    /// unread.
    pub fn count_memory_end(&self, end: &'static str) {
        self.memory_ends.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a call to the platform; `succeeded` is the value of its label `answered`.
    pub fn count_platform_call(&self, kind: &'static str, succeeded: bool, elapsed: Duration) {
        let attributes = [KeyValue::new("kind", kind), KeyValue::new("answered", succeeded)];
        self.platform_seconds.record(elapsed.as_secs_f64(), &attributes);
    }

    /// Sets the gauges to `samples` and returns all metrics in Prometheus's text format.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be written as text.
    pub fn scrape(&self, mut samples: Vec<GaugeSample>) -> Result<String, Report<MetricsError>> {
        samples.push(unlabeled(GatewayGauge::DroppedLogLines, dropped_lines() as f64));
        if let Some(bytes) = resident_bytes() {
            samples.push(unlabeled(GatewayGauge::ResidentMemory, bytes));
        }
        *self.samples.lock().unwrap_or_else(PoisonError::into_inner) = samples;
        TextEncoder::new().encode_to_string(&self.registry.gather()).change_context(MetricsError)
    }
}

fn unlabeled(gauge: GatewayGauge, value: f64) -> GaugeSample {
    GaugeSample { gauge, subject: "".into(), value }
}

/// Registers a gauge that reports only the samples of the latest scrape, so that the series of a
/// removed target ends.
fn register_gauge(meter: &Meter, gauge: GatewayGauge, samples: &SharedSamples) {
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
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(LATENCY_BUCKETS_SECONDS.to_vec())
        .build()
}

/// Resident memory of the process in bytes; `None` where `/proc` does not report it.
fn resident_bytes() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: f64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kibibytes * 1_024.0)
}
