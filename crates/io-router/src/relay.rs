//! Carrying an answer from a target to its caller, and resuming it when the target breaks off.
//!
//! At most [`PIECES_AHEAD`] pieces wait for a slow caller; further bytes stay in the target's
//! socket. Event streams are passed on in whole events, so that a resumed stream goes on exactly
//! after the last event that the caller was given.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use base_types::{AttemptKey, Refusal, RequestKey, UnknownCode};
use bytes::{Bytes, BytesMut};
use core_router::{AttemptEnd, Event, RequestStep};
use futures_util::Stream;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::{
    answer::request_text,
    forward::{BegunAnswer, CallerRequest, TargetClients},
    handle::{CallerGuard, LoopHandle},
};

const PIECES_AHEAD: usize = 4;
const EVENT_BYTES_MAX: usize = 256 * 1024;
const EVENT_END: &[u8] = b"\n\n";
const EVENT_ID: &str = "id:";
const STREAM_END: &str = "data: [DONE]";
const RESUMES_MAX: u32 = 2;
const RESUME_WAIT: Duration = Duration::from_secs(2);

/// The answer was broken off after its head was sent.
#[derive(Debug)]
pub(crate) struct AnswerCutError;

impl std::fmt::Display for AnswerCutError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(UnknownCode::AnswerCut.sentence())
    }
}

impl std::error::Error for AnswerCutError {}

/// Piece of an answer on its way to the caller.
pub(crate) type AnswerPiece = Result<Bytes, AnswerCutError>;

/// What a relay needs besides the answer.
pub(crate) struct RelayContext {
    pub(crate) handle: LoopHandle,
    pub(crate) clients: TargetClients,
    pub(crate) call: CallerRequest,
    pub(crate) address: Box<str>,
    pub(crate) attempt: AttemptKey,
    pub(crate) guard: CallerGuard,
    pub(crate) steps: mpsc::UnboundedReceiver<RequestStep>,
}

/// Starts to carry an answer and returns where its pieces come out.
///
/// Dropping the receiver ends the relay, which closes the target's connection and so cancels the
/// generation.
pub(crate) fn relay_answer(context: RelayContext, answer: BegunAnswer) -> AnswerPieces {
    let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
    let events = answer.is_event_stream().then(EventBuffer::default);
    let relay = AnswerRelay { context, sender, events };
    tokio::spawn(relay.run(answer));
    AnswerPieces { receiver, failure: None }
}

/// Pieces of an answer on their way to the caller.
///
/// A failure comes out one poll later than it could, so that the server writes what came before
/// it; at a failure the server drops whatever it has not written.
pub(crate) struct AnswerPieces {
    receiver: mpsc::Receiver<AnswerPiece>,
    failure: Option<AnswerCutError>,
}

impl Stream for AnswerPieces {
    type Item = AnswerPiece;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(failure) = self.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        match std::task::ready!(self.receiver.poll_recv(context)) {
            Some(Err(failure)) => {
                self.failure = Some(failure);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            piece => Poll::Ready(piece),
        }
    }
}

/// Why carrying an answer stopped.
enum RelayStop {
    Whole,
    CallerLeft,
    TargetBroke,
    Ordered(UnknownCode),
}

struct AnswerRelay {
    context: RelayContext,
    sender: mpsc::Sender<AnswerPiece>,
    events: Option<EventBuffer>,
}

impl AnswerRelay {
    async fn run(mut self, answer: BegunAnswer) {
        let mut answer = Some(answer);
        let mut resumes = 0;
        loop {
            let stop = match answer.take() {
                Some(answer) => self.carry(answer).await,
                None => RelayStop::TargetBroke,
            };
            match stop {
                RelayStop::Whole => return self.end(AttemptEnd::Whole(None)),
                RelayStop::CallerLeft => return,
                RelayStop::Ordered(code) => return self.break_off(code).await,
                RelayStop::TargetBroke if resumes < RESUMES_MAX => {
                    resumes += 1;
                    answer = self.resume().await;
                    if answer.is_none() {
                        resumes = RESUMES_MAX;
                    }
                }
                RelayStop::TargetBroke => {
                    self.end(AttemptEnd::LostLate);
                    return self.break_off(UnknownCode::AnswerCut).await;
                }
            }
        }
    }

    async fn carry(&mut self, answer: BegunAnswer) -> RelayStop {
        let BegunAnswer { first, mut body, .. } = answer;
        let mut piece = first;
        loop {
            if let Some(piece) = piece.take()
                && let Err(stop) = self.pass_on(piece).await
            {
                return stop;
            }
            let next = tokio::select! {
                biased;
                step = self.context.steps.recv() => return RelayStop::Ordered(order_code(step)),
                () = self.sender.closed() => return RelayStop::CallerLeft,
                next = next_piece(&mut body) => next,
            };
            match next {
                Ok(Some(next)) => piece = Some(next),
                Ok(None) if self.is_whole() => return RelayStop::Whole,
                Ok(None) | Err(_) => return RelayStop::TargetBroke,
            }
        }
    }

    async fn pass_on(&mut self, piece: Bytes) -> Result<(), RelayStop> {
        let piece = match &mut self.events {
            None => piece,
            Some(events) => match events.add(&piece) {
                Ok(whole) if whole.is_empty() => return Ok(()),
                Ok(whole) => whole,
                Err(EventTooLong) => return Err(RelayStop::Ordered(UnknownCode::AnswerTooLarge)),
            },
        };
        tokio::select! {
            biased;
            step = self.context.steps.recv() => Err(RelayStop::Ordered(order_code(step))),
            sent = self.sender.send(Ok(piece)) => sent.map_err(|_| RelayStop::CallerLeft),
        }
    }

    /// An event stream is whole by its end mark; other bodies are whole by their framing.
    fn is_whole(&self) -> bool {
        self.events.as_ref().is_none_or(|events| events.ended && events.rest.is_empty())
    }

    /// Asks the same target to go on after the last event that the caller was given.
    async fn resume(&mut self) -> Option<BegunAnswer> {
        let events = self.events.as_mut()?;
        let last = events.last_id.clone()?;
        events.rest.clear();
        let RelayContext { clients, call, address, .. } = &self.context;
        let resumed = clients.resume(call, address, &last);
        tokio::time::timeout(RESUME_WAIT, resumed).await.ok().flatten()
    }

    fn end(&mut self, end: AttemptEnd) {
        self.context.guard.finish();
        self.context.steps.close();
        let request = self.context.call.request;
        self.context.handle.post(Event::AttemptEnded(request, self.context.attempt, end));
    }

    /// Gives the caller an explicit error and then breaks the connection, so that a short answer
    /// never looks whole.
    async fn break_off(mut self, code: UnknownCode) {
        self.context.guard.finish();
        self.context.steps.close();
        if self.events.is_some() {
            let event = error_event(self.context.call.request, code);
            let _ = self.sender.send(Ok(event)).await;
        }
        let _ = self.sender.send(Err(AnswerCutError)).await;
    }
}

/// The next piece of a body, `None` at its end.
async fn next_piece(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    loop {
        let Some(frame) = body.frame().await else { return Ok(None) };
        if let Ok(piece) = frame?.into_data() {
            return Ok(Some(piece));
        }
    }
}

fn order_code(step: Option<RequestStep>) -> UnknownCode {
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
        "request_id": request_text(request),
    });
    format!("event: error\ndata: {data}\n\n").into()
}

struct EventTooLong;

/// Cuts an event stream into whole events.
#[derive(Debug, Default)]
struct EventBuffer {
    rest: BytesMut,
    last_id: Option<Box<str>>,
    ended: bool,
}

impl EventBuffer {
    /// Adds a piece and returns the events that are now whole.
    fn add(&mut self, piece: &[u8]) -> Result<Bytes, EventTooLong> {
        self.rest.extend_from_slice(piece);
        let found = self.rest.windows(EVENT_END.len()).rposition(|window| window == EVENT_END);
        let Some(end) = found else {
            let short = self.rest.len() <= EVENT_BYTES_MAX;
            return if short { Ok(Bytes::new()) } else { Err(EventTooLong) };
        };
        let whole = self.rest.split_to(end + EVENT_END.len()).freeze();
        self.note(&whole);
        Ok(whole)
    }

    fn note(&mut self, whole: &[u8]) {
        let text = String::from_utf8_lossy(whole);
        self.ended |= text.lines().any(|line| line.trim_end() == STREAM_END);
        let mut ids = text.lines().filter_map(|line| line.strip_prefix(EVENT_ID));
        if let Some(id) = ids.next_back() {
            self.last_id = Some(id.trim().into());
        }
    }
}
