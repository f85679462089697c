//! Life cycle of a request as typestate.
//!
//! Only [`Request<Fresh>`] can be refused as not run, because no byte of it has left this router.
//! A request that was sent can only end as complete or unknown.

use base_types::{
    Arrival, AttemptKey, NotRunCode, PoolName, Refusal, RequestKey, TargetKey, TimePoint,
    UnknownCode,
};
use state_ledger::{OperationClaim, StoredAnswer};

/// No byte of the request has left this router.
#[derive(Debug)]
pub(crate) struct Fresh;

/// An attempt is in flight.
#[derive(Debug)]
pub(crate) struct Sent {
    /// Key of the attempt.
    pub(crate) attempt: AttemptKey,
    /// Target of the attempt.
    pub(crate) target: TargetKey,
    earlier_sent: bool,
    /// The caller was told that the outcome is unknown; the answer is still awaited.
    pub(crate) told: bool,
}

/// An earlier attempt may have reached its target; none is in flight.
#[derive(Debug)]
pub(crate) struct Repeating;

/// The operation ran, and its whole answer is being recorded in the ledger.
#[derive(Debug)]
pub(crate) struct Whole {
    /// The answer.
    pub(crate) answer: StoredAnswer,
}

/// A request in one state of its life.
#[derive(Debug)]
pub(crate) struct Request<State> {
    pub(crate) arrival: Arrival,
    pub(crate) pool: PoolName,
    pub(crate) claim: Option<OperationClaim>,
    pub(crate) tried: Vec<TargetKey>,
    pub(crate) state: State,
}

/// A request in any state of its life.
#[derive(Debug)]
pub(crate) enum LiveRequest {
    Fresh(Request<Fresh>),
    Sent(Request<Sent>),
    Repeating(Request<Repeating>),
    Whole(Request<Whole>),
}

impl LiveRequest {
    /// Key of a request that no attempt is in flight for.
    pub(crate) fn waiting_key(&self) -> Option<RequestKey> {
        match self {
            Self::Fresh(request) => Some(request.arrival.request),
            Self::Repeating(request) => Some(request.arrival.request),
            Self::Sent(_) | Self::Whole(_) => None,
        }
    }
}

impl<State> Request<State> {
    fn with_state<Next>(self, state: Next) -> Request<Next> {
        let Self { arrival, pool, claim, tried, .. } = self;
        Request { arrival, pool, claim, tried, state }
    }
}

impl Request<Fresh> {
    pub(crate) fn new(arrival: Arrival, pool: PoolName) -> Self {
        Self { arrival, pool, claim: None, tried: Vec::new(), state: Fresh }
    }

    pub(crate) fn send(self, attempt: AttemptKey, target: TargetKey) -> Request<Sent> {
        self.with_state(Sent { attempt, target, earlier_sent: false, told: false })
    }

    pub(crate) fn refuse(self, code: NotRunCode, come_back: TimePoint) -> Refusal {
        Refusal::NotRun(code, come_back)
    }
}

impl Request<Sent> {
    /// The attempt failed before a byte left; the target is not tried again.
    pub(crate) fn unsent(mut self) -> LiveRequest {
        self.tried.push(self.state.target);
        if self.state.earlier_sent {
            return LiveRequest::Repeating(self.with_state(Repeating));
        }
        LiveRequest::Fresh(self.with_state(Fresh))
    }

    /// The answer is whole; from here the request can only be answered with it.
    pub(crate) fn whole(self, answer: StoredAnswer) -> Request<Whole> {
        self.with_state(Whole { answer })
    }

    /// The attempt was lost; the target is not tried again.
    pub(crate) fn lost(mut self) -> Request<Repeating> {
        self.tried.push(self.state.target);
        self.with_state(Repeating)
    }
}

impl Request<Repeating> {
    pub(crate) fn send(self, attempt: AttemptKey, target: TargetKey) -> Request<Sent> {
        self.with_state(Sent { attempt, target, earlier_sent: true, told: false })
    }

    pub(crate) fn give_up(self, code: UnknownCode) -> Refusal {
        Refusal::Unknown(code)
    }
}
