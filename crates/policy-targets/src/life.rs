//! The states of a target and what leads from one to the next.

use std::time::Duration;

use base_types::{TimePoint, key_types};

const SLOW_START: Duration = Duration::from_secs(10);
const HOLD_FIRST: Duration = Duration::from_secs(1);
const HOLD_MAX: Duration = Duration::from_secs(16);
const CALM_AFTER: Duration = Duration::from_secs(120);

/// How long a target's own word that it leaves counts against a list that still calls it live.
const LEAVING_TRUST: Duration = Duration::from_secs(60);

const PERCENT_MIN: u32 = 10;
const PERCENT_FULL: u32 = 100;

key_types! {
    /// State of a target.
    pub enum TargetPhase {
        /// The target joined or came back and is given more and more work until a point in time.
        Starting(TimePoint),
        /// The target takes its whole share.
        Serving,
        /// The target failed and is given nothing until a point in time.
        Held(TimePoint),
        /// The target leaves and is given nothing until a point in time.
        Leaving(TimePoint),
        /// An operator drains the target.
        Drained,
        /// The platform does not list the target.
        Unlisted,
    }

    /// What the platform's list and the target itself say.
    enum TargetListing {
        /// The target stays.
        Live,
        /// The target leaves; a list that calls it live counts again from a point in time.
        Leaving(TimePoint),
        /// The platform does not list the target.
        Unlisted,
    }

    /// Life of a target.
    pub struct TargetLife {
        listing: TargetListing,
        drained: bool,
        held_until: TimePoint,
        full_at: TimePoint,
        flaps: u32,
        calm_at: TimePoint,
    }
}

impl TargetLife {
    /// A target of the first list that a starting router reads; it is not new to the fleet.
    pub fn serving() -> Self {
        Self {
            listing: TargetListing::Live,
            drained: false,
            held_until: TimePoint(0),
            full_at: TimePoint(0),
            flaps: 0,
            calm_at: TimePoint(0),
        }
    }

    /// A target that joins.
    pub fn joining(now: TimePoint) -> Self {
        Self { full_at: now.after(SLOW_START), ..Self::serving() }
    }

    /// The state now.
    pub fn phase(&self, now: TimePoint) -> TargetPhase {
        match self.listing {
            TargetListing::Unlisted => TargetPhase::Unlisted,
            TargetListing::Leaving(until) => TargetPhase::Leaving(until),
            TargetListing::Live if self.drained => TargetPhase::Drained,
            TargetListing::Live if !self.held_until.passed(now) => {
                TargetPhase::Held(self.held_until)
            }
            TargetListing::Live if !self.full_at.passed(now) => TargetPhase::Starting(self.full_at),
            TargetListing::Live => TargetPhase::Serving,
        }
    }

    /// Part of its usual work that the target is given now, in percent; zero is nothing.
    pub fn percent(&self, now: TimePoint) -> u32 {
        match self.phase(now) {
            TargetPhase::Serving => PERCENT_FULL,
            TargetPhase::Starting(full) => starting_percent(full, now),
            _ => 0,
        }
    }

    /// Whether no failure counts against the target.
    pub fn is_calm(&self, now: TimePoint) -> bool {
        self.calm_at.passed(now)
    }

    /// The platform lists the target as live.
    pub fn on_live(&mut self, now: TimePoint) {
        let back = match self.listing {
            TargetListing::Live => false,
            TargetListing::Leaving(until) => until.passed(now),
            TargetListing::Unlisted => true,
        };
        if back {
            self.listing = TargetListing::Live;
            self.full_at = now.max(self.held_until).after(SLOW_START);
        }
    }

    /// The platform lists the target as leaving; that holds until the list says otherwise.
    pub fn on_leaving_listed(&mut self, now: TimePoint) {
        self.leave_until(now);
    }

    /// The target itself said that it leaves.
    pub fn on_leaving_said(&mut self, now: TimePoint) {
        if self.listing != TargetListing::Unlisted {
            self.leave_until(now.after(LEAVING_TRUST));
        }
    }

    /// The platform no longer lists the target; that is a flap if it comes back soon.
    pub fn on_unlisted(&mut self, now: TimePoint) {
        if self.listing == TargetListing::Live {
            self.on_failure(now);
        }
        self.listing = TargetListing::Unlisted;
    }

    /// An operator drains the target, or ends its drain.
    pub fn on_drain(&mut self, drained: bool) {
        self.drained = drained;
    }

    /// The target refused a connection or lost a request; requests lost together count once.
    ///
    /// Each failure within the calm time doubles the hold.
    pub fn on_failure(&mut self, now: TimePoint) {
        if !self.held_until.passed(now) {
            return;
        }
        if self.calm_at.passed(now) {
            self.flaps = 0;
        }
        let hold = HOLD_FIRST.saturating_mul(1 << self.flaps.min(8)).min(HOLD_MAX);
        self.flaps += 1;
        self.held_until = now.after(hold);
        self.full_at = self.held_until.after(SLOW_START);
        self.calm_at = self.held_until.after(CALM_AFTER);
    }

    fn leave_until(&mut self, until: TimePoint) {
        let former = match self.listing {
            TargetListing::Leaving(former) => former,
            _ => TimePoint(0),
        };
        self.listing = TargetListing::Leaving(former.max(until));
    }
}

fn starting_percent(full: TimePoint, now: TimePoint) -> u32 {
    let left = full.since(now).as_micros();
    let whole = SLOW_START.as_micros();
    let done = whole.saturating_sub(left) * u128::from(PERCENT_FULL - PERCENT_MIN) / whole;
    PERCENT_MIN + done as u32
}
