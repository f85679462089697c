//! Tracking of suspect content: content that was in flight when a target was lost.
//!
//! All content in flight on a lost target becomes suspect, although most of it did not cause the
//! loss. A suspect runs only as a trial, on its trial target, isolated from the other suspects of
//! its loss and of recent losses, and a complete answer clears it. Content that was in flight at
//! the losses of two targets without a complete answer in between is blocked.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{ContentDigest, PoolName, SuspectNotice, TimePoint, key_types, value_types};

/// Time after the latest notice until content is no longer suspect or blocked.
const SUSPECT_TTL: Duration = Duration::from_secs(600);

/// Suspect and blocked content entries kept per router.
const SUSPECTS_MAX: usize = 16_384;

/// Number of different targets lost after which content is blocked.
const BLOCKING_LOSSES: usize = 2;

/// Notices about a target within this time of its loss belong to the same loss.
const LOSS_MERGE_WINDOW: Duration = Duration::from_secs(2);

/// Time after a loss within which its notices reach all routers.
const NOTICE_PROPAGATION: Duration = Duration::from_millis(200);

/// Interval between two trials on the same target, so that the first ends before the second begins.
const TRIAL_INTERVAL: Duration = Duration::from_secs(3);

/// Suspects of losses within this time of each other are isolated from each other.
const LOSS_ISOLATION_WINDOW: Duration = Duration::from_secs(30);

key_types! {
    /// How content may be dispatched.
    pub enum SuspectVerdict {
        /// Not suspect.
        Clear,
        /// In flight when a target was lost; may run only as a trial, on its trial target.
        Trial(SuspectTrial),
        /// In flight when two targets were lost; refused until this time.
        Blocked(TimePoint),
    }

    /// Trial of a suspect. Routers that know the same losses compute the same target, and start
    /// times that differ by the delay of the notices, if the losses arrive in the same order.
    pub struct SuspectTrial {
        /// Hash of the name of the target lost last.
        pub lost_target: u64,
        /// Rank among the suspects of this loss and of the losses shortly before it.
        pub rank: u32,
        /// When the first notice of the loss was received.
        pub lost_at: TimePoint,
    }
}

value_types! {
    /// Content sent to a pool.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct SuspectKey {
        /// Pool that the content was sent to.
        pub pool: PoolName,
        /// Digest of the request body.
        pub content: ContentDigest,
    }
}

impl SuspectTrial {
    /// Index of the trial's target among the eligible targets, which all routers order alike.
    pub fn target_index(&self, target_count: usize) -> usize {
        self.rank as usize % target_count.max(1)
    }

    /// Earliest start of the trial; suspects beyond the number of eligible targets wait for a later
    /// round.
    pub fn earliest_start(&self, target_count: usize) -> TimePoint {
        let round = self.rank / (target_count.max(1) as u32);
        self.lost_at.after(NOTICE_PROPAGATION).after(TRIAL_INTERVAL * round)
    }
}

/// Suspect content known to one router, from its own losses and from notices of other routers.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    records: BTreeMap<SuspectKey, SuspectRecord>,
    expiries: BTreeSet<(TimePoint, SuspectKey)>,
    losses: BTreeMap<u64, TargetLoss>,
}

#[derive(Debug)]
struct SuspectRecord {
    lost_targets: BTreeSet<u64>,
    last_lost: u64,
    expires_at: TimePoint,
}

#[derive(Debug)]
struct TargetLoss {
    lost_at: TimePoint,
    suspects: BTreeSet<SuspectKey>,
}

impl SuspectTracker {
    /// Applies a notice of this or another router; beyond `SUSPECTS_MAX` the oldest are evicted.
    pub fn on_notice(&mut self, now: TimePoint, notice: SuspectNotice) {
        self.expire(now);
        let key = SuspectKey { pool: notice.pool, content: notice.content };
        self.record_loss(now, notice.target_hash, key.clone());
        let mut lost_targets =
            self.remove(&key).map_or_else(BTreeSet::new, |record| record.lost_targets);
        lost_targets.insert(notice.target_hash);
        let expires_at = now.after(SUSPECT_TTL);
        self.expiries.insert((expires_at, key.clone()));
        self.records
            .insert(key, SuspectRecord { lost_targets, last_lost: notice.target_hash, expires_at });
        while self.records.len() > SUSPECTS_MAX {
            let Some((_, oldest)) = self.expiries.first().cloned() else { return };
            self.remove(&oldest);
        }
    }

    /// Clears content that was answered completely; returns whether the content was a suspect.
    ///
    /// Blocked content stays blocked: no new attempt of it is dispatched, so a complete answer can
    /// only come from an attempt that started before.
    pub fn clear(&mut self, key: &SuspectKey) -> bool {
        let is_blocked = self
            .records
            .get(key)
            .is_some_and(|record| record.lost_targets.len() >= BLOCKING_LOSSES);
        !is_blocked && self.remove(key).is_some()
    }

    /// Clears content on an operator's request, even if blocked; returns whether it was a suspect.
    pub fn force_clear(&mut self, key: &SuspectKey) -> bool {
        self.remove(key).is_some()
    }

    /// How content may be dispatched now.
    pub fn verdict(&self, now: TimePoint, key: &SuspectKey) -> SuspectVerdict {
        let Some(record) = self.records.get(key).filter(|record| !record.expires_at.passed(now))
        else {
            return SuspectVerdict::Clear;
        };
        if record.lost_targets.len() >= BLOCKING_LOSSES {
            return SuspectVerdict::Blocked(record.expires_at);
        }
        let Some(loss) = self.losses.get(&record.last_lost) else { return SuspectVerdict::Clear };
        let rank =
            self.earlier_suspect_count(record.last_lost, loss) + loss.suspects.range(..key).count();
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        SuspectVerdict::Trial(SuspectTrial {
            lost_target: record.last_lost,
            rank,
            lost_at: loss.lost_at,
        })
    }

    fn earlier_suspect_count(&self, target: u64, loss: &TargetLoss) -> usize {
        let earlier_losses = self.losses.iter().filter(|(other, earlier)| {
            let is_earlier = (earlier.lost_at, **other) < (loss.lost_at, target);
            is_earlier && loss.lost_at.since(earlier.lost_at) < LOSS_ISOLATION_WINDOW
        });
        earlier_losses.map(|(_, earlier)| earlier.suspects.len()).sum()
    }

    fn record_loss(&mut self, now: TimePoint, target: u64, key: SuspectKey) {
        let loss = self.losses.entry(target).or_insert_with(|| TargetLoss::new(now));
        if loss.lost_at.after(LOSS_MERGE_WINDOW).passed(now) {
            *loss = TargetLoss::new(now);
        }
        loss.suspects.insert(key);
    }

    fn expire(&mut self, now: TimePoint) {
        while let Some((expires_at, key)) = self.expiries.first().cloned()
            && expires_at.passed(now)
        {
            self.remove(&key);
        }
        self.losses.retain(|_, loss| !loss.lost_at.after(SUSPECT_TTL).passed(now));
    }

    fn remove(&mut self, key: &SuspectKey) -> Option<SuspectRecord> {
        let record = self.records.remove(key)?;
        self.expiries.remove(&(record.expires_at, key.clone()));
        Some(record)
    }
}

impl TargetLoss {
    fn new(lost_at: TimePoint) -> Self {
        Self { lost_at, suspects: BTreeSet::new() }
    }
}
