//! How often calls to a target failed lately.

use std::time::Duration;

use base_types::{TimePoint, key_types};

/// Time in which an outcome loses half of its weight; faults of a target last some seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Whole calls that each target is presumed to have had, so that one failure says little.
const PRESUMED_WHOLE: f64 = 4.0;

key_types! {
    /// Calls that ended in a span of time.
    #[derive(Default)]
    pub struct OutcomeCount {
        /// Calls that failed.
        pub failed: u32,
        /// Calls that ended, the failed ones included.
        pub ended: u32,
    }
}

/// Outcomes of a target's calls, older ones weighing less.
#[derive(Debug, Clone, Copy)]
pub struct OutcomeRate {
    failed: f64,
    ended: f64,
    at: TimePoint,
}

impl Default for OutcomeRate {
    fn default() -> Self {
        Self { failed: 0.0, ended: 0.0, at: TimePoint(0) }
    }
}

impl OutcomeRate {
    /// Counts calls that ended.
    pub fn count(&mut self, now: TimePoint, calls: OutcomeCount) {
        let weight = self.weight(now);
        self.failed = self.failed * weight + f64::from(calls.failed.min(calls.ended));
        self.ended = self.ended * weight + f64::from(calls.ended);
        self.at = self.at.max(now);
    }

    /// Share of calls that failed, 0 to 1.
    pub fn rate(&self, now: TimePoint) -> f64 {
        let weight = self.weight(now);
        self.failed * weight / (self.ended * weight + PRESUMED_WHOLE)
    }

    fn weight(&self, now: TimePoint) -> f64 {
        0.5f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

impl OutcomeCount {
    /// One call that ended.
    pub fn one(failed: bool) -> Self {
        Self { failed: u32::from(failed), ended: 1 }
    }

    /// The calls of both counts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            failed: self.failed.saturating_add(other.failed),
            ended: self.ended.saturating_add(other.ended),
        }
    }
}
