//! Counts of messages of other routers, and log lines on those that are dropped.

use std::{collections::BTreeMap, time::Duration};

use core_forward::{
    DecodedMessage, EnvelopeError, ExtensionFault, ExtensionState, MessageAuthenticity,
};
use log::Level;
use tokio::time::Instant;

use crate::ForwardState;

/// Interval between two lines of one receiver with the same outcome. Anyone who reaches the port can send any
/// number of datagrams.
const LINE_INTERVAL: Duration = Duration::from_secs(10);

/// Outcome of a received message, as metrics and logs name it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MessageOutcome {
    name: &'static str,
    /// Level at which the outcome is logged; `None` if it is not a fault.
    level: Option<Level>,
    unknown_records: usize,
}

impl MessageOutcome {
    /// Outcome of an authenticated heartbeat that repeats an earlier one.
    pub(crate) const REPLAYED: Self =
        Self { name: "replayed", level: Some(Level::Warn), unknown_records: 0 };

    /// Outcome of a message that was decoded or not.
    pub(crate) fn of<T>(decoded: &Result<DecodedMessage<T>, EnvelopeError>) -> Self {
        let (name, level) = match decoded {
            Ok(decoded) => match (decoded.extension, decoded.authenticity) {
                (ExtensionState::Dropped(fault), _) => (fault_name(fault), Some(Level::Debug)),
                (_, MessageAuthenticity::Missing) => ("read without MAC", Some(Level::Warn)),
                (_, MessageAuthenticity::Verified) => ("verified", None),
                (_, MessageAuthenticity::Unchecked) => ("read", None),
            },
            Err(error) => return Self::dropped(*error),
        };
        let unknown_records = decoded.as_ref().map_or(0, |decoded| decoded.unknown_records);
        Self { name, level, unknown_records }
    }

    /// Outcome of a message that could not be used.
    pub(crate) fn dropped(error: EnvelopeError) -> Self {
        let (name, level) = match error {
            EnvelopeError::WrongMac => ("wrong MAC", Level::Warn),
            EnvelopeError::MissingMac => ("missing MAC", Level::Warn),
            EnvelopeError::Malformed | EnvelopeError::NotEncodable => ("malformed", Level::Debug),
        };
        Self { name, level: Some(level), unknown_records: 0 }
    }

    /// Counts the message in the metrics.
    pub(crate) fn count(self, state: &ForwardState, kind: &'static str) {
        state.metrics().count_peer_message(kind, self.name, self.unknown_records);
    }
}

fn fault_name(fault: ExtensionFault) -> &'static str {
    match fault {
        ExtensionFault::Foreign => "foreign extension",
        ExtensionFault::OtherVersion => "extension of another version",
        ExtensionFault::Truncated => "truncated extension",
        ExtensionFault::Oversized => "oversized extension",
        ExtensionFault::Malformed => "malformed extension",
    }
}

/// Logs faults of messages at a bounded rate.
#[derive(Debug, Default)]
pub(crate) struct FaultLog {
    lines: BTreeMap<&'static str, FaultLine>,
}

/// Line on the faults of one name.
#[derive(Debug, Clone, Copy)]
struct FaultLine {
    next_at: Instant,
    /// Messages since the previous line.
    messages: u64,
}

impl FaultLog {
    /// Logs the outcome if it is a fault, with the number of such messages since the previous line, or counts
    /// it for the next line.
    pub(crate) fn record(&mut self, kind: &'static str, outcome: MessageOutcome) {
        let MessageOutcome { name, level: Some(level), .. } = outcome else { return };
        let now = Instant::now();
        let line = self.lines.entry(name).or_insert(FaultLine { next_at: now, messages: 0 });
        line.messages += 1;
        if line.next_at <= now {
            log::log!(level, kind, fault = name, messages = line.messages; "message of another router");
            *line = FaultLine { next_at: now + LINE_INTERVAL, messages: 0 };
        }
    }
}
