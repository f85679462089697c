//! Which software began each stream that a caller may resume.
//!
//! What two software versions write does not fit together, so a stream goes on only at targets of the
//! software that sent its first event. A caller may return to any router, so each router reports the
//! streams that begin through it to all others before most of their events are sent.

use std::{collections::BTreeMap, time::Duration};

use base_types::{PoolName, TimePoint, key_types, value_types};
use policy_routing::stable_hash;

use crate::{TargetEntry, reports::ReportQueue};

/// Longest time for which the origin of a stream is kept; callers wait less.
const ORIGIN_TTL_MAX: Duration = Duration::from_secs(60);

/// Streams whose origins are kept; each takes about 40 bytes. Later ones are dropped, so that calls
/// that resume them are refused if several versions serve.
const ORIGINS_MAX: usize = 100_000;

/// Software of all pools that is kept. When more was seen, no pool counts as having a single one.
const SOFTWARE_MAX: usize = 1_000;

/// Time after a response of the platform for which the list of targets counts as current.
const LIST_CURRENT_TIME: Duration = Duration::from_secs(3);

key_types! {
    /// Identifies the software of a target by its pool and version.
    pub struct SoftwareKey(pub u64);

    /// Report of a router on the origin of a stream.
    pub struct OriginNotice {
        /// Hash of the id of the call that delivered the first event.
        pub call_hash: u64,
        /// Software of the target that sent it.
        pub software: SoftwareKey,
        /// Milliseconds until the origin may be forgotten.
        pub left_ms: u32,
    }

    /// Software that may serve a call.
    pub(crate) enum StreamSoftware {
        /// Any, as no event was forwarded yet.
        Any,
        /// The software that began the stream.
        Only(SoftwareKey),
        /// The software that began the stream in another call, which is not known yet; that call is
        /// given by its hash, or not named by the caller.
        Unresolved(Option<u64>),
    }
}

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

impl StreamSoftware {
    /// Whether a target of this software may serve the call.
    pub(crate) fn allows(self, software: SoftwareKey) -> bool {
        match self {
            Self::Any => true,
            Self::Only(origin) => origin == software,
            Self::Unresolved(_) => false,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct StreamOrigin {
    software: SoftwareKey,
    forget_at: TimePoint,
}

/// The origins of streams, by the hash of the call that delivered the first event.
#[derive(Debug, Default)]
pub(crate) struct OriginTable {
    origins: BTreeMap<u64, StreamOrigin>,
    /// Calls of this router whose origins the others do not know yet.
    unreported: ReportQueue<u64>,
    dropped: u64,
}

impl OriginTable {
    /// Records and reports the first event of a stream; its caller does not return after `deadline`.
    pub(crate) fn on_first_event(
        &mut self,
        now: TimePoint,
        call_hash: u64,
        software: SoftwareKey,
        deadline: TimePoint,
    ) {
        if self.insert(now, call_hash, software, deadline) {
            self.unreported.push(call_hash);
        }
    }

    /// Records what another router reported. The first statement about a call stays until it ends.
    pub(crate) fn on_notice(&mut self, now: TimePoint, notice: OriginNotice) {
        let forget_at = now.after(Duration::from_millis(notice.left_ms.into()));
        self.insert(now, notice.call_hash, notice.software, forget_at);
    }

    /// Returns the notices of the next heartbeat, at most `count_max`.
    pub(crate) fn next_report(&mut self, now: TimePoint, count_max: usize) -> Vec<OriginNotice> {
        let due = self.unreported.next_report(count_max);
        due.into_iter().filter_map(|call_hash| self.notice(now, call_hash)).collect()
    }

    /// Returns the origins of all streams, for a starting router.
    pub(crate) fn notices(&self, now: TimePoint) -> impl Iterator<Item = OriginNotice> {
        self.origins.keys().filter_map(move |call_hash| self.notice(now, *call_hash))
    }

    /// Returns the software that began a stream, if it is known.
    pub(crate) fn software(&self, now: TimePoint, call_hash: u64) -> Option<SoftwareKey> {
        self.live(now, call_hash).map(|origin| origin.software)
    }

    /// Forgets streams whose callers do not return.
    pub(crate) fn sweep(&mut self, now: TimePoint) {
        self.origins.retain(|_, origin| !origin.forget_at.passed(now));
        let origins = &self.origins;
        self.unreported.retain(|call_hash| origins.contains_key(call_hash));
    }

    /// Number of streams whose origins are kept.
    pub(crate) fn len(&self) -> usize {
        self.origins.len()
    }

    /// Number of origins that were dropped because the table was full.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns whether the origin of the stream is kept.
    fn insert(
        &mut self,
        now: TimePoint,
        call_hash: u64,
        software: SoftwareKey,
        forget_at: TimePoint,
    ) -> bool {
        if self.live(now, call_hash).is_some() {
            return true;
        }
        if self.origins.len() >= ORIGINS_MAX {
            self.dropped += 1;
            return false;
        }
        let forget_at = forget_at.min(now.after(ORIGIN_TTL_MAX));
        self.origins.insert(call_hash, StreamOrigin { software, forget_at });
        true
    }

    fn notice(&self, now: TimePoint, call_hash: u64) -> Option<OriginNotice> {
        let origin = self.live(now, call_hash)?;
        let left_ms = origin.forget_at.since(now).as_millis() as u32;
        Some(OriginNotice { call_hash, software: origin.software, left_ms })
    }

    fn live(&self, now: TimePoint, call_hash: u64) -> Option<&StreamOrigin> {
        self.origins.get(&call_hash).filter(|origin| !origin.forget_at.passed(now))
    }
}

/// The software that the targets of each pool have run in the time in which a stream may last.
#[derive(Debug)]
pub(crate) struct SoftwareHistory {
    seen_until: BTreeMap<(PoolName, SoftwareKey), TimePoint>,
    /// Time until which the list of targets counts as current.
    current_until: TimePoint,
}

impl Default for SoftwareHistory {
    fn default() -> Self {
        Self { seen_until: BTreeMap::new(), current_until: TimePoint(0) }
    }
}

impl SoftwareHistory {
    /// Records that a target of the pool is listed with this software.
    pub(crate) fn on_listed(&mut self, now: TimePoint, pool: &PoolName, software: SoftwareKey) {
        self.insert(pool, software, now.after(ORIGIN_TTL_MAX));
    }

    /// Records that the platform responded.
    pub(crate) fn on_platform_responded(&mut self, now: TimePoint) {
        self.current_until = now.after(LIST_CURRENT_TIME);
    }

    /// Whether the list of targets is current, so that it has all software of a pool.
    pub(crate) fn is_current(&self, now: TimePoint) -> bool {
        !self.current_until.passed(now)
    }

    /// Records what another router saw.
    pub(crate) fn on_notice(&mut self, now: TimePoint, notice: &SoftwareNotice) {
        let seen_until = now.after(Duration::from_millis(notice.left_ms.into()));
        self.insert(&notice.pool, notice.software, seen_until.min(now.after(ORIGIN_TTL_MAX)));
    }

    /// Returns all software that was seen, for a starting router.
    pub(crate) fn notices(&self, now: TimePoint) -> impl Iterator<Item = SoftwareNotice> {
        self.seen_until.iter().map(move |((pool, software), until)| SoftwareNotice {
            pool: pool.clone(),
            software: *software,
            left_ms: until.since(now).as_millis() as u32,
        })
    }

    /// Returns the software of a pool if it is the only one that was seen.
    pub(crate) fn only_software(&self, now: TimePoint, pool: &PoolName) -> Option<SoftwareKey> {
        if self.seen_until.len() >= SOFTWARE_MAX {
            return None;
        }
        let mut seen = self
            .seen_until
            .iter()
            .filter(|((seen_pool, _), until)| seen_pool == pool && !until.passed(now));
        let ((_, software), _) = seen.next()?;
        seen.next().is_none().then_some(*software)
    }

    /// Forgets software that was not listed for long.
    pub(crate) fn sweep(&mut self, now: TimePoint) {
        self.seen_until.retain(|_, until| !until.passed(now));
    }

    fn insert(&mut self, pool: &PoolName, software: SoftwareKey, until: TimePoint) {
        let key = (pool.clone(), software);
        if self.seen_until.len() < SOFTWARE_MAX || self.seen_until.contains_key(&key) {
            let seen_until = self.seen_until.entry(key).or_insert(until);
            *seen_until = until.max(*seen_until);
        }
    }
}
