//! HTTP service of the callers' port.

use std::{sync::Arc, time::Duration};

use base_settings::LimitSettings;
use base_types::{
    AccountName, AttemptKey, ChatName, CompletedCode, IncomingRequest, NotRunCode, OperationName,
    Refusal, RequestKey, TargetKey, UnknownCode,
};
use core_router::{AttemptOutcome, Event, LoadReport, RequestStep};
use http::{HeaderMap, header};
use io_clock::MonotonicClock;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use tokio::sync::mpsc;

use crate::{
    answer::{
        PLACEMENT, write_completed, write_placement, write_refusal, write_result_headers,
        write_stored_answer, write_unknown,
    },
    entry::EntryHandler,
    forward::{AtMostOnceResult, AttemptStart, CallerRequest, StartedAnswer, TargetClients},
    handle::{CallerGuard, LoopHandle},
    peers::PeerHandle,
    prompt::ChatPrompt,
    relay::{RelayContext, relay_answer},
};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(600);
const IDEMPOTENCY_KEY_BYTES_MAX: usize = 128;
/// Response header by which a target announces that it is draining; any answer may carry it.
const TARGET_LEAVING: &str = "x-target-leaving";

/// Reads callers' requests and carries out the core's steps for them.
pub(crate) struct CallerService {
    handle: LoopHandle,
    clock: MonotonicClock,
    clients: TargetClients,
    limits: LimitSettings,
}

/// The routes of the callers' port.
pub(crate) fn caller_router(
    handle: LoopHandle,
    peers: PeerHandle,
    clock: MonotonicClock,
    limits: LimitSettings,
) -> Router {
    let entry = EntryHandler(peers);
    let clients = TargetClients::new();
    let service = Arc::new(CallerService { handle, clock, clients, limits });
    Router::new()
        .push(Router::with_path("/v1/entry").get(entry))
        .push(Router::with_path("{**path}").goal(CallHandler(service)))
}

struct CallHandler(Arc<CallerService>);

#[async_trait]
impl Handler for CallHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let request = RequestKey(rand::random());
        let call = match read_call(req, request, &self.0.limits).await {
            Ok(call) => call,
            Err(code) => {
                let now = self.0.clock.now();
                return write_refusal(res, request, Refusal::NotRun(code, now), now);
            }
        };
        let incoming = self.0.incoming_request(&call, req.headers());
        self.0.serve(call, incoming, res).await;
    }
}

impl CallerService {
    fn incoming_request(&self, call: &CallerRequest, headers: &HeaderMap) -> IncomingRequest {
        let header_text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let timeout_ms = header_text("x-deadline-ms").and_then(|value| value.parse().ok());
        let timeout = timeout_ms.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
        let prompt = ChatPrompt::parse(&call.body);
        IncomingRequest {
            request: call.request,
            path: call.path.clone(),
            account: AccountName::new(header_text("x-client-account").unwrap_or("anonymous")),
            chat: header_text("x-chat-id").map(ChatName::new),
            operation: call
                .operation
                .as_ref()
                .and_then(|value| value.to_str().ok())
                .filter(|value| !value.is_empty() && value.len() <= IDEMPOTENCY_KEY_BYTES_MAX)
                .map(OperationName::new),
            content_digest: call.digest(),
            placement: header_text(PLACEMENT).and_then(|value| value.parse().ok()),
            is_first_turn: prompt.is_first_turn,
            estimated_tokens: prompt.estimated_tokens,
            prompt_prefix: prompt.prefix,
            deadline: self.clock.now().after(timeout),
        }
    }

    async fn serve(&self, call: CallerRequest, incoming: IncomingRequest, res: &mut Response) {
        let request = incoming.request;
        let mut guard = CallerGuard::new(self.handle.clone(), request);
        let mut steps = self.handle.start_request(incoming);
        let mut next = steps.recv().await;
        loop {
            let Some(step) = next else {
                guard.disarm();
                return write_unknown(res, request, UnknownCode::RouterStopped);
            };
            next = match step {
                RequestStep::Refuse(refusal) => {
                    guard.disarm();
                    return write_refusal(res, request, refusal, self.clock.now());
                }
                RequestStep::Replay(answer) => {
                    guard.disarm();
                    return write_stored_answer(res, request, answer, CompletedCode::Replayed);
                }
                RequestStep::ConfirmSettled(code) => {
                    guard.disarm();
                    return write_completed(res, request, code);
                }
                RequestStep::Deliver(answer) => {
                    guard.disarm();
                    return write_stored_answer(res, request, answer, CompletedCode::Complete);
                }
                RequestStep::Send { attempt, address, non_idempotent: true, .. } => {
                    self.spawn_at_most_once(&call, attempt, address);
                    steps.recv().await
                }
                RequestStep::Send {
                    attempt,
                    target,
                    placement,
                    address,
                    non_idempotent: false,
                } => {
                    write_placement(res, placement);
                    match self.send_or_next_step(&call, &address, &mut steps).await {
                        SendRace::NextStep(step) => step,
                        SendRace::Sent(AttemptStart::Answered(answer)) => {
                            self.report_target_headers(target, &answer.headers);
                            let context = RelayContext {
                                handle: self.handle.clone(),
                                clients: self.clients.clone(),
                                call,
                                address,
                                attempt,
                                guard,
                                steps,
                            };
                            return stream_answer(res, answer, context);
                        }
                        SendRace::Sent(outcome) => {
                            self.post_failure(request, attempt, &outcome);
                            steps.recv().await
                        }
                    }
                }
            };
        }
    }

    /// Sends a request and waits for the start of its answer, or for a step that supersedes the
    /// attempt.
    async fn send_or_next_step(
        &self,
        call: &CallerRequest,
        address: &str,
        steps: &mut mpsc::UnboundedReceiver<RequestStep>,
    ) -> SendRace {
        tokio::select! {
            outcome = self.clients.send(call, address) => SendRace::Sent(outcome),
            step = steps.recv() => SendRace::NextStep(step),
        }
    }

    /// Sends a call that must not be retried. A task of its own does so, so that the call completes
    /// even if the caller disconnects.
    fn spawn_at_most_once(&self, call: &CallerRequest, attempt: AttemptKey, address: Box<str>) {
        let call = call.clone();
        let clients = self.clients.clone();
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let event = match clients.send_at_most_once(&call, &address).await {
                AtMostOnceResult::Unsent => Event::AttemptUnsent(call.request, attempt),
                AtMostOnceResult::Failed(code) => Event::AttemptEnded(
                    call.request,
                    attempt,
                    AttemptOutcome::LostBeforeAnswer(code),
                ),
                AtMostOnceResult::Answered(answer) => Event::AttemptEnded(
                    call.request,
                    attempt,
                    AttemptOutcome::Completed(Some(answer)),
                ),
            };
            handle.post(event);
        });
    }

    fn post_failure(&self, request: RequestKey, attempt: AttemptKey, outcome: &AttemptStart) {
        self.handle.post(match outcome {
            AttemptStart::Failed(code) => {
                Event::AttemptEnded(request, attempt, AttemptOutcome::LostBeforeAnswer(*code))
            }
            _ => Event::AttemptUnsent(request, attempt),
        });
    }

    /// Reports to the core the draining state and the load that a target announces in its headers.
    fn report_target_headers(&self, target: TargetKey, headers: &HeaderMap) {
        if headers.contains_key(TARGET_LEAVING) {
            self.handle.post(Event::TargetLeavingReported(target));
        }
        let value = headers.get("x-engine-in-flight").and_then(|value| value.to_str().ok());
        let Some(in_flight) = value.and_then(|text| text.parse().ok()) else { return };
        let report = LoadReport { in_flight, received_at: self.clock.now() };
        self.handle.post(Event::LoadReported(target, report));
    }
}

fn stream_answer(res: &mut Response, answer: StartedAnswer, context: RelayContext) {
    res.status_code(answer.status);
    if let Some(value) = answer.headers.get(header::CONTENT_TYPE) {
        res.headers_mut().insert(header::CONTENT_TYPE, value.clone());
    }
    write_result_headers(res, context.call.request, CompletedCode::Complete.number());
    res.stream(relay_answer(context, answer));
}

/// Which came first: the outcome of an attempt, or another step from the core.
enum SendRace {
    Sent(AttemptStart),
    NextStep(Option<RequestStep>),
}

async fn read_call(
    req: &mut Request,
    request: RequestKey,
    limits: &LimitSettings,
) -> Result<CallerRequest, NotRunCode> {
    let body = req.payload_with_max_size(limits.body_bytes_max);
    let body = tokio::time::timeout(limits.body_timeout, body).await;
    let body = match body.map_err(|_| NotRunCode::BodyTimeout)? {
        Ok(body) => body.clone(),
        Err(salvo::http::ParseError::PayloadTooLarge) => return Err(NotRunCode::BodyTooLarge),
        Err(_) => return Err(NotRunCode::MalformedRequest),
    };
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    Ok(CallerRequest {
        request,
        method: req.method().clone(),
        path: path.into(),
        content_type: req.headers().get(header::CONTENT_TYPE).cloned(),
        operation: req.headers().get("idempotency-key").cloned(),
        body,
    })
}
