//! The closing table and the verdict.

use std::time::Duration;

use error_stack::Report;

use crate::{
    demo::{chats::ChatTally, payments::PaymentTally, watch::SkewSamples},
    steps::TaskError,
};

/// What the demonstration saw.
#[derive(Debug, Default)]
pub(crate) struct DemoReport {
    pub(crate) edit_spread: Duration,
    pub(crate) chats: ChatTally,
    pub(crate) payments: PaymentTally,
    pub(crate) skew: SkewSamples,
    pub(crate) control: Option<f64>,
    pub(crate) run_twice: usize,
}

impl DemoReport {
    pub(crate) fn print(&self) {
        let row = |name: &str, value: String| println!("{name:<42} {value}");
        let Self { chats, payments, .. } = self;
        row("edit in force on every router after", format!("{} ms", self.edit_spread.as_millis()));
        row("chats answered whole", format!("{} of {}", chats.whole, chats.answers));
        row("  asked again on the way", chats.repeats.to_string());
        let reuse = chats.cached_bytes as f64 / chats.prompt_bytes.max(1) as f64;
        row("prompt bytes reused", format!("{reuse:.2}"));
        row("busiest engine over mean, p50 and p99", self.skew_text());
        row("payments confirmed", format!("{} of {}", payments.confirmed, payments.payments));
        row("  outcome unknown, for an operator to settle", payments.unknown.to_string());
        row("  asked again on the way", payments.repeats.to_string());
        row("  second answer differs from the first", payments.changed.to_string());
        row("operations run twice", self.run_twice.to_string());
        let control = self.control.map(|rate| format!("{rate:.0}"));
        row("control bytes per router per second", control.unwrap_or("not counted".to_owned()));
    }

    /// Fails with every promise that was broken.
    pub(crate) fn judge(&self) -> Result<(), Report<TaskError>> {
        let Self { chats, payments, .. } = self;
        let settled = payments.confirmed + payments.unknown;
        let broken = [
            (chats.whole < chats.answers, "a chat did not get its whole answer"),
            (self.run_twice > 0, "an operation ran twice"),
            (payments.changed > 0, "a payment sent again got another answer"),
            (settled < payments.payments, "a payment was lost"),
        ];
        let broken: Vec<&str> =
            broken.into_iter().filter(|(broken, _)| *broken).map(|(_, words)| words).collect();
        if broken.is_empty() {
            println!("every promise was kept");
            return Ok(());
        }
        let report = Report::new(TaskError);
        Err(broken.into_iter().fold(report, |report, words| report.attach(words)))
    }

    fn skew_text(&self) -> String {
        let text = |share| self.skew.quantile(share).map(|ratio| format!("{ratio:.2}"));
        match (text(0.5), text(0.99)) {
            (Some(median), Some(tail)) => format!("{median} and {tail}"),
            _ => "too little load to tell".to_owned(),
        }
    }
}
