//! Structured logs and metrics of a router process.
//!
//! A log line has typed fields beside its message. Lines go to standard error, or to standard
//! output through a sink that never blocks. Metrics are OpenTelemetry instruments that are scraped
//! in Prometheus's text format.

mod account;
mod gateway;
mod logs;
mod metrics;
mod sink;

pub use crate::{
    account::CallHistory,
    gateway::{GatewayGauge, GatewayMetrics, GaugeSample},
    logs::{LogOutput, format_record, init_logging},
    metrics::{
        ControlTraffic, MetricsError, RequestSample, RouterGauges, RouterMetrics, TargetSample,
    },
    sink::{LineSink, dropped_lines},
};
