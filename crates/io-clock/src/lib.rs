//! Monotonic clock of a process, as [`TimePoint`]s for decision code.
//!
//! The crate does not read the wall clock.

use std::time::Instant;

use base_types::TimePoint;

/// Monotonic clock that starts at zero in [`Self::start`]; all tasks of a process share one.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts a clock at time zero.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Time since the clock was started.
    pub fn now(self) -> TimePoint {
        TimePoint(0).after(self.start.elapsed())
    }

    /// Converts a point to an instant of the tokio runtime; the current instant when the point has
    /// passed.
    pub fn instant(self, point: TimePoint) -> tokio::time::Instant {
        let remaining = point.since(self.now());
        tokio::time::Instant::now() + remaining
    }
}
