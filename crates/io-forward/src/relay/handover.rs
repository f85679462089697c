//! Handing a stream over from a target that is silent.
//!
//! A silent target may be sound, and the others may be full or silent, too: its connection stays open until another target
//! supplies the stream, or has had time to. The first of both that does goes on.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use core_forward::{AttemptOutcome, HeldAttempt};
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time::{Instant, sleep_until};

use super::{StreamRelay, StreamSource};
use crate::{body::StreamOutlet, call::DispatchOutcome, relay::content::StreamContent};

/// Time for which the silent target may go on while another one has the call. Both may run it meanwhile, so that it
/// is short.
const HANDOVER_TIME: Duration = Duration::from_millis(300);

/// How the handover of a stream ended.
#[derive(Debug)]
pub(super) enum HandoverEnd {
    /// The stream goes on from this source: another target, or the silent one.
    Supplied(Box<StreamSource>),
    /// Neither target continues the stream.
    Lost,
    /// The caller closed its connection, or takes no more of the stream.
    CallerDisconnected,
}

/// What a part of a handover led to.
enum HandoverEvent {
    /// The silent target sent a complete event, or ended the stream completely.
    Resumed(StreamSource),
    /// The search for another target ended; the silent one is given if it may still go on.
    Dispatched(DispatchOutcome, Option<StreamSource>),
    /// Another target supplies the stream, or has had the call for so long that the silent one is left.
    Moved(StreamSource),
    /// Another target broke off before it supplied anything.
    Failed(StreamSource),
    /// Both targets broke off. A body is not read again after its error, as its end would read as complete.
    BothBroken,
    CallerDisconnected,
}

/// What a frame of the silent target shows.
enum SilentFrame {
    /// It goes on.
    Resumed,
    /// It has not completed an event.
    Incomplete,
    /// It broke off.
    Broken,
    /// The caller takes no more.
    Unread,
}

impl StreamRelay {
    /// Asks another target to continue a stream whose source is silent.
    pub(super) async fn hand_over(&mut self, source: StreamSource) -> HandoverEnd {
        let (attempt, progress) = (source.attempt.clone(), source.progress);
        let call = self.call.admitted.call;
        let held = self.call.state.with_core(|core, now| core.hold_silent_attempt(now, call));
        let Some(held) = held else { return HandoverEnd::Lost };
        let leave_at = Instant::now() + HANDOVER_TIME;
        let (next, silent) = match self.await_dispatch(source, leave_at).await {
            HandoverEvent::Dispatched(outcome, silent) => (self.accept_source(outcome), silent),
            event => return self.finish_handover(event, held),
        };
        let event = match (next, silent) {
            (Some(next), Some(silent)) => self.await_first(next, silent, leave_at).await,
            (None, Some(silent)) => HandoverEvent::Failed(silent),
            (Some(next), None) => HandoverEvent::Moved(next),
            (None, None) => return HandoverEnd::Lost,
        };
        if matches!(event, HandoverEvent::Moved(_)) {
            self.call.record_response_end(&attempt, &progress, AttemptOutcome::Silent);
            self.call.record_left_target(&attempt);
        }
        self.finish_handover(event, held)
    }

    fn finish_handover(&mut self, event: HandoverEvent, held: HeldAttempt) -> HandoverEnd {
        match event {
            HandoverEvent::Moved(next) => {
                self.content.prepare_resume();
                self.outlet.discard_incomplete();
                HandoverEnd::Supplied(Box::new(next))
            }
            HandoverEvent::Resumed(silent) | HandoverEvent::Failed(silent) => {
                let call = self.call.admitted.call;
                self.call.state.with_core(|core, now| core.return_to_attempt(now, call, held));
                self.call.log.silent_target_kept(self.call.state.now(), &silent.attempt);
                HandoverEnd::Supplied(Box::new(silent))
            }
            HandoverEvent::Dispatched(..) | HandoverEvent::BothBroken => HandoverEnd::Lost,
            HandoverEvent::CallerDisconnected => HandoverEnd::CallerDisconnected,
        }
    }

    /// Waits until the search for another target ends or the silent one goes on. The silent one is left at `leave_at`
    /// if the search has not ended by then.
    async fn await_dispatch(&mut self, source: StreamSource, leave_at: Instant) -> HandoverEvent {
        let Self { call, outlet, content, .. } = self;
        let last_event_id: Option<Box<str>> = content.last_event_id().map(Into::into);
        let deadline = call.state.clock().instant(source.attempt.deadline);
        let mut dispatching =
            std::pin::pin!(call.dispatch_until_response(last_event_id.as_deref()));
        let mut silent = Some(source);
        loop {
            let frame = tokio::select! {
                outcome = &mut dispatching => return HandoverEvent::Dispatched(outcome, silent),
                () = outlet.closed() => return HandoverEvent::CallerDisconnected,
                () = sleep_until(leave_at), if silent.is_some() => {
                    silent = None;
                    continue;
                }
                frame = next_frame(&mut silent), if silent.is_some() => frame,
            };
            let Some(mut source) = silent.take() else { continue };
            match take_silent_frame(content, outlet, &mut source, frame, deadline).await {
                SilentFrame::Resumed => return HandoverEvent::Resumed(source),
                SilentFrame::Incomplete => silent = Some(source),
                SilentFrame::Broken => {}
                SilentFrame::Unread => return HandoverEvent::CallerDisconnected,
            }
        }
    }

    /// Waits until one of two targets supplies the stream, at the latest until `leave_at`.
    async fn await_first(
        &mut self,
        mut next: StreamSource,
        silent: StreamSource,
        leave_at: Instant,
    ) -> HandoverEvent {
        let deadline = self.call.state.clock().instant(silent.attempt.deadline);
        let mut silent = Some(silent);
        let (mut next_content, mut received) = (StreamContent::of_continuation(), BytesMut::new());
        loop {
            let Self { outlet, content, .. } = self;
            let frame = tokio::select! {
                frame = next.body.frame() => match frame {
                    Some(Err(error)) => {
                        let reason = crate::upstream::error_chain(&error);
                        let outcome = AttemptOutcome::Lost;
                        self.call.record_failed_attempt(&next.attempt, outcome, &reason);
                        return silent.map_or(HandoverEvent::BothBroken, HandoverEvent::Failed);
                    }
                    Some(Ok(frame)) => {
                        let Ok(chunk) = frame.into_data() else { continue };
                        received.extend_from_slice(&chunk);
                        if next_content.push(chunk).is_none() && !next_content.has_oversized_event()
                        {
                            continue;
                        }
                        return HandoverEvent::Moved(next.with_early_chunk(received));
                    }
                    None => return HandoverEvent::Moved(next.with_early_chunk(received)),
                },
                () = outlet.closed() => return HandoverEvent::CallerDisconnected,
                () = sleep_until(leave_at) => {
                    return HandoverEvent::Moved(next.with_early_chunk(received));
                }
                frame = next_frame(&mut silent), if silent.is_some() => frame,
            };
            let Some(mut source) = silent.take() else { continue };
            match take_silent_frame(content, outlet, &mut source, frame, deadline).await {
                SilentFrame::Resumed => return HandoverEvent::Resumed(source),
                SilentFrame::Incomplete => silent = Some(source),
                SilentFrame::Broken => {}
                SilentFrame::Unread => return HandoverEvent::CallerDisconnected,
            }
        }
    }
}

impl StreamSource {
    fn with_early_chunk(self, received: BytesMut) -> Self {
        Self { early_chunk: (!received.is_empty()).then(|| received.freeze()), ..self }
    }
}

type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// The next frame of the silent target; pending without one.
async fn next_frame(silent: &mut Option<StreamSource>) -> BodyFrame {
    match silent {
        Some(source) => source.body.frame().await,
        None => std::future::pending().await,
    }
}

/// Takes a frame that the silent target sent after all.
async fn take_silent_frame(
    content: &mut StreamContent,
    outlet: &mut StreamOutlet,
    source: &mut StreamSource,
    frame: BodyFrame,
    deadline: Instant,
) -> SilentFrame {
    let chunk = match frame {
        None if content.incomplete_reason(source.progress.framing).is_none() => {
            return SilentFrame::Resumed;
        }
        None | Some(Err(_)) => return SilentFrame::Broken,
        Some(Ok(frame)) => match frame.into_data() {
            Ok(chunk) => chunk,
            Err(_) => return SilentFrame::Incomplete,
        },
    };
    source.progress.bytes += chunk.len() as u64;
    if outlet.hold(chunk.len(), content.buffered_bytes(), deadline).await.is_err() {
        return SilentFrame::Unread;
    }
    source.early_events = content.push(chunk);
    match source.early_events {
        Some(_) => SilentFrame::Resumed,
        None => SilentFrame::Incomplete,
    }
}
