//! Records of calls as callers saw them, and of the faults active at each time.

use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::plan::CallKind;

/// One call and its outcome.
///
/// The names of its fields are printed in verdict lines.
#[derive(Debug, Clone)]
pub(crate) struct CallRecord {
    pub(crate) id: Box<str>,
    pub(crate) kind: CallKind,
    /// Index of the gateway that received the call.
    pub(crate) gateway: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) end: Outcome,
    /// Id of the runner whose answer, as the caller received it, announced that the runner leaves.
    pub(crate) leaving_runner: Option<Box<str>>,
}

/// A stream that its caller broke off and resumed, as it received it.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamRecord {
    /// Id of the call that delivered the first event.
    pub(crate) origin: Box<str>,
    /// Numbers of the events, in the order of arrival.
    pub(crate) events: Vec<u64>,
    /// Software versions of the runners that sent them.
    pub(crate) software: BTreeSet<Box<str>>,
    /// Calls that resumed the stream.
    pub(crate) resumptions: Vec<ResumptionRecord>,
}

/// A call that resumed a stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResumptionRecord {
    /// Index of the gateway that received the call.
    pub(crate) gateway: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    /// Status of the answer; zero when there was none.
    pub(crate) status: u16,
    /// Whether at least one event arrived.
    pub(crate) continued: bool,
}

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The connection closed before the head of the answer was complete, or the caller timed out
    /// before the end of the answer.
    Closed,
    /// The answer was cut off.
    CutShort,
    /// A complete answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Attempt id in the answer's headers.
        id: Box<str>,
        /// Whether the answer carries a runner's signature.
        signed: bool,
        /// Text of the body.
        body: Box<str>,
    },
}

/// The part of the cluster that a fault affects.
///
/// The names of the variants are printed in verdict lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultScope {
    /// One gateway, by an unplanned fault.
    Gateway(usize),
    /// One gateway, by a planned stop: from the signal until the restarted process serves, or
    /// `RESTART_TIMEOUT` has passed.
    Stop(usize),
    /// The store, and so all gateways.
    Store,
    /// One runner, by a fault on the connections to it.
    Runner(usize),
}

/// A fault and the time for which it was active.
#[derive(Debug, Clone)]
pub(crate) struct FaultRecord {
    pub(crate) scope: FaultScope,
    pub(crate) description: Box<str>,
    pub(crate) started_at: Instant,
    /// None while the fault is active.
    pub(crate) finished_at: Option<Instant>,
}

/// Log of all faults injected in a soak.
#[derive(Debug, Default)]
pub(crate) struct FaultLog {
    spans: Vec<FaultRecord>,
}

/// Index of a fault in the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultId(usize);

impl FaultLog {
    pub(crate) fn start(&mut self, scope: FaultScope, description: &str) -> FaultId {
        self.spans.push(FaultRecord {
            scope,
            description: description.into(),
            started_at: Instant::now(),
            finished_at: None,
        });
        FaultId(self.spans.len() - 1)
    }

    pub(crate) fn finish(&mut self, id: FaultId) {
        self.spans[id.0].finished_at = Some(Instant::now());
    }

    /// Whether a fault whose scope is selected was active at any time of an interval.
    pub(crate) fn any_active(
        &self,
        from: Instant,
        to: Instant,
        selects: impl Fn(FaultScope) -> bool,
    ) -> bool {
        self.spans.iter().any(|span| {
            selects(span.scope)
                && span.started_at <= to
                && span.finished_at.is_none_or(|finished_at| finished_at >= from)
        })
    }

    pub(crate) fn len(&self) -> usize {
        self.spans.len()
    }

    /// Lists the faults that were active in an interval, for a verdict line.
    pub(crate) fn describe(&self, from: Instant, to: Instant) -> String {
        let active = self.spans.iter().filter(|span| {
            span.started_at <= to && span.finished_at.is_none_or(|finished_at| finished_at >= from)
        });
        active
            .map(|span| format!("{} {:?}", span.description, span.scope))
            .collect::<Vec<_>>()
            .join(", ")
    }
}
