//! How fast a target works relative to its pool, and how many calls it takes at once without slowing
//! down.
//!
//! Load pattern: targets of one pool differ in speed, slow down long before they are full, or share a
//! machine with other work and are slow for half a second at a time. Invariant: a slowdown lies between
//! 0.5 and 8 and a concurrency between a quarter of the slots and all of them; both move at a bounded
//! rate and return to 1 and to all slots when nothing is heard of the target.
//!
//! The slowdown is the mean of what this router measured, what other routers report and the target's own
//! report of work beside its calls, each weighted by how recent it is. The concurrency follows the
//! gradient between usual and current time, as congestion windows do (Brakmo, O'Malley and Peterson,
//! 1994), with additive increase (Chiu and Jain, 1989).

use std::time::Duration;

use base_types::{TimePoint, key_types, message_types};

use crate::pace::{PoolPace, WorkKind, WorkSample};

/// Smallest and largest slowdown.
const SLOWDOWN_MIN: f64 = 0.5;
const SLOWDOWN_MAX: f64 = 8.0;

/// Time in which a measurement loses half of its weight. With 250 ms, noise of 600 ms is followed too
/// late to be of use.
const HALF_LIFE: Duration = Duration::from_millis(150);

/// Weight of the assumption that a target works at the speed of its pool. It is small against one
/// sample, and outweighs what has not been renewed for about a second.
const PRIOR_WEIGHT: f64 = 0.05;

/// Largest weight of one sample in the measured level, so that one call never sets it alone.
const SAMPLE_SHARE_MAX: f64 = 0.5;

/// Largest difference, as a logarithm, from the measured level that a sample counts with.
const SAMPLE_REACH: f64 = 1.0;

/// Weight of a pause between events against a whole call or a first event; streams have many.
const PAUSE_WEIGHT: f64 = 0.5;

/// Weight of a call that is not answered yet.
const OVERDUE_WEIGHT: f64 = 0.5;

/// A call without an answer counts once it has taken this multiple of the predicted time.
const OVERDUE_RATIO: f64 = 2.0;

/// Time for which the report of other work on a target's machine counts; it changes several times a
/// second.
const HINT_TTL: Duration = Duration::from_millis(500);

/// Time constant of the filter over such reports.
const HINT_FILTER_TIME: Duration = Duration::from_millis(100);

/// Weight of the filtered report, in samples. A router has few samples of a target within half a
/// second; where it has many, they decide.
const HINT_WEIGHT: f64 = 2.0;

/// Deviations below this, as a logarithm, count as none, so that measurement noise changes no choice;
/// from twice as much on they count fully.
const DEAD_BAND: f64 = 0.3;

/// Largest change of the logarithm of the slowdown per second; a factor of five takes 0.2 s.
const CHANGE_PER_SECOND: f64 = 8.0;

/// Longest time that a bound on a change accumulates over.
const STEP_TIME_MAX: Duration = Duration::from_millis(250);

/// Slowdown from which the concurrency falls.
const COMFORTABLE_SLOWDOWN: f64 = 1.3;

/// Smallest and largest gradient, the comfortable slowdown over the current one.
const GRADIENT_MIN: f64 = 0.4;
const GRADIENT_MAX: f64 = 1.2;

/// Rate per second at which the concurrency follows the gradient: from all slots to a quarter of them in
/// 2.3 s at the smallest gradient. Slowness that lasts for half a second hardly changes it.
const GRADIENT_GAIN: f64 = 1.0;

/// Share of the slots that the concurrency gains per second while the target is not slow.
const ADDITIVE_INCREASE: f64 = 0.6;

/// Smallest share of the slots.
const SLOTS_SHARE_MIN: f64 = 0.25;

/// Other routers whose last report on a target is kept. Their median counts, so one of them cannot set
/// it where three report.
const PEERS_MAX: usize = 8;

/// Time for which such a report counts; a router reports on each target with samples every second or
/// two.
const PEER_TTL: Duration = Duration::from_secs(1);

/// Weight of the median of such reports per router, and the largest in total.
const PEER_WEIGHT: f64 = 0.5;
const PEERS_WEIGHT_MAX: f64 = 3.0;

/// Largest deviation, as a logarithm, that a single other router is believed without a second one.
const LONE_PEER_REACH: f64 = std::f64::consts::LN_2;

/// Time after the last measurement for which a level counts in the pool's median.
const LEVEL_TTL: Duration = Duration::from_secs(5);

/// Change of the slowdown, in percent of the usual time, that is reported at once.
const REPORTED_CHANGE_MIN: u16 = 10;

/// Time after which a smaller change is reported too, within the time for which a report counts.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Usual duration of work on a machine, in the unit of [`LoadReport::work_percent`].
const USUAL_WORK_PERCENT: u32 = 100;

key_types! {
    /// What a target reports of its load in a response.
    pub struct LoadReport {
        /// Calls running.
        pub running: u32,
        /// Calls waiting for a slot.
        pub waiting: u32,
        /// Calls that it can run at once.
        pub slots: u32,
        /// Current duration of work on the target's machine in percent of the usual one; absent on
        /// machines that are not shared.
        pub work_percent: Option<u32>,
    }

    /// Speed of a target as another router reports it.
    pub struct PeerSpeed {
        /// Hash of the router's name.
        pub router_hash: u64,
        /// Time that work takes, in percent of the pool's median.
        pub slowdown_percent: u16,
        /// Samples behind it.
        pub samples: u16,
    }
}

message_types! {
    /// Speed of a target.
    #[derive(Copy)]
    pub struct SpeedEstimate {
        /// Time that work takes on the target as a multiple of the pool's median, 0.5 to 8.
        pub slowdown: f64,
        /// Calls that the target takes at once without slowing down.
        pub concurrency: u32,
    }
}

impl SpeedEstimate {
    /// The estimate of a target of which nothing is known.
    pub fn default_of(slots: u32) -> Self {
        Self { slowdown: 1.0, concurrency: slots }
    }
}

/// A level with the weight of the samples behind it.
#[derive(Debug, Clone, Copy)]
struct WeightedLevel {
    level: f64,
    weight: f64,
    updated_at: TimePoint,
}

impl WeightedLevel {
    const NONE: Self = Self { level: 0.0, weight: 0.0, updated_at: TimePoint(0) };

    fn weight_at(&self, now: TimePoint) -> f64 {
        self.weight * decay(now.since(self.updated_at))
    }

    fn add(&mut self, now: TimePoint, level: f64, weight: f64) {
        let sum = self.weight_at(now) + weight;
        let share = (weight / sum).min(SAMPLE_SHARE_MAX);
        let reach = (level - self.level).clamp(-SAMPLE_REACH, SAMPLE_REACH);
        self.level += share * reach;
        self.weight = sum;
        self.updated_at = now;
    }
}

/// A slowdown as it is read, until the next input.
#[derive(Debug, Clone, Copy)]
struct PublishedLevel {
    level: f64,
    /// Weight of the samples behind it when it was published.
    weight: f64,
}

impl PublishedLevel {
    const NONE: Self = Self { level: 0.0, weight: 0.0 };

    fn approach(&mut self, level: f64, weight: f64, step_max: f64) {
        self.level += (level - self.level).clamp(-step_max, step_max);
        self.weight = weight;
    }
}

#[derive(Debug, Clone, Copy)]
struct PeerLevel {
    router_hash: u64,
    level: f64,
    expires_at: TimePoint,
}

/// What one router knows of the speed of one target.
#[derive(Debug, Clone)]
pub struct TargetSpeed {
    measured: WeightedLevel,
    /// Whether anything was measured lately, so that the level counts in the pool's median.
    is_measured: bool,
    peers: WeightedLevel,
    peer_levels: Vec<PeerLevel>,
    hint_level: f64,
    hint_at: TimePoint,
    hint_until: TimePoint,
    /// The slowdown with the hint, which is read until `hint_until`.
    hinted: PublishedLevel,
    unhinted: PublishedLevel,
    updated_at: TimePoint,
    /// Concurrency as a share of the slots.
    slots_share: f64,
    /// Samples that were not reported to other routers.
    unreported_samples: u16,
    /// Slowdown that was last reported.
    reported_percent: u16,
    /// Earliest time of the next report without a change.
    next_report_at: TimePoint,
}

impl Default for TargetSpeed {
    fn default() -> Self {
        Self {
            measured: WeightedLevel::NONE,
            is_measured: false,
            peers: WeightedLevel::NONE,
            peer_levels: Vec::new(),
            hint_level: 0.0,
            hint_at: TimePoint(0),
            hint_until: TimePoint(0),
            hinted: PublishedLevel::NONE,
            unhinted: PublishedLevel::NONE,
            updated_at: TimePoint(0),
            slots_share: 1.0,
            unreported_samples: 0,
            reported_percent: USUAL_WORK_PERCENT as u16,
            next_report_at: TimePoint(0),
        }
    }
}

impl TargetSpeed {
    /// Records work that the target finished for this router.
    pub fn on_work(&mut self, now: TimePoint, pace: &mut PoolPace, sample: &WorkSample) {
        let deviation = pace.deviation(sample);
        pace.learn(sample, self.level());
        let weight = if sample.kind == WorkKind::EventPause { PAUSE_WEIGHT } else { 1.0 };
        if let Some(deviation) = deviation {
            self.add_measurement(now, pace, deviation, weight);
        }
    }

    /// Records work that the target has not finished yet; it counts once it takes much longer than
    /// predicted.
    pub fn on_overdue(&mut self, now: TimePoint, pace: &mut PoolPace, sample: &WorkSample) {
        let limit = OVERDUE_RATIO.ln() + pace.median_level();
        if let Some(deviation) = pace.deviation(sample).filter(|deviation| *deviation > limit) {
            self.add_measurement(now, pace, deviation, OVERDUE_WEIGHT);
        }
    }

    fn add_measurement(
        &mut self,
        now: TimePoint,
        pace: &mut PoolPace,
        deviation: f64,
        weight: f64,
    ) {
        let previous = self.level();
        // Levels beyond the bounds of the slowdown would only take longer to return from.
        let median = pace.median_level();
        let level = deviation.clamp(median + SLOWDOWN_MIN.ln(), median + SLOWDOWN_MAX.ln());
        self.measured.add(now, level, weight);
        self.is_measured = true;
        pace.move_level(previous, self.level());
        self.unreported_samples = self.unreported_samples.saturating_add(1);
        self.publish(now, pace);
    }

    /// Records the target's report of work beside its calls; ignored where it reports none. A target
    /// can only make itself look slower: a report below the usual duration counts as usual.
    pub fn on_report(&mut self, now: TimePoint, pace: &PoolPace, report: &LoadReport) {
        let Some(percent) = report.work_percent else { return };
        let ratio = f64::from(percent.max(USUAL_WORK_PERCENT)) / f64::from(USUAL_WORK_PERCENT);
        let level = ratio.min(SLOWDOWN_MAX).ln();
        let kept = (-now.since(self.hint_at).as_secs_f64() / HINT_FILTER_TIME.as_secs_f64()).exp();
        self.hint_level = if self.hint_until.passed(now) {
            level
        } else {
            level + kept * (self.hint_level - level)
        };
        self.hint_at = now;
        self.hint_until = now.after(HINT_TTL);
        self.unreported_samples = self.unreported_samples.saturating_add(1);
        self.publish(now, pace);
    }

    /// Records the report of another router.
    pub fn on_peer(&mut self, now: TimePoint, pace: &PoolPace, speed: &PeerSpeed) {
        if speed.samples == 0 {
            return;
        }
        let level = PeerLevel {
            router_hash: speed.router_hash,
            level: level_of_percent(speed.slowdown_percent),
            expires_at: now.after(PEER_TTL),
        };
        self.peer_levels
            .retain(|peer| peer.router_hash != level.router_hash && !peer.expires_at.passed(now));
        if self.peer_levels.len() >= PEERS_MAX {
            self.peer_levels.remove(0);
        }
        self.peer_levels.push(level);
        let mut levels: Vec<f64> = self.peer_levels.iter().map(|peer| peer.level).collect();
        levels.sort_by(f64::total_cmp);
        let median = (levels[(levels.len() - 1) / 2] + levels[levels.len() / 2]) / 2.0;
        let median = match levels.len() {
            1 => median.clamp(-LONE_PEER_REACH, LONE_PEER_REACH),
            // Of two that differ, either may be wrong: the one closer to the pool's speed counts.
            2 => {
                levels.iter().copied().min_by(|a, b| a.abs().total_cmp(&b.abs())).unwrap_or(median)
            }
            _ => median,
        };
        let weight = (PEER_WEIGHT * levels.len() as f64).min(PEERS_WEIGHT_MAX);
        self.peers = WeightedLevel { level: median, weight, updated_at: now };
        self.publish(now, pace);
    }

    /// Takes over the estimate of another router for a target of which nothing is known here. It counts
    /// as one report of a single router.
    pub fn restore(&mut self, now: TimePoint, slowdown_percent: u16, slots_share: f64) {
        if self.is_measured || self.updated_at != TimePoint(0) {
            return;
        }
        let level = level_of_percent(slowdown_percent);
        self.peers = WeightedLevel { level, weight: 1.0, updated_at: now };
        self.hinted = PublishedLevel { level, weight: 1.0 };
        self.unhinted = self.hinted;
        self.slots_share = slots_share.clamp(SLOTS_SHARE_MIN, 1.0);
        self.updated_at = now;
    }

    /// Level that counts in the pool's median; `None` without a recent measurement.
    pub fn level(&self) -> Option<f64> {
        self.is_measured.then_some(self.measured.level)
    }

    /// Drops a level that was not measured recently from the pool's median.
    pub fn expire_level(&mut self, now: TimePoint) {
        self.is_measured &= !self.measured.updated_at.after(LEVEL_TTL).passed(now);
    }

    /// The current estimate of a target with this number of slots.
    pub fn estimate(&self, now: TimePoint, slots: u32) -> SpeedEstimate {
        let is_hinted = !self.hint_until.passed(now);
        let published = if is_hinted { self.hinted } else { self.unhinted };
        if published.level == 0.0 && self.slots_share >= 1.0 {
            return SpeedEstimate::default_of(slots);
        }
        let left = published.weight * decay(now.since(self.updated_at));
        let share = |weight: f64| weight / (weight + PRIOR_WEIGHT);
        let fading = share(left) / share(published.weight).max(f64::MIN_POSITIVE);
        let slowdown = (published.level * fading).exp().clamp(SLOWDOWN_MIN, SLOWDOWN_MAX);
        let slots_share = 1.0 - (1.0 - self.slots_share) * fading;
        let concurrency = (f64::from(slots) * slots_share).round() as u32;
        SpeedEstimate { slowdown, concurrency: concurrency.clamp(least_concurrency(slots), slots) }
    }

    /// By how many percent the slowdown differs from the last report; `None` if no report is due.
    pub fn unreported_change(&self, now: TimePoint, pace: &PoolPace) -> Option<u16> {
        if self.unreported_samples == 0 {
            return None;
        }
        let change = self.own_percent(now, pace).abs_diff(self.reported_percent);
        (change >= REPORTED_CHANGE_MIN || self.next_report_at.passed(now)).then_some(change)
    }

    /// Takes what this router measured itself since the last report: the slowdown in percent and the
    /// number of samples.
    pub fn take_report(&mut self, now: TimePoint, pace: &PoolPace) -> (u16, u16) {
        self.reported_percent = self.own_percent(now, pace);
        self.next_report_at = now.after(REPORT_INTERVAL);
        (self.reported_percent, std::mem::take(&mut self.unreported_samples))
    }

    /// The slowdown without what other routers report, so that no report returns to its origin.
    fn own_percent(&self, now: TimePoint, pace: &PoolPace) -> u16 {
        let (level, _) = self.mean(now, pace, &WeightedLevel::NONE, true);
        (level.exp().clamp(SLOWDOWN_MIN, SLOWDOWN_MAX) * 100.0).round() as u16
    }

    /// Mean of the sources relative to the pool's median, and their weight.
    fn mean(
        &self,
        now: TimePoint,
        pace: &PoolPace,
        peers: &WeightedLevel,
        with_hint: bool,
    ) -> (f64, f64) {
        let measured_weight = self.measured.weight_at(now);
        let peers_weight = peers.weight_at(now);
        let has_hint = with_hint && !self.hint_until.passed(now);
        let hint_weight = if has_hint { HINT_WEIGHT } else { 0.0 };
        let weight = measured_weight + peers_weight + hint_weight;
        let sum = measured_weight * (self.measured.level - pace.median_level())
            + peers_weight * peers.level
            + hint_weight * self.hint_level;
        (sum / (weight + PRIOR_WEIGHT), weight)
    }

    fn publish(&mut self, now: TimePoint, pace: &PoolPace) {
        let elapsed = now.since(self.updated_at).min(STEP_TIME_MAX).as_secs_f64();
        let step_max = CHANGE_PER_SECOND * elapsed;
        let in_bounds = |level: f64| {
            let excess = (level.abs() - DEAD_BAND).max(0.0);
            let level = level.signum() * level.abs().min(2.0 * excess);
            level.clamp(SLOWDOWN_MIN.ln(), SLOWDOWN_MAX.ln())
        };
        let (level, weight) = self.mean(now, pace, &self.peers, true);
        self.hinted.approach(in_bounds(level), weight, step_max);
        let (level, weight) = self.mean(now, pace, &self.peers, false);
        self.unhinted.approach(in_bounds(level), weight, step_max);
        let slowdown = self.hinted.level.exp();
        let gradient = (COMFORTABLE_SLOWDOWN / slowdown).clamp(GRADIENT_MIN, GRADIENT_MAX);
        let increase = if gradient > 1.0 { ADDITIVE_INCREASE } else { 0.0 };
        let change = GRADIENT_GAIN * self.slots_share * (gradient - 1.0) + increase;
        self.slots_share = (self.slots_share + change * elapsed).clamp(SLOTS_SHARE_MIN, 1.0);
        self.updated_at = now;
    }
}

fn least_concurrency(slots: u32) -> u32 {
    ((f64::from(slots) * SLOTS_SHARE_MIN).ceil() as u32).max(1).min(slots)
}

fn level_of_percent(percent: u16) -> f64 {
    (f64::from(percent) / 100.0).clamp(SLOWDOWN_MIN, SLOWDOWN_MAX).ln()
}

/// Remaining weight after a time.
fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}
