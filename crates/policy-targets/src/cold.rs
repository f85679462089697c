//! Shares of routers in the calls that a cold target takes.
//!
//! Answers the load after a failure domain or a batch of targets starts: the new targets are idle, so that every
//! router prefers them at once, while each crashes above a few calls a second. Invariant: the calls that all routers
//! together send in any one second stay below the target's peak, also where routers do not know of each other's
//! calls. Each router may send one call in each of its turns; turns of different routers begin at times that
//! are uniform over the period between two turns of one router.

use std::time::Duration;

use base_types::{TimePoint, key_types};

/// Longest time in which a call may be sent after the start of a turn. A longer one would let calls of many turns fall into
/// one second.
const TURN_TIME_MAX: Duration = Duration::from_millis(500);

/// Standard deviations of the number of turns in a second that are kept below the peak.
const PEAK_DEVIATIONS: f64 = 4.0;

const PERIOD_MAX: Duration = Duration::from_secs(3_600);

key_types! {
    /// Calls that a cold target takes from all routers together.
    pub struct ColdLimit {
        /// Calls per thousand seconds that it takes over time.
        pub rate: u32,
        /// Largest number of calls in any one second.
        pub peak: u32,
    }
}

/// Turns of one router at a cold target.
#[derive(Debug, Clone, Copy)]
pub struct ColdTurns {
    period: Duration,
    offset: Duration,
}

/// The last turn of a router that was used.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsedTurn {
    index: Option<u64>,
}

impl ColdTurns {
    /// Turns of a router among `routers`; `phase`, from 0 to 1, is uniform over pairs of a router and a target.
    ///
    /// The number of turns in a second is about Poisson distributed, so that a mean of m keeps m + 4 sqrt(m) below
    /// the peak. A peak of zero leaves no turn.
    pub fn new(limit: ColdLimit, routers: u32, phase: f64) -> Self {
        if limit.peak == 0 {
            return Self { period: PERIOD_MAX, offset: Duration::from_micros(u64::MAX) };
        }
        let half = PEAK_DEVIATIONS / 2.0;
        let mean_max = ((half * half + f64::from(limit.peak)).sqrt() - half).powi(2);
        let window = 1.0 + TURN_TIME_MAX.as_secs_f64();
        let rate = (f64::from(limit.rate) / 1_000.0).min(mean_max / window).max(f64::MIN_POSITIVE);
        let period = Duration::try_from_secs_f64(f64::from(routers.max(1)) / rate);
        let period = period.unwrap_or(Duration::MAX).min(PERIOD_MAX);
        Self { period, offset: period.mul_f64(phase.clamp(0.0, 1.0)) }
    }

    /// Whether the router may send a call now.
    pub fn is_open(&self, now: TimePoint, used: UsedTurn) -> bool {
        self.index_at(now).is_some_and(|index| {
            used.index != Some(index) && now < self.start_of(index).after(self.turn_time())
        })
    }

    /// Takes the turn that is open.
    pub fn take(&self, now: TimePoint, used: &mut UsedTurn) {
        used.index = self.index_at(now);
    }

    /// Earliest time from `now` at which the router may send a call.
    pub fn next_at(&self, now: TimePoint, used: UsedTurn) -> TimePoint {
        if self.is_open(now, used) {
            return now;
        }
        self.start_of(self.index_at(now).map_or(0, |index| index + 1))
    }

    fn turn_time(&self) -> Duration {
        TURN_TIME_MAX.min(self.period)
    }

    fn index_at(&self, now: TimePoint) -> Option<u64> {
        let since = now.0.checked_sub(self.offset.as_micros() as u64)?;
        Some(since / (self.period.as_micros() as u64).max(1))
    }

    fn start_of(&self, index: u64) -> TimePoint {
        let period = self.period.as_micros() as u64;
        TimePoint((self.offset.as_micros() as u64).saturating_add(index.saturating_mul(period)))
    }
}
