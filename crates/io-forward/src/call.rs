//! Serves one call, from reading the request head to returning the response.

use std::time::Duration;

use base_types::{ContentDigest, NotRunCode, Refusal, TimePoint};
use bytes::Bytes;
use core_forward::{AdmittedCall, AttemptOutcome, AttemptSpec, CallHead, CallRate, DispatchStep};
use http::{Request, Response, StatusCode, Uri, header, request};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use policy_admission::{MemoryBudget, MemoryUse};
use policy_routing::{stable_hash, unit_hash};

use crate::{
    ExecutionStatus, ForwardState, ResponseBody, ResponseHead,
    detour::{DetourResponse, forward_stream},
    framing::{BodyFraming, BodyProgress},
    hop::{end_to_end_parts, strip_hop_by_hop_headers},
    log_lines::CallLog,
    memory::{CallMemory, CollectError},
    relay::relay_stream,
    state::RoomWaiter,
    target_stream::TargetBody,
    upstream::{SendError, TargetConnection, open_connection, probe_for_crash, probe_target},
};

/// Limit on a request body's bytes while no configuration is loaded.
const DEFAULT_BODY_BYTES_MAX: usize = 1024 * 1024;

/// Shortest time after which a caller that a stopping router refused may return; the longest is twice that.
const LEAVING_RETURN_TIME: Duration = Duration::from_millis(50);

/// Time over which the returns of callers are spread that wait for a router to be back.
const RESTART_RETURN_SPREAD: Duration = Duration::from_millis(300);

/// Limit on the bytes of a response that is buffered before it is forwarded.
pub(crate) const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// An admitted call; dropping it removes the call from the core, as abandoned if unfinished.
#[derive(Debug)]
pub(crate) struct ServedCall {
    pub(crate) state: ForwardState,
    pub(crate) log: CallLog,
    pub(crate) admitted: AdmittedCall,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    /// Memory for the body and for an answer that is forwarded once it is complete.
    pub(crate) memory: CallMemory,
    finished: bool,
}

/// An attempt whose response head has arrived.
#[derive(Debug)]
pub(crate) struct StartedResponse {
    pub(crate) attempt: AttemptSpec,
    pub(crate) connection: TargetConnection,
    pub(crate) head: ResponseHead,
    pub(crate) response: Response<TargetBody>,
}

/// Result of dispatching a call.
#[derive(Debug)]
pub(crate) enum DispatchOutcome {
    /// A target started a response that is not a server error.
    Started(Box<StartedResponse>),
    /// Another router, through which the call was sent, started a response.
    Detoured(Box<DetourResponse>),
    /// The last server error that a target returned; no further attempt was allowed.
    TargetFailed(Response<Bytes>),
    /// No target gave a usable response, and no further attempt is allowed; the router refuses the
    /// call.
    GivenUp(Refusal),
}

/// Serves a caller's request: reads its body, admits the call and forwards it.
pub(crate) async fn serve_call(
    state: ForwardState,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let received_at = state.now();
    let (head, body) = request.into_parts();
    let call = match state.dialect().read_call(received_at, &head) {
        Ok(call) => call,
        Err(code) => {
            let log = CallLog::new("", received_at);
            return refuse_unadmitted(&state, &log, code, &head);
        }
    };
    let log = CallLog::new(&call.id, received_at);
    // Before the limits of an older configuration are applied to the body.
    if call
        .detour
        .as_ref()
        .is_some_and(|claim| state.with_core(|core, _| core.is_outdated_for(claim)))
    {
        return refuse_unadmitted(&state, &log, NotRunCode::ConfigOutdated, &head);
    }
    let memory = state.call_memory(MemoryUse::Stored);
    let body = match read_body(&state, &call, &memory, body).await {
        Ok(body) => body,
        Err(code) => return refuse_unadmitted(&state, &log, code, &head),
    };
    let content = content_digest(&call, &head, &body);
    let has_detour_claim = call.detour.is_some();
    match state.with_core(|core, now| core.admit(now, call, content)) {
        Ok(admitted) => {
            if has_detour_claim && !admitted.from_router {
                log.detour_claim_ignored(state.now());
            }
            let call = ServedCall { state, log, admitted, head, body, memory, finished: false };
            call.serve().await
        }
        Err(code) => refuse_unadmitted(&state, &log, code, &head),
    }
}

/// Digest of host, path, key and body, which is equal for repeated requests of the same content.
fn content_digest(call: &CallHead, head: &request::Parts, body: &Bytes) -> ContentDigest {
    let key = head.headers.get(header::AUTHORIZATION).map_or(&b""[..], |key| key.as_bytes());
    ContentDigest::of_parts(&[call.host.as_bytes(), call.path.as_bytes(), key, body])
}

fn refuse_unadmitted(
    state: &ForwardState,
    log: &CallLog,
    code: NotRunCode,
    head: &request::Parts,
) -> Response<ResponseBody> {
    let now = state.now();
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    log.denied(now, code, host, head.uri.path());
    state.metrics().count_call("", "denied", code.status(), log.age(now));
    let mut return_at = now;
    if code == NotRunCode::MemoryFull {
        return_at = MemoryBudget::return_at(now, stable_hash(log.id().as_bytes()));
        state.metrics().count_memory_end("refused");
    }
    if code == NotRunCode::RouterLeaving {
        // Callers go to another router, not all at once.
        let spread = unit_hash(stable_hash(log.id().as_bytes()));
        let serving_at = state.with_core(|core, now| core.serving_at(now));
        let spread_time = match serving_at > now {
            true => RESTART_RETURN_SPREAD.mul_f64(spread),
            false => LEAVING_RETURN_TIME.mul_f64(1.0 + spread),
        };
        return_at = serving_at.max(now).after(spread_time);
    }
    refusal_response(state, Refusal::NotRun(code, return_at))
}

fn refusal_response(state: &ForwardState, refusal: Refusal) -> Response<ResponseBody> {
    let response = state.dialect().refusal_response(state.now(), refusal);
    response.map(|()| ResponseBody::buffered(Bytes::new()))
}

async fn read_body(
    state: &ForwardState,
    call: &CallHead,
    memory: &CallMemory,
    body: Incoming,
) -> Result<Bytes, NotRunCode> {
    let limits = state.with_core(|core, _| core.limits());
    let bytes_max = limits.map_or(DEFAULT_BODY_BYTES_MAX, |limits| limits.body_bytes_max);
    if body.size_hint().lower() > bytes_max as u64 {
        return Err(NotRunCode::BodyTooLarge);
    }
    let deadline = state.clock().instant(call.deadline);
    if memory.is_limited() {
        let collected = memory.collect_request(body, bytes_max, deadline).await;
        return collected.map_err(|error| match error {
            CollectError::Broken => NotRunCode::MalformedRequest,
            CollectError::TooLong => NotRunCode::BodyTooLarge,
            CollectError::Expired => NotRunCode::BodyTimeout,
            CollectError::NoMemory => NotRunCode::MemoryFull,
        });
    }
    let reading = tokio::time::timeout_at(deadline, Limited::new(body, bytes_max).collect());
    let collected = reading.await.map_err(|_| NotRunCode::BodyTimeout)?;
    let collected = collected.map_err(|error| {
        if error.is::<LengthLimitError>() {
            NotRunCode::BodyTooLarge
        } else {
            NotRunCode::MalformedRequest
        }
    })?;
    // Copied, because a slice would keep the connection's entire read buffer alive.
    Ok(Bytes::copy_from_slice(&collected.to_bytes()))
}

impl Drop for ServedCall {
    fn drop(&mut self) {
        let call = self.admitted.call;
        if !self.finished {
            self.state.with_core(|core, now| {
                core.on_attempt_finished(now, call, AttemptOutcome::Abandoned);
            });
            self.record_call_outcome(0, "caller left");
        }
        self.state.with_core(|core, _| core.finish(call));
        self.state.wake_waiting();
    }
}

impl ServedCall {
    async fn serve(mut self) -> Response<ResponseBody> {
        self.await_origin().await;
        loop {
            match self.dispatch_until_response(None).await {
                DispatchOutcome::Started(started) if self.admitted.is_stream => {
                    return relay_stream(self, *started);
                }
                DispatchOutcome::Started(started) => {
                    if let Some(response) = self.buffer_response(*started).await {
                        return self.finish_with(response.map(ResponseBody::buffered), "answered");
                    }
                }
                DispatchOutcome::Detoured(started) if self.admitted.is_stream => {
                    return forward_stream(self, *started);
                }
                DispatchOutcome::Detoured(started) => {
                    if let Some(response) = self.buffer_detour(*started).await {
                        return self.finish_with(
                            response.map(ResponseBody::buffered),
                            "answered by a router",
                        );
                    }
                }
                DispatchOutcome::TargetFailed(response) => {
                    return self
                        .finish_with(response.map(ResponseBody::buffered), "failed by its target");
                }
                DispatchOutcome::GivenUp(refusal) => return self.give_up(refusal),
            }
        }
    }

    /// Waits a moment for another router to report the origin of the stream that the call resumes,
    /// because a caller may return before the report has arrived.
    async fn await_origin(&self) {
        let origin_deadline = || {
            let call = self.admitted.call;
            self.state.with_core(|core, now| core.origin_deadline(now, call))
        };
        let Some(deadline) = origin_deadline() else { return };
        self.state.list_wanted().notify_one();
        let waiting = async {
            loop {
                let received = self.state.origins_received().notified();
                if origin_deadline().is_none() {
                    return;
                }
                received.await;
            }
        };
        let reported = tokio::time::timeout_at(self.state.clock().instant(deadline), waiting).await;
        if reported.is_err() {
            self.log.origin_unknown(self.state.now(), &self.admitted);
        }
    }

    /// Drops the request of a call that is not retried; the request head would keep the read
    /// buffer of the caller's connection alive.
    pub(crate) fn drop_request_data(&mut self) {
        self.head.headers.clear();
        self.head.uri = Uri::default();
        self.body = Bytes::new();
    }

    /// Attempts the call until a target starts a response that is not a server error, or no further
    /// attempt is allowed.
    ///
    /// `last_event_id` names the event after which a stream is resumed.
    pub(crate) async fn dispatch_until_response(
        &mut self,
        last_event_id: Option<&str>,
    ) -> DispatchOutcome {
        let mut last_failure = None;
        let mut wait = None;
        loop {
            let call = self.admitted.call;
            let attempt = match self.state.with_core(|core, now| core.dispatch(now, call)) {
                DispatchStep::Send(attempt) => attempt,
                DispatchStep::Detour(detour) => match self.send_detour(detour).await {
                    Some(started) => return DispatchOutcome::Detoured(Box::new(started)),
                    None => continue,
                },
                DispatchStep::Wait(until) => {
                    let (waiter, _) = wait.get_or_insert_with(|| self.start_wait());
                    waiter.wait_until(until).await;
                    continue;
                }
                DispatchStep::AskPlace(until) => {
                    self.await_place(wait.as_ref().map(|(waiter, _)| waiter), until).await;
                    continue;
                }
                DispatchStep::Refuse(refusal) => {
                    self.record_shed(wait.as_ref().map(|(_, waiting_since)| *waiting_since));
                    return last_failure
                        .map_or(DispatchOutcome::GivenUp(refusal), DispatchOutcome::TargetFailed);
                }
            };
            if let Some((_, waiting_since)) = wait.take() {
                self.record_wait_end(waiting_since, &attempt);
            }
            // The next call in the order may have room as well.
            self.state.wake_waiting();
            self.state.heartbeat_wakeup().notify_one();
            self.log.attempt_sent(self.state.now(), &self.admitted, &attempt);
            let Some(started) = self.send_attempt(attempt, last_event_id).await else { continue };
            if !started.response.status().is_server_error() {
                return DispatchOutcome::Started(Box::new(started));
            }
            if let Some(response) = self.read_failure(started).await {
                last_failure = Some(response);
            }
        }
    }

    /// Sends the question for a place at a target and waits for its answer.
    async fn await_place(&self, waiter: Option<&RoomWaiter>, until: TimePoint) {
        self.state.send_place_messages();
        match waiter {
            Some(waiter) => waiter.wait_until(until).await,
            None => self.state.add_room_waiter(self.admitted.call).wait_until(until).await,
        }
    }

    /// Registers the call for a wakeup, and logs why it waits.
    fn start_wait(&self) -> (RoomWaiter, TimePoint) {
        let (call, now) = (self.admitted.call, self.state.now());
        if let Some(inputs) = self.state.with_core(|core, _| core.wait_inputs(call)) {
            self.log.wait_started(now, &self.admitted, &inputs);
        }
        (self.state.add_room_waiter(call), now)
    }

    fn record_wait_end(&self, waiting_since: TimePoint, attempt: &AttemptSpec) {
        let now = self.state.now();
        self.log.wait_ended(now, waiting_since, attempt);
        let waited = now.since(waiting_since);
        self.state.metrics().count_wait(self.admitted.pool.as_str(), attempt.rank, "sent", waited);
    }

    /// Logs and counts a refusal that a decision on waiting gave, if this one is.
    fn record_shed(&self, waiting_since: Option<TimePoint>) {
        let (call, now) = (self.admitted.call, self.state.now());
        let inputs = self.state.with_core(|core, _| core.wait_inputs(call));
        let Some((inputs, reason)) = inputs.and_then(|inputs| Some((inputs, inputs.shed?))) else {
            return;
        };
        let waited = waiting_since.map_or(Duration::ZERO, |since| now.since(since));
        self.log.shed(now, &self.admitted, &inputs, reason, waited);
        let (pool, reason) = (self.admitted.pool.as_str(), reason.as_str());
        self.state.metrics().count_shed(pool, inputs.rank, reason);
        if waiting_since.is_some() {
            self.state.metrics().count_wait(pool, inputs.rank, "refused", waited);
        }
    }

    /// Makes one attempt; reports a failed one to the core and returns `None`.
    async fn send_attempt(
        &mut self,
        attempt: AttemptSpec,
        last_event_id: Option<&str>,
    ) -> Option<StartedResponse> {
        let request = self.build_request(&attempt, last_event_id);
        let mut connection = match self.acquire_connection(&attempt).await {
            Ok(connection) => connection,
            Err(error) => return self.record_send_error(&attempt, error),
        };
        let call = self.admitted.call;
        if self.state.with_core(|core, now| core.is_withheld(now, call)) {
            self.release_unused(&attempt, connection);
            let outcome = AttemptOutcome::Withdrawn;
            self.record_failed_attempt(
                &attempt,
                outcome,
                "its content was blocked or its target evacuated meanwhile",
            );
            return None;
        }
        let response = match self.await_response(&attempt, connection.send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return self.record_send_error(&attempt, error),
            Err(outcome) => {
                self.record_failed_attempt(&attempt, outcome, "no answer in time");
                return None;
            }
        };
        let (parts, body) = response.into_parts();
        let head = self.state.dialect().read_response(self.log.id(), &parts);
        let started = StartedResponse {
            attempt,
            connection,
            head,
            response: Response::from_parts(parts, body),
        };
        self.accept_response(started).await
    }

    /// Waits for a target's response until the deadline, or only until the attempt's silence
    /// deadline if the call may be retried elsewhere. A silent target is probed if a probe is due.
    pub(crate) async fn await_response<T>(
        &self,
        attempt: &AttemptSpec,
        response: impl Future<Output = T>,
    ) -> Result<T, AttemptOutcome> {
        let clock = self.state.clock();
        let mut response = std::pin::pin!(response);
        if attempt.response_start_deadline < attempt.deadline {
            let early_response = tokio::time::timeout_at(
                clock.instant(attempt.response_start_deadline),
                response.as_mut(),
            );
            if let Ok(response) = early_response.await {
                return Ok(response);
            }
            let call = self.admitted.call;
            if self.state.with_core(|core, now| core.take_due_probe(now, call)) {
                probe_target(&self.state, attempt);
            }
            if self.state.with_core(|core, now| core.can_retry(now, call)) {
                return Err(AttemptOutcome::Silent);
            }
        }
        let deadline = clock.instant(attempt.deadline);
        tokio::time::timeout_at(deadline, response).await.map_err(|_| AttemptOutcome::Expired)
    }

    /// Returns the response if it is the call's own; otherwise reports the failed attempt.
    async fn accept_response(&mut self, started: StartedResponse) -> Option<StartedResponse> {
        let status = started.response.status().as_u16();
        // An answer of another target, or to another call, says nothing about this target.
        if let ExecutionStatus::Executed | ExecutionStatus::Declined = started.head.execution {
            let call = self.admitted.call;
            self.state.with_core(|core, now| core.on_target_answered(now, call));
            self.record_rate_limit(&started);
            self.record_rejection_limit(&started);
            self.record_load_report(&started);
            self.record_leaving(&started);
            self.record_pause(&started);
        }
        match started.head.execution {
            ExecutionStatus::Executed => return Some(started),
            ExecutionStatus::Declined => {
                self.record_failed_attempt(
                    &started.attempt,
                    AttemptOutcome::Declined,
                    &format!("status {status}"),
                );
                drop(self.read_to_end(started).await);
            }
            ExecutionStatus::Misdirected => {
                self.record_failed_attempt(
                    &started.attempt,
                    AttemptOutcome::Misdirected,
                    "another target",
                );
            }
            ExecutionStatus::Foreign => {
                let reason = format!("status {status}, not the call's own answer");
                self.record_failed_attempt(&started.attempt, AttemptOutcome::Lost, &reason);
            }
        }
        None
    }

    /// Reads a target's server error and reports the attempt as failed; the call may be retried.
    async fn read_failure(&mut self, started: StartedResponse) -> Option<Response<Bytes>> {
        let attempt = started.attempt.clone();
        let status = started.response.status().as_u16();
        let response = self.read_to_end(started).await;
        let (outcome, reason) = match &response {
            Ok(_) => (AttemptOutcome::Failed, format!("status {status}")),
            Err(outcome) => (*outcome, format!("status {status}, cut")),
        };
        self.record_failed_attempt(&attempt, outcome, &reason);
        response.ok()
    }

    /// Reads a response to its end; a response that is truncated, too long or past the deadline
    /// counts as lost, and the call may be retried.
    async fn buffer_response(&mut self, started: StartedResponse) -> Option<Response<Bytes>> {
        let attempt = started.attempt.clone();
        let call = self.admitted.call;
        self.state.with_core(|core, now| core.on_response_started(now, call));
        let response = self.read_to_end(started).await;
        match response {
            Ok(_) => self.record_attempt_outcome(&attempt, AttemptOutcome::Completed),
            Err(outcome @ AttemptOutcome::Unread) => {
                self.record_failed_attempt(&attempt, outcome, "no memory for the answer")
            }
            Err(outcome) => self.record_failed_attempt(&attempt, outcome, "the answer broke off"),
        }
        response.ok()
    }

    /// Reads the rest of a response and returns its connection to the pool, or returns the outcome of
    /// an attempt whose response was not read to its end.
    async fn read_to_end(
        &mut self,
        started: StartedResponse,
    ) -> Result<Response<Bytes>, AttemptOutcome> {
        let deadline = self.state.clock().instant(started.attempt.deadline);
        let mut progress = BodyProgress::new(BodyFraming::of(&started.response));
        let (parts, body) = started.response.into_parts();
        let body = body.map_frame(|frame| {
            progress.bytes += frame.data_ref().map_or(0, |chunk| chunk.len() as u64);
            frame
        });
        let collected = self.memory.collect_answer(body, RESPONSE_BYTES_MAX, deadline).await;
        let collected = collected.map_err(|error| match error {
            CollectError::NoMemory => {
                self.state.metrics().count_memory_end("answer");
                AttemptOutcome::Unread
            }
            CollectError::Broken | CollectError::TooLong | CollectError::Expired => {
                AttemptOutcome::Lost
            }
        });
        let outcome = collected.as_ref().err().copied().unwrap_or(AttemptOutcome::Completed);
        self.record_response_end(&started.attempt, &progress, outcome);
        let collected = collected?;
        self.record_complete_answer(&progress, parts.status.as_u16());
        self.release_connection(&started.attempt, started.connection, &started.head);
        Ok(Response::from_parts(end_to_end_parts(parts), collected))
    }

    /// Returns a connection to the pool for the next call, unless the target closes it.
    pub(crate) fn release_connection(
        &self,
        attempt: &AttemptSpec,
        connection: TargetConnection,
        head: &ResponseHead,
    ) {
        if !head.closes_connection {
            self.state.with_upstream(|pool, now| {
                pool.put(now, attempt.target, connection, head.idle_timeout)
            });
        }
    }

    /// Returns a connection that carried no call to the pool.
    fn release_unused(&self, attempt: &AttemptSpec, connection: TargetConnection) {
        self.state.with_upstream(|pool, now| pool.put(now, attempt.target, connection, None));
    }

    async fn acquire_connection(
        &self,
        attempt: &AttemptSpec,
    ) -> Result<TargetConnection, SendError> {
        let idle = self.state.with_upstream(|pool, now| pool.take(now, attempt.target));
        if let Some(connection) = idle {
            return Ok(connection);
        }
        self.state.with_upstream(|pool, _| pool.count_opened());
        open_connection(self.state.clock(), attempt).await
    }

    fn record_send_error(
        &mut self,
        attempt: &AttemptSpec,
        error: SendError,
    ) -> Option<StartedResponse> {
        match error {
            SendError::Unsent(reason) => {
                self.record_failed_attempt(attempt, AttemptOutcome::Unsent, &reason)
            }
            SendError::Lost(reason) => {
                self.record_failed_attempt(attempt, AttemptOutcome::Lost, &reason)
            }
        }
        None
    }

    /// Logs an attempt without a usable response and reports its outcome to the core.
    pub(crate) fn record_failed_attempt(
        &self,
        attempt: &AttemptSpec,
        outcome: AttemptOutcome,
        reason: &str,
    ) {
        let now = self.state.now();
        self.log.attempt_failed(now, attempt, outcome.as_str(), reason);
        if outcome == AttemptOutcome::Lost {
            self.log.content_lost(now, attempt, &self.admitted.content_keys);
        }
        self.record_attempt_outcome(attempt, outcome);
    }

    /// Logs and counts an attempt whose silent target was left; the core knows of it.
    pub(crate) fn record_left_target(&self, attempt: &AttemptSpec) {
        let outcome = AttemptOutcome::Silent.as_str();
        self.log.attempt_failed(self.state.now(), attempt, outcome, "no event in time");
        let is_retry = attempt.attempts_before > 0;
        self.state.metrics().count_attempt(self.admitted.pool.as_str(), outcome, is_retry);
    }

    fn record_rate_limit(&self, started: &StartedResponse) {
        let (target, limit) = (started.attempt.target, started.head.rate_limit);
        if self.state.with_core(|core, now| core.on_rate_limit(now, target, limit)) {
            log::info!(
                target = &*started.attempt.name,
                calls_per_s = limit.map(CallRate::per_second);
                "target limit changed"
            );
        }
    }

    fn record_rejection_limit(&self, started: &StartedResponse) {
        let (target, limit) = (started.attempt.target, started.head.rejection_limit);
        if self.state.with_core(|core, now| core.on_rejection_limit(now, target, limit)) {
            log::info!(
                target = &*started.attempt.name, rejections_per_s = limit.map(|limit| limit.0);
                "rejections that a target bears changed"
            );
        }
    }

    fn record_load_report(&self, started: &StartedResponse) {
        if let Some(report) = started.head.load_report {
            let target = started.attempt.target;
            self.state.with_core(|core, now| core.on_load_report(now, target, report));
        }
    }

    fn record_leaving(&self, started: &StartedResponse) {
        let target = started.attempt.target;
        if !started.head.announces_leaving {
            return;
        }
        if let Some(notice) =
            self.state.with_core(|core, now| core.on_leaving_announced(now, target))
        {
            log::info!(
                target = &*started.attempt.name, listed = notice.listed_as_serving;
                "target announced that it leaves"
            );
        }
    }

    fn record_pause(&self, started: &StartedResponse) {
        let Some(pause) = started.head.pause else { return };
        let target = started.attempt.target;
        log::info!(
            target = &*started.attempt.name, pause_ms = pause.as_millis() as u64;
            "target asked for a pause"
        );
        self.state.with_core(|core, now| core.on_pause_asked(target, now.after(pause)));
    }

    /// Reports to the core that a target answered completely, if the response's framing shows so.
    pub(crate) fn record_complete_answer(&self, progress: &BodyProgress, status: u16) {
        let is_success = StatusCode::from_u16(status).is_ok_and(|status| status.is_success());
        if is_success && progress.framing != BodyFraming::ConnectionClose {
            let call = self.admitted.call;
            self.state.with_core(|core, now| core.on_answer_complete(now, call));
        }
    }

    /// Reports the outcome of an attempt to the core and the metrics. A target that lost the call is
    /// probed, as it may have crashed.
    pub(crate) fn record_attempt_outcome(&self, attempt: &AttemptSpec, outcome: AttemptOutcome) {
        let call = self.admitted.call;
        self.state.with_core(|core, now| core.on_attempt_finished(now, call, outcome));
        self.state.wake_waiting();
        let target = attempt.target;
        if outcome == AttemptOutcome::Lost
            && self.state.with_core(|core, now| core.take_crash_probe(now, target))
        {
            probe_for_crash(&self.state, attempt);
        }
        let is_retry = attempt.attempts_before > 0;
        self.state.metrics().count_attempt(self.admitted.pool.as_str(), outcome.as_str(), is_retry);
    }

    /// Logs and counts how far the body of a response was received.
    pub(crate) fn record_response_end(
        &self,
        attempt: &AttemptSpec,
        progress: &BodyProgress,
        outcome: AttemptOutcome,
    ) {
        self.log.response_ended(self.state.now(), attempt, progress, outcome.as_str());
        self.state.metrics().count_response_end(
            progress.framing.as_str(),
            outcome.as_str(),
            progress.inside_event,
        );
    }

    fn build_request(
        &self,
        attempt: &AttemptSpec,
        last_event_id: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.head.headers.clone();
        strip_hop_by_hop_headers(&mut headers);
        let dialect = self.state.dialect();
        dialect.write_request_headers(self.state.now(), attempt, &mut headers);
        if let Some(event) = last_event_id.and_then(|event| event.parse().ok()) {
            dialect.write_resume_header(&event, &mut headers);
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Marks the call as finished and returns its final response.
    pub(crate) fn finish_with<B>(
        mut self,
        response: Response<B>,
        outcome: &'static str,
    ) -> Response<B> {
        self.mark_finished(response.status().as_u16(), outcome);
        response
    }

    /// Marks the call as finished: its response was forwarded, or no longer can be.
    pub(crate) fn mark_finished(&mut self, status: u16, outcome: &'static str) {
        self.finished = true;
        self.record_call_outcome(status, outcome);
    }

    fn record_call_outcome(&self, status: u16, outcome: &'static str) {
        let now = self.state.now();
        self.log.finished(now, status, outcome);
        let route = self.admitted.route.as_str();
        self.state.metrics().count_call(route, outcome, status, self.log.age(now));
    }

    /// Finishes the call with a refusal by the router.
    pub(crate) fn give_up(self, refusal: Refusal) -> Response<ResponseBody> {
        self.log.given_up(self.state.now(), refusal);
        let response = refusal_response(&self.state, refusal);
        self.finish_with(response, "given up")
    }
}
