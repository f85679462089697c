//! Structured logs and metrics of a router process.
//!
//! Logs are lines on standard error, with typed fields beside the message. Metrics are
//! OpenTelemetry instruments that a scrape reads in Prometheus's text form.

mod logs;
mod metrics;

pub use crate::{
    logs::{format_record, start_logs},
    metrics::{ControlGauge, FleetGauges, MetricsError, RequestSample, RouterMetrics, TargetGauge},
};
