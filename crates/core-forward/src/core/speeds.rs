//! Learned speed of targets: what this router measures, and what routers tell each other.
//!
//! Nothing is measured, sent or used while the router does not adapt to speeds.

use std::{collections::BTreeSet, time::Duration};

use base_types::{AdaptiveCapacity, PoolName, TargetKey, TimePoint};
use policy_routing::stable_hash;
use policy_targets::{LoadReport, PeerSpeed, WorkKind, WorkSample};

use crate::{
    AttemptOutcome, CallKey, ForwardCore, PeerHeartbeat, SpeedNotice,
    call::{CallState, CurrentAttempt},
};

/// Shortest time between two reports of a stream's events to the core. Pauses between events are longer
/// on a target that is five times slower than usual, so that each is reported.
pub const EVENT_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which speeds are used after a target reported that its machine does other work too.
const ADAPTIVE_TTL: Duration = Duration::from_secs(60);

/// Shortest time between two looks at the calls that targets have not answered yet.
const OVERDUE_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of targets whose speed is sent in one heartbeat, and that is read from one.
const SPEED_NOTICES_MAX: usize = 16;

/// Largest number of targets whose speed is in a snapshot, and that is read from one.
const SPEED_RECORDS_MAX: usize = 4_096;

impl ForwardCore {
    /// Whether the learned speed of targets is used: by setting, or while a target of the fleet has
    /// reported within the last 60 s that its machine does other work too.
    pub fn is_adaptive(&self, now: TimePoint) -> bool {
        match self.bounds.adaptive_capacity {
            AdaptiveCapacity::Off => false,
            AdaptiveCapacity::On => true,
            AdaptiveCapacity::Auto => !self.adaptive_until.passed(now),
        }
    }

    /// Whether the learned speed of a pool's targets is used: by setting, or while one of them has reported within the
    /// last 60 s. Calls of pools that report nothing are few and short, so that a router's own samples are too old to
    /// choose by.
    pub(super) fn uses_speeds(&self, now: TimePoint, pool: &PoolName) -> bool {
        let reports = || self.reporting_until.get(pool).is_some_and(|until| !until.passed(now));
        match self.bounds.adaptive_capacity {
            AdaptiveCapacity::Off => false,
            AdaptiveCapacity::On => true,
            AdaptiveCapacity::Auto => reports(),
        }
    }

    /// Records what a target reported of its load in a response.
    pub fn on_load_report(&mut self, now: TimePoint, target: TargetKey, report: LoadReport) {
        if report.work_percent.is_some() {
            self.adaptive_until = now.after(ADAPTIVE_TTL);
            let pool = self.targets.get(target).map(|record| record.entry.pool.clone());
            self.reporting_until.extend(pool.map(|pool| (pool, now.after(ADAPTIVE_TTL))));
        }
        if !self.is_adaptive(now) {
            return;
        }
        let Some(record) = self.targets.get_mut(target) else { return };
        let pace = self.paces.entry(record.entry.pool.clone()).or_default();
        record.speed.on_report(now, pace, &report);
    }

    /// Records events of the stream of the attempt in progress: `events` of them since the last call of
    /// this method, or since the call was sent.
    pub fn on_events(&mut self, now: TimePoint, key: CallKey, events: u32) {
        if events == 0 || !self.is_adaptive(now) {
            return;
        }
        let Some(attempt) =
            self.calls.get_mut(&key).and_then(|state| state.current_attempt.as_mut())
        else {
            return;
        };
        let last_event_at = attempt.last_event_at.replace(now);
        let attempt = *attempt;
        match last_event_at {
            None => {
                let elapsed = now.since(attempt.sent_at);
                self.record_work(now, &attempt, WorkKind::FirstEvent, elapsed);
            }
            Some(last_event_at) => {
                let elapsed = now.since(last_event_at) / events;
                self.record_work(now, &attempt, WorkKind::EventPause, elapsed);
            }
        }
    }

    /// Records the time of an attempt that ends. Targets that decline a call or lose it are not slow.
    pub(super) fn record_attempt_time(
        &mut self,
        now: TimePoint,
        state: &CallState,
        outcome: AttemptOutcome,
    ) {
        if !self.is_adaptive(now) {
            return;
        }
        let Some(attempt) = state.current_attempt else { return };
        match outcome {
            AttemptOutcome::Completed if !state.retry_rule.is_streaming() => {
                let elapsed = now.since(attempt.sent_at);
                self.record_work(now, &attempt, WorkKind::WholeCall, elapsed);
            }
            AttemptOutcome::Silent | AttemptOutcome::Expired | AttemptOutcome::Abandoned => {
                self.observe_unfinished(now, state, &attempt);
            }
            _ => {}
        }
    }

    /// Records calls that take much longer than usual, so that a target that became slow is known
    /// before it finishes them.
    pub(super) fn observe_overdue(&mut self, now: TimePoint) {
        if !self.is_adaptive(now) || !self.next_overdue_at.passed(now) {
            return;
        }
        self.next_overdue_at = now.after(OVERDUE_INTERVAL);
        let calls = std::mem::take(&mut self.calls);
        for state in calls.values() {
            if let Some(attempt) = state.current_attempt {
                self.observe_unfinished(now, state, &attempt);
            }
        }
        self.calls = calls;
    }

    fn observe_unfinished(&mut self, now: TimePoint, state: &CallState, attempt: &CurrentAttempt) {
        let (kind, since) = match (state.retry_rule.is_streaming(), attempt.last_event_at) {
            (true, Some(last_event_at)) => (WorkKind::EventPause, last_event_at),
            (true, None) => (WorkKind::FirstEvent, attempt.sent_at),
            (false, _) => (WorkKind::WholeCall, attempt.sent_at),
        };
        // Events may have arrived that are not reported yet.
        let unreported = match kind {
            WorkKind::EventPause => EVENT_REPORT_INTERVAL,
            WorkKind::FirstEvent | WorkKind::WholeCall => Duration::ZERO,
        };
        let elapsed = now.since(since).saturating_sub(unreported);
        let Some(record) = self.targets.get_mut(attempt.target) else { return };
        let Some(pace) = self.paces.get_mut(&record.entry.pool) else { return };
        let sample = work_sample(attempt, record.entry.slots, kind, elapsed);
        record.speed.on_overdue(now, pace, &sample);
    }

    fn record_work(
        &mut self,
        now: TimePoint,
        attempt: &CurrentAttempt,
        kind: WorkKind,
        elapsed: Duration,
    ) {
        let Some(record) = self.targets.get_mut(attempt.target) else { return };
        let sample = work_sample(attempt, record.entry.slots, kind, elapsed);
        let pace = self.paces.entry(record.entry.pool.clone()).or_default();
        record.speed.on_work(now, pace, &sample);
    }

    /// Drops the paces of pools without targets, and recounts the recent levels of the others.
    pub(super) fn sweep_speeds(&mut self, now: TimePoint) {
        if self.paces.is_empty() {
            return;
        }
        for (_, record) in self.targets.iter_mut() {
            record.speed.expire_level(now);
        }
        let pools: BTreeSet<&PoolName> =
            self.targets.iter().map(|(_, record)| &record.entry.pool).collect();
        self.paces.retain(|pool, _| pools.contains(pool));
        self.reporting_until.retain(|pool, _| pools.contains(pool));
        for (pool, pace) in &mut self.paces {
            let records = self.targets.iter().filter(|(_, record)| record.entry.pool == *pool);
            pace.recount(records.filter_map(|(_, record)| record.speed.level()));
        }
    }

    /// Takes the speeds to report: of targets with new samples, those first that changed most. The
    /// others follow in later heartbeats, as they do while a target has samples.
    pub(super) fn take_speed_notices(&mut self, now: TimePoint) -> Vec<SpeedNotice> {
        if !self.is_adaptive(now) {
            return Vec::new();
        }
        let mut changes: Vec<(u16, u64, TargetKey)> = Vec::new();
        for (key, record) in self.targets.iter() {
            let pace = self.paces.get(&record.entry.pool);
            let change = pace.and_then(|pace| record.speed.unreported_change(now, pace));
            // The order among equal changes differs by heartbeat, so that every target has its turn.
            let order = record.target_hash.rotate_left(self.heartbeat_sequence as u32);
            changes.extend(change.map(|change| (change, order, key)));
        }
        changes.sort_unstable_by(|left, right| right.cmp(left));
        changes.truncate(SPEED_NOTICES_MAX);
        let notices = changes.into_iter().filter_map(|(_, _, key)| {
            let record = self.targets.get_mut(key)?;
            let pace = self.paces.get(&record.entry.pool)?;
            let limit = record.speed.estimate(now, record.entry.slots).concurrency;
            let (slowdown_percent, samples) = record.speed.take_report(now, pace);
            Some(SpeedNotice {
                target_hash: record.target_hash,
                slowdown_percent,
                limit: u16::try_from(limit).unwrap_or(u16::MAX),
                samples,
            })
        });
        notices.collect()
    }

    /// Handles the speeds that another router reports. The limit is not taken over: each router derives
    /// its own from the slowdown.
    pub(super) fn on_speed_notices(&mut self, now: TimePoint, heartbeat: &PeerHeartbeat) {
        if !self.is_adaptive(now) {
            return;
        }
        let router_hash = stable_hash(heartbeat.entry.name.as_str().as_bytes());
        for notice in heartbeat.extension.speeds.iter().take(SPEED_NOTICES_MAX) {
            let Some(record) = self.targets.find_by_hash_mut(notice.target_hash) else { continue };
            let pace = self.paces.entry(record.entry.pool.clone()).or_default();
            let SpeedNotice { slowdown_percent, samples, .. } = *notice;
            let speed = PeerSpeed { router_hash, slowdown_percent, samples };
            record.speed.on_peer(now, pace, &speed);
        }
    }

    /// Speeds of all targets that differ from those of their pools, for a starting router.
    pub(super) fn speed_records(&self, now: TimePoint) -> Vec<SpeedNotice> {
        if !self.is_adaptive(now) {
            return Vec::new();
        }
        let records = self.targets.iter().filter(|(_, record)| {
            record.accepts_calls(now) && self.uses_speeds(now, &record.entry.pool)
        });
        let notices = records.map(|(_, record)| {
            let speed = record.speed.estimate(now, record.entry.slots);
            SpeedNotice {
                target_hash: record.target_hash,
                slowdown_percent: (speed.slowdown * 100.0).round() as u16,
                limit: u16::try_from(speed.concurrency).unwrap_or(u16::MAX),
                samples: 1,
            }
        });
        notices.take(SPEED_RECORDS_MAX).collect()
    }

    /// Starts from the speeds of another router; if it uses them, so does this one for a while.
    pub(super) fn restore_speeds(&mut self, now: TimePoint, speeds: &[SpeedNotice]) {
        if speeds.is_empty() {
            return;
        }
        self.adaptive_until = self.adaptive_until.max(now.after(ADAPTIVE_TTL));
        for notice in speeds.iter().take(SPEED_RECORDS_MAX) {
            let Some(record) = self.targets.find_by_hash_mut(notice.target_hash) else { continue };
            let slots_share = f64::from(notice.limit) / f64::from(record.entry.slots.max(1));
            record.speed.restore(now, notice.slowdown_percent, slots_share);
            self.reporting_until.insert(record.entry.pool.clone(), now.after(ADAPTIVE_TTL));
        }
    }
}

fn work_sample(
    attempt: &CurrentAttempt,
    slots: u32,
    kind: WorkKind,
    elapsed: Duration,
) -> WorkSample {
    let prefill_tokens = match kind {
        WorkKind::EventPause => 0,
        WorkKind::FirstEvent | WorkKind::WholeCall => attempt.sent_prefill_tokens,
    };
    let load_ratio = f64::from(attempt.sent_load) / f64::from(slots.max(1));
    WorkSample { kind, elapsed, prefill_tokens, load_ratio }
}
