//! Retry budget of a fleet per pool: retries are bounded by a ratio of calls plus a slack, over a
//! sliding window.
//!
//! Each router enforces its fraction without coordination: the ratio of its own calls, and the
//! slack divided by the number of routers.

use std::{collections::VecDeque, time::Duration};

use base_types::{TimePoint, key_types, message_types};

/// Number of slices of the window; calls and retries count for the window plus one slice.
const SLICE_COUNT: u32 = 20;

/// Percentage of the allowed retries that is used. The rest covers calls that the slices still
/// count although they are just older than the window, and routers that joined before this one
/// learned of them.
const USABLE_PERCENT: u64 = 80;

message_types! {
    /// Bounds on the retries of one pool, over all routers.
    #[derive(Copy)]
    pub struct WindowBounds {
        /// Retries allowed per call.
        pub ratio: f64,
        /// Retries allowed beyond the ratio.
        pub slack: u32,
        /// Length of the sliding window over which calls and retries are counted.
        pub window: Duration,
    }
}

key_types! {
    struct WindowSlice {
        end: TimePoint,
        calls: u32,
        retries: u32,
    }
}

/// One router's fraction of the retry budget of one pool.
#[derive(Debug, Default)]
pub struct WindowBudget {
    slices: VecDeque<WindowSlice>,
}

impl WindowBudget {
    /// Counts a call, which earns `ratio` of a retry.
    pub fn on_call(&mut self, now: TimePoint, bounds: &WindowBounds) {
        self.current_slice(now, bounds).calls += 1;
    }

    /// Retries left in this router's fraction of the budget.
    pub fn remaining(&self, now: TimePoint, bounds: &WindowBounds, routers: u32) -> u64 {
        let counted = || self.slices.iter().filter(|slice| !slice.is_expired(now, bounds));
        let calls: u64 = counted().map(|slice| u64::from(slice.calls)).sum();
        let retries: u64 = counted().map(|slice| u64::from(slice.retries)).sum();
        let earned = (calls as f64 * bounds.ratio) as u64;
        let own_slack = u64::from(bounds.slack) / u64::from(routers.max(1));
        ((earned + own_slack) * USABLE_PERCENT / 100).saturating_sub(retries)
    }

    /// Spends a retry; returns false when this router's fraction of the budget is exhausted.
    pub fn try_spend(&mut self, now: TimePoint, bounds: &WindowBounds, routers: u32) -> bool {
        let has_remaining = self.remaining(now, bounds, routers) > 0;
        if has_remaining {
            self.current_slice(now, bounds).retries += 1;
        }
        has_remaining
    }

    fn current_slice(&mut self, now: TimePoint, bounds: &WindowBounds) -> &mut WindowSlice {
        let width = bounds.window / SLICE_COUNT;
        while self.slices.front().is_some_and(|slice| slice.is_expired(now, bounds)) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.end.passed(now)) {
            self.slices.push_back(WindowSlice { end: now.after(width), calls: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

impl WindowSlice {
    fn is_expired(&self, now: TimePoint, bounds: &WindowBounds) -> bool {
        self.end.after(bounds.window).passed(now)
    }
}
