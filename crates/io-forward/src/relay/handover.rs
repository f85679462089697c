//! Handing a stream over from a target that is silent.
//!
//! A silent target may be sound, and the others may be full: its connection stays open until another target has started
//! to continue the stream, or has had time to. The first of both to supply an event goes on.

use std::time::Duration;

use bytes::Bytes;
use core_forward::{AttemptOutcome, HeldAttempt};
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time::{Instant, sleep_until};

use super::{StreamRelay, StreamSource};
use crate::call::DispatchOutcome;

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
    /// The caller closed its connection.
    CallerDisconnected,
}

/// What happened first during a handover.
enum HandoverEvent {
    /// The silent target sent a complete event, or ended the stream completely.
    Resumed(StreamSource),
    /// The search for another target ended; the silent one is given if it may still go on.
    Dispatched(DispatchOutcome, Option<StreamSource>),
    /// The caller closed its connection, or takes no more of the stream.
    CallerDisconnected,
}

impl StreamRelay {
    /// Asks another target to continue a stream whose source is silent.
    pub(super) async fn hand_over(&mut self, source: StreamSource) -> HandoverEnd {
        let (attempt, progress) = (source.attempt.clone(), source.progress);
        let call = self.call.admitted.call;
        let held = self.call.state.with_core(|core, now| core.hold_silent_attempt(now, call));
        let Some(held) = held else { return HandoverEnd::Lost };
        let (next, silent) = match self.await_handover(source).await {
            HandoverEvent::CallerDisconnected => return HandoverEnd::CallerDisconnected,
            HandoverEvent::Resumed(source) => return self.keep(source, held),
            HandoverEvent::Dispatched(outcome, silent) => (self.accept_source(outcome), silent),
        };
        match (next, silent) {
            (None, Some(silent)) => self.keep(silent, held),
            (next, _) => {
                self.call.record_response_end(&attempt, &progress, AttemptOutcome::Silent);
                self.call.record_left_target(&attempt);
                self.content.prepare_resume();
                self.outlet.discard_incomplete();
                next.map_or(HandoverEnd::Lost, |next| HandoverEnd::Supplied(Box::new(next)))
            }
        }
    }

    /// Has the stream go on from the silent target.
    fn keep(&self, source: StreamSource, held: HeldAttempt) -> HandoverEnd {
        let call = self.call.admitted.call;
        self.call.state.with_core(|core, now| core.return_to_attempt(now, call, held));
        self.call.log.silent_target_kept(self.call.state.now(), &source.attempt);
        HandoverEnd::Supplied(Box::new(source))
    }

    /// Waits until one of the targets supplies the stream. The silent target is left after
    /// [`HANDOVER_TIME`] if another one has the call by then.
    async fn await_handover(&mut self, source: StreamSource) -> HandoverEvent {
        let Self { call, outlet, content, .. } = self;
        let last_event_id: Option<Box<str>> = content.last_event_id().map(Into::into);
        let deadline = call.state.clock().instant(source.attempt.deadline);
        let mut dispatching =
            std::pin::pin!(call.dispatch_until_response(last_event_id.as_deref()));
        let leave_at = Instant::now() + HANDOVER_TIME;
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
            match frame {
                None if content.incomplete_reason(source.progress.framing).is_none() => {
                    return HandoverEvent::Resumed(source);
                }
                // The silent target broke off.
                None | Some(Err(_)) => {}
                Some(Ok(frame)) => {
                    let Ok(chunk) = frame.into_data() else {
                        silent = Some(source);
                        continue;
                    };
                    source.progress.bytes += chunk.len() as u64;
                    let incomplete_bytes = content.buffered_bytes();
                    if outlet.hold(chunk.len(), incomplete_bytes, deadline).await.is_err() {
                        return HandoverEvent::CallerDisconnected;
                    }
                    match content.push(chunk) {
                        Some(events) => {
                            source.early_events = Some(events);
                            return HandoverEvent::Resumed(source);
                        }
                        None => silent = Some(source),
                    }
                }
            }
        }
    }
}

/// The next frame of the silent target; pending without one.
async fn next_frame(
    silent: &mut Option<StreamSource>,
) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    match silent {
        Some(source) => source.body.frame().await,
        None => std::future::pending().await,
    }
}
