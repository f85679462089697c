//! Sends calls through another router, and forwards its answers as they are.
//!
//! The other router decides on the call as on any other: it chooses the target, retries and resumes. One whose
//! configuration is older than the one that admitted the call does not take it.

use bytes::Bytes;
use core_forward::{DetourOutcome, DetourSpec};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use policy_admission::MemoryUse;

use crate::{
    ExecutionStatus, ResponseBody,
    body::{StreamOutlet, WriteStop},
    call::{RESPONSE_BYTES_MAX, ServedCall},
    hop::{end_to_end_parts, strip_hop_by_hop_headers},
    memory::CollectError,
    target_stream::TargetBody,
    upstream::{SendError, TargetConnection, error_chain},
};

/// A response of another router whose head has arrived.
#[derive(Debug)]
pub(crate) struct DetourResponse {
    detour: DetourSpec,
    /// Dropping it closes the connection, which ends the call at the other router.
    connection: TargetConnection,
    response: Response<TargetBody>,
}

impl ServedCall {
    /// Sends the call through another router; reports a failure to the core and returns `None`.
    pub(crate) async fn send_detour(&mut self, detour: DetourSpec) -> Option<DetourResponse> {
        let now = self.state.now();
        self.log.detour_sent(now, &self.admitted, &detour);
        let request = self.build_detour_request(&detour);
        let deadline = self.state.clock().instant(detour.deadline);
        let sending = async {
            let connection = TargetConnection::connect(detour.address).await;
            let mut connection =
                connection.map_err(|error| SendError::Unsent(error.to_string().into()))?;
            let response = connection.send(request).await?;
            Ok((connection, response))
        };
        let sent = tokio::time::timeout_at(deadline, sending).await;
        let (connection, response) = match sent {
            Ok(Ok(sent)) => sent,
            Ok(Err(SendError::Unsent(reason))) => {
                self.record_detour(&detour, DetourOutcome::Unsent, &reason);
                return None;
            }
            Ok(Err(SendError::Lost(reason))) => {
                self.record_detour(&detour, DetourOutcome::Lost, &reason);
                return None;
            }
            Err(_) => {
                self.record_detour(&detour, DetourOutcome::Lost, "deadline passed");
                return None;
            }
        };
        self.accept_detour(DetourResponse { detour, connection, response })
    }

    /// Returns the response, unless the router could not decide on the call, or refuses it as one that has not run
    /// although an earlier attempt may have run it.
    fn accept_detour(&mut self, started: DetourResponse) -> Option<DetourResponse> {
        let call = self.admitted.call;
        let (parts, body) = started.response.into_parts();
        let head = self.state.dialect().read_response(self.log.id(), &parts);
        if head.execution == ExecutionStatus::Misdirected {
            let reason = "the router has an older configuration";
            self.record_detour(&started.detour, DetourOutcome::Outdated, reason);
            return None;
        }
        let is_target_answer = head.execution == ExecutionStatus::Executed;
        if !is_target_answer && self.state.with_core(|core, _| core.may_have_run(call)) {
            let reason = format!("status {} of a router", parts.status.as_u16());
            self.record_detour(&started.detour, DetourOutcome::Lost, &reason);
            return None;
        }
        let response = Response::from_parts(parts, body);
        Some(DetourResponse { response, ..started })
    }

    /// Reads the response of another router to its end; one that is truncated, too long or past the
    /// deadline counts as lost.
    pub(crate) async fn buffer_detour(
        &mut self,
        started: DetourResponse,
    ) -> Option<Response<Bytes>> {
        let DetourResponse { detour, connection, response } = started;
        let deadline = self.state.clock().instant(detour.deadline);
        let (parts, body) = response.into_parts();
        let collected = self.memory.collect_answer(body, RESPONSE_BYTES_MAX, deadline).await;
        drop(connection);
        if let Err(CollectError::NoMemory) = collected {
            self.state.metrics().count_memory_end("answer");
        }
        let Ok(collected) = collected else {
            self.record_detour(&detour, DetourOutcome::Lost, "the answer broke off");
            return None;
        };
        let reason = format!("status {}", parts.status.as_u16());
        self.record_detour(&detour, DetourOutcome::Answered, &reason);
        Some(Response::from_parts(end_to_end_parts(parts), collected))
    }

    fn build_detour_request(&self, detour: &DetourSpec) -> Request<Full<Bytes>> {
        let mut headers = self.head.headers.clone();
        strip_hop_by_hop_headers(&mut headers);
        self.state.dialect().write_detour_headers(self.state.now(), detour, &mut headers);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Logs, counts and reports to the core how a detour ended.
    fn record_detour(&self, detour: &DetourSpec, outcome: DetourOutcome, reason: &str) {
        self.log.detour_ended(self.state.now(), detour, outcome.as_str(), reason);
        let call = self.admitted.call;
        self.state.with_core(|core, now| core.on_detour_finished(now, call, outcome));
        self.state.metrics().count_detour(self.admitted.pool.as_str(), outcome.as_str());
    }
}

/// Spawns a task that forwards the stream of another router to the caller, and returns the response
/// that carries it.
pub(crate) fn forward_stream(
    mut call: ServedCall,
    started: DetourResponse,
) -> Response<ResponseBody> {
    let (outlet, response_body) = StreamOutlet::new(call.state.call_memory(MemoryUse::Streamed));
    call.drop_request_data();
    let DetourResponse { detour, connection, response } = started;
    let (parts, body) = response.into_parts();
    let stream = DetourStream { call, detour, connection, body, outlet };
    tokio::task::spawn_local(stream.run(parts.status.as_u16()));
    Response::from_parts(end_to_end_parts(parts), response_body)
}

/// A stream that another router sends.
#[derive(Debug)]
struct DetourStream {
    call: ServedCall,
    detour: DetourSpec,
    connection: TargetConnection,
    body: TargetBody,
    outlet: StreamOutlet,
}

/// Why forwarding a stream stopped before its end.
#[derive(Debug)]
enum StreamStop {
    CallerDisconnected,
    /// The caller left it unread for too long.
    Unread,
    Broken(Box<str>),
}

impl DetourStream {
    async fn run(mut self, status: u16) {
        match self.forward().await {
            Ok(()) => {
                let reason = format!("status {status}");
                self.call.record_detour(&self.detour, DetourOutcome::Answered, &reason);
                self.call.mark_finished(status, "answered by a router");
                self.outlet.finish().await;
            }
            // The call is reported as left by its caller when it is dropped.
            Err(StreamStop::CallerDisconnected) => {}
            Err(StreamStop::Unread) => {
                self.call.record_detour(&self.detour, DetourOutcome::Lost, "left unread");
                self.call.state.metrics().count_memory_end("unread");
                self.call.mark_finished(status, "left unread");
            }
            // The body is not finished, so that it reads as truncated.
            Err(StreamStop::Broken(reason)) => {
                self.call.record_detour(&self.detour, DetourOutcome::Lost, &reason);
                self.call.mark_finished(status, "broke off");
            }
        }
        drop(self.connection);
    }

    /// Forwards chunks as they arrive, until the other router ends the stream.
    async fn forward(&mut self) -> Result<(), StreamStop> {
        let deadline = self.call.state.clock().instant(self.detour.deadline);
        loop {
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = self.outlet.closed() => return Err(StreamStop::CallerDisconnected),
                () = tokio::time::sleep_until(deadline) => {
                    return Err(StreamStop::Broken("deadline passed".into()));
                }
            };
            let chunk = match frame {
                None => return Ok(()),
                Some(Err(error)) => return Err(StreamStop::Broken(error_chain(&error))),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(chunk) => chunk,
                    Err(_) => continue,
                },
            };
            self.outlet.hold(chunk.len(), 0, deadline).await?;
            self.outlet.send(chunk, deadline).await?;
        }
    }
}

impl From<WriteStop> for StreamStop {
    fn from(stop: WriteStop) -> Self {
        match stop {
            WriteStop::CallerDisconnected => Self::CallerDisconnected,
            WriteStop::Unread => Self::Unread,
            WriteStop::Expired => Self::Broken("deadline passed".into()),
        }
    }
}
