//! Calls that a fragile target is sent at once.
//!
//! Answers a load above what a pool can do whose targets fail when they reject too many calls in a second. A
//! target that runs no more calls than it has slots rejects none; where it takes fewer than that, the number
//! is learned from its rejections by additive increase and a decrease to what it held.
//!
//! Invariant: in any second, calls are sent until half of the rejections that the target bears were seen;
//! what is in flight then is at most what the target held at its last rejection.

use std::{collections::VecDeque, time::Duration};

use base_types::TimePoint;

use crate::RejectionLimit;

/// Time in which a target counts its rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// Time without a rejection after which a target is sent one more call at once.
const GROWTH_INTERVAL: Duration = Duration::from_secs(1);

/// Largest number of calls that a target is sent at once, whatever number of slots its entry states.
const PLACES_MAX: u32 = 4_096;

/// Rejections that are remembered; more have the same effect.
const REJECTIONS_MAX: usize = 256;

/// Number of calls that a target takes at once, as far as known.
#[derive(Debug, Default)]
pub struct PlaceLimit {
    learned: Option<LearnedPlaces>,
    /// When rejections leave the window, the earliest first.
    rejections: VecDeque<TimePoint>,
}

#[derive(Debug, Clone, Copy)]
struct LearnedPlaces {
    places: u32,
    /// From this time on, the number grows.
    grows_from: TimePoint,
}

impl PlaceLimit {
    /// Calls that may be in flight at a target now.
    pub fn places(&self, now: TimePoint, slots: u32, bearable: RejectionLimit) -> u32 {
        let recent = self.rejections.iter().filter(|end| !end.passed(now)).count() as u32;
        if recent > bearable.0 / 2 { 0 } else { self.learned_places(now, slots) }
    }

    /// Calls that the target takes at once as far as known, also while it is sent none.
    fn learned_places(&self, now: TimePoint, slots: u32) -> u32 {
        let slots = slots.clamp(1, PLACES_MAX);
        let Some(LearnedPlaces { places, grows_from }) = self.learned else { return slots };
        let growth = now.since(grows_from).as_micros() / GROWTH_INTERVAL.as_micros();
        places.saturating_add(u32::try_from(growth).unwrap_or(u32::MAX)).min(slots)
    }

    /// Records that the target rejected a call while it held `held` others.
    pub fn on_rejected(&mut self, now: TimePoint, held: u32, slots: u32) {
        let places = self.learned_places(now, slots).min(held).max(1);
        self.learned = Some(LearnedPlaces { places, grows_from: now });
        self.rejections.retain(|end| !end.passed(now));
        if self.rejections.len() < REJECTIONS_MAX {
            self.rejections.push_back(now.after(REJECTION_WINDOW));
        }
    }
}
