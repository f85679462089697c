//! Streams: events are passed on as they come, and continued at another target where allowed.

use std::time::Duration;

use bytes::Bytes;
use core_forward::{AttemptEnd, SendOrder};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    AnswerBody, AnswerHead, EventSplitter,
    body::{BrokenOff, PieceSender},
    call::{BegunAnswer, CallTurn, ServedCall},
    hop::answer_parts,
    upstream::TargetConnection,
};

/// Longest pause between events of a stream that another target may continue; callers give a
/// stream up after two seconds.
const PAUSE_MAX: Duration = Duration::from_millis(1_000);

/// Passes a stream on to the caller from its own task.
pub(crate) fn relay_stream(mut call: ServedCall, begun: BegunAnswer) -> Response<AnswerBody> {
    let (parts, body) = begun.response.into_parts();
    let (pieces, answer) = AnswerBody::pieces();
    let status = parts.status.as_u16();
    if !call.admitted.resumable {
        call.forget_request();
    }
    let source =
        StreamSource { order: begun.order, connection: begun.connection, head: begun.head, body };
    let relay = StreamRelay {
        splitter: call.admitted.resumable.then(EventSplitter::default),
        call,
        pieces,
        status,
        last_event: None,
    };
    tokio::task::spawn_local(relay.run(source));
    Response::from_parts(answer_parts(parts), answer)
}

/// Where the events of a stream come from now.
#[derive(Debug)]
struct StreamSource {
    order: SendOrder,
    connection: TargetConnection,
    head: AnswerHead,
    body: Incoming,
}

/// How the events of one target ended.
#[derive(Debug)]
enum SourceEnd {
    Whole,
    Broken(Box<str>),
    Silent,
    Expired,
    CallerLeft,
}

#[derive(Debug)]
struct StreamRelay {
    call: ServedCall,
    pieces: PieceSender,
    status: u16,
    /// Set where only whole events are passed on, so that the stream can be continued.
    splitter: Option<EventSplitter>,
    last_event: Option<Box<str>>,
}

impl StreamRelay {
    async fn run(mut self, source: StreamSource) {
        let mut source = source;
        loop {
            match self.pass_on(&mut source).await {
                SourceEnd::Whole => return self.complete(source).await,
                SourceEnd::CallerLeft => return,
                SourceEnd::Expired => {
                    self.call.attempt_over(&source.order, AttemptEnd::Expired, "deadline passed");
                    return self.break_off("deadline passed").await;
                }
                SourceEnd::Broken(reason) => {
                    self.call.attempt_over(&source.order, AttemptEnd::Lost, &reason);
                }
                SourceEnd::Silent => {
                    self.call.attempt_over(&source.order, AttemptEnd::Silent, "no event in time");
                }
            }
            drop(source);
            let Some(next) = self.continued().await else {
                return self.break_off("broke off").await;
            };
            source = next;
        }
    }

    /// Passes events on until the source ends or the caller leaves.
    async fn pass_on(&mut self, source: &mut StreamSource) -> SourceEnd {
        let limit = self.call.state.clock().instant(source.order.deadline);
        let mut began = false;
        let mut patience = Instant::now() + PAUSE_MAX;
        loop {
            let frame = tokio::select! {
                frame = source.body.frame() => frame,
                () = self.pieces.closed() => return SourceEnd::CallerLeft,
                () = tokio::time::sleep_until(limit) => return SourceEnd::Expired,
                () = tokio::time::sleep_until(patience), if self.splitter.is_some() => {
                    let call = self.call.admitted.call;
                    if self.call.state.with_core(|core, now| core.may_repeat(now, call)) {
                        return SourceEnd::Silent;
                    }
                    patience = Instant::now() + PAUSE_MAX;
                    continue;
                }
            };
            patience = Instant::now() + PAUSE_MAX;
            let piece = match frame {
                None => return self.pass_rest().await,
                Some(Err(error)) => return SourceEnd::Broken(crate::upstream::describe(&error)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(piece) => piece,
                    Err(_) => continue,
                },
            };
            if !began {
                began = true;
                let call = self.call.admitted.call;
                self.call.state.with_core(|core, _| core.answer_began(call));
            }
            if !self.pass_piece(piece).await {
                return SourceEnd::CallerLeft;
            }
        }
    }

    async fn pass_piece(&mut self, piece: Bytes) -> bool {
        let Some(splitter) = &mut self.splitter else {
            return self.pieces.send(Ok(piece)).await.is_ok();
        };
        let Some(events) = splitter.push(&piece) else { return true };
        if events.last_id.is_some() {
            self.last_event = events.last_id;
        }
        self.pieces.send(Ok(events.bytes)).await.is_ok()
    }

    async fn pass_rest(&mut self) -> SourceEnd {
        let rest = self.splitter.as_mut().map(EventSplitter::finish).unwrap_or_default();
        if !rest.is_empty() && self.pieces.send(Ok(rest)).await.is_err() {
            return SourceEnd::CallerLeft;
        }
        SourceEnd::Whole
    }

    /// Another target that goes on with the stream.
    async fn continued(&mut self) -> Option<StreamSource> {
        let splitter = self.splitter.as_mut()?;
        splitter.clear();
        let last_event = self.last_event.clone();
        let turn = tokio::select! {
            turn = self.call.next_turn(last_event.as_deref()) => turn,
            () = self.pieces.closed() => return None,
        };
        match turn {
            CallTurn::Begun(begun) if begun.response.status().is_success() => {
                let BegunAnswer { order, connection, head, response } = *begun;
                Some(StreamSource { order, connection, head, body: response.into_body() })
            }
            CallTurn::Begun(begun) => {
                let status = begun.response.status();
                self.call.attempt_over(&begun.order, AttemptEnd::Failed, status.as_str());
                None
            }
            CallTurn::Failure(_) => None,
            CallTurn::GivenUp(refusal) => {
                self.call.log.refused(self.call.state.now(), refusal);
                None
            }
        }
    }

    async fn complete(mut self, source: StreamSource) {
        self.call.attempt_ended(&source.order, AttemptEnd::Whole);
        self.call.keep(&source.order, source.connection, &source.head);
        self.call.end(self.status, "answered");
    }

    /// Ends the caller's connection without an end of the body.
    async fn break_off(mut self, end: &'static str) {
        if !self.pieces.is_closed() {
            self.call.end(self.status, end);
        }
        // A caller who left meanwhile needs no sign.
        let _ = self.pieces.send(Err(BrokenOff)).await;
    }
}
