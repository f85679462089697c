//! One retry budget for a fleet: repeats within a ratio of calls and a slack, over a sliding span.
//!
//! Each router keeps to its part without asking anyone: the ratio of its own calls, and the
//! slack divided by the number of routers.

use std::{collections::VecDeque, time::Duration};

use base_types::{TimePoint, key_types, message_types};

/// Slices of the span; the budget is kept over the span and one slice more.
const SLICES: u32 = 20;

/// Part of the allowed repeats that is used, in percent; the rest covers calls that were counted
/// at the edge of the span and routers that joined without being heard.
const USED_PERCENT: u64 = 80;

message_types! {
    /// Bounds on repeats for one pool, over all routers.
    #[derive(Copy)]
    pub struct WindowBounds {
        /// Repeats for each call.
        pub ratio: f64,
        /// Repeats beyond that.
        pub slack: u32,
        /// Span over which both are counted.
        pub span: Duration,
    }
}

key_types! {
    struct WindowSlice {
        end: TimePoint,
        calls: u32,
        repeats: u32,
    }
}

/// Budget of one pool at one router.
#[derive(Debug, Default)]
pub struct WindowBudget {
    slices: VecDeque<WindowSlice>,
}

impl WindowBudget {
    /// Counts a call.
    pub fn on_call(&mut self, now: TimePoint, bounds: &WindowBounds) {
        self.slice(now, bounds).calls += 1;
    }

    /// Repeats that are left in this router's part of the budget.
    pub fn room(&self, now: TimePoint, bounds: &WindowBounds, routers: u32) -> u64 {
        let counted = || self.slices.iter().filter(|slice| !slice.lapsed(now, bounds));
        let calls: u64 = counted().map(|slice| u64::from(slice.calls)).sum();
        let repeats: u64 = counted().map(|slice| u64::from(slice.repeats)).sum();
        let earned = (calls as f64 * bounds.ratio) as u64;
        let given = u64::from(bounds.slack) / u64::from(routers.max(1));
        ((earned + given) * USED_PERCENT / 100).saturating_sub(repeats)
    }

    /// Spends a repeat, if this router's part of the budget holds one.
    pub fn spend(&mut self, now: TimePoint, bounds: &WindowBounds, routers: u32) -> bool {
        let room = self.room(now, bounds, routers) > 0;
        if room {
            self.slice(now, bounds).repeats += 1;
        }
        room
    }

    fn slice(&mut self, now: TimePoint, bounds: &WindowBounds) -> &mut WindowSlice {
        let width = bounds.span / SLICES;
        while self.slices.front().is_some_and(|slice| slice.lapsed(now, bounds)) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.end.passed(now)) {
            self.slices.push_back(WindowSlice { end: now.after(width), calls: 0, repeats: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

impl WindowSlice {
    fn lapsed(&self, now: TimePoint, bounds: &WindowBounds) -> bool {
        self.end.after(bounds.span).passed(now)
    }
}
