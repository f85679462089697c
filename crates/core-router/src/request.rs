//! Request lifecycle as a typestate.
//!
//! Only [`Request<Fresh>`] can be refused as not run, because no byte of it has left this router.
//! A request that was sent can only end as completed or unknown.

use base_types::{
    AttemptKey, IncomingRequest, NotRunCode, PoolName, Refusal, RequestKey, TargetKey, TimePoint,
    UnknownCode,
};
use state_ledger::{OperationClaim, StoredAnswer};

/// No byte of the request has left this router.
#[derive(Debug)]
pub(crate) struct Fresh;

/// An attempt is in flight.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) attempt: AttemptKey,
    pub(crate) target: TargetKey,
    /// An earlier attempt may have reached its target.
    earlier_attempt_sent: bool,
    /// The caller was answered that the outcome is unknown; the target's answer is still awaited
    /// to be recorded.
    pub(crate) caller_answered: bool,
}

/// An earlier attempt may have reached its target; none is in flight.
#[derive(Debug)]
pub(crate) struct Retrying;

/// The operation ran, and its complete answer is being recorded in the ledger.
#[derive(Debug)]
pub(crate) struct Recording {
    pub(crate) answer: StoredAnswer,
}

/// A request in the state given by its type parameter.
#[derive(Debug)]
pub(crate) struct Request<State> {
    pub(crate) incoming: IncomingRequest,
    pub(crate) pool: PoolName,
    pub(crate) claim: Option<OperationClaim>,
    pub(crate) attempted_targets: Vec<TargetKey>,
    pub(crate) state: State,
}

/// A request in any state.
#[derive(Debug)]
pub(crate) enum LiveRequest {
    Fresh(Request<Fresh>),
    Sent(Request<Sent>),
    Retrying(Request<Retrying>),
    Recording(Request<Recording>),
}

impl LiveRequest {
    /// Key of the request, if it has neither an attempt in flight nor an answer.
    pub(crate) fn waiting_key(&self) -> Option<RequestKey> {
        match self {
            Self::Fresh(request) => Some(request.incoming.request),
            Self::Retrying(request) => Some(request.incoming.request),
            Self::Sent(_) | Self::Recording(_) => None,
        }
    }
}

impl<State> Request<State> {
    fn with_state<Next>(self, state: Next) -> Request<Next> {
        let Self { incoming, pool, claim, attempted_targets, .. } = self;
        Request { incoming, pool, claim, attempted_targets, state }
    }
}

impl Request<Fresh> {
    pub(crate) fn new(incoming: IncomingRequest, pool: PoolName) -> Self {
        Self { incoming, pool, claim: None, attempted_targets: Vec::new(), state: Fresh }
    }

    pub(crate) fn send(self, attempt: AttemptKey, target: TargetKey) -> Request<Sent> {
        self.with_state(Sent {
            attempt,
            target,
            earlier_attempt_sent: false,
            caller_answered: false,
        })
    }

    pub(crate) fn refuse(self, code: NotRunCode, retry_after: TimePoint) -> Refusal {
        Refusal::NotRun(code, retry_after)
    }
}

impl Request<Sent> {
    /// The attempt failed before a byte was sent; its target is excluded from retries.
    pub(crate) fn attempt_unsent(mut self) -> LiveRequest {
        self.attempted_targets.push(self.state.target);
        if self.state.earlier_attempt_sent {
            return LiveRequest::Retrying(self.with_state(Retrying));
        }
        LiveRequest::Fresh(self.with_state(Fresh))
    }

    /// The answer is complete; from here on the request can only end with it.
    pub(crate) fn answered(self, answer: StoredAnswer) -> Request<Recording> {
        self.with_state(Recording { answer })
    }

    /// The attempt was lost after sending; its target is excluded from retries.
    pub(crate) fn attempt_lost(mut self) -> Request<Retrying> {
        self.attempted_targets.push(self.state.target);
        self.with_state(Retrying)
    }
}

impl Request<Retrying> {
    pub(crate) fn send(self, attempt: AttemptKey, target: TargetKey) -> Request<Sent> {
        self.with_state(Sent {
            attempt,
            target,
            earlier_attempt_sent: true,
            caller_answered: false,
        })
    }

    pub(crate) fn give_up(self, code: UnknownCode) -> Refusal {
        Refusal::Unknown(code)
    }
}
