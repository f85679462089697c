//! Class of a router's load, by which it is named to fewer callers.
//!
//! Load pattern: a router slows down when its share of callers is above what it can carry. The callers
//! that are moved away lower its load, which must not bring them back at once.
//!
//! Invariant: a class is left only when the load would stay well below the threshold of that class with
//! the callers that then return, and never sooner than some seconds after the last change. The router
//! itself decides its class and reports it, so that all routers give a caller the same answer.

use std::time::Duration;

use base_types::{TimePoint, key_types};

/// Load in percent from which a router is busy, and from which it is full.
const BUSY_PERCENT: u16 = 75;
const FULL_PERCENT: u16 = 90;

/// A class is left when the load expected afterwards is below this ratio of the class's threshold.
const LEAVE_RATIO: f64 = 0.8;

/// Time constant of the moving average of the load. Calls last some seconds.
const LOAD_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Largest load in percent that one observation counts with, so that a single pause of the process
/// does not change the class.
const OBSERVED_PERCENT_MAX: f64 = 200.0;

/// Shortest time from a change of the class to the next rise: callers ask again after a second, and
/// the average follows within some seconds.
const RISE_PAUSE: Duration = Duration::from_secs(5);

/// Shortest time from a change of the class to the next fall.
const FALL_PAUSE: Duration = Duration::from_secs(20);

/// Shortest time between two changes of a peer's class that are taken over. Routers that follow the
/// rules above never wait for it.
const PEER_CHANGE_PAUSE: Duration = Duration::from_secs(4);

key_types! {
    /// Class of a router's load.
    #[derive(Default)]
    pub enum LoadClass {
        /// The router has room.
        #[default]
        Normal,
        /// The router is near its limit.
        Busy,
        /// The router is at its limit.
        Full,
    }
}

impl LoadClass {
    /// Class that a reported load in percent stands for.
    pub fn of_report(load_percent: u16) -> Self {
        match load_percent {
            FULL_PERCENT.. => Self::Full,
            BUSY_PERCENT.. => Self::Busy,
            _ => Self::Normal,
        }
    }

    /// Name of the class in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Busy => "busy",
            Self::Full => "full",
        }
    }

    /// Factor by which the class reduces the router's weight.
    pub(crate) fn weight_ratio(self) -> f64 {
        match self {
            Self::Normal => 1.0,
            Self::Busy => 0.6,
            Self::Full => 0.3,
        }
    }

    fn lower(self) -> Self {
        match self {
            Self::Normal | Self::Busy => Self::Normal,
            Self::Full => Self::Busy,
        }
    }

    fn higher(self) -> Self {
        match self {
            Self::Normal => Self::Busy,
            Self::Busy | Self::Full => Self::Full,
        }
    }

    /// Smallest load in percent of the class.
    fn enter_percent(self) -> u16 {
        match self {
            Self::Normal => 0,
            Self::Busy => BUSY_PERCENT,
            Self::Full => FULL_PERCENT,
        }
    }

    /// Load in percent below which the class is left for the lower one.
    fn leave_percent(self) -> f64 {
        let callers_ratio = self.weight_ratio() / self.lower().weight_ratio();
        f64::from(self.enter_percent()) * LEAVE_RATIO * callers_ratio
    }
}

/// Average load of this router, and its class.
#[derive(Debug, Clone, Copy)]
pub struct LoadTracker {
    average_percent: f64,
    class: LoadClass,
    observed_at: Option<TimePoint>,
    rise_from: TimePoint,
    fall_from: TimePoint,
}

impl Default for LoadTracker {
    fn default() -> Self {
        Self {
            average_percent: 0.0,
            class: LoadClass::Normal,
            observed_at: None,
            rise_from: TimePoint(0),
            fall_from: TimePoint(0),
        }
    }
}

impl LoadTracker {
    /// Adds an observation of the load in percent; returns the new class if it changed.
    pub fn observe(&mut self, now: TimePoint, percent: f64) -> Option<LoadClass> {
        let percent = percent.clamp(0.0, OBSERVED_PERCENT_MAX);
        let elapsed = self.observed_at.map_or(Duration::ZERO, |last| now.since(last));
        let elapsed = elapsed.min(LOAD_TIME_CONSTANT).as_secs_f64();
        let decay = (-elapsed / LOAD_TIME_CONSTANT.as_secs_f64()).exp();
        self.average_percent = self.average_percent * decay + percent * (1.0 - decay);
        self.observed_at = Some(now);
        let higher = self.class.higher();
        let class = if self.average_percent >= f64::from(higher.enter_percent())
            && self.rise_from.passed(now)
        {
            higher
        } else if self.average_percent < self.class.leave_percent() && self.fall_from.passed(now) {
            self.class.lower()
        } else {
            self.class
        };
        if class == self.class {
            return None;
        }
        self.class = class;
        self.rise_from = now.after(RISE_PAUSE);
        self.fall_from = now.after(FALL_PAUSE);
        Some(class)
    }

    /// The current class.
    pub fn class(&self) -> LoadClass {
        self.class
    }

    /// Load in percent to report, moved to where [`LoadClass::of_report`] gives the current class.
    pub fn reported_percent(&self) -> u16 {
        let highest = match self.class {
            LoadClass::Full => u16::MAX,
            class => class.higher().enter_percent() - 1,
        };
        (self.average_percent as u16).clamp(self.class.enter_percent(), highest)
    }
}

/// Load class of another router, with a bound on how often it changes.
#[derive(Debug, Clone, Copy)]
pub struct PeerClass {
    class: LoadClass,
    change_from: TimePoint,
}

impl PeerClass {
    /// Takes over the first report of a router.
    pub fn first(now: TimePoint, load_percent: u16) -> Self {
        let class = LoadClass::of_report(load_percent);
        Self { class, change_from: now.after(PEER_CHANGE_PAUSE) }
    }

    /// Takes over a later report, unless the class changed shortly before.
    pub fn update(&mut self, now: TimePoint, load_percent: u16) {
        let class = LoadClass::of_report(load_percent);
        if class != self.class && self.change_from.passed(now) {
            *self = Self::first(now, load_percent);
        }
    }

    /// The current class.
    pub fn class(&self) -> LoadClass {
        self.class
    }
}
