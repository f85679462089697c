//! Graceful and forced shutdown of a router.
//!
//! The first signal starts draining: the router is removed from the entry answers but continues to
//! serve requests. It exits once the linger time has passed, so that no caller relies on an older
//! entry answer, and the last request has finished. A second signal or the drain deadline aborts
//! the remaining requests and logs the result code of each.

use std::time::Duration;

use base_settings::ShutdownSettings;
use base_types::{RequestKey, TimePoint};
use core_router::{Event, RequestStep};
use tokio::signal::unix::{SignalKind, signal};

use crate::{answer::format_request_id, handle::LoopHandle};

/// Time limit for the ledger records and the final bytes of aborted requests.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Shutdown phase of a router, with the deadlines of the phase.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ShutdownState {
    /// No stop has been requested.
    Running,
    /// Callers with an older entry answer may connect until the first point; requests are aborted
    /// at the second.
    Draining(TimePoint, TimePoint),
    /// Requests were aborted; the process exits at this point at the latest.
    Forced(TimePoint),
}

impl ShutdownState {
    pub(crate) fn draining(now: TimePoint, settings: &ShutdownSettings) -> Self {
        Self::Draining(now.after(settings.linger), now.after(settings.drain))
    }

    pub(crate) fn forced(now: TimePoint) -> Self {
        Self::Forced(now.after(FLUSH_TIMEOUT))
    }

    /// The next point at which the state may change.
    pub(crate) fn next_deadline(self, now: TimePoint) -> TimePoint {
        match self {
            Self::Running => TimePoint::NEVER,
            Self::Draining(linger_deadline, drain_deadline) if linger_deadline.passed(now) => {
                drain_deadline
            }
            Self::Draining(linger_deadline, drain_deadline) => linger_deadline.min(drain_deadline),
            Self::Forced(exit_deadline) if exit_deadline.passed(now) => TimePoint::NEVER,
            Self::Forced(exit_deadline) => exit_deadline,
        }
    }

    /// Time limit for writing the final bytes of answers.
    pub(crate) fn flush_timeout(self, now: TimePoint) -> Duration {
        match self {
            Self::Draining(_, drain_deadline) => drain_deadline.since(now).max(FLUSH_TIMEOUT),
            Self::Running | Self::Forced(_) => FLUSH_TIMEOUT,
        }
    }

    /// Whether the drain deadline has passed, so that the remaining requests are aborted.
    pub(crate) fn drain_expired(self, now: TimePoint) -> bool {
        matches!(self, Self::Draining(_, drain_deadline) if drain_deadline.passed(now))
    }

    /// Whether the router may exit, given the number of remaining requests and ledger records.
    pub(crate) fn may_exit(self, now: TimePoint, remaining: usize) -> bool {
        match self {
            Self::Running => false,
            Self::Draining(linger_deadline, _) => remaining == 0 && linger_deadline.passed(now),
            Self::Forced(exit_deadline) => remaining == 0 || exit_deadline.passed(now),
        }
    }
}

/// Posts the first signal as a graceful shutdown and every later one as a forced stop.
pub(crate) async fn stop_on_signal(handle: LoopHandle) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        log::error!("cannot install signal handlers, the router can only be stopped by SIGKILL");
        return;
    };
    let mut stop_requested = false;
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        handle.post(if stop_requested { Event::StopForced } else { Event::ShutdownRequested });
        stop_requested = true;
    }
}

/// Logs the final result code of a request that a forced stop aborted.
pub(crate) fn log_aborted(request: RequestKey, step: &RequestStep) {
    let RequestStep::Refuse(refusal) = step else { return };
    let row = refusal.row();
    let request = format_request_id(request);
    log::warn!(request = request.as_str(), code = row.number, kind = row.kind.as_str(); "request aborted by the shutdown");
}
