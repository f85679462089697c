//! Which calls a router still takes while it stops.

use std::time::Duration;

use base_types::{RouteName, TimePoint};

use crate::{ForwardCore, call::CallState};

impl ForwardCore {
    /// Starts the shutdown: the router is no longer listed for new callers, and admits only calls that are likely
    /// to end before `stop_at`, when the process ends.
    pub fn start_shutdown(&mut self, stop_at: TimePoint) {
        self.shutting_down = true;
        self.stop_at = stop_at;
    }

    /// Whether a call that starts now is likely to end before the process does. Where no call of the route has ended
    /// of late, it may take until its deadline.
    pub(super) fn can_end_by_stop(
        &self,
        now: TimePoint,
        route: &RouteName,
        deadline: TimePoint,
    ) -> bool {
        if !self.shutting_down || self.stop_at == TimePoint::NEVER {
            return true;
        }
        let bound = self.longest_times.get(route).and_then(|times| times.likely_bound(now));
        // A call that is running shows that calls take at least that long.
        let running = self.calls.values().filter(|call| call.route == *route);
        let running = running.map(|call| now.since(call.admitted_at)).max();
        let needed = bound.map(|bound| running.max(Some(bound)));
        let ends_at = needed.flatten().map(|needed| now.after(needed));
        ends_at.map_or(deadline, |ends_at| ends_at.min(deadline)) < self.stop_at
    }

    /// Records how long a call took that was answered.
    pub(super) fn record_call_time(&mut self, now: TimePoint, state: &CallState) {
        let time: Duration = now.since(state.admitted_at);
        self.longest_times.entry(state.route.clone()).or_default().record(now, time);
    }

    /// Forgets routes of which no call has ended of late.
    pub(super) fn sweep_call_times(&mut self, now: TimePoint) {
        self.longest_times.retain(|_, times| times.likely_bound(now).is_some());
    }
}
