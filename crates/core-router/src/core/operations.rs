//! Claims of non-idempotent operations.

use base_types::{NotRunCode, Refusal, RequestKey, TimePoint};

use crate::{
    ClaimOutcome, Effect, OperationClaim, RequestStep, StoredAnswer,
    core::RouterCore,
    request::{Fresh, LiveRequest, Request, Sent},
};

impl RouterCore {
    pub(super) fn claim(&mut self, now: TimePoint, mut request: Request<Fresh>) {
        let Some(operation) = request.arrival.operation.clone() else {
            return self.refuse_fresh(now, request, NotRunCode::OperationMissing);
        };
        let claim = OperationClaim {
            pool: request.pool.clone(),
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

    pub(super) fn on_whole(
        &mut self,
        now: TimePoint,
        request: Request<Sent>,
        answer: Option<StoredAnswer>,
    ) {
        self.drop_deadline(&request.arrival);
        self.note(now, request.arrival.request, "The answer is whole.".to_owned());
        let (Some(claim), Some(answer)) = (request.claim, answer) else { return };
        self.effects.push(Effect::Complete(claim, answer.clone()));
        self.effects.push(Effect::Step(request.arrival.request, RequestStep::Deliver(answer)));
    }
}
