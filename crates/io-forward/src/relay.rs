//! Forwards streamed responses as they arrive, and resumes them at another target where allowed.

use std::time::Duration;

use bytes::Bytes;
use core_forward::{AttemptOutcome, AttemptSpec};
use http::{Response, header, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    EventPosition, EventSplitter, ResponseBody, ResponseHead,
    body::{ChunkSender, TruncatedResponse},
    call::{DispatchOutcome, ServedCall, StartedResponse},
    framing::{BodyFraming, BodyProgress},
    hop::end_to_end_parts,
    upstream::TargetConnection,
};

/// Silence after which a resumable stream is resumed at another target; callers abandon a stream
/// after two seconds without an event.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Content type of event streams, which parameters may follow.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// Spawns a task that forwards a stream to the caller, and returns the response that carries it.
pub(crate) fn relay_stream(
    mut call: ServedCall,
    started: StartedResponse,
) -> Response<ResponseBody> {
    let (chunks, response_body) = ResponseBody::streamed();
    let status = started.response.status().as_u16();
    if !call.admitted.resumable {
        call.drop_request_data();
    }
    let (parts, source) = StreamSource::new(started);
    let relay = StreamRelay {
        splitter: call.admitted.resumable.then(EventSplitter::default),
        call,
        chunks,
        status,
        last_event_id: None,
    };
    tokio::task::spawn_local(relay.run(source));
    Response::from_parts(end_to_end_parts(parts), response_body)
}

/// The attempt and connection that currently supply a stream.
#[derive(Debug)]
struct StreamSource {
    attempt: AttemptSpec,
    connection: TargetConnection,
    head: ResponseHead,
    body: Incoming,
    progress: BodyProgress,
    /// Position in the stream; `None` if the body is not a stream of events.
    position: Option<EventPosition>,
}

/// Why reading the stream of one target stopped.
#[derive(Debug)]
enum StreamEnd {
    /// The target ended the stream, and all of it was forwarded.
    Complete,
    /// The connection to the target failed, for the given reason.
    Broken(Box<str>),
    /// No event arrived in time, and the call may be retried on another target.
    Silent,
    /// The deadline of the call passed.
    Expired,
    /// The caller closed its connection.
    CallerDisconnected,
}

impl StreamSource {
    /// Splits a response into its head and the source of its body.
    fn new(started: StartedResponse) -> (response::Parts, Self) {
        let StartedResponse { attempt, connection, head, response } = started;
        let progress = BodyProgress::new(BodyFraming::of(&response));
        let (parts, body) = response.into_parts();
        let position = carries_events(&parts).then(EventPosition::default);
        (parts, Self { attempt, connection, head, body, progress, position })
    }

    /// Moves past a chunk that was received.
    fn advance(&mut self, chunk: &[u8]) {
        self.progress.bytes += chunk.len() as u64;
        if let Some(position) = &mut self.position {
            position.advance(chunk);
            self.progress.inside_event = position.is_inside_event();
        }
    }
}

/// Whether the response to a call on a streaming route carries events; errors have plain bodies.
fn carries_events(head: &response::Parts) -> bool {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let is_other_type =
        content_type.is_some_and(|value| !value.as_bytes().starts_with(EVENT_STREAM_TYPE));
    head.status.is_success() && !is_other_type
}

impl StreamEnd {
    /// Outcome of the attempt whose stream ended.
    fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Complete => AttemptOutcome::Completed,
            Self::Broken(_) => AttemptOutcome::Lost,
            Self::Silent => AttemptOutcome::Silent,
            Self::Expired => AttemptOutcome::Expired,
            Self::CallerDisconnected => AttemptOutcome::Abandoned,
        }
    }
}

#[derive(Debug)]
struct StreamRelay {
    call: ServedCall,
    chunks: ChunkSender,
    status: u16,
    /// Set for resumable streams, of which only complete events are forwarded.
    splitter: Option<EventSplitter>,
    last_event_id: Option<Box<str>>,
}

impl StreamRelay {
    async fn run(mut self, source: StreamSource) {
        let mut source = source;
        loop {
            let end = self.forward_events(&mut source).await;
            self.call.record_response_end(&source.attempt, &source.progress, end.outcome());
            match end {
                StreamEnd::Complete => return self.complete(source).await,
                StreamEnd::CallerDisconnected => return,
                StreamEnd::Expired => {
                    self.call.record_failed_attempt(
                        &source.attempt,
                        AttemptOutcome::Expired,
                        "deadline passed",
                    );
                    return self.abort("deadline passed").await;
                }
                StreamEnd::Broken(reason) => {
                    self.call.record_failed_attempt(&source.attempt, AttemptOutcome::Lost, &reason);
                }
                StreamEnd::Silent => {
                    self.call.record_failed_attempt(
                        &source.attempt,
                        AttemptOutcome::Silent,
                        "no event in time",
                    );
                }
            }
            drop(source);
            let Some(next) = self.resume_elsewhere().await else {
                return self.abort("broke off").await;
            };
            source = next;
        }
    }

    /// Forwards the stream until it ends, falls silent, its deadline passes or the caller
    /// disconnects.
    async fn forward_events(&mut self, source: &mut StreamSource) -> StreamEnd {
        let deadline = self.call.state.clock().instant(source.attempt.deadline);
        let mut has_started = false;
        let mut event_deadline = Instant::now() + EVENT_TIMEOUT;
        loop {
            let frame = tokio::select! {
                frame = source.body.frame() => frame,
                () = self.chunks.closed() => return StreamEnd::CallerDisconnected,
                () = tokio::time::sleep_until(deadline) => return StreamEnd::Expired,
                () = tokio::time::sleep_until(event_deadline), if self.splitter.is_some() => {
                    let call = self.call.admitted.call;
                    if self.call.state.with_core(|core, now| core.can_retry(now, call)) {
                        return StreamEnd::Silent;
                    }
                    event_deadline = Instant::now() + EVENT_TIMEOUT;
                    continue;
                }
            };
            event_deadline = Instant::now() + EVENT_TIMEOUT;
            let chunk = match frame {
                None => return self.forward_remainder().await,
                Some(Err(error)) => return StreamEnd::Broken(crate::upstream::error_chain(&error)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(chunk) => chunk,
                    Err(_) => continue,
                },
            };
            source.advance(&chunk);
            if !has_started {
                has_started = true;
                let call = self.call.admitted.call;
                self.call.state.with_core(|core, _| core.on_response_started(call));
            }
            if !self.forward_chunk(chunk).await {
                return StreamEnd::CallerDisconnected;
            }
        }
    }

    async fn forward_chunk(&mut self, chunk: Bytes) -> bool {
        let Some(splitter) = &mut self.splitter else {
            return self.chunks.send(Ok(chunk)).await.is_ok();
        };
        let Some(events) = splitter.push(&chunk) else { return true };
        if events.last_event_id.is_some() {
            self.last_event_id = events.last_event_id;
        }
        self.chunks.send(Ok(events.bytes)).await.is_ok()
    }

    async fn forward_remainder(&mut self) -> StreamEnd {
        let remainder = self.splitter.as_mut().map(EventSplitter::finish).unwrap_or_default();
        if !remainder.is_empty() && self.chunks.send(Ok(remainder)).await.is_err() {
            return StreamEnd::CallerDisconnected;
        }
        StreamEnd::Complete
    }

    /// Dispatches the call again, to resume the stream after the last complete event.
    async fn resume_elsewhere(&mut self) -> Option<StreamSource> {
        let splitter = self.splitter.as_mut()?;
        splitter.clear();
        let last_event_id = self.last_event_id.clone();
        let outcome = tokio::select! {
            outcome = self.call.dispatch_until_response(last_event_id.as_deref()) => outcome,
            () = self.chunks.closed() => return None,
        };
        match outcome {
            DispatchOutcome::Started(started) if started.response.status().is_success() => {
                let (_, source) = StreamSource::new(*started);
                Some(source)
            }
            DispatchOutcome::Started(started) => {
                let status = started.response.status();
                self.call.record_failed_attempt(
                    &started.attempt,
                    AttemptOutcome::Failed,
                    status.as_str(),
                );
                None
            }
            DispatchOutcome::TargetFailed(_) => None,
            DispatchOutcome::GivenUp(refusal) => {
                self.call.log.given_up(self.call.state.now(), refusal);
                None
            }
        }
    }

    async fn complete(mut self, source: StreamSource) {
        self.call.record_attempt_outcome(&source.attempt, AttemptOutcome::Completed);
        self.call.release_connection(&source.attempt, source.connection, &source.head);
        self.call.mark_finished(self.status, "answered");
    }

    /// Closes the caller's connection without terminating the body, so that it reads as truncated.
    async fn abort(mut self, outcome: &'static str) {
        if !self.chunks.is_closed() {
            self.call.mark_finished(self.status, outcome);
        }
        // The send fails only if the caller has disconnected, which needs no handling.
        let _ = self.chunks.send(Err(TruncatedResponse)).await;
    }
}
