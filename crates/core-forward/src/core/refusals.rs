//! Refusals of calls, and the times at which their callers may return.

use std::time::Duration;

use base_types::{NotRunCode, Refusal, TargetKey, TimePoint, UnknownCode};

use crate::{DispatchStep, ForwardCore, call::CallState, heartbeat_interval};

/// Time after which a caller may retry a call that was refused without having run.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Shortest mean time of a call at a target, in seconds, that is used.
const PLACE_TIME_MIN_S: f64 = 0.001;

/// Room for calls at several targets together.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReturnRoom {
    /// Time at which the first of them has room.
    pub(super) at: TimePoint,
    /// Calls a second that they take.
    calls_per_s: f64,
}

impl ForwardCore {
    /// Refuses a call that no target takes. If that is because targets name limits or pause, its caller
    /// may return when one of them has room.
    pub(super) fn refuse_without_target(
        &mut self,
        now: TimePoint,
        state: &CallState,
    ) -> DispatchStep {
        let is_untried = |target: TargetKey| !state.attempted_targets.contains(&target);
        let Some(room) = self.next_room(now, state, is_untried) else {
            return refuse(now, state, NotRunCode::NoTarget, UnknownCode::TargetLost);
        };
        let return_at = self.queue_return(now, state, room);
        refuse_until(state, NotRunCode::TargetsFull, UnknownCode::TargetLost, return_at)
    }

    /// Refuses a call whose attempts or retry budget are spent. Its caller may return soon, or when a
    /// target has room if none has now.
    pub(super) fn refuse_spent(&mut self, now: TimePoint, state: &CallState) -> DispatchStep {
        let room = self.next_room(now, state, |_| true).filter(|room| room.at > now);
        let soonest = now.after(RETRY_AFTER);
        let return_at = room.map_or(soonest, |room| self.queue_return(now, state, room));
        let return_at = return_at.max(soonest);
        refuse_until(state, NotRunCode::RetriesSpent, UnknownCode::TargetLost, return_at)
    }

    /// Room for a call at those of its pool's targets that are selected; `None` if there is no such
    /// target.
    pub(super) fn next_room(
        &self,
        now: TimePoint,
        state: &CallState,
        selects: impl Fn(TargetKey) -> bool,
    ) -> Option<ReturnRoom> {
        let turn = heartbeat_interval(self.router_count());
        let responding = self.targets.responding(now, &state.pool);
        let candidates = responding.filter(|(target, record)| {
            record.accepts_calls(now)
                && !record.is_evacuated
                && state.software.allows(record.software)
                && selects(*target)
        });
        let place_time = self.place_times.get(&state.pool).and_then(|time| time.get());
        let place_time = place_time.map(|time| time.as_secs_f64().max(PLACE_TIME_MIN_S));
        let rooms = candidates.map(|(_, record)| {
            let turn_at = if self.is_contender(now, record) { now } else { now.after(turn) };
            let turns = self.cold_turns(now, record);
            let cold_at = turns.map_or(now, |turns| turns.next_at(now, record.cold_turn));
            let at = record.allowance.room_at(now).max(turn_at).max(cold_at);
            let at = at.max(record.paused_until).max(record.keeper_silent_until);
            // Without a limit, a target takes about as many calls a second as it runs at once.
            let slots = f64::from(record.entry.slots.max(1));
            let mut rate = record.allowance.rate().unwrap_or(slots);
            let mut at = at;
            if self.rejection_limit(now, record).is_some() {
                at = at.max(now.after(RETRY_AFTER));
                rate = place_time.map_or(rate, |time| slots / time);
            }
            ReturnRoom { at, calls_per_s: rate }
        });
        rooms.reduce(|sum, room| ReturnRoom {
            at: sum.at.min(room.at),
            calls_per_s: sum.calls_per_s + room.calls_per_s,
        })
    }

    /// Returns when the caller of a refused call may return; callers are told different times.
    pub(super) fn queue_return(
        &mut self,
        now: TimePoint,
        state: &CallState,
        room: ReturnRoom,
    ) -> TimePoint {
        let routers = f64::from(self.router_count());
        let interval = Duration::from_secs_f64(routers / room.calls_per_s);
        let queue = self.return_queues.entry(state.pool.clone()).or_default();
        queue.next_return(now, room.at, interval, state.deadline)
    }
}

/// Refuses a call; its caller may return soon if it did not run.
pub(super) fn refuse(
    now: TimePoint,
    state: &CallState,
    not_run_code: NotRunCode,
    unknown_code: UnknownCode,
) -> DispatchStep {
    refuse_until(state, not_run_code, unknown_code, now.after(RETRY_AFTER))
}

/// Refuses a call; its caller may return at `retry_at` if it did not run.
pub(super) fn refuse_until(
    state: &CallState,
    not_run_code: NotRunCode,
    unknown_code: UnknownCode,
    retry_at: TimePoint,
) -> DispatchStep {
    let refusal = if state.may_have_run {
        Refusal::Unknown(unknown_code)
    } else {
        Refusal::NotRun(not_run_code, retry_at)
    };
    DispatchStep::Refuse(refusal)
}
