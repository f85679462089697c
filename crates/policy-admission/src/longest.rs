//! Longest time that the calls of a route took of late.
//!
//! Answers the load of a planned stop: callers keep sending calls to a router that stops while they hold its
//! address, and those that cannot end before the process does would be cut. Invariant: the fewer calls were seen,
//! the more time another one is expected to take.

use std::time::Duration;

use base_types::TimePoint;

/// Time for which a duration counts at least, and at most twice.
const WINDOW: Duration = Duration::from_secs(30);

/// Time that a call may take beyond the longest one, as a part of that, however many calls were seen: while routers
/// stop, the others and their targets have more load than before.
const MARGIN: f64 = 0.25;

/// Number of calls of which the longest may be exceeded by as much again, because few were seen.
const CALLS_FOR_DOUBLE: f64 = 6.0;

/// Longest duration of a sliding window, kept as the longest of two halves.
#[derive(Debug, Clone, Copy, Default)]
pub struct LongestTime {
    current: WindowHalf,
    previous: WindowHalf,
    window_end: Option<TimePoint>,
}

/// Longest duration and number of calls of one half of the window.
#[derive(Debug, Clone, Copy, Default)]
struct WindowHalf {
    longest: Duration,
    calls: u32,
}

impl LongestTime {
    /// Records how long a call took.
    pub fn record(&mut self, now: TimePoint, duration: Duration) {
        self.advance(now);
        self.current.longest = self.current.longest.max(duration);
        self.current.calls = self.current.calls.saturating_add(1);
    }

    /// Time in which a further call is likely to end; `None` if no call has ended in the window.
    pub fn likely_bound(&self, now: TimePoint) -> Option<Duration> {
        let mut window = *self;
        window.advance(now);
        let calls = window.current.calls.saturating_add(window.previous.calls);
        let longest = window.current.longest.max(window.previous.longest);
        let factor = 1.0 + MARGIN + CALLS_FOR_DOUBLE / f64::from(calls.max(1));
        (calls > 0).then(|| longest.mul_f64(factor))
    }

    fn advance(&mut self, now: TimePoint) {
        match self.window_end {
            Some(end) if !end.passed(now) => return,
            Some(end) if !end.after(WINDOW).passed(now) => {
                self.previous = std::mem::take(&mut self.current);
            }
            _ => (self.current, self.previous) = (WindowHalf::default(), WindowHalf::default()),
        }
        self.window_end = Some(now.after(WINDOW));
    }
}
