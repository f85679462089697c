//! How attempts and requests end.

use base_types::{Arrival, AttemptKey, NotRunCode, RequestKey, TimePoint, UnknownCode};

use crate::{
    AttemptEnd, Effect, RequestStep,
    core::{COME_BACK, RouterCore},
    request::{Fresh, LiveRequest, Repeating, Request, Sent},
};

impl RouterCore {
    pub(super) fn on_unsent(&mut self, now: TimePoint, key: RequestKey, attempt: AttemptKey) {
        let Some(request) = self.take_sent(key, attempt) else { return };
        self.hold_target(now, request.state.target);
        self.note(now, key, "The target refused the request; it was not run there.".to_owned());
        match request.unsent() {
            LiveRequest::Fresh(request) => {
                let Some(pool) = self.table.pool(&request.pool).cloned() else {
                    return self.refuse_fresh(now, request, NotRunCode::PoolMissing);
                };
                self.dispatch_fresh(now, request, &pool);
            }
            LiveRequest::Repeating(request) => {
                self.dispatch_again(now, request, UnknownCode::TargetLost);
            }
            LiveRequest::Sent(_) | LiveRequest::Whole(_) => {}
        }
    }

    pub(super) fn on_end(
        &mut self,
        now: TimePoint,
        key: RequestKey,
        attempt: AttemptKey,
        end: AttemptEnd,
    ) {
        let Some(request) = self.take_sent(key, attempt) else { return };
        match end {
            AttemptEnd::Whole(answer) => {
                self.clear_suspect(now, &request);
                self.on_whole(now, request, answer);
            }
            AttemptEnd::LostEarly(code) => {
                if code == UnknownCode::TargetLost {
                    self.suspect(now, &request);
                }
                self.hold_target(now, request.state.target);
                self.note(now, key, format!("The attempt was lost: {}", code.sentence()));
                let request = request.lost();
                if request.claim.is_some() {
                    return self.give_up(now, request, code);
                }
                self.dispatch_again(now, request, code);
            }
            AttemptEnd::LostLate => {
                self.suspect(now, &request);
                self.hold_target(now, request.state.target);
                self.drop_deadline(&request.arrival);
                self.note(now, key, "The answer broke off after its first byte.".to_owned());
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
        while let Some((at, key)) = self.wakes.first().copied()
            && at.passed(now)
        {
            self.wakes.remove(&(at, key));
            self.on_wake(now, key);
        }
        self.expire_peer_loads(now);
    }

    pub(super) fn on_deadline(&mut self, now: TimePoint, key: RequestKey) {
        match self.requests.remove(&key) {
            Some(LiveRequest::Fresh(request)) => {
                self.refuse_fresh(now, request, NotRunCode::DeadlinePassed);
            }
            Some(LiveRequest::Sent(request)) if request.claim.is_some() && !request.state.told => {
                self.await_late_answer(now, request);
            }
            Some(LiveRequest::Sent(request)) => {
                self.free_slot(request.state.target);
                self.give_up(now, request.lost(), UnknownCode::DeadlineAfterSend);
            }
            Some(LiveRequest::Repeating(request)) => {
                self.give_up(now, request, UnknownCode::DeadlineAfterSend);
            }
            Some(LiveRequest::Whole(request)) => self.deliver(now, request),
            None => {}
        }
    }

    /// The process ends now: every request gets the final answer that is true of it.
    pub(super) fn on_stop_forced(&mut self, now: TimePoint) {
        while let Some((key, live)) = self.requests.pop_first() {
            self.note(now, key, "The router ended before the request did.".to_owned());
            match live {
                LiveRequest::Fresh(request) => {
                    self.refuse_fresh(now, request, NotRunCode::RouterLeaving);
                }
                LiveRequest::Sent(request) => {
                    self.free_slot(request.state.target);
                    self.give_up(now, request.lost(), UnknownCode::RouterStopped);
                }
                LiveRequest::Repeating(request) => {
                    self.give_up(now, request, UnknownCode::RouterStopped);
                }
                LiveRequest::Whole(request) => self.deliver(now, request),
            }
        }
    }

    /// A call that may not be repeated goes on without its caller, so that its outcome is kept.
    pub(super) fn on_caller_left(&mut self, now: TimePoint, key: RequestKey) {
        match self.requests.remove(&key) {
            Some(LiveRequest::Fresh(request)) => {
                self.refuse_fresh(now, request, NotRunCode::CallerLeft);
            }
            Some(LiveRequest::Sent(request)) if request.claim.is_some() => {
                self.requests.insert(key, LiveRequest::Sent(request));
            }
            Some(LiveRequest::Sent(request)) => {
                self.free_slot(request.state.target);
                self.drop_deadline(&request.arrival);
            }
            Some(LiveRequest::Repeating(request)) => self.drop_deadline(&request.arrival),
            Some(LiveRequest::Whole(request)) => {
                self.requests.insert(key, LiveRequest::Whole(request));
            }
            None => return,
        }
        self.note(now, key, "The caller left.".to_owned());
    }

    pub(super) fn take_sent(
        &mut self,
        key: RequestKey,
        attempt: AttemptKey,
    ) -> Option<Request<Sent>> {
        let live = self.requests.remove(&key)?;
        match live {
            LiveRequest::Sent(request) if request.state.attempt == attempt => {
                self.free_slot(request.state.target);
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
        self.refuse_until(now, request, code, now.after(COME_BACK));
    }

    pub(super) fn refuse_until(
        &mut self,
        now: TimePoint,
        request: Request<Fresh>,
        code: NotRunCode,
        come_back: TimePoint,
    ) {
        self.drop_deadline(&request.arrival);
        let key = request.arrival.request;
        if let Some(claim) = request.claim.clone() {
            self.effects.push(Effect::Release(claim));
        }
        let refusal = request.refuse(code, come_back);
        self.finish(now, key, RequestStep::Refuse(refusal));
    }

    pub(super) fn give_up(
        &mut self,
        now: TimePoint,
        request: Request<Repeating>,
        code: UnknownCode,
    ) {
        self.drop_deadline(&request.arrival);
        let key = request.arrival.request;
        if let Some(claim) = request.claim.clone() {
            self.effects.push(Effect::Lose(claim));
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
            RequestStep::Confirm(code) => format!("Answered {}.", code.sentence()),
            _ => "Answered with the stored answer of the operation.".to_owned(),
        };
        self.note(now, key, sentence);
        self.effects.push(Effect::Step(key, step));
    }

    pub(super) fn drop_deadline(&mut self, arrival: &Arrival) {
        self.deadlines.remove(&(arrival.deadline, arrival.request));
    }
}
