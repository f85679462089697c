//! One call: from its head to its answer.

use base_types::{ContentDigest, NotRunCode, Refusal};
use bytes::Bytes;
use core_forward::{AdmittedCall, AttemptEnd, CallHead, DispatchStep, SendOrder};
use http::{Request, Response, Uri, header, request};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use crate::{
    AnswerBody, AnswerHead, AnswerWord, ForwardState,
    hop::{answer_parts, strip_hop_headers},
    log_lines::CallLog,
    relay::relay_stream,
    upstream::{SendFault, TargetConnection, check_target, open_connection},
};

/// Bytes of a body that are read before a configuration says how many are allowed.
const BODY_BYTES_MAX: usize = 1024 * 1024;

/// Bytes of an answer that is read whole before it is passed on.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// A call that was admitted; dropping it tells the core that the call is over.
#[derive(Debug)]
pub(crate) struct ServedCall {
    pub(crate) state: ForwardState,
    pub(crate) log: CallLog,
    pub(crate) admitted: AdmittedCall,
    head: request::Parts,
    body: Bytes,
    over: bool,
}

/// A send whose answer has begun.
#[derive(Debug)]
pub(crate) struct BegunAnswer {
    pub(crate) order: SendOrder,
    pub(crate) connection: TargetConnection,
    pub(crate) head: AnswerHead,
    pub(crate) response: Response<Incoming>,
}

/// What a call has come to.
#[derive(Debug)]
pub(crate) enum CallTurn {
    /// A target answers.
    Begun(Box<BegunAnswer>),
    /// The target's own failure, after which nothing else was possible.
    Failure(Response<Bytes>),
    /// The router gives the call up.
    GivenUp(Refusal),
}

/// Serves a caller's request.
pub(crate) async fn serve_call(
    state: ForwardState,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let began = state.now();
    let (head, body) = request.into_parts();
    let call = match state.dialect().read_call(began, &head) {
        Ok(call) => call,
        Err(code) => {
            let log = CallLog::new("", began);
            return deny(&state, &log, code, &head);
        }
    };
    let log = CallLog::new(&call.id, began);
    let body = match read_body(&state, &call, body).await {
        Ok(body) => body,
        Err(code) => return deny(&state, &log, code, &head),
    };
    let content = digest_of(&call, &head, &body);
    match state.with_core(|core, now| core.admit(now, call, content)) {
        Ok(admitted) => {
            let call = ServedCall { state, log, admitted, head, body, over: false };
            call.serve().await
        }
        Err(code) => deny(&state, &log, code, &head),
    }
}

/// What a repeat of the same call has in common with it.
fn digest_of(call: &CallHead, head: &request::Parts, body: &Bytes) -> ContentDigest {
    let key = head.headers.get(header::AUTHORIZATION).map_or(&b""[..], |key| key.as_bytes());
    ContentDigest::of_parts(&[call.host.as_bytes(), call.path.as_bytes(), key, body])
}

fn deny(
    state: &ForwardState,
    log: &CallLog,
    code: NotRunCode,
    head: &request::Parts,
) -> Response<AnswerBody> {
    let now = state.now();
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    log.denied(now, code, host, head.uri.path());
    state.metrics().count_call("", "denied", code.status(), log.age(now));
    refusal_answer(state, Refusal::NotRun(code, now))
}

fn refusal_answer(state: &ForwardState, refusal: Refusal) -> Response<AnswerBody> {
    let answer = state.dialect().refusal(state.now(), refusal);
    answer.map(|()| AnswerBody::whole(Bytes::new()))
}

async fn read_body(
    state: &ForwardState,
    call: &CallHead,
    body: Incoming,
) -> Result<Bytes, NotRunCode> {
    let limits = state.with_core(|core, _| core.limits());
    let bytes_max = limits.map_or(BODY_BYTES_MAX, |limits| limits.body_bytes_max);
    if body.size_hint().lower() > bytes_max as u64 {
        return Err(NotRunCode::BodyTooLarge);
    }
    let deadline = state.clock().instant(call.deadline);
    let reading = tokio::time::timeout_at(deadline, Limited::new(body, bytes_max).collect());
    let collected = reading.await.map_err(|_| NotRunCode::BodyTimeout)?;
    let collected = collected.map_err(|error| {
        if error.is::<LengthLimitError>() {
            NotRunCode::BodyTooLarge
        } else {
            NotRunCode::MalformedRequest
        }
    })?;
    // A copy, as the bytes would keep the whole read buffer of the connection.
    Ok(Bytes::copy_from_slice(&collected.to_bytes()))
}

impl Drop for ServedCall {
    fn drop(&mut self) {
        let call = self.admitted.call;
        if !self.over {
            self.state.with_core(|core, now| {
                core.attempt_ended(now, call, AttemptEnd::Abandoned);
            });
            self.record_end(0, "caller left");
        }
        self.state.with_core(|core, _| core.finish(call));
    }
}

impl ServedCall {
    async fn serve(mut self) -> Response<AnswerBody> {
        loop {
            match self.next_turn(None).await {
                CallTurn::Begun(begun) if self.admitted.streams => {
                    return relay_stream(self, *begun);
                }
                CallTurn::Begun(begun) => {
                    if let Some(answer) = self.whole_answer(*begun).await {
                        return self.close(answer.map(AnswerBody::whole), "answered");
                    }
                }
                CallTurn::Failure(answer) => {
                    return self.close(answer.map(AnswerBody::whole), "failed by its target");
                }
                CallTurn::GivenUp(refusal) => return self.give_up(refusal),
            }
        }
    }

    /// Drops the request of a call that is not sent again; its head keeps the read buffer of the
    /// caller's connection.
    pub(crate) fn forget_request(&mut self) {
        self.head.headers.clear();
        self.head.uri = Uri::default();
        self.body = Bytes::new();
    }

    /// Sends the call until a target begins to answer or nothing else can be tried.
    ///
    /// `last_event` is the event after which a stream is continued.
    pub(crate) async fn next_turn(&mut self, last_event: Option<&str>) -> CallTurn {
        let mut failure = None;
        loop {
            let call = self.admitted.call;
            let order = match self.state.with_core(|core, now| core.dispatch(now, call)) {
                DispatchStep::Send(order) => order,
                DispatchStep::Refuse(refusal) => {
                    return failure.map_or(CallTurn::GivenUp(refusal), CallTurn::Failure);
                }
            };
            self.state.news().notify_one();
            self.log.sent(self.state.now(), &self.admitted, &order);
            let Some(begun) = self.send(order, last_event).await else { continue };
            if !begun.response.status().is_server_error() {
                return CallTurn::Begun(Box::new(begun));
            }
            if let Some(answer) = self.own_failure(begun).await {
                failure = Some(answer);
            }
        }
    }

    /// Sends the call once; the core is told when no answer of its own began.
    async fn send(&mut self, order: SendOrder, last_event: Option<&str>) -> Option<BegunAnswer> {
        let request = self.request(&order, last_event);
        let mut connection = match self.connection(&order).await {
            Ok(connection) => connection,
            Err(fault) => return self.faulted(&order, fault),
        };
        let response = match self.answer_in_time(&order, connection.send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(fault)) => return self.faulted(&order, fault),
            Err(end) => {
                self.attempt_over(&order, end, "no answer in time");
                return None;
            }
        };
        let (parts, body) = response.into_parts();
        let head = self.state.dialect().read_answer(self.log.id(), &parts);
        let begun =
            BegunAnswer { order, connection, head, response: Response::from_parts(parts, body) };
        self.judge(begun).await
    }

    /// Waits for what a target brings: until the deadline, or shorter where the target is silent
    /// and another one can be tried. A silent target is checked.
    pub(crate) async fn answer_in_time<Answer>(
        &self,
        order: &SendOrder,
        answer: impl Future<Output = Answer>,
    ) -> Result<Answer, AttemptEnd> {
        let clock = self.state.clock();
        let mut answer = std::pin::pin!(answer);
        if order.patience < order.deadline {
            let patience = tokio::time::timeout_at(clock.instant(order.patience), answer.as_mut());
            if let Ok(answer) = patience.await {
                return Ok(answer);
            }
            let call = self.admitted.call;
            if self.state.with_core(|core, now| core.check_due(now, call)) {
                check_target(&self.state, order);
            }
            if self.state.with_core(|core, now| core.may_repeat(now, call)) {
                return Err(AttemptEnd::Silent);
            }
        }
        let limit = clock.instant(order.deadline);
        tokio::time::timeout_at(limit, answer).await.map_err(|_| AttemptEnd::Expired)
    }

    /// Tells the core what the head of an answer says, and keeps only the call's own answer.
    async fn judge(&mut self, begun: BegunAnswer) -> Option<BegunAnswer> {
        let status = begun.response.status().as_u16();
        match begun.head.word {
            AnswerWord::Ran => return Some(begun),
            AnswerWord::Declined => {
                self.attempt_over(&begun.order, AttemptEnd::Declined, &format!("status {status}"));
                self.read_to_end(begun).await;
            }
            AnswerWord::Misdirected => {
                self.attempt_over(&begun.order, AttemptEnd::Misdirected, "another target");
            }
            AnswerWord::Foreign => {
                let reason = format!("status {status}, not the call's own answer");
                self.attempt_over(&begun.order, AttemptEnd::Lost, &reason);
            }
        }
        None
    }

    /// Reads a target's own failure; another target may be tried after it.
    async fn own_failure(&mut self, begun: BegunAnswer) -> Option<Response<Bytes>> {
        let order = begun.order.clone();
        let status = begun.response.status().as_u16();
        let answer = self.read_to_end(begun).await;
        let (end, reason) = match &answer {
            Some(_) => (AttemptEnd::Failed, format!("status {status}")),
            None => (AttemptEnd::Lost, format!("status {status}, cut")),
        };
        self.attempt_over(&order, end, &reason);
        answer
    }

    /// Reads an answer to its end; another target may be tried when it breaks off.
    async fn whole_answer(&mut self, begun: BegunAnswer) -> Option<Response<Bytes>> {
        let order = begun.order.clone();
        let call = self.admitted.call;
        self.state.with_core(|core, _| core.answer_began(call));
        let answer = self.read_to_end(begun).await;
        match answer {
            Some(_) => self.attempt_ended(&order, AttemptEnd::Whole),
            None => self.attempt_over(&order, AttemptEnd::Lost, "the answer broke off"),
        }
        answer
    }

    /// Reads the rest of an answer and keeps its connection.
    async fn read_to_end(&mut self, begun: BegunAnswer) -> Option<Response<Bytes>> {
        let limit = self.state.clock().instant(begun.order.deadline);
        let (parts, body) = begun.response.into_parts();
        let collecting = Limited::new(body, ANSWER_BYTES_MAX).collect();
        let collected = tokio::time::timeout_at(limit, collecting).await.ok()?.ok()?;
        self.keep(&begun.order, begun.connection, &begun.head);
        Some(Response::from_parts(answer_parts(parts), collected.to_bytes()))
    }

    /// Keeps a connection for the next call, unless its target closes it.
    pub(crate) fn keep(&self, order: &SendOrder, connection: TargetConnection, head: &AnswerHead) {
        if !head.closing {
            self.state
                .with_upstream(|pool, now| pool.put(now, order.target, connection, head.idle_life));
        }
    }

    async fn connection(&self, order: &SendOrder) -> Result<TargetConnection, SendFault> {
        let idle = self.state.with_upstream(|pool, now| pool.take(now, order.target));
        if let Some(connection) = idle {
            return Ok(connection);
        }
        self.state.with_upstream(|pool, _| pool.count_opened());
        open_connection(self.state.clock(), order).await
    }

    fn faulted(&mut self, order: &SendOrder, fault: SendFault) -> Option<BegunAnswer> {
        match fault {
            SendFault::Unsent(reason) => self.attempt_over(order, AttemptEnd::Unsent, &reason),
            SendFault::Lost(reason) => self.attempt_over(order, AttemptEnd::Lost, &reason),
        }
        None
    }

    /// Tells the core and the log that a send brought no answer that is passed on.
    pub(crate) fn attempt_over(&self, order: &SendOrder, end: AttemptEnd, reason: &str) {
        self.log.send_ended(self.state.now(), order, end.as_str(), reason);
        self.attempt_ended(order, end);
    }

    /// Tells the core and the metrics how a send ended.
    pub(crate) fn attempt_ended(&self, order: &SendOrder, end: AttemptEnd) {
        let call = self.admitted.call;
        self.state.with_core(|core, now| core.attempt_ended(now, call, end));
        let repeat = order.sends_before > 0;
        self.state.metrics().count_send(self.admitted.pool.as_str(), end.as_str(), repeat);
    }

    fn request(&self, order: &SendOrder, last_event: Option<&str>) -> Request<Full<Bytes>> {
        let mut headers = self.head.headers.clone();
        strip_hop_headers(&mut headers);
        let dialect = self.state.dialect();
        dialect.write_send(self.state.now(), order, &mut headers);
        if let Some(event) = last_event.and_then(|event| event.parse().ok()) {
            dialect.write_resume(&event, &mut headers);
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// The call is over and this is its answer.
    pub(crate) fn close<Content>(
        mut self,
        answer: Response<Content>,
        end: &'static str,
    ) -> Response<Content> {
        self.end(answer.status().as_u16(), end);
        answer
    }

    /// The call is over; its answer has been passed on or cannot be any more.
    pub(crate) fn end(&mut self, status: u16, end: &'static str) {
        self.over = true;
        self.record_end(status, end);
    }

    fn record_end(&self, status: u16, end: &'static str) {
        let now = self.state.now();
        self.log.ended(now, status, end);
        let route = self.admitted.route.as_str();
        self.state.metrics().count_call(route, end, status, self.log.age(now));
    }

    pub(crate) fn give_up(self, refusal: Refusal) -> Response<AnswerBody> {
        self.log.refused(self.state.now(), refusal);
        let answer = refusal_answer(&self.state, refusal);
        self.close(answer, "given up")
    }
}
