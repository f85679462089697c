//! Which software the targets of each pool have run in the time in which a stream may last.
//!
//! A table that starts empty does not say that nothing was there: a router that has just started learns
//! what served before it from a peer or from the platform's record, and until then it does not take the
//! software that it sees for the only one.

use std::{collections::BTreeMap, time::Duration};

use base_types::{PoolName, TimePoint, key_types, value_types};
use policy_routing::stable_hash;

use crate::{TargetEntry, reports::ReportQueue};

/// Longest time for which a caller may return to its stream; callers wait less.
pub(crate) const STREAM_LIFETIME_MAX: Duration = Duration::from_secs(60);

/// Software of all pools that is kept. When more was seen, no pool counts as having a single one.
const SOFTWARE_MAX: usize = 1_000;

/// Time after a response of the platform for which the list of targets counts as current.
const LIST_CURRENT_TIME: Duration = Duration::from_secs(3);

key_types! {
    /// Identifies the software of a target by its pool and version.
    pub struct SoftwareKey(pub u64);
}

/// Software by pool.
pub type PoolSoftware = BTreeMap<PoolName, Vec<SoftwareKey>>;

value_types! {
    /// Report of a router on software that targets of a pool ran.
    #[derive(Eq)]
    pub struct SoftwareNotice {
        /// Name of the pool.
        pub pool: PoolName,
        /// The software.
        pub software: SoftwareKey,
        /// Milliseconds until streams that it began are over.
        pub left_ms: u32,
    }
}

impl SoftwareKey {
    /// Identifies the software of a listed target. A target whose entry states no version counts as
    /// software of its own, as it may run any.
    pub(crate) fn of_target(entry: &TargetEntry) -> Self {
        let TargetEntry { name, pool, software_version, incarnation, .. } = entry;
        let identity = match &**software_version {
            "" => format!("{pool}//{name}/{incarnation}"),
            version => format!("{pool}/{version}"),
        };
        Self(stable_hash(identity.as_bytes()))
    }
}

/// What a router knows of the time before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PastKnowledge {
    /// Neither a peer nor the platform has said yet what served before.
    Awaited,
    /// From this time on, all software is known whose streams may go on.
    CompleteFrom(TimePoint),
}

/// The software that the targets of each pool have run in the time in which a stream may last.
#[derive(Debug)]
pub(crate) struct SoftwareHistory {
    seen_until: BTreeMap<(PoolName, SoftwareKey), TimePoint>,
    past: PastKnowledge,
    /// Software that this router saw first, as far as it knows.
    unreported: ReportQueue<(PoolName, SoftwareKey)>,
    /// Time until which the list of targets counts as current.
    current_until: TimePoint,
    /// Time at which the latest complete list was asked for: it has all targets that were listed by then.
    listed_at: TimePoint,
}

impl Default for SoftwareHistory {
    fn default() -> Self {
        Self {
            seen_until: BTreeMap::new(),
            past: PastKnowledge::Awaited,
            unreported: ReportQueue::default(),
            current_until: TimePoint(0),
            listed_at: TimePoint(0),
        }
    }
}

impl SoftwareHistory {
    /// Records that a target of the pool is listed with this software.
    pub(crate) fn on_listed(&mut self, now: TimePoint, pool: &PoolName, software: SoftwareKey) {
        if self.insert(pool, software, now.after(STREAM_LIFETIME_MAX)) {
            self.unreported.push((pool.clone(), software));
        }
    }

    /// Records software that the platform's record has.
    pub(crate) fn on_recorded(&mut self, now: TimePoint, pool: &PoolName, software: SoftwareKey) {
        self.insert(pool, software, now.after(STREAM_LIFETIME_MAX));
    }

    /// Records that the platform responded.
    pub(crate) fn on_platform_responded(&mut self, now: TimePoint) {
        self.current_until = now.after(LIST_CURRENT_TIME);
    }

    /// Records that a complete list of targets was read that was asked for at a time.
    pub(crate) fn on_list_read(&mut self, asked_at: TimePoint) {
        self.listed_at = self.listed_at.max(asked_at);
    }

    /// Whether all targets are known that were listed by a time.
    pub(crate) fn is_listed_since(&self, time: TimePoint) -> bool {
        time <= self.listed_at
    }

    /// Whether the list of targets is current, so that it has all software of a pool.
    pub(crate) fn is_current(&self, now: TimePoint) -> bool {
        !self.current_until.passed(now)
    }

    /// Records that the software of the past is known, or that it will be once all streams that may
    /// have begun before now are over.
    pub(crate) fn on_past_read(&mut self, now: TimePoint, is_complete: bool) {
        let complete_at = if is_complete { now } else { now.after(STREAM_LIFETIME_MAX) };
        self.past = match self.past {
            PastKnowledge::Awaited => PastKnowledge::CompleteFrom(complete_at),
            PastKnowledge::CompleteFrom(known) => {
                PastKnowledge::CompleteFrom(known.min(complete_at))
            }
        };
    }

    /// Whether neither a peer nor the platform has said yet what served before this router started.
    pub(crate) fn is_past_awaited(&self) -> bool {
        self.past == PastKnowledge::Awaited
    }

    /// Whether all software is known whose streams may go on.
    pub(crate) fn is_complete(&self, now: TimePoint) -> bool {
        matches!(self.past, PastKnowledge::CompleteFrom(complete_at) if complete_at.passed(now))
    }

    /// Records what another router saw.
    pub(crate) fn on_notice(&mut self, now: TimePoint, notice: &SoftwareNotice) {
        let seen_until = now.after(Duration::from_millis(notice.left_ms.into()));
        self.insert(&notice.pool, notice.software, seen_until.min(now.after(STREAM_LIFETIME_MAX)));
    }

    /// Returns the software of the next heartbeat, at most `count_max` notices.
    pub(crate) fn next_report(&mut self, now: TimePoint, count_max: usize) -> Vec<SoftwareNotice> {
        let due = self.unreported.next_report(count_max).into_iter();
        due.filter_map(|key| self.seen_until.get(&key).map(|until| notice(now, &key, *until)))
            .collect()
    }

    /// Returns all software that was seen, for a starting router.
    pub(crate) fn notices(&self, now: TimePoint) -> impl Iterator<Item = SoftwareNotice> {
        self.seen_until.iter().map(move |(key, until)| notice(now, key, *until))
    }

    /// Returns the software of pools if it is the only one that served in any of them while its streams may go on.
    pub(crate) fn only_software(&self, now: TimePoint, pools: &[PoolName]) -> Option<SoftwareKey> {
        if !self.is_complete(now) || self.seen_until.len() >= SOFTWARE_MAX {
            return None;
        }
        let mut seen = pools.iter().flat_map(|pool| self.seen_in(now, pool));
        let software = seen.next()?;
        seen.next().is_none().then_some(software)
    }

    /// Whether several versions served a pool while their streams may go on.
    pub(crate) fn is_mixed(&self, now: TimePoint, pool: &PoolName) -> bool {
        self.seen_in(now, pool).nth(1).is_some()
    }

    /// The software that served while its streams may go on, by pool.
    pub(crate) fn by_pool(&self, now: TimePoint) -> PoolSoftware {
        let mut pools = PoolSoftware::new();
        for ((pool, software), until) in &self.seen_until {
            if !until.passed(now) {
                pools.entry(pool.clone()).or_default().push(*software);
            }
        }
        pools
    }

    /// Forgets software that was not listed for long.
    pub(crate) fn sweep(&mut self, now: TimePoint) {
        self.seen_until.retain(|_, until| !until.passed(now));
    }

    fn seen_in<'pool>(
        &self,
        now: TimePoint,
        pool: &'pool PoolName,
    ) -> impl Iterator<Item = SoftwareKey> + use<'_, 'pool> {
        let seen = self.seen_until.iter();
        seen.filter(move |((seen_pool, _), until)| seen_pool == pool && !until.passed(now))
            .map(|((_, software), _)| *software)
    }

    /// Returns whether the software was not known.
    fn insert(&mut self, pool: &PoolName, software: SoftwareKey, until: TimePoint) -> bool {
        let key = (pool.clone(), software);
        if let Some(seen_until) = self.seen_until.get_mut(&key) {
            *seen_until = until.max(*seen_until);
            return false;
        }
        if self.seen_until.len() >= SOFTWARE_MAX {
            return false;
        }
        self.seen_until.insert(key, until);
        true
    }
}

fn notice(now: TimePoint, key: &(PoolName, SoftwareKey), until: TimePoint) -> SoftwareNotice {
    let (pool, software) = key;
    let left_ms = until.since(now).as_millis() as u32;
    SoftwareNotice { pool: pool.clone(), software: *software, left_ms }
}
