//! Result table and verdict of the demonstration.

use std::time::Duration;

use error_stack::Report;

use crate::{
    demo::{chats::ChatTally, payments::PaymentTally, watch::SkewSamples},
    steps::TaskError,
};

/// Results of the demonstration.
#[derive(Debug, Default)]
pub(crate) struct DemoReport {
    pub(crate) edit_delay: Duration,
    pub(crate) chats: ChatTally,
    pub(crate) payments: PaymentTally,
    pub(crate) skew: SkewSamples,
    pub(crate) control_rate: Option<f64>,
    pub(crate) duplicate_executions: usize,
}

impl DemoReport {
    pub(crate) fn print(&self) {
        let row = |name: &str, value: String| println!("{name:<42} {value}");
        let Self { chats, payments, .. } = self;
        row("edit in force on every router after", format!("{} ms", self.edit_delay.as_millis()));
        row("chat turns answered completely", format!("{} of {}", chats.complete, chats.turns));
        row("  retries", chats.retries.to_string());
        let reuse = chats.cached_bytes as f64 / chats.prompt_bytes.max(1) as f64;
        row("prompt bytes reused", format!("{reuse:.2}"));
        row("busiest engine over mean, p50 and p99", self.skew_text());
        row("payments confirmed", format!("{} of {}", payments.confirmed, payments.payments));
        row("  outcome unknown, for an operator to settle", payments.unknown.to_string());
        row("  retries", payments.retries.to_string());
        row("  second answer differs from the first", payments.mismatched.to_string());
        row("operations executed more than once", self.duplicate_executions.to_string());
        let control = self.control_rate.map(|rate| format!("{rate:.0}"));
        row("control bytes per router per second", control.unwrap_or("not counted".to_owned()));
    }

    /// Fails with a list of all violated guarantees.
    pub(crate) fn check(&self) -> Result<(), Report<TaskError>> {
        let Self { chats, payments, .. } = self;
        let settled = payments.confirmed + payments.unknown;
        let checks = [
            (chats.complete < chats.turns, "a chat turn did not get a complete answer"),
            (self.duplicate_executions > 0, "an operation was executed more than once"),
            (payments.mismatched > 0, "a payment sent again got a different answer"),
            (settled < payments.payments, "a payment has no result"),
        ];
        let violations: Vec<&str> =
            checks.into_iter().filter(|(violated, _)| *violated).map(|(_, text)| text).collect();
        if violations.is_empty() {
            println!("no violations");
            return Ok(());
        }
        let report = Report::new(TaskError);
        Err(violations.into_iter().fold(report, |report, text| report.attach(text)))
    }

    fn skew_text(&self) -> String {
        let text = |fraction| self.skew.quantile(fraction).map(|ratio| format!("{ratio:.2}"));
        match (text(0.5), text(0.99)) {
            (Some(median), Some(tail)) => format!("{median} and {tail}"),
            _ => "too little load to measure".to_owned(),
        }
    }
}
