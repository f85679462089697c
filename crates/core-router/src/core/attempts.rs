//! Ends of attempts and requests: outcomes, deadlines, disconnects and shutdown.

use base_types::{AttemptKey, IncomingRequest, NotRunCode, RequestKey, TimePoint, UnknownCode};

use crate::{
    AttemptOutcome, Effect, RequestStep,
    core::{RETRY_AFTER, RouterCore},
    request::{Fresh, LiveRequest, Request, Retrying, Sent},
};

impl RouterCore {
    pub(super) fn on_attempt_unsent(
        &mut self,
        now: TimePoint,
        key: RequestKey,
        attempt: AttemptKey,
    ) {
        let Some(request) = self.take_sent(key, attempt) else { return };
        self.on_target_failure(now, request.state.target);
        self.record_decision(
            now,
            key,
            "The attempt failed before the request was sent: the target was unreachable or refused \
             the connection."
                .to_owned(),
        );
        match request.attempt_unsent() {
            LiveRequest::Fresh(request) => {
                let Some(pool) = self.tables.pool(&request.pool).cloned() else {
                    return self.refuse_fresh(now, request, NotRunCode::PoolMissing);
                };
                self.dispatch_fresh(now, request, &pool);
            }
            LiveRequest::Retrying(request) => {
                self.dispatch_retry(now, request, UnknownCode::TargetLost);
            }
            LiveRequest::Sent(_) | LiveRequest::Recording(_) => {}
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: TimePoint,
        key: RequestKey,
        attempt: AttemptKey,
        outcome: AttemptOutcome,
    ) {
        let Some(request) = self.take_sent(key, attempt) else { return };
        match outcome {
            AttemptOutcome::Completed(answer) => {
                self.clear_suspect(now, &request);
                self.on_complete_answer(now, request, answer);
            }
            AttemptOutcome::LostBeforeAnswer(code) => {
                if code == UnknownCode::TargetLost {
                    self.report_suspect(now, &request);
                }
                self.on_target_failure(now, request.state.target);
                self.record_decision(
                    now,
                    key,
                    format!("The attempt was lost: {}", code.sentence()),
                );
                let request = request.attempt_lost();
                if request.claim.is_some() {
                    return self.give_up(now, request, code);
                }
                self.dispatch_retry(now, request, code);
            }
            AttemptOutcome::LostDuringAnswer => {
                self.report_suspect(now, &request);
                self.on_target_failure(now, request.state.target);
                self.cancel_deadline(&request.incoming);
                self.record_decision(
                    now,
                    key,
                    "The answer was cut off after its first byte.".to_owned(),
                );
            }
        }
    }

    pub(super) fn on_timer(&mut self, now: TimePoint) {
        while let Some((deadline, key)) = self.deadlines.first().copied()
            && deadline.passed(now)
        {
            self.deadlines.remove(&(deadline, key));
            self.on_deadline(now, key);
        }
        while let Some((at, key)) = self.delayed_requests.first().copied()
            && at.passed(now)
        {
            self.delayed_requests.remove(&(at, key));
            self.resume_delayed(now, key);
        }
        self.expire_peer_loads(now);
    }

    pub(super) fn on_deadline(&mut self, now: TimePoint, key: RequestKey) {
        match self.requests.remove(&key) {
            Some(LiveRequest::Fresh(request)) => {
                self.refuse_fresh(now, request, NotRunCode::DeadlinePassed);
            }
            Some(LiveRequest::Sent(request))
                if request.claim.is_some() && !request.state.caller_answered =>
            {
                self.await_late_answer(now, request);
            }
            Some(LiveRequest::Sent(request)) => {
                self.release_slot(request.state.target);
                self.give_up(now, request.attempt_lost(), UnknownCode::DeadlineAfterSend);
            }
            Some(LiveRequest::Retrying(request)) => {
                self.give_up(now, request, UnknownCode::DeadlineAfterSend);
            }
            Some(LiveRequest::Recording(request)) => self.deliver(now, request),
            None => {}
        }
    }

    /// Answers every remaining request before the process exits: `not run` if no attempt was sent,
    /// `unknown` if one was, and the target's answer if it is complete.
    pub(super) fn on_stop_forced(&mut self, now: TimePoint) {
        while let Some((key, live)) = self.requests.pop_first() {
            self.record_decision(
                now,
                key,
                "The router stopped before the request finished.".to_owned(),
            );
            match live {
                LiveRequest::Fresh(request) => {
                    self.refuse_fresh(now, request, NotRunCode::RouterLeaving);
                }
                LiveRequest::Sent(request) => {
                    self.release_slot(request.state.target);
                    self.give_up(now, request.attempt_lost(), UnknownCode::RouterStopped);
                }
                LiveRequest::Retrying(request) => {
                    self.give_up(now, request, UnknownCode::RouterStopped);
                }
                LiveRequest::Recording(request) => self.deliver(now, request),
            }
        }
    }

    /// Ends the request of a disconnected caller. A non-idempotent call in flight continues, so
    /// that the outcome is recorded.
    pub(super) fn on_caller_disconnected(&mut self, now: TimePoint, key: RequestKey) {
        match self.requests.remove(&key) {
            Some(LiveRequest::Fresh(request)) => {
                self.refuse_fresh(now, request, NotRunCode::CallerLeft);
            }
            Some(LiveRequest::Sent(request)) if request.claim.is_some() => {
                self.requests.insert(key, LiveRequest::Sent(request));
            }
            Some(LiveRequest::Sent(request)) => {
                self.release_slot(request.state.target);
                self.cancel_deadline(&request.incoming);
            }
            Some(LiveRequest::Retrying(request)) => self.cancel_deadline(&request.incoming),
            Some(LiveRequest::Recording(request)) => {
                self.requests.insert(key, LiveRequest::Recording(request));
            }
            None => return,
        }
        self.record_decision(now, key, "The caller disconnected.".to_owned());
    }

    pub(super) fn take_sent(
        &mut self,
        key: RequestKey,
        attempt: AttemptKey,
    ) -> Option<Request<Sent>> {
        let live = self.requests.remove(&key)?;
        match live {
            LiveRequest::Sent(request) if request.state.attempt == attempt => {
                self.release_slot(request.state.target);
                Some(request)
            }
            live => {
                self.requests.insert(key, live);
                None
            }
        }
    }

    pub(super) fn refuse_fresh(
        &mut self,
        now: TimePoint,
        request: Request<Fresh>,
        code: NotRunCode,
    ) {
        self.refuse_until(now, request, code, now.after(RETRY_AFTER));
    }

    pub(super) fn refuse_until(
        &mut self,
        now: TimePoint,
        request: Request<Fresh>,
        code: NotRunCode,
        retry_after: TimePoint,
    ) {
        self.cancel_deadline(&request.incoming);
        let key = request.incoming.request;
        if let Some(claim) = request.claim.clone() {
            self.effects.push(Effect::Release(claim));
        }
        let refusal = request.refuse(code, retry_after);
        self.finish(now, key, RequestStep::Refuse(refusal));
    }

    pub(super) fn give_up(
        &mut self,
        now: TimePoint,
        request: Request<Retrying>,
        code: UnknownCode,
    ) {
        self.cancel_deadline(&request.incoming);
        let key = request.incoming.request;
        if let Some(claim) = request.claim.clone() {
            self.effects.push(Effect::RecordUnknown(claim));
        }
        let refusal = request.give_up(code);
        self.finish(now, key, RequestStep::Refuse(refusal));
    }

    pub(super) fn finish(&mut self, now: TimePoint, key: RequestKey, step: RequestStep) {
        self.requests.remove(&key);
        let sentence = match &step {
            RequestStep::Refuse(refusal) => {
                let row = refusal.row();
                format!("Answered {} ({}): {}", row.number, row.kind.as_str(), row.sentence)
            }
            RequestStep::Deliver(_) => "Answered with the target's answer.".to_owned(),
            RequestStep::ConfirmSettled(code) => format!("Answered {}.", code.sentence()),
            _ => "Answered with the stored answer of the operation.".to_owned(),
        };
        self.record_decision(now, key, sentence);
        self.effects.push(Effect::Step(key, step));
    }

    pub(super) fn cancel_deadline(&mut self, incoming: &IncomingRequest) {
        self.deadlines.remove(&(incoming.deadline, incoming.request));
    }
}
