//! When a router that was asked to stop ends.
//!
//! The first signal makes the router leave: it goes from the entry answers and serves on. It ends
//! when no caller can come with an older answer and the last request is done. A second signal, or
//! the drain deadline, cuts off what is left with an account of each request.

use std::time::Duration;

use base_settings::StopSettings;
use base_types::{RequestKey, TimePoint};
use core_router::{Event, RequestStep};
use tokio::signal::unix::{SignalKind, signal};

use crate::{answer::request_text, handle::LoopHandle};

/// Records and last bytes of requests that were cut off are given this long.
const FLUSH_WAIT: Duration = Duration::from_secs(2);

/// Points in time of a router that is leaving.
#[derive(Debug, Clone, Copy)]
pub(crate) enum LeaveState {
    /// Nobody has asked the router to stop.
    Staying,
    /// Callers may still come until the first point; requests are cut off at the second.
    Leaving(TimePoint, TimePoint),
    /// Requests were cut off; the process ends at the point at the latest.
    Forced(TimePoint),
}

impl LeaveState {
    pub(crate) fn leave(now: TimePoint, settings: &StopSettings) -> Self {
        Self::Leaving(now.after(settings.linger), now.after(settings.drain))
    }

    pub(crate) fn force(now: TimePoint) -> Self {
        Self::Forced(now.after(FLUSH_WAIT))
    }

    /// The next point at which the state must be looked at again.
    pub(crate) fn next_deadline(self, now: TimePoint) -> TimePoint {
        match self {
            Self::Staying => TimePoint::NEVER,
            Self::Leaving(linger, drain) if linger.passed(now) => drain,
            Self::Leaving(linger, drain) => linger.min(drain),
            Self::Forced(end) if end.passed(now) => TimePoint::NEVER,
            Self::Forced(end) => end,
        }
    }

    /// How long the last bytes of answers may take to be written.
    pub(crate) fn flush_wait(self, now: TimePoint) -> Duration {
        match self {
            Self::Leaving(_, drain) => drain.since(now).max(FLUSH_WAIT),
            Self::Staying | Self::Forced(_) => FLUSH_WAIT,
        }
    }

    /// Whether the requests that are left are cut off now.
    pub(crate) fn must_force(self, now: TimePoint) -> bool {
        matches!(self, Self::Leaving(_, drain) if drain.passed(now))
    }

    /// Whether the router may end with some requests and records left.
    pub(crate) fn may_end(self, now: TimePoint, left: usize) -> bool {
        match self {
            Self::Staying => false,
            Self::Leaving(linger, _) => left == 0 && linger.passed(now),
            Self::Forced(end) => left == 0 || end.passed(now),
        }
    }
}

/// Posts the first signal as a request to stop and the second as an order to.
pub(crate) async fn stop_on_signal(handle: LoopHandle) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        log::error!("signals cannot be heard; the router ends only by a kill");
        return;
    };
    let mut forced = false;
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        handle.post(if forced { Event::StopForced } else { Event::ShutdownAsked });
        forced = true;
    }
}

/// Accounts for a request that was cut off.
pub(crate) fn log_cut(request: RequestKey, step: &RequestStep) {
    let RequestStep::Refuse(refusal) = step else { return };
    let row = refusal.row();
    let request = request_text(request);
    log::warn!(request = request.as_str(), code = row.number, kind = row.kind.as_str(); "request cut off by the end of the router");
}
