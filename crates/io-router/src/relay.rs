//! Relays an answer from a target to its caller and resumes it when the target's connection fails.
//!
//! At most [`BUFFERED_CHUNKS_MAX`] chunks are buffered for a slow caller; further bytes stay in the
//! target's socket. Event streams are forwarded in complete events only, so that a resumed stream
//! continues exactly after the last event that was forwarded to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use base_types::{AttemptKey, Refusal, RequestKey, UnknownCode};
use bytes::{Bytes, BytesMut};
use core_router::{AttemptOutcome, Event, RequestStep};
use futures_util::Stream;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use io_body::{BodyReceiver, BodySender, TruncatedBody, body_channel};
use tokio::sync::mpsc;

use crate::{
    answer::format_request_id,
    forward::{CallerRequest, StartedAnswer, TargetClients},
    handle::{CallerGuard, LoopHandle},
};

const BUFFERED_CHUNKS_MAX: usize = 4;
const EVENT_BYTES_MAX: usize = 256 * 1024;
const EVENT_DELIMITER: &[u8] = b"\n\n";
const EVENT_ID_PREFIX: &str = "id:";
const STREAM_END_LINE: &str = "data: [DONE]";
const RESUMES_MAX: u32 = 2;
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// What a relay needs besides the answer: the request, its attempt and the core's channels.
pub(crate) struct RelayContext {
    pub(crate) handle: LoopHandle,
    pub(crate) clients: TargetClients,
    pub(crate) call: CallerRequest,
    pub(crate) address: Box<str>,
    pub(crate) attempt: AttemptKey,
    pub(crate) guard: CallerGuard,
    pub(crate) steps: mpsc::UnboundedReceiver<RequestStep>,
}

/// Spawns the relay of an answer and returns the body to send to the caller.
///
/// Dropping the returned body ends the relay, which closes the target's connection and thereby
/// cancels the generation.
pub(crate) fn relay_answer(context: RelayContext, answer: StartedAnswer) -> AnswerBody {
    let (sender, receiver) = body_channel(BUFFERED_CHUNKS_MAX);
    let events = answer.is_event_stream().then(EventBuffer::default);
    let relay = AnswerRelay { context, sender, events };
    tokio::spawn(relay.run(answer));
    AnswerBody(receiver)
}

/// Body of a relayed answer.
pub(crate) struct AnswerBody(BodyReceiver);

impl Stream for AnswerBody {
    type Item = Result<Bytes, TruncatedBody>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_chunk(context)
    }
}

/// Why the relay of an answer ended.
enum RelayEnd {
    Complete,
    CallerDisconnected,
    TargetFailed,
    Aborted(UnknownCode),
}

struct AnswerRelay {
    context: RelayContext,
    sender: BodySender,
    events: Option<EventBuffer>,
}

impl AnswerRelay {
    async fn run(mut self, answer: StartedAnswer) {
        let mut answer = Some(answer);
        let mut resumes = 0;
        loop {
            let end = match answer.take() {
                Some(answer) => self.forward(answer).await,
                None => RelayEnd::TargetFailed,
            };
            match end {
                RelayEnd::Complete => {
                    self.report_outcome(AttemptOutcome::Completed(None));
                    return self.sender.finish().await;
                }
                RelayEnd::CallerDisconnected => return,
                RelayEnd::Aborted(code) => return self.abort(code).await,
                RelayEnd::TargetFailed if resumes < RESUMES_MAX => {
                    resumes += 1;
                    answer = self.resume().await;
                    if answer.is_none() {
                        resumes = RESUMES_MAX;
                    }
                }
                RelayEnd::TargetFailed => {
                    self.report_outcome(AttemptOutcome::LostDuringAnswer);
                    return self.abort(UnknownCode::AnswerCut).await;
                }
            }
        }
    }

    async fn forward(&mut self, answer: StartedAnswer) -> RelayEnd {
        let StartedAnswer { first_chunk, mut body, .. } = answer;
        let mut chunk = first_chunk;
        loop {
            if let Some(chunk) = chunk.take()
                && let Err(end) = self.forward_chunk(chunk).await
            {
                return end;
            }
            let next = tokio::select! {
                biased;
                step = self.context.steps.recv() => return RelayEnd::Aborted(abort_code(step)),
                () = self.sender.closed() => return RelayEnd::CallerDisconnected,
                next = next_chunk(&mut body) => next,
            };
            match next {
                Ok(Some(next)) => chunk = Some(next),
                Ok(None) if self.is_complete() => return RelayEnd::Complete,
                Ok(None) | Err(_) => return RelayEnd::TargetFailed,
            }
        }
    }

    async fn forward_chunk(&mut self, chunk: Bytes) -> Result<(), RelayEnd> {
        let chunk = match &mut self.events {
            None => chunk,
            Some(events) => match events.push(&chunk) {
                Ok(complete_events) if complete_events.is_empty() => return Ok(()),
                Ok(complete_events) => complete_events,
                Err(EventTooLong) => return Err(RelayEnd::Aborted(UnknownCode::AnswerTooLarge)),
            },
        };
        tokio::select! {
            biased;
            step = self.context.steps.recv() => Err(RelayEnd::Aborted(abort_code(step))),
            sent = self.sender.send(chunk) => sent.map_err(|_| RelayEnd::CallerDisconnected),
        }
    }

    /// An event stream is complete after its end line; any other body by its HTTP framing.
    fn is_complete(&self) -> bool {
        self.events
            .as_ref()
            .is_none_or(|events| events.saw_stream_end && events.partial_event.is_empty())
    }

    /// Asks the same target to resume after the last event that was forwarded to the caller.
    async fn resume(&mut self) -> Option<StartedAnswer> {
        let events = self.events.as_mut()?;
        let last_event_id = events.last_event_id.clone()?;
        events.partial_event.clear();
        let RelayContext { clients, call, address, .. } = &self.context;
        let answer = clients.resume(call, address, &last_event_id);
        tokio::time::timeout(RESUME_TIMEOUT, answer).await.ok().flatten()
    }

    fn report_outcome(&mut self, outcome: AttemptOutcome) {
        self.context.guard.disarm();
        self.context.steps.close();
        let request = self.context.call.request;
        self.context.handle.post(Event::AttemptEnded(request, self.context.attempt, outcome));
    }

    /// Sends an error event on event streams and ends without finishing the body, so that the caller
    /// cannot take a truncated answer for a complete one.
    async fn abort(mut self, code: UnknownCode) {
        self.context.guard.disarm();
        self.context.steps.close();
        if self.events.is_some() {
            let event = error_event(self.context.call.request, code);
            // The send fails only if the caller has disconnected, which needs no handling.
            let _ = self.sender.send(event).await;
        }
    }
}

/// The next data chunk of a body; `None` at the end of the body.
async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    loop {
        let Some(frame) = body.frame().await else { return Ok(None) };
        if let Ok(chunk) = frame?.into_data() {
            return Ok(Some(chunk));
        }
    }
}

fn abort_code(step: Option<RequestStep>) -> UnknownCode {
    match step {
        Some(RequestStep::Refuse(Refusal::Unknown(code))) => code,
        _ => UnknownCode::RouterStopped,
    }
}

fn error_event(request: RequestKey, code: UnknownCode) -> Bytes {
    let row = code.row();
    let data = serde_json::json!({
        "code": row.number,
        "kind": row.kind.as_str(),
        "message": row.sentence,
        "request_id": format_request_id(request),
    });
    format!("event: error\ndata: {data}\n\n").into()
}

struct EventTooLong;

/// Splits an event stream at event boundaries.
#[derive(Debug, Default)]
struct EventBuffer {
    partial_event: BytesMut,
    last_event_id: Option<Box<str>>,
    saw_stream_end: bool,
}

impl EventBuffer {
    /// Appends a chunk and returns all events that are now complete.
    fn push(&mut self, chunk: &[u8]) -> Result<Bytes, EventTooLong> {
        self.partial_event.extend_from_slice(chunk);
        let delimiter_start = self
            .partial_event
            .windows(EVENT_DELIMITER.len())
            .rposition(|window| window == EVENT_DELIMITER);
        let Some(start) = delimiter_start else {
            let fits = self.partial_event.len() <= EVENT_BYTES_MAX;
            return if fits { Ok(Bytes::new()) } else { Err(EventTooLong) };
        };
        let complete_events = self.partial_event.split_to(start + EVENT_DELIMITER.len()).freeze();
        self.scan(&complete_events);
        Ok(complete_events)
    }

    /// Records the last event id and whether the end line was seen.
    fn scan(&mut self, complete_events: &[u8]) {
        let text = String::from_utf8_lossy(complete_events);
        self.saw_stream_end |= text.lines().any(|line| line.trim_end() == STREAM_END_LINE);
        let mut ids = text.lines().filter_map(|line| line.strip_prefix(EVENT_ID_PREFIX));
        if let Some(id) = ids.next_back() {
            self.last_event_id = Some(id.trim().into());
        }
    }
}
