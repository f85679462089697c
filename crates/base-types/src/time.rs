//! Monotonic time for decision code, which reads no clock itself.

use std::time::Duration;

use crate::key_types;

key_types! {
    /// Point in monotonic time: microseconds since the process or the simulation started.
    pub struct TimePoint(pub u64);
}

impl TimePoint {
    /// A point that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The point `duration` after this one, at most [`Self::NEVER`].
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }

    /// Time from `earlier` to this point; zero when `earlier` is the later one.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Whether `now` has reached this point, taken as a deadline.
    pub fn passed(self, now: Self) -> bool {
        now >= self
    }
}
