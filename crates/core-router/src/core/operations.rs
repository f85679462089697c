//! Claims of non-idempotent operations.

use std::time::Duration;

use base_types::{NotRunCode, Refusal, RequestKey, TimePoint, UnknownCode};
use state_ledger::{ClaimOutcome, OperationClaim, StoredAnswer};

use crate::{
    Effect, RequestStep,
    core::RouterCore,
    request::{Fresh, LiveRequest, Recording, Request, Sent},
};

/// Longest time that a complete answer is withheld from its caller while it is being recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the caller's deadline during which a late answer is still awaited, so that a repeated
/// call can be given it.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

impl RouterCore {
    pub(super) fn claim(&mut self, now: TimePoint, mut request: Request<Fresh>) {
        let Some(operation) = request.incoming.operation.clone() else {
            return self.refuse_fresh(now, request, NotRunCode::OperationMissing);
        };
        let claim = OperationClaim {
            pool: request.pool.clone(),
            account: request.incoming.account.clone(),
            operation,
            content: request.incoming.content_digest,
            attempt: self.next_attempt_key(),
        };
        let key = request.incoming.request;
        self.record_decision(
            now,
            key,
            format!("Requested the claim of operation `{}` from the ledger.", claim.operation),
        );
        self.effects.push(Effect::Claim(key, claim.clone()));
        request.claim = Some(claim);
        self.requests.insert(key, LiveRequest::Fresh(request));
    }

    pub(super) fn on_claim_outcome(
        &mut self,
        now: TimePoint,
        key: RequestKey,
        outcome: ClaimOutcome,
    ) {
        let Some(live) = self.requests.remove(&key) else { return };
        let LiveRequest::Fresh(mut request) = live else {
            self.requests.insert(key, live);
            return;
        };
        match outcome {
            ClaimOutcome::Granted => {
                let Some(pool) = self.tables.pool(&request.pool).cloned() else {
                    return self.refuse_fresh(now, request, NotRunCode::PoolMissing);
                };
                self.dispatch_fresh(now, request, &pool);
            }
            ClaimOutcome::Replayed(answer) => {
                self.cancel_deadline(&request.incoming);
                self.finish(now, key, RequestStep::Replay(answer));
            }
            ClaimOutcome::Settled(code) => {
                self.cancel_deadline(&request.incoming);
                self.finish(now, key, RequestStep::ConfirmSettled(code));
            }
            ClaimOutcome::Refused(code) => {
                request.claim = None;
                self.refuse_fresh(now, request, code);
            }
            ClaimOutcome::Unsettled(code) => {
                self.cancel_deadline(&request.incoming);
                self.finish(now, key, RequestStep::Refuse(Refusal::Unknown(code)));
            }
        }
    }

    /// Records a complete answer before it is delivered, so that repeated calls find it.
    pub(super) fn on_complete_answer(
        &mut self,
        now: TimePoint,
        mut request: Request<Sent>,
        answer: Option<StoredAnswer>,
    ) {
        self.cancel_deadline(&request.incoming);
        let key = request.incoming.request;
        self.record_decision(now, key, "The answer is complete.".to_owned());
        let (Some(claim), Some(answer)) = (request.claim.clone(), answer) else { return };
        self.effects.push(Effect::Complete(key, claim, answer.clone()));
        if request.state.caller_answered {
            return;
        }
        request.incoming.deadline = request.incoming.deadline.min(now.after(RECORD_TIMEOUT));
        self.deadlines.insert((request.incoming.deadline, key));
        self.requests.insert(key, LiveRequest::Recording(request.answered(answer)));
    }

    pub(super) fn on_answer_recorded(&mut self, now: TimePoint, key: RequestKey) {
        match self.requests.remove(&key) {
            Some(LiveRequest::Recording(request)) => self.deliver(now, request),
            Some(live) => drop(self.requests.insert(key, live)),
            None => {}
        }
    }

    pub(super) fn deliver(&mut self, now: TimePoint, request: Request<Recording>) {
        self.cancel_deadline(&request.incoming);
        let step = RequestStep::Deliver(request.state.answer);
        self.finish(now, request.incoming.request, step);
    }

    /// Answers the caller that the outcome is unknown; a late answer is still recorded.
    pub(super) fn await_late_answer(&mut self, now: TimePoint, mut request: Request<Sent>) {
        let key = request.incoming.request;
        let refusal = Refusal::Unknown(UnknownCode::DeadlineAfterSend);
        self.finish(now, key, RequestStep::Refuse(refusal));
        request.state.caller_answered = true;
        request.incoming.deadline = now.after(LATE_ANSWER_TIMEOUT);
        self.deadlines.insert((request.incoming.deadline, key));
        self.requests.insert(key, LiveRequest::Sent(request));
    }
}
