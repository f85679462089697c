//! Failure rate of calls to a target, with exponential decay.

use std::time::Duration;

use base_types::{TimePoint, key_types};

/// Time in which an outcome loses half of its weight; faults of a target last a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Successful calls that every target is credited with, so that a single failure changes its rate
/// little.
const PRIOR_SUCCESSES: f64 = 4.0;

key_types! {
    /// Counts of finished calls.
    #[derive(Default)]
    pub struct OutcomeCount {
        /// Calls that failed.
        pub failed: u32,
        /// All calls that finished, the failed ones included.
        pub finished: u32,
    }
}

/// Failure rate of a target's calls, in which an outcome's weight decays with its age.
#[derive(Debug, Clone, Copy)]
pub struct FailureRate {
    failed: f64,
    finished: f64,
    updated_at: TimePoint,
}

impl Default for FailureRate {
    fn default() -> Self {
        Self { failed: 0.0, finished: 0.0, updated_at: TimePoint(0) }
    }
}

impl FailureRate {
    /// Adds finished calls; failures beyond the number of calls are ignored.
    pub fn record(&mut self, now: TimePoint, calls: OutcomeCount) {
        let decay = self.decay(now);
        self.failed = self.failed * decay + f64::from(calls.failed.min(calls.finished));
        self.finished = self.finished * decay + f64::from(calls.finished);
        self.updated_at = self.updated_at.max(now);
    }

    /// Fraction of calls that failed, from 0 to 1; 0 without any calls.
    pub fn rate(&self, now: TimePoint) -> f64 {
        let decay = self.decay(now);
        self.failed * decay / (self.finished * decay + PRIOR_SUCCESSES)
    }

    fn decay(&self, now: TimePoint) -> f64 {
        0.5f64.powf(now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

impl OutcomeCount {
    /// The count of a single finished call.
    pub fn single(failed: bool) -> Self {
        Self { failed: u32::from(failed), finished: 1 }
    }

    /// The sum of both counts, saturating.
    pub fn plus(self, other: Self) -> Self {
        Self {
            failed: self.failed.saturating_add(other.failed),
            finished: self.finished.saturating_add(other.finished),
        }
    }
}
