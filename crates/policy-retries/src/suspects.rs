//! Content that was in flight when targets were lost.
//!
//! A lost target makes everything that ran on it suspect, and most of that is innocent. A suspect runs
//! again apart from the other suspects of its loss, and its whole answer clears it. Content that
//! was in flight at losses of two targets without a whole answer between is condemned.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{ContentDigest, PoolName, SuspectNotice, TimePoint, key_types, value_types};

const SUSPECT_LIFE: Duration = Duration::from_secs(600);
const SUSPECTS_MAX: usize = 16_384;

/// Losses of different targets after which content is condemned.
const LOSSES_MAX: usize = 2;

/// Notices of a target within this time tell of one loss.
const LOSS_SPAN: Duration = Duration::from_secs(2);

/// Time after a loss in which all routers hear of its suspects.
const SETTLE: Duration = Duration::from_millis(200);

/// Time between two suspects on the same target, so that the first has ended.
const TRIAL_SPAN: Duration = Duration::from_secs(3);

/// Suspects of losses within this time of each other are kept apart.
const LOSSES_TOGETHER: Duration = Duration::from_secs(30);

key_types! {
    /// What may be done with content.
    pub enum SuspectVerdict {
        /// Nothing is known against it.
        Clear,
        /// It was in flight at a loss and may run once more.
        Trial(SuspectTrial),
        /// Two targets were lost to it; it is refused until a point in time.
        Condemned(TimePoint),
    }

    /// How a suspect may run once more.
    pub struct SuspectTrial {
        /// Hash of the name of the lost target.
        pub lost: u64,
        /// Rank among the suspects of the loss and of those shortly before.
        pub rank: u32,
        /// When the loss began.
        pub began: TimePoint,
    }
}

value_types! {
    /// Content on a pool.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct SuspectKey {
        /// The pool.
        pub pool: PoolName,
        /// Digest of the content.
        pub content: ContentDigest,
    }
}

impl SuspectTrial {
    /// Index of the trial's target among a number of calm targets that all routers order alike.
    pub fn target_index(&self, targets: usize) -> usize {
        self.rank as usize % targets.max(1)
    }

    /// The point from which the trial may run, with a number of calm targets.
    pub fn earliest(&self, targets: usize) -> TimePoint {
        let wave = self.rank / (targets.max(1) as u32);
        self.began.after(SETTLE).after(TRIAL_SPAN * wave)
    }
}

/// Suspect content as one router knows it, from its own losses and others' notices.
#[derive(Debug, Default)]
pub struct SuspectLedger {
    records: BTreeMap<SuspectKey, SuspectRecord>,
    expiries: BTreeSet<(TimePoint, SuspectKey)>,
    losses: BTreeMap<u64, TargetLoss>,
}

#[derive(Debug)]
struct SuspectRecord {
    targets: BTreeSet<u64>,
    last: u64,
    expiry: TimePoint,
}

#[derive(Debug)]
struct TargetLoss {
    began: TimePoint,
    suspects: BTreeSet<SuspectKey>,
}

impl SuspectLedger {
    /// Takes over a notice of this or another router.
    pub fn hear(&mut self, now: TimePoint, notice: SuspectNotice) {
        self.expire(now);
        let key = SuspectKey { pool: notice.pool, content: notice.content };
        self.join_loss(now, notice.target, key.clone());
        let mut targets = self.remove(&key).map_or_else(BTreeSet::new, |record| record.targets);
        targets.insert(notice.target);
        let expiry = now.after(SUSPECT_LIFE);
        self.expiries.insert((expiry, key.clone()));
        self.records.insert(key, SuspectRecord { targets, last: notice.target, expiry });
        while self.records.len() > SUSPECTS_MAX {
            let Some((_, oldest)) = self.expiries.first().cloned() else { return };
            self.remove(&oldest);
        }
    }

    /// Clears content that was answered in whole; returns whether it was a suspect.
    ///
    /// Condemned content stays so: no attempt of it is let through, so that a whole answer can only
    /// come from an attempt that began before.
    pub fn clear(&mut self, key: &SuspectKey) -> bool {
        let condemned =
            self.records.get(key).is_some_and(|record| record.targets.len() >= LOSSES_MAX);
        !condemned && self.remove(key).is_some()
    }

    /// An operator clears content, whatever is known against it.
    pub fn pardon(&mut self, key: &SuspectKey) -> bool {
        self.remove(key).is_some()
    }

    /// What may be done with content now.
    pub fn verdict(&self, now: TimePoint, key: &SuspectKey) -> SuspectVerdict {
        let Some(record) = self.records.get(key).filter(|record| !record.expiry.passed(now)) else {
            return SuspectVerdict::Clear;
        };
        if record.targets.len() >= LOSSES_MAX {
            return SuspectVerdict::Condemned(record.expiry);
        }
        let Some(loss) = self.losses.get(&record.last) else { return SuspectVerdict::Clear };
        let rank = self.suspects_before(record.last, loss) + loss.suspects.range(..key).count();
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        SuspectVerdict::Trial(SuspectTrial { lost: record.last, rank, began: loss.began })
    }

    fn suspects_before(&self, target: u64, loss: &TargetLoss) -> usize {
        let before = self.losses.iter().filter(|(other, earlier)| {
            let first = (earlier.began, **other) < (loss.began, target);
            first && loss.began.since(earlier.began) < LOSSES_TOGETHER
        });
        before.map(|(_, earlier)| earlier.suspects.len()).sum()
    }

    fn join_loss(&mut self, now: TimePoint, target: u64, key: SuspectKey) {
        let loss = self.losses.entry(target).or_insert_with(|| TargetLoss::new(now));
        if loss.began.after(LOSS_SPAN).passed(now) {
            *loss = TargetLoss::new(now);
        }
        loss.suspects.insert(key);
    }

    fn expire(&mut self, now: TimePoint) {
        while let Some((expiry, key)) = self.expiries.first().cloned()
            && expiry.passed(now)
        {
            self.remove(&key);
        }
        self.losses.retain(|_, loss| !loss.began.after(SUSPECT_LIFE).passed(now));
    }

    fn remove(&mut self, key: &SuspectKey) -> Option<SuspectRecord> {
        let record = self.records.remove(key)?;
        self.expiries.remove(&(record.expiry, key.clone()));
        Some(record)
    }
}

impl TargetLoss {
    fn new(began: TimePoint) -> Self {
        Self { began, suspects: BTreeSet::new() }
    }
}
