//! Limit on the rate of calls that a target takes from all routers together.

use base_types::{TimePoint, key_types};

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

impl Default for NamedLimit {
    fn default() -> Self {
        Self { rate: None, named_at: TimePoint(0) }
    }
}

impl NamedLimit {
    /// Takes over a later statement of the target; returns whether the limit changed.
    pub fn update(&mut self, statement: Self) -> bool {
        if statement.named_at < self.named_at {
            return false;
        }
        let is_changed = statement.rate != self.rate;
        *self = statement;
        is_changed
    }
}
