//! Streams that callers resume: which software may serve them.

use std::time::Duration;

use base_types::{TargetKey, TimePoint};

use crate::{
    CallKey, ForwardCore, call::CallState, heartbeat_interval, origins::StreamSoftware,
    software::SoftwareKey,
};

/// Longest time for which a call waits for this router to learn what served before it started.
const PAST_WAIT: Duration = Duration::from_secs(1);

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
            self.origins.on_begun(now, state.call_hash, record.software, deadline);
        }
    }

    /// Fixes the software of a stream when its call is sent to a pool of several versions, so that its
    /// origin is known to the others, and recorded, by the time of its first event.
    pub(super) fn fix_software(
        &mut self,
        now: TimePoint,
        state: &mut CallState,
        target: TargetKey,
    ) {
        let Some(record) = self.targets.get(target) else { return };
        let software = record.software;
        let is_resumable = state.retry_rule.is_streaming() && state.retry_rule.is_retryable();
        if !is_resumable
            || state.software != StreamSoftware::Any
            || record.entry.software_version.is_empty()
            || !self.targets.software.is_mixed(now, &state.pool)
        {
            return;
        }
        state.software = StreamSoftware::Only(software);
        self.origins.on_begun(now, state.call_hash, software, state.caller_deadline);
    }

    /// Time until which the origin of the stream that a call resumes may still become known: another
    /// router may report it, or this one may have just started. `None` if the call need not wait.
    pub fn origin_deadline(&self, now: TimePoint, key: CallKey) -> Option<TimePoint> {
        let state = self.calls.get(&key)?;
        let routers = self.router_count();
        if !matches!(state.software, StreamSoftware::Unresolved(_))
            || self.find_software(now, state).is_some()
        {
            return None;
        }
        if self.is_past_awaited() {
            return Some(now.after(PAST_WAIT).min(state.deadline));
        }
        let is_named = matches!(state.software, StreamSoftware::Unresolved(Some(_)));
        (is_named && routers > 1)
            .then(|| now.after(heartbeat_interval(routers) / ORIGIN_WAIT_DIVISOR))
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
