//! Streams that callers resume: which software may serve them.

use base_types::TimePoint;

use crate::{
    CallKey, ForwardCore,
    call::CallState,
    heartbeat_interval,
    origins::{SoftwareKey, StreamSoftware},
};

/// Fraction of the heartbeat interval for which a call waits for the origin of its stream. A router
/// that has an origin to report sends its next heartbeat early.
const ORIGIN_WAIT_DIVISOR: u32 = 2;

impl ForwardCore {
    /// Records that the first event of a resumable stream is about to be forwarded: from now on only
    /// targets of the same software continue it, in this call and in those that resume it.
    pub fn on_first_event(&mut self, now: TimePoint, key: CallKey) {
        let Some(state) = self.calls.get_mut(&key) else { return };
        let Some(attempt) = &state.current_attempt else { return };
        let Some(record) = self.targets.get(attempt.target) else { return };
        if state.software == StreamSoftware::Any {
            state.software = StreamSoftware::Only(record.software);
            let deadline = state.caller_deadline;
            self.origins.on_first_event(now, state.call_hash, record.software, deadline);
        }
    }

    /// Time until which another router may still report the origin of the stream that a call resumes;
    /// `None` if the call need not wait for it.
    pub fn origin_deadline(&self, now: TimePoint, key: CallKey) -> Option<TimePoint> {
        let state = self.calls.get(&key)?;
        let routers = self.router_count();
        let is_awaited = matches!(state.software, StreamSoftware::Unresolved(Some(_)))
            && self.find_software(now, state).is_none()
            && routers > 1;
        is_awaited.then(|| now.after(heartbeat_interval(routers) / ORIGIN_WAIT_DIVISOR))
    }

    /// Determines the software that may serve a call which resumes a stream, if that is known.
    pub(super) fn resolve_software(&self, now: TimePoint, state: &mut CallState) {
        if let Some(software) = self.find_software(now, state) {
            state.software = StreamSoftware::Only(software);
        }
    }

    /// Finds the software that began the stream which a call resumes: the one that a router reported,
    /// or the only one of the pool. A list that may be out of date counts only where the caller does not
    /// name the call that began its stream, as no later report can tell its software.
    fn find_software(&self, now: TimePoint, state: &CallState) -> Option<SoftwareKey> {
        let StreamSoftware::Unresolved(origin) = state.software else { return None };
        let reported = origin.and_then(|call_hash| self.origins.software(now, call_hash));
        let history = &self.targets.software;
        let is_list_enough = origin.is_none() || history.is_current(now);
        let only_software =
            is_list_enough.then(|| history.only_software(now, &state.pool)).flatten();
        reported.or(only_software)
    }
}
