//! Claims of non-idempotent operations.

use std::time::Duration;

use base_types::{NotRunCode, Refusal, RequestKey, TimePoint, UnknownCode};
use state_ledger::{ClaimOutcome, OperationClaim, StoredAnswer};

use crate::{
    Effect, RequestStep,
    core::RouterCore,
    request::{Fresh, LiveRequest, Request, Sent, Whole},
};

/// A whole answer is not kept from its caller for longer than this while it is recorded.
const RECORD_WAIT: Duration = Duration::from_secs(1);

/// An answer is awaited for this long after its caller's deadline, so that repeats may get it.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(60);

impl RouterCore {
    pub(super) fn claim(&mut self, now: TimePoint, mut request: Request<Fresh>) {
        let Some(operation) = request.arrival.operation.clone() else {
            return self.refuse_fresh(now, request, NotRunCode::OperationMissing);
        };
        let claim = OperationClaim {
            pool: request.pool.clone(),
            account: request.arrival.account.clone(),
            operation,
            content: request.arrival.content,
            attempt: self.next_attempt(),
        };
        let key = request.arrival.request;
        self.note(now, key, format!("Claimed operation `{}` before sending.", claim.operation));
        self.effects.push(Effect::Claim(key, claim.clone()));
        request.claim = Some(claim);
        self.requests.insert(key, LiveRequest::Fresh(request));
    }

    pub(super) fn on_claim(&mut self, now: TimePoint, key: RequestKey, outcome: ClaimOutcome) {
        let Some(live) = self.requests.remove(&key) else { return };
        let LiveRequest::Fresh(mut request) = live else {
            self.requests.insert(key, live);
            return;
        };
        match outcome {
            ClaimOutcome::Held => {
                let Some(pool) = self.table.pool(&request.pool).cloned() else {
                    return self.refuse_fresh(now, request, NotRunCode::PoolMissing);
                };
                self.dispatch_fresh(now, request, &pool);
            }
            ClaimOutcome::Replayed(answer) => {
                self.drop_deadline(&request.arrival);
                self.finish(now, key, RequestStep::Replay(answer));
            }
            ClaimOutcome::Settled(code) => {
                self.drop_deadline(&request.arrival);
                self.finish(now, key, RequestStep::Confirm(code));
            }
            ClaimOutcome::Refused(code) => {
                request.claim = None;
                self.refuse_fresh(now, request, code);
            }
            ClaimOutcome::Unsettled(code) => {
                self.drop_deadline(&request.arrival);
                self.finish(now, key, RequestStep::Refuse(Refusal::Unknown(code)));
            }
        }
    }

    /// Records a whole answer before it is given, so that repeats find it.
    pub(super) fn on_whole(
        &mut self,
        now: TimePoint,
        mut request: Request<Sent>,
        answer: Option<StoredAnswer>,
    ) {
        self.drop_deadline(&request.arrival);
        let key = request.arrival.request;
        self.note(now, key, "The answer is whole.".to_owned());
        let (Some(claim), Some(answer)) = (request.claim.clone(), answer) else { return };
        self.effects.push(Effect::Complete(key, claim, answer.clone()));
        if request.state.told {
            return;
        }
        request.arrival.deadline = request.arrival.deadline.min(now.after(RECORD_WAIT));
        self.deadlines.insert((request.arrival.deadline, key));
        self.requests.insert(key, LiveRequest::Whole(request.whole(answer)));
    }

    pub(super) fn on_recorded(&mut self, now: TimePoint, key: RequestKey) {
        match self.requests.remove(&key) {
            Some(LiveRequest::Whole(request)) => self.deliver(now, request),
            Some(live) => drop(self.requests.insert(key, live)),
            None => {}
        }
    }

    pub(super) fn deliver(&mut self, now: TimePoint, request: Request<Whole>) {
        self.drop_deadline(&request.arrival);
        let step = RequestStep::Deliver(request.state.answer);
        self.finish(now, request.arrival.request, step);
    }

    /// The caller is told that the outcome is unknown; a late answer is still recorded.
    pub(super) fn await_late_answer(&mut self, now: TimePoint, mut request: Request<Sent>) {
        let key = request.arrival.request;
        let refusal = Refusal::Unknown(UnknownCode::DeadlineAfterSend);
        self.finish(now, key, RequestStep::Refuse(refusal));
        request.state.told = true;
        request.arrival.deadline = now.after(LATE_ANSWER_WAIT);
        self.deadlines.insert((request.arrival.deadline, key));
        self.requests.insert(key, LiveRequest::Sent(request));
    }
}
