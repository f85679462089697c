//! The targets that the platform lists, and those removed recently.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use base_types::{
    ContentKey, HostName, PoolName, TargetKey, TimePoint, key_types, message_types, value_types,
};
use policy_retries::SuspectContent;
use policy_routing::stable_hash;
use policy_targets::{
    CallRate, FailureRate, OutcomeCount, RateAllowance, RejectionLimit, RejectionStatement,
    SpeedEstimate, TargetLifecycle, TargetPhase, TargetSpeed, UsedTurn,
};

use crate::{
    detours::pool_hash,
    evacuations::EvacuationTable,
    limits::LimitReport,
    links::TargetLink,
    places::{PlaceKeeper, TargetPlaces},
    software::{SoftwareHistory, SoftwareKey},
    target_news::TargetNews,
    waiting::PlaceUse,
};

/// Time for which other engines may still fetch cached segments from a target that is draining,
/// missing or replaced.
const DRAINING_CACHE_TTL: Duration = Duration::from_secs(3);

/// Time for which a target counts as unreachable after a connection to it failed: other targets are
/// preferred, and no segments are fetched from it.
const UNREACHABLE_TTL: Duration = Duration::from_secs(2);

/// Shortest time between two probes of whether a silent target accepts connections.
const TARGET_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which a target that lost calls must accept no connection for this to count as a crash.
const CRASH_CONFIRM_WINDOW: Duration = Duration::from_secs(2);

/// Shortest time between two probes of whether a target that lost calls crashed.
const CRASH_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time after reconnecting to the platform in which entries that expired during its outage are
/// written again.
const PLATFORM_RECONNECT_GRACE: Duration = Duration::from_millis(2_200);

/// Time for which a leaving target is remembered after it was last listed; an entry of the same start
/// may be listed again, for example by a store restored from an older copy.
const LEAVING_TTL: Duration = Duration::from_secs(600);

/// Leaving targets that are remembered. When there are more, those that were listed longest ago are
/// forgotten; they get calls again if they are listed once more.
const LEAVING_MAX: usize = 10_000;

value_types! {
    /// Entry of a target in the platform's list.
    #[derive(Eq)]
    pub struct TargetEntry {
        /// Name of the target.
        pub name: HostName,
        /// Pool that the target belongs to.
        pub pool: PoolName,
        /// Address that the target listens on.
        pub address: SocketAddr,
        /// Failure domain of the target.
        pub failure_domain: Box<str>,
        /// Version of the target's software; empty if the entry states none.
        pub software_version: Box<str>,
        /// Calls that the target can run concurrently.
        pub slots: u32,
        /// Whether the target is draining and takes no new calls.
        pub draining: bool,
        /// Identifies one start of the target; a restarted target has an empty cache.
        pub incarnation: u64,
    }
}

message_types! {
    /// Status of a target for views and metrics.
    pub struct TargetStatus {
        /// Name of the target.
        pub name: HostName,
        /// Calls of this router in flight on the target.
        pub own_in_flight: u32,
        /// Calls of other routers in flight on the target, from their heartbeats.
        pub peer_in_flight: u32,
        /// Recent failure rate over the calls of all routers, 0 to 1; older outcomes weigh less.
        pub failure_rate: f64,
        /// Limit on the rate of calls that the target names; `None` if it names none.
        pub rate_limit: Option<CallRate>,
        /// Rejections a second that the target says it bears; `None` if it is not known to be fragile.
        pub rejection_limit: Option<RejectionLimit>,
        /// Calls that hold one of the places of the target that this router keeps.
        pub leased_places: u32,
        /// Calls of this router that the target declined.
        pub declined_calls: u64,
        /// Learned speed of the target; `None` while it is not used.
        pub speed: Option<SpeedEstimate>,
        /// Number of prompt segments that the target is known to cache.
        pub cached_segments: usize,
        /// Phase of the target's lifecycle.
        pub phase: TargetPhase,
        /// Whether the operator has evacuated the target's failure domain.
        pub is_evacuated: bool,
        /// Time until which the target is cold.
        pub cold_until: TimePoint,
    }
}

key_types! {
    /// First announcement of a target that it leaves.
    pub struct LeavingNotice {
        /// Whether the list still named the target as one that accepts calls.
        pub listed_as_serving: bool,
    }
}

/// State of one target; outlives its entry in the list while calls are in flight or its cache can
/// be fetched.
#[derive(Debug)]
pub(crate) struct TargetRecord {
    pub(crate) entry: TargetEntry,
    pub(crate) target_hash: u64,
    pub(crate) software: SoftwareKey,
    pub(crate) lifecycle: TargetLifecycle,
    pub(crate) own_in_flight: u32,
    /// Prompt tokens of this router's calls in flight that the target has yet to prefill.
    pub(crate) prefill_tokens: u64,
    /// Tokens that this router's calls in flight take in the target's cache.
    pub(crate) cache_tokens: u64,
    pub(crate) failure_rate: FailureRate,
    /// Calls within the limit that the target names.
    pub(crate) allowance: RateAllowance,
    pub(crate) limit_report: LimitReport,
    /// What the target last stated to this router; `None` before its first answer.
    pub(crate) rejection_statement: Option<RejectionStatement>,
    pub(crate) declined_calls: u64,
    pub(crate) pool_hash: u64,
    /// Places of the target while it is fragile, as far as this router keeps them.
    pub(crate) places: TargetPlaces,
    /// The router that keeps the target's places, and the time until which that is not looked up again.
    pub(crate) place_keeper: Option<(PlaceKeeper, TimePoint)>,
    /// Time until which the target counts as fully loaded, as it had no place.
    pub(crate) full_until: TimePoint,
    /// Consecutive questions for a place that its keeper did not answer.
    pub(crate) unanswered_asks: u32,
    /// Time until which the target gets no calls, as its keeper did not answer.
    pub(crate) keeper_silent_until: TimePoint,
    pub(crate) speed: TargetSpeed,
    /// Outcomes not yet reported to the other routers.
    pub(crate) unreported_outcomes: OutcomeCount,
    /// Time until which the target wants no calls from this router.
    pub(crate) paused_until: TimePoint,
    pub(crate) place_use: PlaceUse,
    pub(crate) link: TargetLink,
    /// Time until which the target is assumed to accept no connections.
    unreachable_until: TimePoint,
    /// Earliest time of the next probe.
    next_probe_at: TimePoint,
    /// Earliest time of the next probe of whether the target crashed.
    next_crash_probe_at: TimePoint,
    /// Content of the calls that the target lost since `content_lost_at`, and when it was sent.
    pub(crate) lost_content: BTreeMap<ContentKey, TimePoint>,
    content_lost_at: TimePoint,
    /// Whether the operator has evacuated the target's failure domain.
    pub(crate) is_evacuated: bool,
    pub(crate) cold_until: TimePoint,
    /// Whether `cold_until` is an assumption, as neither the platform nor another router has said it.
    pub(crate) is_cold_assumed: bool,
    /// Place among the platform's changes of the one because of which the target was last assumed to be cold.
    pub(crate) cold_assumed_order: u64,
    pub(crate) cold_turn: UsedTurn,
    /// Whether the target announced in an answer that it leaves; true until it ends.
    announced_leaving: bool,
    listed: bool,
    /// Time at which a missing entry counts as removed; `NEVER` while it is listed.
    delist_at: TimePoint,
    /// Time until which other engines may fetch from a target that is draining, missing or
    /// replaced; `NEVER` for other targets.
    fetchable_until: TimePoint,
}

/// Targets by key, and the key of the current target of each name.
#[derive(Debug)]
pub(crate) struct TargetTable {
    records: BTreeMap<TargetKey, TargetRecord>,
    keys_by_name: BTreeMap<HostName, TargetKey>,
    keys_by_hash: BTreeMap<u64, TargetKey>,
    next_key: u32,
    /// Hashes of the targets that announced that they leave, each until it is forgotten. Outlives the
    /// record of a target that is no longer listed.
    leaving_until: BTreeMap<u64, TimePoint>,
    pub(crate) software: SoftwareHistory,
    pub(crate) news: TargetNews,
    pub(crate) evacuations: EvacuationTable,
    /// Until this time, a missing entry does not count as removed.
    relist_until: TimePoint,
    /// Time until which entries may be those of a restored copy.
    restored_until: TimePoint,
}

impl TargetRecord {
    fn new(entry: TargetEntry) -> Self {
        let identity = format!("{}/{}", entry.name, entry.incarnation);
        Self {
            target_hash: stable_hash(identity.as_bytes()),
            software: SoftwareKey::of_target(&entry),
            lifecycle: TargetLifecycle::serving(),
            own_in_flight: 0,
            prefill_tokens: 0,
            cache_tokens: 0,
            failure_rate: FailureRate::default(),
            allowance: RateAllowance::default(),
            limit_report: LimitReport::default(),
            rejection_statement: None,
            declined_calls: 0,
            pool_hash: pool_hash(&entry.pool),
            places: TargetPlaces::default(),
            place_keeper: None,
            full_until: TimePoint(0),
            unanswered_asks: 0,
            keeper_silent_until: TimePoint(0),
            speed: TargetSpeed::default(),
            unreported_outcomes: OutcomeCount { failed: 0, finished: 0 },
            paused_until: TimePoint(0),
            place_use: PlaceUse::default(),
            link: TargetLink::default(),
            unreachable_until: TimePoint(0),
            next_probe_at: TimePoint(0),
            next_crash_probe_at: TimePoint(0),
            lost_content: BTreeMap::new(),
            content_lost_at: TimePoint(0),
            is_evacuated: false,
            cold_until: TimePoint(0),
            is_cold_assumed: false,
            cold_assumed_order: 0,
            cold_turn: UsedTurn::default(),
            announced_leaving: false,
            listed: true,
            delist_at: TimePoint::NEVER,
            fetchable_until: TimePoint::NEVER,
            entry,
        }
    }

    /// Calls that the target runs at once without slowing down, as learned; `None` if its entry states no slots.
    pub(crate) fn comfortable_calls(&self, now: TimePoint) -> Option<u32> {
        (self.entry.slots > 0).then(|| self.speed.estimate(now, self.entry.slots).concurrency)
    }

    /// Limits the time in which other engines may fetch from a target that is draining, missing or
    /// replaced.
    fn limit_fetching(&mut self, now: TimePoint) {
        self.fetchable_until = self.fetchable_until.min(now.after(DRAINING_CACHE_TTL));
    }

    /// Ends new calls to the target for good.
    fn mark_leaving(&mut self, now: TimePoint) {
        self.announced_leaving = true;
        self.lifecycle.on_leaving_listed(now);
        self.limit_fetching(now);
    }

    /// Whether the target is listed and neither draining nor leaving, so that it may get new calls.
    pub(crate) fn accepts_calls(&self, now: TimePoint) -> bool {
        let is_draining =
            matches!(self.lifecycle.phase(now), TargetPhase::Leaving(_) | TargetPhase::Drained);
        self.listed && !self.entry.draining && !is_draining && !self.delist_at.passed(now)
    }

    /// Whether a call may be sent to the target now.
    pub(crate) fn can_be_sent_calls(&self, now: TimePoint) -> bool {
        self.accepts_calls(now)
            && !self.is_evacuated
            && self.paused_until.passed(now)
            && self.allowance.has_room(now)
    }

    /// Speed of the target; that of its pool and all slots where routers do not adapt to it.
    pub(crate) fn speed_estimate(&self, now: TimePoint, is_adaptive: bool) -> SpeedEstimate {
        match is_adaptive {
            true => self.speed.estimate(now, self.entry.slots),
            false => SpeedEstimate::default_of(self.entry.slots),
        }
    }

    /// Whether the target is ejected after a failure.
    pub(crate) fn is_ejected(&self, now: TimePoint) -> bool {
        matches!(self.lifecycle.phase(now), TargetPhase::Held(_))
    }

    /// Records the outcome of an attempt, also for the next report to other routers.
    pub(crate) fn record_outcome(&mut self, now: TimePoint, failed: bool) {
        let outcome = OutcomeCount::single(failed);
        self.failure_rate.record(now, outcome);
        self.unreported_outcomes = self.unreported_outcomes.plus(outcome);
    }

    /// Records that a connection to the target failed.
    pub(crate) fn on_unreachable(&mut self, now: TimePoint) {
        self.unreachable_until = now.after(UNREACHABLE_TTL);
    }

    /// Takes the target to accept connections again, until one fails.
    pub(crate) fn assume_reachable(&mut self) {
        self.link.reset();
        self.unreachable_until = TimePoint(0);
    }

    /// Returns whether a probe is due, never for an ejected target; if so, schedules the next one.
    pub(crate) fn take_due_probe(&mut self, now: TimePoint) -> bool {
        let is_due = self.next_probe_at.passed(now) && !self.is_ejected(now);
        if is_due {
            self.next_probe_at = now.after(TARGET_PROBE_INTERVAL);
        }
        is_due
    }

    /// Records the content of a call that the target lost.
    pub(crate) fn on_content_lost(
        &mut self,
        now: TimePoint,
        sent_at: TimePoint,
        content: &[ContentKey],
    ) {
        if self.content_lost_at.after(CRASH_CONFIRM_WINDOW).passed(now) {
            self.lost_content.clear();
        }
        if self.lost_content.is_empty() {
            self.content_lost_at = now;
        }
        for key in content {
            let latest = self.lost_content.entry(*key).or_insert(sent_at);
            *latest = sent_at.max(*latest);
        }
    }

    /// Returns whether a target that lost content is to be probed; if so, schedules the next probe.
    pub(crate) fn take_crash_probe(&mut self, now: TimePoint) -> bool {
        let is_due = !self.lost_content.is_empty() && self.next_crash_probe_at.passed(now);
        if is_due {
            self.next_crash_probe_at = now.after(CRASH_PROBE_INTERVAL);
        }
        is_due
    }

    /// Takes the content that the target lost shortly before it stopped accepting connections, with
    /// the time of the first loss.
    pub(crate) fn take_crash(
        &mut self,
        now: TimePoint,
    ) -> Option<(TimePoint, Vec<SuspectContent>)> {
        let content = std::mem::take(&mut self.lost_content);
        let is_recent = !self.content_lost_at.after(CRASH_CONFIRM_WINDOW).passed(now);
        let suspects = content.into_iter().map(|(key, sent_at)| SuspectContent { key, sent_at });
        let suspects: Vec<SuspectContent> = suspects.collect();
        (is_recent && !suspects.is_empty()).then_some((self.content_lost_at, suspects))
    }

    /// Whether a connection to the target failed within the last [`UNREACHABLE_TTL`].
    pub(crate) fn is_unreachable(&self, now: TimePoint) -> bool {
        !self.unreachable_until.passed(now)
    }
}

impl TargetTable {
    pub(crate) fn new(evacuations: EvacuationTable) -> Self {
        Self {
            records: BTreeMap::new(),
            keys_by_name: BTreeMap::new(),
            keys_by_hash: BTreeMap::new(),
            next_key: 0,
            leaving_until: BTreeMap::new(),
            software: SoftwareHistory::default(),
            news: TargetNews::default(),
            evacuations,
            relist_until: TimePoint(0),
            restored_until: TimePoint(0),
        }
    }

    /// Applies the list of evacuated failure domains to all targets.
    pub(crate) fn apply_evacuations(&mut self) {
        for record in self.records.values_mut() {
            record.is_evacuated = self.evacuations.excludes(&record.entry.failure_domain);
        }
    }

    /// Replaces the list: adds or updates the given entries and marks all others as missing.
    pub(crate) fn replace_all(&mut self, now: TimePoint, entries: Vec<TargetEntry>) {
        let listed_names: BTreeSet<HostName> =
            entries.iter().map(|entry| entry.name.clone()).collect();
        for entry in entries {
            self.upsert(now, entry);
        }
        let missing_names: Vec<HostName> =
            self.keys_by_name.keys().filter(|name| !listed_names.contains(name)).cloned().collect();
        for name in missing_names {
            self.mark_missing(now, &name);
        }
    }

    /// Adds or updates an entry. A changed incarnation, address, pool or software version makes it a
    /// new target.
    pub(crate) fn upsert(&mut self, now: TimePoint, entry: TargetEntry) {
        let software = SoftwareKey::of_target(&entry);
        self.software.on_listed(now, &entry.pool, software);
        if let Some(key) = self.keys_by_name.get(&entry.name).copied()
            && let Some(record) = self.records.get_mut(&key)
        {
            let is_same_instance = record.entry.incarnation == entry.incarnation
                && record.entry.address == entry.address
                && record.entry.pool == entry.pool
                && record.entry.software_version == entry.software_version;
            if is_same_instance {
                record.listed = true;
                record.delist_at = TimePoint::NEVER;
                if !entry.draining && !record.announced_leaving {
                    record.fetchable_until = TimePoint::NEVER;
                    record.lifecycle.on_live(now);
                }
                if entry.draining && !record.entry.draining {
                    record.lifecycle.on_leaving_listed(now);
                    record.limit_fetching(now);
                }
                record.is_evacuated = self.evacuations.excludes(&entry.failure_domain);
                record.entry = entry;
                return;
            }
            record.listed = false;
            record.limit_fetching(now);
        }
        let key = TargetKey(self.next_key);
        self.next_key += 1;
        self.keys_by_name.insert(entry.name.clone(), key);
        let mut record = TargetRecord::new(entry);
        record.is_evacuated = self.evacuations.excludes(&record.entry.failure_domain);
        if self.leaving_until.contains_key(&record.target_hash) {
            record.mark_leaving(now);
        }
        self.keys_by_hash.insert(record.target_hash, key);
        self.records.insert(key, record);
    }

    /// The entry of a target as it is listed; `None` if it is not, or no longer.
    pub(crate) fn listed_entry(&self, name: &HostName) -> Option<&TargetEntry> {
        let record = self.records.get(self.keys_by_name.get(name)?)?;
        let is_listed = record.listed && record.delist_at == TimePoint::NEVER;
        is_listed.then_some(&record.entry)
    }

    /// Names of the listed targets.
    pub(crate) fn listed_names(&self) -> Vec<HostName> {
        let names = self.keys_by_name.keys();
        names.filter(|name| self.listed_entry(name).is_some()).cloned().collect()
    }

    /// Marks an entry as missing from the list. Shortly after an outage of the platform, it gets
    /// time to be listed again before it is removed.
    pub(crate) fn mark_missing(&mut self, now: TimePoint, name: &HostName) {
        let Some(key) = self.keys_by_name.get(name).copied() else { return };
        let Some(record) = self.records.get_mut(&key) else { return };
        let delist_at = now.max(self.relist_until);
        if record.delist_at > delist_at {
            record.delist_at = delist_at;
            record.limit_fetching(delist_at);
        }
    }

    /// Records that a target announced that it leaves: from now on this start of it gets no calls,
    /// whatever its entry says, also if the target is not listed yet. Returns what the list says of a
    /// known target if this is new.
    pub(crate) fn on_leaving_announced(
        &mut self,
        now: TimePoint,
        target_hash: u64,
    ) -> Option<LeavingNotice> {
        self.leaving_until.insert(target_hash, now.after(LEAVING_TTL));
        if self.leaving_until.len() > LEAVING_MAX {
            self.forget_oldest_leaving();
        }
        let record = self.find_by_hash_mut(target_hash)?;
        if record.announced_leaving {
            return None;
        }
        let notice = LeavingNotice { listed_as_serving: record.accepts_calls(now) };
        record.mark_leaving(now);
        Some(notice)
    }

    fn forget_oldest_leaving(&mut self) {
        let oldest = self.leaving_until.iter().min_by_key(|(_, until)| **until);
        if let Some(target_hash) = oldest.map(|(target_hash, _)| *target_hash) {
            self.leaving_until.remove(&target_hash);
        }
    }

    /// Hashes of the targets that announced that they leave.
    pub(crate) fn leaving_hashes(&self) -> impl Iterator<Item = u64> {
        self.leaving_until.keys().copied()
    }

    /// Starts the time in which missing entries may be listed again.
    pub(crate) fn on_platform_reconnected(&mut self, now: TimePoint) {
        self.relist_until = now.after(PLATFORM_RECONNECT_GRACE);
    }

    /// Records that the platform was restored from a copy some seconds old: entries that it lacks get time to
    /// be listed again.
    pub(crate) fn on_platform_restored(&mut self, now: TimePoint) {
        self.on_platform_reconnected(now);
        self.restored_until = now.after(PLATFORM_RECONNECT_GRACE);
        self.evacuations.on_platform_restored(now);
    }

    /// Whether an entry is of a restored copy and older than what is known: a start of a target that drains does
    /// not serve again.
    pub(crate) fn is_outdated_copy(&self, now: TimePoint, entry: &TargetEntry) -> bool {
        let is_same_start = |known: &&TargetEntry| {
            (known.incarnation, known.address) == (entry.incarnation, entry.address)
        };
        let known = self.listed_entry(&entry.name).filter(is_same_start);
        let is_undone = known.is_some_and(|known| known.draining && !entry.draining);
        is_undone && self.is_restored_lately(now)
    }

    /// Whether the platform was restored from a copy so recently that targets may not have written again what the copy
    /// lacks.
    pub(crate) fn is_restored_lately(&self, now: TimePoint) -> bool {
        !self.restored_until.passed(now)
    }

    /// Removes targets that are not listed, have no calls in flight and cannot be fetched from;
    /// returns their hashes.
    pub(crate) fn sweep(&mut self, now: TimePoint) -> Vec<u64> {
        for record in self.records.values_mut() {
            if record.delist_at.passed(now) {
                record.listed = false;
            }
            if record.listed {
                self.software.on_listed(now, &record.entry.pool, record.software);
            }
        }
        let (keys_by_name, keys_by_hash) = (&mut self.keys_by_name, &mut self.keys_by_hash);
        self.software.sweep(now);
        self.news.sweep(now);
        let mut removed_hashes = Vec::new();
        self.records.retain(|key, record| {
            let is_kept =
                record.listed || record.own_in_flight > 0 || !record.fetchable_until.passed(now);
            if !is_kept && keys_by_name.get(&record.entry.name) == Some(key) {
                keys_by_name.remove(&record.entry.name);
            }
            if !is_kept && keys_by_hash.get(&record.target_hash) == Some(key) {
                keys_by_hash.remove(&record.target_hash);
            }
            if !is_kept {
                removed_hashes.push(record.target_hash);
            }
            is_kept
        });
        let keys_by_hash = &self.keys_by_hash;
        self.leaving_until.retain(|target_hash, until| {
            if keys_by_hash.contains_key(target_hash) {
                *until = now.after(LEAVING_TTL);
            }
            !until.passed(now)
        });
        removed_hashes
    }

    pub(crate) fn get(&self, key: TargetKey) -> Option<&TargetRecord> {
        self.records.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetRecord> {
        self.records.get_mut(&key)
    }

    pub(crate) fn key_of_hash(&self, target_hash: u64) -> Option<TargetKey> {
        self.keys_by_hash.get(&target_hash).copied()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (TargetKey, &mut TargetRecord)> {
        self.records.iter_mut().map(|(key, record)| (*key, record))
    }

    pub(crate) fn find_by_hash(&self, target_hash: u64) -> Option<&TargetRecord> {
        self.records.get(self.keys_by_hash.get(&target_hash)?)
    }

    /// The record of the current start of a target.
    pub(crate) fn find_by_name_mut(&mut self, name: &HostName) -> Option<&mut TargetRecord> {
        self.records.get_mut(self.keys_by_name.get(name)?)
    }

    pub(crate) fn find_by_hash_mut(&mut self, target_hash: u64) -> Option<&mut TargetRecord> {
        self.records.get_mut(self.keys_by_hash.get(&target_hash)?)
    }

    /// Records the outcomes of another router's calls to a target; ignored when the target is
    /// unknown.
    pub(crate) fn record_peer_outcomes(
        &mut self,
        now: TimePoint,
        target_hash: u64,
        counts: OutcomeCount,
    ) {
        if let Some(record) = self.find_by_hash_mut(target_hash) {
            record.failure_rate.record(now, counts);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetRecord)> {
        self.records.iter().map(|(key, record)| (*key, record))
    }

    /// Returns the targets of a pool that still respond: those that accept calls, and those that
    /// became draining, missing or replaced at most [`DRAINING_CACHE_TTL`] ago.
    pub(crate) fn responding<'table>(
        &'table self,
        now: TimePoint,
        pool: &'table PoolName,
    ) -> impl Iterator<Item = (TargetKey, &'table TargetRecord)> {
        self.iter().filter(move |(_, record)| {
            record.entry.pool == *pool
                && (record.accepts_calls(now) || !record.fetchable_until.passed(now))
        })
    }
}
