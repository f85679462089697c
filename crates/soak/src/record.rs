//! What callers saw, and when which fault was on.

use tokio::time::Instant;

use crate::plan::CallKind;

/// What came of one call.
#[derive(Debug, Clone)]
pub(crate) struct CallRecord {
    pub(crate) id: Box<str>,
    pub(crate) kind: CallKind,
    /// The gateway that took it.
    pub(crate) gateway: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) end: CallEnd,
}

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// The connection ended, or the caller gave up, before an answer.
    Closed,
    /// The answer broke off.
    CutShort,
    /// A whole answer.
    Answered {
        /// Its status.
        status: u16,
        /// The call that it names.
        id: Box<str>,
        /// Whether a runner signed it.
        signed: bool,
        /// Its body.
        body: Box<str>,
    },
}

/// What a fault harms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultScope {
    /// One gateway, beyond planned work.
    Gateway(usize),
    /// One gateway's order to stop, until it is back.
    Stop(usize),
    /// The store, for all.
    Store,
    /// One runner.
    Runner(usize),
}

/// A fault and its time.
#[derive(Debug, Clone)]
pub(crate) struct FaultSpan {
    pub(crate) scope: FaultScope,
    pub(crate) what: Box<str>,
    pub(crate) from: Instant,
    /// None while it is on.
    pub(crate) to: Option<Instant>,
}

/// All faults of a soak.
#[derive(Debug, Default)]
pub(crate) struct FaultBook {
    spans: Vec<FaultSpan>,
}

/// A fault of the book.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultKey(usize);

impl FaultBook {
    pub(crate) fn begin(&mut self, scope: FaultScope, what: &str) -> FaultKey {
        self.spans.push(FaultSpan { scope, what: what.into(), from: Instant::now(), to: None });
        FaultKey(self.spans.len() - 1)
    }

    pub(crate) fn end(&mut self, key: FaultKey) {
        self.spans[key.0].to = Some(Instant::now());
    }

    /// Whether a fault that is chosen was on at any time of a span.
    pub(crate) fn any(
        &self,
        from: Instant,
        to: Instant,
        chosen: impl Fn(FaultScope) -> bool,
    ) -> bool {
        self.spans.iter().any(|span| {
            chosen(span.scope) && span.from <= to && span.to.is_none_or(|end| end >= from)
        })
    }

    /// Number of faults.
    pub(crate) fn len(&self) -> usize {
        self.spans.len()
    }

    /// Faults that were on in a span, in words.
    pub(crate) fn told(&self, from: Instant, to: Instant) -> String {
        let on = self
            .spans
            .iter()
            .filter(|span| span.from <= to && span.to.is_none_or(|end| end >= from));
        on.map(|span| format!("{} {:?}", span.what, span.scope)).collect::<Vec<_>>().join(", ")
    }
}
