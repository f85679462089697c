//! Metrics of a router, exposed to scrapes in Prometheus's text format.

use std::{fmt, time::Duration};

use base_types::{HostName, key_types, message_types};
use error_stack::{Report, ResultExt};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// OpenTelemetry instrumentation scope of all instruments.
pub(crate) const METER_NAME: &str = "knapweedport";
/// Upper bounds of the buckets of latency histograms, in seconds.
pub(crate) const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0, 30.0];

/// Error when the exporter cannot be registered or a scrape cannot be encoded.
#[derive(Debug)]
pub struct MetricsError;

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the metrics cannot be set up or read")
    }
}

impl std::error::Error for MetricsError {}

key_types! {
    /// Measurement of one request, taken when its answer starts.
    pub struct RequestSample {
        /// Number of the result code that the answer carries.
        pub code: u16,
        /// Time from the arrival of the request to the start of its answer.
        pub elapsed: Duration,
    }
}

message_types! {
    /// State of one target as this router sees it.
    pub struct TargetSample {
        /// Name of the target, exported as the label `target`.
        pub name: HostName,
        /// Requests of this router in flight at the target.
        pub own_in_flight: u64,
        /// Whether the router may send new requests to the target.
        pub accepts_work: bool,
    }

    /// Control traffic of one kind that this router sent.
    pub struct ControlTraffic {
        /// Kind of traffic, exported as the label `kind`.
        pub kind: &'static str,
        /// Bytes sent since the process started, with IP and UDP headers.
        pub sent_bytes: u64,
    }

    /// Values of all gauges at the time of a scrape.
    pub struct RouterGauges {
        /// Requests that have arrived and whose lifecycle has not ended.
        pub requests_in_flight: u64,
        /// Whether the router is ready for new requests.
        pub ready: bool,
        /// Known versions of rows and tombstones, in force or not.
        pub row_versions: u64,
        /// Calls made to the platform since the process started; a watch that waits counts as one.
        pub platform_calls: u64,
        /// All targets that the router knows.
        pub targets: Vec<TargetSample>,
        /// Sent control traffic, one entry per kind.
        pub control: Vec<ControlTraffic>,
    }
}

/// The instruments of one router process.
#[derive(Debug)]
pub struct RouterMetrics {
    registry: Registry,
    /// Owns the reader of the instruments; when dropped, the registry has no metrics.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    answer_seconds: Histogram<f64>,
    in_flight: Gauge<u64>,
    ready: Gauge<u64>,
    row_versions: Gauge<u64>,
    platform_calls: Gauge<u64>,
    target_in_flight: Gauge<u64>,
    target_open: Gauge<u64>,
    control_bytes: Gauge<u64>,
}

impl RouterMetrics {
    /// Registers all instruments with a new registry.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be registered.
    pub fn new() -> Result<Self, Report<MetricsError>> {
        let (registry, provider) = create_registry()?;
        let meter = provider.meter(METER_NAME);
        Ok(Self {
            registry,
            requests: meter
                .u64_counter("knapweedport_requests")
                .with_description("Requests whose answer began, by result code.")
                .build(),
            answer_seconds: meter
                .f64_histogram("knapweedport_answer_begin_seconds")
                .with_description("Time from a request's arrival until its answer began.")
                .with_boundaries(LATENCY_BUCKETS_SECONDS.to_vec())
                .build(),
            in_flight: gauge(&meter, "knapweedport_requests_in_flight", "Requests not yet ended."),
            ready: gauge(&meter, "knapweedport_ready", "1 while the router takes new work."),
            row_versions: gauge(
                &meter,
                "knapweedport_table_rows",
                "Rows in force, with tombstones.",
            ),
            platform_calls: gauge(
                &meter,
                "knapweedport_platform_calls",
                "Calls of the platform made since the start.",
            ),
            target_in_flight: gauge(
                &meter,
                "knapweedport_target_own_in_flight",
                "Requests of this router that a target runs.",
            ),
            target_open: gauge(
                &meter,
                "knapweedport_target_open",
                "1 while a target takes new work.",
            ),
            control_bytes: gauge(
                &meter,
                "knapweedport_control_sent_bytes",
                "Bytes of control traffic sent on the wire, by kind.",
            ),
            _provider: provider,
        })
    }

    /// Counts a request when its answer starts.
    pub fn count_request(&self, sample: RequestSample) {
        let code = [KeyValue::new("code", i64::from(sample.code))];
        self.requests.add(1, &code);
        self.answer_seconds.record(sample.elapsed.as_secs_f64(), &[]);
    }

    /// Sets the gauges and returns all metrics in Prometheus's text format. The series of a removed
    /// target keeps its last value.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be written as text.
    pub fn scrape(&self, gauges: &RouterGauges) -> Result<String, Report<MetricsError>> {
        self.in_flight.record(gauges.requests_in_flight, &[]);
        self.ready.record(u64::from(gauges.ready), &[]);
        self.row_versions.record(gauges.row_versions, &[]);
        self.platform_calls.record(gauges.platform_calls, &[]);
        for target in &gauges.targets {
            let name = [KeyValue::new("target", target.name.as_str().to_owned())];
            self.target_in_flight.record(target.own_in_flight, &name);
            self.target_open.record(u64::from(target.accepts_work), &name);
        }
        for control in &gauges.control {
            self.control_bytes.record(control.sent_bytes, &[KeyValue::new("kind", control.kind)]);
        }
        TextEncoder::new().encode_to_string(&self.registry.gather()).change_context(MetricsError)
    }
}

/// Creates a registry for scrapes, and the meter provider that must be kept alive to feed it.
pub(crate) fn create_registry() -> Result<(Registry, SdkMeterProvider), Report<MetricsError>> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .scope_info_enabled(false)
        .without_target_info()
        .build()
        .change_context(MetricsError)?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    Ok((registry, provider))
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}
