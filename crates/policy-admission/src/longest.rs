//! Longest time that the calls of a route took of late.
//!
//! Answers the load of a planned stop: callers keep sending calls to a router that stops while they hold its
//! address, and those that cannot end before the process does would be cut. Invariant: a call that took no longer
//! than another of its route in the last window, and started in time for that one to end, ends in time.

use std::time::Duration;

use base_types::TimePoint;

/// Time for which a duration counts at least, and at most twice.
const WINDOW: Duration = Duration::from_secs(30);

/// Longest duration of a sliding window, kept as the longest of two halves.
#[derive(Debug, Clone, Copy, Default)]
pub struct LongestTime {
    current: Option<Duration>,
    previous: Option<Duration>,
    window_end: Option<TimePoint>,
}

impl LongestTime {
    /// Records how long a call took.
    pub fn record(&mut self, now: TimePoint, duration: Duration) {
        self.advance(now);
        self.current = self.current.max(Some(duration));
    }

    /// The longest duration; `None` if no call has ended in the window.
    pub fn get(&self, now: TimePoint) -> Option<Duration> {
        let mut window = *self;
        window.advance(now);
        window.current.max(window.previous)
    }

    fn advance(&mut self, now: TimePoint) {
        match self.window_end {
            Some(end) if !end.passed(now) => return,
            Some(end) if !end.after(WINDOW).passed(now) => self.previous = self.current.take(),
            _ => (self.current, self.previous) = (None, None),
        }
        self.window_end = Some(now.after(WINDOW));
    }
}
