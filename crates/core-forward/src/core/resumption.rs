//! Streams that callers resume: which software may serve them.

use std::{collections::BTreeSet, time::Duration};

use base_types::{PoolName, TargetKey, TimePoint};
use state_config::RouteRule;

use crate::{
    CallHead, CallKey, ForwardCore,
    call::CallState,
    former_routes::is_resumable,
    heartbeat_interval,
    origins::StreamSoftware,
    software::{STREAM_LIFETIME_MAX, SoftwareKey},
};

/// Longest time for which a call waits for this router to learn what served before it started.
const PAST_WAIT: Duration = Duration::from_secs(1);

/// Fraction of the heartbeat interval after which a heartbeat with news is sent.
const EARLY_DIVISOR: u32 = 4;

/// Time in which the recorder writes what a heartbeat told it.
const RECORD_TIME: Duration = Duration::from_millis(100);

/// Heartbeat intervals without a heartbeat of half of the other routers after which this one may have missed what they
/// learned.
const STEP_INTERVALS: u32 = 3;

/// Fraction of the heartbeat interval for which a call waits for the origin of its stream. A router
/// that has an origin to report sends its next heartbeat early.
const ORIGIN_WAIT_DIVISOR: u32 = 2;

impl ForwardCore {
    /// Records that the first event of a resumable stream is about to be forwarded: from now on only
    /// targets of the same software continue it, in this call and in those that resume it. Returns the
    /// time before which the event must not be forwarded.
    pub fn on_first_event(&mut self, now: TimePoint, key: CallKey) -> TimePoint {
        let Some(mut state) = self.calls.remove(&key) else { return now };
        let software = self.current_software(&state);
        if let Some(software) = software
            && matches!(state.software, StreamSoftware::Any | StreamSoftware::Reported(_))
        {
            self.report_origin(now, &mut state, software);
            state.software = StreamSoftware::Only(software);
        }
        let settled_at = state.origin_settled_at;
        self.calls.insert(key, state);
        settled_at
    }

    /// Reports the origin of a stream already when its call is sent to a pool of several versions, so that
    /// it is known to the others, and recorded, by the time of the first event.
    pub(super) fn report_origin_early(
        &mut self,
        now: TimePoint,
        state: &mut CallState,
        target: TargetKey,
    ) {
        let Some(record) = self.targets.get(target) else { return };
        let software = record.software;
        let is_resumable = state.retry_rule.is_streaming() && state.retry_rule.is_retryable();
        let has_begun =
            !matches!(state.software, StreamSoftware::Any | StreamSoftware::Reported(_));
        if is_resumable && !has_begun && self.targets.software.is_mixed(now, &state.pool) {
            self.report_origin(now, state, software);
            state.software = StreamSoftware::Reported(software);
        }
    }

    /// Reports which software begins a stream, unless that was reported. Where another one was, the first
    /// event waits until the record has the new one.
    fn report_origin(&mut self, now: TimePoint, state: &mut CallState, software: SoftwareKey) {
        let deadline = state.caller_deadline;
        match state.software {
            StreamSoftware::Reported(reported) if reported == software => {}
            StreamSoftware::Reported(_) => {
                self.origins.on_replaced(now, state.call_hash, software, deadline);
                let heartbeat_time = heartbeat_interval(self.router_count()) / EARLY_DIVISOR;
                state.origin_settled_at = now.after(heartbeat_time + RECORD_TIME);
            }
            _ => self.origins.on_begun(now, state.call_hash, software, deadline),
        }
    }

    fn current_software(&self, state: &CallState) -> Option<SoftwareKey> {
        let attempt = state.current_attempt.as_ref()?;
        self.targets.get(attempt.target).map(|record| record.software)
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
        let is_named = matches!(state.software, StreamSoftware::Unresolved(Some(_)));
        let can_be_known =
            !self.origins.record.is_platform_failing() && self.only_software(now, state).is_some();
        let needs_list = can_be_known && !self.knows_software(now, state);
        if self.is_past_awaited() || needs_list {
            return Some(now.after(PAST_WAIT).min(state.deadline));
        }
        (is_named && routers > 1)
            .then(|| now.after(heartbeat_interval(routers) / ORIGIN_WAIT_DIVISOR))
    }

    /// Determines the software that may serve a call which resumes a stream, if that is known.
    pub(super) fn resolve_software(&self, now: TimePoint, state: &mut CallState) {
        if let Some(software) = self.find_software(now, state) {
            state.software = StreamSoftware::Only(software);
        }
    }

    /// Pools in which the stream that a call resumes may have started: those to which its route leads or led; after a
    /// restart, before which the routes may have been others, all that serve resumable streams. `None` if some
    /// may be missing.
    pub(super) fn stream_pools(
        &self,
        now: TimePoint,
        head: &CallHead,
        route: &RouteRule,
    ) -> Option<Box<[PoolName]>> {
        let former = self.former_routes.pools(now, &head.host, &head.path)?;
        let mut pools: BTreeSet<PoolName> = route.used_pools().cloned().chain(former).collect();
        let is_past_known =
            self.is_first_start || self.first_config_at.after(STREAM_LIFETIME_MAX).passed(now);
        if !is_past_known && let Some(config) = &self.config {
            let engines = config.pools.values().filter(|pool| pool.engine.is_some());
            pools.extend(engines.map(|pool| pool.name.clone()));
            let resumable = config.routes().filter(|route| is_resumable(route));
            pools.extend(resumable.flat_map(RouteRule::used_pools).cloned());
        }
        Some(pools.into_iter().collect())
    }

    /// Finds the software that began the stream which a call resumes: the one that a router reported,
    /// or the only one of the pools in which it may have started. A list that may be out of date tells nothing.
    fn find_software(&self, now: TimePoint, state: &CallState) -> Option<SoftwareKey> {
        let StreamSoftware::Unresolved(origin) = state.software else { return None };
        let reported = origin.and_then(|call_hash| self.origins.software(now, call_hash));
        reported
            .or_else(|| self.only_software(now, state).filter(|_| self.knows_software(now, state)))
    }

    /// The only software that this router knows of the pools in which a stream may have started.
    fn only_software(&self, now: TimePoint, state: &CallState) -> Option<SoftwareKey> {
        self.targets.software.only_software(now, state.stream_pools.as_deref()?)
    }

    /// Whether this router knows all software that may have started the stream which a call resumes: it has asked for the
    /// list since, or is in touch with others, each of which reports software that it learns of first. A call that
    /// names its origin has a report to wait for, and needs a current list, too.
    fn knows_software(&self, now: TimePoint, state: &CallState) -> bool {
        let history = &self.targets.software;
        if history.is_listed_since(state.admitted_at) {
            return true;
        }
        let is_named = matches!(state.software, StreamSoftware::Unresolved(Some(_)));
        let silence = heartbeat_interval(self.router_count()) * STEP_INTERVALS;
        self.peers.receives_from_half(now, silence) && (!is_named || history.is_current(now))
    }

    /// Records that the platform answered with a complete list of targets, which was asked for at a time.
    pub fn on_target_list_read(&mut self, asked_at: TimePoint) {
        self.targets.software.on_list_read(asked_at);
    }
}
