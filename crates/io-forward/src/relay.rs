//! Forwards streamed responses as they arrive, and resumes them at another target where allowed.
//!
//! A stream is complete only if the framing of the response ended without an error and the last
//! event is complete. A target may lose its connection anywhere, and a response without a length or
//! chunks ends with its connection, so such a response must also contain a complete event.

mod content;
mod handover;

use std::time::Duration;

use bytes::Bytes;
use core_forward::{AttemptOutcome, AttemptSpec, EVENT_REPORT_INTERVAL};
use http::{Response, response};
use http_body_util::BodyExt;
use hyper::body::Frame;
use policy_admission::MemoryUse;
use tokio::time::Instant;

use crate::{
    ResponseBody, ResponseHead,
    body::{StreamOutlet, WriteStop},
    call::{DispatchOutcome, ServedCall, StartedResponse},
    framing::{BodyFraming, BodyProgress},
    hop::end_to_end_parts,
    relay::{content::StreamContent, handover::HandoverEnd},
    target_stream::TargetBody,
    upstream::TargetConnection,
};

/// Time without a complete event after which another target is asked to continue a resumable stream, whatever
/// bytes arrive; callers abandon a stream after two seconds without an event.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Spawns a task that forwards a stream to the caller, and returns the response that carries it.
pub(crate) fn relay_stream(
    mut call: ServedCall,
    started: StartedResponse,
) -> Response<ResponseBody> {
    let (outlet, response_body) = StreamOutlet::new(call.state.call_memory(MemoryUse::Streamed));
    let status = started.response.status().as_u16();
    if !call.admitted.resumable {
        call.drop_request_data();
    }
    let call_key = call.admitted.call;
    call.state.with_core(|core, _| core.on_response_forwarded(call_key));
    let (parts, source) = StreamSource::new(started);
    let relay = StreamRelay {
        content: StreamContent::new(&parts, call.admitted.resumable),
        call,
        outlet,
        status,
        has_first_event: false,
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
    body: TargetBody,
    progress: BodyProgress,
    /// Whether the core knows that the response started.
    has_started: bool,
    /// Complete events of a silent target that arrived while another one was asked to continue the stream.
    early_events: Option<Bytes>,
    /// First bytes of a target that continues the stream, received while the silent one could still go on.
    early_chunk: Option<Bytes>,
}

/// Why reading the stream of one target stopped.
#[derive(Debug)]
enum StreamEnd {
    /// The target ended the stream after a complete event, and all of it was forwarded.
    Complete,
    /// The connection to the target failed, or the stream ended where it cannot be complete.
    Broken(Box<str>),
    /// No event arrived in time, and the call may be retried on another target.
    Silent,
    /// The deadline of the call passed.
    Expired,
    /// The stream could not be passed on for too long, because its caller left it unread or the router
    /// had no memory for it.
    Unread,
    /// The caller closed its connection.
    CallerDisconnected,
}

impl StreamSource {
    /// Splits a response into its head and the source of its body.
    fn new(started: StartedResponse) -> (response::Parts, Self) {
        let StartedResponse { attempt, connection, head, response } = started;
        let progress = BodyProgress::new(BodyFraming::of(&response));
        let (parts, body) = response.into_parts();
        (
            parts,
            Self {
                attempt,
                connection,
                head,
                body,
                progress,
                has_started: false,
                early_events: None,
                early_chunk: None,
            },
        )
    }
}

impl StreamEnd {
    /// Outcome of the attempt whose stream ended.
    fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Complete => AttemptOutcome::Completed,
            Self::Broken(_) => AttemptOutcome::Lost,
            Self::Silent => AttemptOutcome::Silent,
            Self::Expired => AttemptOutcome::Expired,
            Self::Unread => AttemptOutcome::Unread,
            Self::CallerDisconnected => AttemptOutcome::Abandoned,
        }
    }
}

impl From<WriteStop> for StreamEnd {
    fn from(stop: WriteStop) -> Self {
        match stop {
            WriteStop::CallerDisconnected => Self::CallerDisconnected,
            WriteStop::Unread => Self::Unread,
            WriteStop::Expired => Self::Expired,
        }
    }
}

#[derive(Debug)]
struct StreamRelay {
    call: ServedCall,
    outlet: StreamOutlet,
    status: u16,
    content: StreamContent,
    /// Whether an event was forwarded.
    has_first_event: bool,
}

impl StreamRelay {
    async fn run(mut self, source: StreamSource) {
        let mut source = source;
        loop {
            let end = self.forward_events(&mut source).await;
            if matches!(end, StreamEnd::Silent) {
                source = match self.hand_over(source).await {
                    HandoverEnd::Supplied(supplying) => *supplying,
                    HandoverEnd::Lost => return self.abort("broke off"),
                    HandoverEnd::CallerDisconnected => return,
                };
                continue;
            }
            let position = self.content.position();
            source.progress.inside_event =
                position.is_some_and(|position| position.is_inside_event());
            self.call.record_response_end(&source.attempt, &source.progress, end.outcome());
            let reason = match &end {
                StreamEnd::Complete => return self.complete(source).await,
                StreamEnd::CallerDisconnected => return,
                StreamEnd::Expired => "deadline passed",
                StreamEnd::Broken(reason) => reason,
                StreamEnd::Silent => "no event in time",
                StreamEnd::Unread => "left unread",
            };
            self.call.record_failed_attempt(&source.attempt, end.outcome(), reason);
            if matches!(end, StreamEnd::Expired) {
                return self.abort("deadline passed");
            }
            if matches!(end, StreamEnd::Unread) {
                self.call.state.metrics().count_memory_end("unread");
                return self.abort("left unread");
            }
            drop(source);
            let Some(next) = self.resume_elsewhere().await else {
                return self.abort("broke off");
            };
            source = next;
        }
    }

    /// Forwards the stream until it ends, falls silent, its deadline passes or the caller
    /// disconnects.
    ///
    /// Reading from the target pauses while the caller has much to read. The time of a pause is not a
    /// silence of the target: the event timeout starts after it.
    async fn forward_events(&mut self, source: &mut StreamSource) -> StreamEnd {
        let deadline = self.call.state.clock().instant(source.attempt.deadline);
        let mut unreported_events = 0;
        let mut next_event_report = Instant::now();
        let mut event_deadline = Instant::now() + EVENT_TIMEOUT;
        if let Some(events) = source.early_events.take()
            && let Err(stop) = self.outlet.send(events, deadline).await
        {
            return stop.into();
        }
        loop {
            let early_frame = source.early_chunk.take().map(|chunk| Ok(Frame::data(chunk)));
            let frame = tokio::select! {
                frame = source.body.frame(), if early_frame.is_none() => frame,
                () = std::future::ready(()), if early_frame.is_some() => early_frame,
                () = self.outlet.closed() => return StreamEnd::CallerDisconnected,
                () = tokio::time::sleep_until(deadline) => return StreamEnd::Expired,
                () = tokio::time::sleep_until(event_deadline), if self.content.is_resumable() => {
                    let call = self.call.admitted.call;
                    if self.call.state.with_core(|core, now| core.can_retry(now, call)) {
                        return StreamEnd::Silent;
                    }
                    event_deadline = Instant::now() + EVENT_TIMEOUT;
                    continue;
                }
            };
            let chunk = match frame {
                None => {
                    return match self.content.incomplete_reason(source.progress.framing) {
                        Some(reason) => StreamEnd::Broken(reason.into()),
                        None => StreamEnd::Complete,
                    };
                }
                Some(Err(error)) => return StreamEnd::Broken(crate::upstream::error_chain(&error)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(chunk) => chunk,
                    Err(_) => continue,
                },
            };
            source.progress.bytes += chunk.len() as u64;
            if !source.has_started {
                source.has_started = true;
                let call = self.call.admitted.call;
                self.call.state.with_core(|core, now| core.on_response_started(now, call));
            }
            let incomplete_bytes = self.content.buffered_bytes();
            let paused_at = Instant::now();
            if let Err(stop) = self.outlet.hold(chunk.len(), incomplete_bytes, deadline).await {
                return stop.into();
            }
            event_deadline += paused_at.elapsed();
            if let Some(bytes) = self.content.push(chunk) {
                let received_at = Instant::now();
                unreported_events += 1;
                if received_at >= next_event_report {
                    next_event_report = received_at + EVENT_REPORT_INTERVAL;
                    let (call, events) = (self.call.admitted.call, unreported_events);
                    unreported_events = 0;
                    self.call.state.with_core(|core, now| core.on_events(now, call, events));
                }
                self.record_first_event().await;
                if let Err(stop) = self.outlet.send(bytes, deadline).await {
                    return stop.into();
                }
                event_deadline = Instant::now() + EVENT_TIMEOUT;
            }
            if self.content.has_oversized_event() {
                return StreamEnd::Broken("an event is too long".into());
            }
        }
    }

    /// Reports the first event of a resumable stream to the core, and soon to the other routers, where
    /// the caller may resume the stream. Returns when the event may be forwarded.
    async fn record_first_event(&mut self) {
        if self.has_first_event || !self.content.is_resumable() {
            return;
        }
        self.has_first_event = true;
        let call = self.call.admitted.call;
        let state = &self.call.state;
        let settled_at = state.with_core(|core, now| core.on_first_event(now, call));
        state.hasten_heartbeat();
        if settled_at > state.now() {
            tokio::time::sleep_until(state.clock().instant(settled_at)).await;
        }
    }

    /// Dispatches the call again, to resume the stream after the last complete event.
    async fn resume_elsewhere(&mut self) -> Option<StreamSource> {
        if !self.content.prepare_resume() {
            return None;
        }
        self.outlet.discard_incomplete();
        let last_event_id = self.content.last_event_id();
        let outcome = tokio::select! {
            outcome = self.call.dispatch_until_response(last_event_id) => outcome,
            () = self.outlet.closed() => return None,
        };
        self.accept_source(outcome)
    }

    /// Returns the source that an outcome supplies, if it is one of events.
    fn accept_source(&self, outcome: DispatchOutcome) -> Option<StreamSource> {
        match outcome {
            DispatchOutcome::Started(started) => {
                let status = started.response.status();
                let (head, source) = StreamSource::new(*started);
                if self.content.is_continued_by(&head) {
                    return Some(source);
                }
                let reason = format!("status {}, no events", status.as_u16());
                self.call.record_failed_attempt(&source.attempt, AttemptOutcome::Failed, &reason);
                None
            }
            // A call whose response is being forwarded is not sent through another router.
            DispatchOutcome::TargetFailed(_) | DispatchOutcome::Detoured(_) => None,
            DispatchOutcome::GivenUp(refusal) => {
                self.call.log.given_up(self.call.state.now(), refusal);
                None
            }
        }
    }

    async fn complete(mut self, source: StreamSource) {
        self.call.record_complete_answer(&source.progress, self.status);
        self.call.record_attempt_outcome(&source.attempt, AttemptOutcome::Completed);
        self.call.release_connection(&source.attempt, source.connection, &source.head);
        self.call.mark_finished(self.status, "answered");
        self.outlet.finish().await;
    }

    /// Ends the response without finishing its body, so that it reads as truncated.
    fn abort(mut self, outcome: &'static str) {
        if !self.outlet.is_closed() {
            self.call.mark_finished(self.status, outcome);
        }
    }
}
