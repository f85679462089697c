//! Limit on the rate of calls that a target takes from all routers together.
//!
//! Each router keeps the whole allowance of the target: it spends one call for each that it sends,
//! and those that other routers report. Calls that are reported late overdraw the allowance, which
//! then takes longer to have room again, so that the rate is kept over time.

use std::time::Duration;

use base_types::{TimePoint, key_types};

/// Time whose calls are allowed at once after a pause.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Calls a second that any target gets, however low its limit: without calls, it could not name
/// another limit.
const RATE_MIN: f64 = 0.25;

key_types! {
    /// Rate in calls per thousand seconds.
    pub struct CallRate(pub u32);

    /// The limit that a target last named, here or through another router.
    pub struct NamedLimit {
        /// The limit; `None` while the target names none.
        pub rate: Option<CallRate>,
        /// When the answer arrived that named it.
        pub named_at: TimePoint,
    }
}

/// Calls per thousand seconds in a rate of one call a second.
const PER_SECOND: f64 = 1_000.0;

impl CallRate {
    /// Makes a rate from calls a second, bounded by the type; `None` if it is negative or no number.
    pub fn from_per_second(calls: f64) -> Option<Self> {
        (calls >= 0.0).then_some(Self((calls * PER_SECOND) as u32))
    }

    /// The rate in calls a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / PER_SECOND
    }
}

/// Calls that a target may get now.
#[derive(Debug, Clone, Copy)]
pub struct RateAllowance {
    limit: NamedLimit,
    /// Calls allowed at `updated_at`; negative when overdrawn.
    calls: f64,
    updated_at: TimePoint,
}

impl Default for NamedLimit {
    fn default() -> Self {
        Self { rate: None, named_at: TimePoint(0) }
    }
}

impl Default for RateAllowance {
    fn default() -> Self {
        Self { limit: NamedLimit::default(), calls: 0.0, updated_at: TimePoint(0) }
    }
}

impl RateAllowance {
    /// The limit that the target last named.
    pub fn limit(&self) -> NamedLimit {
        self.limit
    }

    /// Takes over a statement of the target unless it is older than the last one; returns whether the
    /// limit changed.
    pub fn on_named(&mut self, now: TimePoint, statement: NamedLimit) -> bool {
        if statement.named_at < self.limit.named_at {
            return false;
        }
        let previous = self.limit.rate;
        if previous != statement.rate {
            self.calls = self.calls_at(now).unwrap_or(f64::INFINITY);
            self.updated_at = now;
        }
        self.limit = statement;
        previous != statement.rate
    }

    /// Spends calls that this or another router sent; without a limit they do not count.
    pub fn spend(&mut self, now: TimePoint, count: u32) {
        if let Some(calls) = self.calls_at(now) {
            self.calls = calls - f64::from(count);
            self.updated_at = now;
        }
    }

    /// Whether the target may get a call now.
    pub fn has_room(&self, now: TimePoint) -> bool {
        self.calls_at(now).is_none_or(|calls| calls >= 1.0)
    }

    /// Earliest time at which the target may get a call if no other router sends one.
    pub fn room_at(&self, now: TimePoint) -> TimePoint {
        match (self.rate(), self.calls_at(now)) {
            (Some(rate), Some(calls)) if calls < 1.0 => {
                now.after(Duration::from_secs_f64((1.0 - calls) / rate))
            }
            _ => now,
        }
    }

    /// Calls a second; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.limit.rate.map(|rate| rate.per_second().max(RATE_MIN))
    }

    /// Calls allowed now; `None` without a limit.
    fn calls_at(&self, now: TimePoint) -> Option<f64> {
        let rate = self.rate()?;
        let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        let earned = rate * now.since(self.updated_at).as_secs_f64();
        Some((self.calls + earned).min(burst))
    }
}
