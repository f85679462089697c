//! Points in time as the core sees them.

use std::time::Duration;

use crate::key_types;

key_types! {
    /// Microseconds since the process started, or since the start of virtual time.
    pub struct TimePoint(pub u64);
}

impl TimePoint {
    /// A point that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The point `span` later.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }

    /// The time from `earlier` to this point, zero when it lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Whether a deadline at this point has passed.
    pub fn passed(self, now: Self) -> bool {
        now >= self
    }
}
