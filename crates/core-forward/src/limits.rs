//! Limits that targets name, as routers report them to each other, and the return of callers that were
//! refused because of them.

use std::{collections::BTreeMap, time::Duration};

use base_types::{TimePoint, key_types};
use policy_targets::{CallRate, NamedLimit, RateAllowance};

/// Number of heartbeats in which a change is reported, as some are lost.
const REPORTS_PER_CHANGE: u8 = 3;

/// Fraction of a refused call's remaining time after which its caller returns at the latest.
const RETURN_TIME_DIVISOR: u32 = 2;

key_types! {
    /// Report of a router on a target that names a limit, or did so until a moment ago.
    pub struct LimitNotice {
        /// Hash of the target's name and incarnation.
        pub target_hash: u64,
        /// Limit that the target last named; `None` when it names none any more.
        pub rate: Option<CallRate>,
        /// Milliseconds since the answer that said so.
        pub age_ms: u32,
        /// All calls that the router sent to the target while it named a limit; wraps around.
        pub calls: u32,
        /// Those of them that no earlier notice contains.
        pub new_calls: u32,
    }
}

impl LimitNotice {
    /// What the target said, on the clock of the router that received the notice.
    pub(crate) fn statement(&self, now: TimePoint) -> NamedLimit {
        let age = Duration::from_millis(u64::from(self.age_ms));
        let named_at = TimePoint(now.0.saturating_sub(age.as_micros() as u64));
        NamedLimit { rate: self.rate, named_at }
    }
}

/// Calls to one target as this router reports them, and as other routers did.
#[derive(Debug, Default)]
pub(crate) struct LimitReport {
    calls: u32,
    /// The value of `calls` in the previous notice.
    reported_calls: u32,
    reports_left: u8,
    /// Last total of each other router, by the hash of its name and incarnation.
    peer_calls: BTreeMap<u64, u32>,
}

impl LimitReport {
    /// Counts and reports a call if the target names a limit.
    pub(crate) fn on_send(&mut self, allowance: &RateAllowance) {
        if allowance.limit().rate.is_some() {
            self.calls = self.calls.wrapping_add(1);
            self.schedule();
        }
    }

    /// Has the limit and the calls reported.
    pub(crate) fn schedule(&mut self) {
        self.reports_left = REPORTS_PER_CHANGE;
    }

    pub(crate) fn is_due(&self) -> bool {
        self.reports_left > 0
    }

    /// Returns the next notice, which counts as sent.
    pub(crate) fn next_notice(
        &mut self,
        now: TimePoint,
        target_hash: u64,
        limit: NamedLimit,
    ) -> LimitNotice {
        self.reports_left = self.reports_left.saturating_sub(1);
        let new_calls = self.calls.wrapping_sub(self.reported_calls);
        self.reported_calls = self.calls;
        LimitNotice {
            target_hash,
            rate: limit.rate,
            age_ms: now.since(limit.named_at).as_millis() as u32,
            calls: self.calls,
            new_calls,
        }
    }

    /// Returns the calls of another router that are not counted here yet. Without an earlier notice
    /// of that router, only its latest calls are.
    pub(crate) fn on_peer_notice(&mut self, incarnation: u64, notice: &LimitNotice) -> u32 {
        let Some(counted) = self.peer_calls.get_mut(&incarnation) else {
            self.peer_calls.insert(incarnation, notice.calls);
            return notice.new_calls;
        };
        let uncounted = notice.calls.wrapping_sub(*counted);
        // A notice that was overtaken by a later one has a lower total.
        if uncounted > u32::MAX / 2 {
            return 0;
        }
        *counted = notice.calls;
        uncounted
    }
}

/// Gives the callers of one pool that are refused different times to return.
#[derive(Debug)]
pub(crate) struct ReturnQueue {
    last_return_at: TimePoint,
}

impl Default for ReturnQueue {
    fn default() -> Self {
        Self { last_return_at: TimePoint(0) }
    }
}

impl ReturnQueue {
    /// Returns when the next caller may return: `interval` after the previous one, not before
    /// `room_at`. Once that is too late for the call, the queue starts again.
    pub(crate) fn next_return(
        &mut self,
        now: TimePoint,
        room_at: TimePoint,
        interval: Duration,
        deadline: TimePoint,
    ) -> TimePoint {
        let latest = now.after(deadline.since(now) / RETURN_TIME_DIVISOR);
        let next = self.last_return_at.after(interval).max(room_at);
        self.last_return_at = if next > latest { room_at } else { next };
        self.last_return_at
    }
}
