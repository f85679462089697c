//! Phases of a target and the events that move a target between them.

use std::time::Duration;

use base_types::{TimePoint, key_types};

/// Time over which a new or returning target ramps up to all of its usual work.
const SLOW_START_DURATION: Duration = Duration::from_secs(10);

/// Ejection after a first failure.
const EJECTION_MIN: Duration = Duration::from_secs(1);

/// Longest ejection, however many failures precede it.
const EJECTION_MAX: Duration = Duration::from_secs(16);

/// Time without a failure, counted from the end of an ejection, after which the ejection backoff
/// starts again at `EJECTION_MIN`.
const STABLE_AFTER: Duration = Duration::from_secs(120);

/// Time during which a target's own report that it leaves overrides a host list, possibly stale,
/// that still names it as live.
const LEAVING_REPORT_TTL: Duration = Duration::from_secs(60);

/// Percentage of its usual work that a target gets at the start of slow start.
const SLOW_START_PERCENT_MIN: u32 = 10;

const PERCENT_FULL: u32 = 100;

key_types! {
    /// Lifecycle phase of a target, which decides whether it gets new work.
    pub enum TargetPhase {
        /// Slow start: the target joined or returned and ramps up to all of its usual work at this
        /// time.
        Starting(TimePoint),
        /// The target gets all of its usual work.
        Serving,
        /// The target failed and is ejected, without new work, until this time. The status page
        /// shows the variant name `Held`.
        Held(TimePoint),
        /// The target is leaving and gets no new work; until this time, a host list that names it
        /// as live is ignored.
        Leaving(TimePoint),
        /// An operator drains the target; it gets no new work.
        Drained,
        /// The host list does not name the target.
        Unlisted,
    }

    /// Listing of the target by the host list and the target's own reports.
    enum TargetListing {
        /// Listed as live, without a valid report that it leaves.
        Live,
        /// Leaving; until this time, a host list that names the target as live is ignored.
        Leaving(TimePoint),
        /// The host list does not name the target.
        Unlisted,
    }

    /// Lifecycle state of one target, as one router sees it.
    pub struct TargetLifecycle {
        listing: TargetListing,
        drained: bool,
        ejected_until: TimePoint,
        slow_start_until: TimePoint,
        ejection_count: u32,
        stable_at: TimePoint,
    }
}

impl TargetLifecycle {
    /// A target on the first list that a starting router reads, which is not new to the fleet and
    /// skips slow start.
    pub fn serving() -> Self {
        Self {
            listing: TargetListing::Live,
            drained: false,
            ejected_until: TimePoint(0),
            slow_start_until: TimePoint(0),
            ejection_count: 0,
            stable_at: TimePoint(0),
        }
    }

    /// A target that joins the fleet, which begins with slow start.
    pub fn joining(now: TimePoint) -> Self {
        Self { slow_start_until: now.after(SLOW_START_DURATION), ..Self::serving() }
    }

    /// The phase now. Listing outranks a drain, a drain outranks an ejection.
    pub fn phase(&self, now: TimePoint) -> TargetPhase {
        match self.listing {
            TargetListing::Unlisted => TargetPhase::Unlisted,
            TargetListing::Leaving(until) => TargetPhase::Leaving(until),
            TargetListing::Live if self.drained => TargetPhase::Drained,
            TargetListing::Live if !self.ejected_until.passed(now) => {
                TargetPhase::Held(self.ejected_until)
            }
            TargetListing::Live if !self.slow_start_until.passed(now) => {
                TargetPhase::Starting(self.slow_start_until)
            }
            TargetListing::Live => TargetPhase::Serving,
        }
    }

    /// Percentage of its usual work that the target gets now; 0 means no new work.
    pub fn work_percent(&self, now: TimePoint) -> u32 {
        match self.phase(now) {
            TargetPhase::Serving => PERCENT_FULL,
            TargetPhase::Starting(until) => slow_start_percent(until, now),
            _ => 0,
        }
    }

    /// Whether the target has no failure recent enough to lengthen its next ejection.
    pub fn is_stable(&self, now: TimePoint) -> bool {
        self.stable_at.passed(now)
    }

    /// The host list names the target as live; a leaving report that is still valid overrides this.
    pub fn on_live(&mut self, now: TimePoint) {
        let is_relisted = match self.listing {
            TargetListing::Live => false,
            TargetListing::Leaving(until) => until.passed(now),
            TargetListing::Unlisted => true,
        };
        if is_relisted {
            self.listing = TargetListing::Live;
            self.slow_start_until = now.max(self.ejected_until).after(SLOW_START_DURATION);
        }
    }

    /// The host list names the target as leaving, which lasts until a list names it as live.
    pub fn on_leaving_listed(&mut self, now: TimePoint) {
        self.mark_leaving_until(now);
    }

    /// The target itself reported that it is leaving.
    pub fn on_leaving_reported(&mut self, now: TimePoint) {
        if self.listing != TargetListing::Unlisted {
            self.mark_leaving_until(now.after(LEAVING_REPORT_TTL));
        }
    }

    /// The host list no longer names the target. For a live target this counts as a failure, so that
    /// a target that flaps on and off the list is ejected with backoff.
    pub fn on_unlisted(&mut self, now: TimePoint) {
        if self.listing == TargetListing::Live {
            self.on_failure(now);
        }
        self.listing = TargetListing::Unlisted;
    }

    /// Sets or clears an operator's drain.
    pub fn on_drain(&mut self, drained: bool) {
        self.drained = drained;
    }

    /// The target refused a connection, lost a request or left the host list. Failures during an
    /// ejection are ignored, so that requests lost together count once.
    ///
    /// A failure within `STABLE_AFTER` of the end of the previous ejection ejects for twice as long
    /// as that one, up to `EJECTION_MAX`.
    pub fn on_failure(&mut self, now: TimePoint) {
        if !self.ejected_until.passed(now) {
            return;
        }
        if self.stable_at.passed(now) {
            self.ejection_count = 0;
        }
        let ejection =
            EJECTION_MIN.saturating_mul(1 << self.ejection_count.min(8)).min(EJECTION_MAX);
        self.ejection_count += 1;
        self.ejected_until = now.after(ejection);
        self.slow_start_until = self.ejected_until.after(SLOW_START_DURATION);
        self.stable_at = self.ejected_until.after(STABLE_AFTER);
    }

    fn mark_leaving_until(&mut self, until: TimePoint) {
        let previous = match self.listing {
            TargetListing::Leaving(previous) => previous,
            _ => TimePoint(0),
        };
        self.listing = TargetListing::Leaving(previous.max(until));
    }
}

fn slow_start_percent(slow_start_until: TimePoint, now: TimePoint) -> u32 {
    let remaining = slow_start_until.since(now).as_micros();
    let total = SLOW_START_DURATION.as_micros();
    let gained =
        total.saturating_sub(remaining) * u128::from(PERCENT_FULL - SLOW_START_PERCENT_MIN) / total;
    SLOW_START_PERCENT_MIN + gained as u32
}
