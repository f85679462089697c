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
        /// Target or pool that the value is about, exported as the label `target`, or format of routers,
        /// exported as the label `format`; empty when the value is about the router.
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
    /// Number of other routers whose heartbeats were received recently, by the format that they read.
    PeersByFormat,
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
    /// Failure domains that the operator has evacuated.
    EvacuatedDomains,
    /// Seconds for which a target stays cold.
    TargetColdSeconds,
    /// Calls of this router in flight at a target.
    TargetOwnCalls,
    /// Calls of other routers in flight at a target, from their latest heartbeats.
    TargetOtherCalls,
    /// Fraction (0 to 1) of all routers' recent calls to a target that failed.
    TargetFailureRate,
    /// Limit in calls a second that a target names; absent while it names none.
    TargetRateLimit,
    /// Rejections a second that a target says it bears; absent if it is not fragile.
    TargetRejectionLimit,
    /// Calls that hold one of the places of a fragile target that this router keeps; absent without any.
    TargetLeasedPlaces,
    /// Calls of this router that a target declined since it was first listed.
    TargetDeclinedCalls,
    /// Time that work takes on a target as a multiple of its pool's median; absent while routers do not
    /// adapt to it.
    TargetSlowdown,
    /// Calls that a target takes at once without slowing down; absent likewise.
    TargetConcurrency,
    /// Number of prompt segments that a target is known to have cached.
    TargetSegments,
    /// Calls of a pool and rank that wait for a target with room; the label is `pool/rank`.
    WaitingCalls,
    /// Retries left in this router's part of a pool's retry budget.
    RetriesLeft,
    /// Connections opened to targets since the process started.
    ConnectionsOpened,
    /// Calls made to the platform since the process started.
    PlatformCalls,
    /// Log lines dropped since the process started; see [`dropped_lines`].
    DroppedLogLines,
    /// Calls per second that this router can carry by its settings; absent where they state nothing.
    RouterWeight,
    /// Use of the resource of this router that is used most, 1 at its limit; absent like the weight.
    RouterLoad,
    /// Routers in the last answer to a caller that asked which addresses to use.
    NamedRouters,
    /// Bytes held for callers and targets; absent without a memory budget.
    HeldBytes,
    /// Bytes that may be held for callers and targets; absent without a memory budget.
    HeldBytesMax,
    /// Resident memory of the process in bytes; absent where the system does not report it.
    ResidentMemory,
}

impl GatewayGauge {
    const ALL: [Self; 36] = [
        Self::CallsInFlight,
        Self::Ready,
        Self::CallerConnections,
        Self::Peers,
        Self::PeersByFormat,
        Self::ConfigVersion,
        Self::ConfigAge,
        Self::PromptSegments,
        Self::BlockedContent,
        Self::UnreachablePools,
        Self::StreamOrigins,
        Self::RecordingOrigins,
        Self::DroppedOrigins,
        Self::EvacuatedDomains,
        Self::TargetColdSeconds,
        Self::TargetOwnCalls,
        Self::TargetOtherCalls,
        Self::TargetFailureRate,
        Self::TargetRateLimit,
        Self::TargetRejectionLimit,
        Self::TargetLeasedPlaces,
        Self::TargetDeclinedCalls,
        Self::TargetSlowdown,
        Self::TargetConcurrency,
        Self::TargetSegments,
        Self::WaitingCalls,
        Self::RetriesLeft,
        Self::ConnectionsOpened,
        Self::PlatformCalls,
        Self::DroppedLogLines,
        Self::RouterWeight,
        Self::RouterLoad,
        Self::NamedRouters,
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
            Self::PeersByFormat => "knapweedport_peers_by_format",
            Self::ConfigVersion => "knapweedport_config_version",
            Self::ConfigAge => "knapweedport_config_age_seconds",
            Self::PromptSegments => "knapweedport_prompt_parts",
            Self::BlockedContent => "knapweedport_blocked_content",
            Self::UnreachablePools => "knapweedport_unreachable_pools",
            Self::StreamOrigins => "knapweedport_stream_origins",
            Self::RecordingOrigins => "knapweedport_recording_origins",
            Self::DroppedOrigins => "knapweedport_dropped_stream_origins",
            Self::EvacuatedDomains => "knapweedport_evacuated_domains",
            Self::TargetColdSeconds => "knapweedport_target_cold_seconds",
            Self::TargetOwnCalls => "knapweedport_target_own_calls",
            Self::TargetOtherCalls => "knapweedport_target_other_calls",
            Self::TargetFailureRate => "knapweedport_target_failure_rate",
            Self::TargetRateLimit => "knapweedport_target_rate_limit",
            Self::TargetRejectionLimit => "knapweedport_target_rejection_limit",
            Self::TargetLeasedPlaces => "knapweedport_target_leased_places",
            Self::TargetDeclinedCalls => "knapweedport_target_declined_calls",
            Self::TargetSlowdown => "knapweedport_target_slowdown",
            Self::TargetConcurrency => "knapweedport_target_concurrency",
            Self::TargetSegments => "knapweedport_target_prompt_parts",
            Self::WaitingCalls => "knapweedport_waiting_calls",
            Self::RetriesLeft => "knapweedport_retry_room",
            Self::ConnectionsOpened => "knapweedport_target_connections_opened",
            Self::PlatformCalls => "knapweedport_platform_calls",
            Self::DroppedLogLines => "knapweedport_log_lines_left_out",
            Self::RouterWeight => "knapweedport_router_weight",
            Self::RouterLoad => "knapweedport_router_load",
            Self::NamedRouters => "knapweedport_named_routers",
            Self::HeldBytes => "knapweedport_held_bytes",
            Self::HeldBytesMax => "knapweedport_held_bytes_max",
            Self::ResidentMemory => "knapweedport_resident_memory_bytes",
        }
    }

    /// Label under which the subjects of the gauge's samples are exported.
    fn subject_label(self) -> &'static str {
        match self {
            Self::PeersByFormat => "format",
            _ => "target",
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
    wait_seconds: Histogram<f64>,
    sheds: Counter<u64>,
    response_ends: Counter<u64>,
    peer_messages: Counter<u64>,
    unknown_records: Counter<u64>,
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
            wait_seconds: histogram(&meter, "knapweedport_wait_seconds"),
            sheds: meter
                .u64_counter("knapweedport_calls_shed")
                .with_description(
                    "Calls refused as waiting would not serve them, by pool, rank and reason.",
                )
                .build(),
            response_ends: meter
                .u64_counter("knapweedport_response_ends")
                .with_description(
                    "Responses of targets whose body ended, by framing, end and position.",
                )
                .build(),
            peer_messages: meter
                .u64_counter("knapweedport_peer_messages")
                .with_description("Messages received from other routers, by kind and end.")
                .build(),
            unknown_records: meter
                .u64_counter("knapweedport_peer_unknown_records")
                .with_description("Records of unknown kinds in messages of other routers.")
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

    /// Counts a call that waited for a target with room, when the wait has ended.
    pub fn count_wait(&self, pool: &str, rank: u8, outcome: &'static str, waited: Duration) {
        let labels = [
            KeyValue::new("pool", pool.to_owned()),
            KeyValue::new("rank", i64::from(rank)),
            KeyValue::new("end", outcome),
        ];
        self.wait_seconds.record(waited.as_secs_f64(), &labels);
    }

    /// Counts a call that was refused because waiting would not serve it.
    pub fn count_shed(&self, pool: &str, rank: u8, reason: &'static str) {
        let labels = [
            KeyValue::new("pool", pool.to_owned()),
            KeyValue::new("rank", i64::from(rank)),
            KeyValue::new("reason", reason),
        ];
        self.sheds.add(1, &labels);
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

    /// Counts a message received from another router, and its records of unknown kinds.
    pub fn count_peer_message(
        &self,
        kind: &'static str,
        outcome: &'static str,
        unknown_records: usize,
    ) {
        let kind = KeyValue::new("kind", kind);
        if unknown_records > 0 {
            self.unknown_records.add(unknown_records as u64, std::slice::from_ref(&kind));
        }
        self.peer_messages.add(1, &[kind, KeyValue::new("end", outcome)]);
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
                .then(|| KeyValue::new(gauge.subject_label(), sample.subject.to_string()));
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
