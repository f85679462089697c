//! Which calls a router still takes while it stops.
//!
//! Answers the load of a planned stop: callers come for as long as they use a list that names the router, and
//! later ones because no other router serves. Invariant: after the first time, only calls are admitted whose
//! own deadline ends them before the process does; how long earlier calls took bounds no later one.

use std::time::Duration;

use base_types::{RouteName, TimePoint};

use crate::{ForwardCore, call::CallState};

/// Time in which the answer to a call that has reached its deadline is sent to its caller.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Time from the end of a process that is restarted until it serves.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// When the parts of a shutdown begin and end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// Time at which the shutdown began.
    pub started_at: TimePoint,
    /// Time at which the process ends if it is idle.
    pub idle_stop_at: TimePoint,
    /// Time until which callers may use a list that still names the router.
    pub listed_until: TimePoint,
    /// Time at which the process ends.
    pub stop_at: TimePoint,
}

impl ForwardCore {
    /// Starts the shutdown: the router is no longer listed for new callers, and admits calls that are likely
    /// to end before the process does, later only those that must.
    pub fn start_shutdown(&mut self, schedule: StopSchedule) {
        self.shutting_down = true;
        self.stop_schedule = Some(schedule);
    }

    /// Whether a call that starts now may be taken: its deadline ends it before the process ends, or it is likely to
    /// end by then and its caller may not know yet that the router stops. Where no call of the route has ended of
    /// late, it may take until its deadline.
    pub(super) fn can_end_by_stop(
        &self,
        now: TimePoint,
        route: &RouteName,
        deadline: TimePoint,
    ) -> bool {
        let Some(schedule) = self.stop_schedule else { return true };
        let StopSchedule { listed_until, stop_at, .. } = schedule;
        if deadline.after(ANSWER_TIME) < stop_at {
            return true;
        }
        if listed_until.passed(now) {
            return false;
        }
        let bound = self.longest_times.get(route).and_then(|times| times.likely_bound(now));
        // A call that is running shows that calls take at least that long.
        let running = self.calls.values().filter(|call| call.route == *route);
        let running = running.map(|call| now.since(call.admitted_at)).max();
        let needed = bound.map(|bound| running.max(Some(bound)));
        let ends_at = needed.flatten().map(|needed| now.after(needed));
        ends_at.is_some_and(|ends_at| ends_at < stop_at)
    }

    /// Time from which the caller of a call that this stopping router refuses may find a router that serves: now, unless
    /// all others stop too; then when the first that is restarted is likely to be back.
    pub fn serving_at(&self, now: TimePoint) -> TimePoint {
        let Some(schedule) = self.stop_schedule else { return now };
        if self.peers.serving(now).next().is_some() {
            return now;
        }
        let stop_time = schedule.idle_stop_at.since(schedule.started_at) + RESTART_TIME;
        let peers = self.peers.stops().map(|stopped_at| stopped_at.after(stop_time));
        let own = schedule.started_at.after(stop_time);
        // A router that is back by now would have sent a heartbeat, unless it was removed.
        peers.chain([own]).filter(|back_at| !back_at.passed(now)).min().unwrap_or(now)
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
