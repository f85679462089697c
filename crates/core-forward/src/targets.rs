//! The targets that the platform lists.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use base_types::{HostName, PoolName, TargetKey, TimePoint, message_types, value_types};
use policy_routing::affinity_hash;
use policy_targets::{OutcomeCount, OutcomeRate, TargetLife, TargetPhase};

/// Time for which a target that leaves still gives others what it holds.
const LEAVING_LIFE: Duration = Duration::from_secs(3);

/// Time for which a target that took no connection is not fetched from.
const UNREACHABLE_LIFE: Duration = Duration::from_secs(2);

/// Time between two checks of whether a silent target takes connections.
const CHECK_EVERY: Duration = Duration::from_secs(1);

/// Entries that lapsed while the platform was away are back within this time of its return.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

value_types! {
    /// A target as the platform lists it.
    #[derive(Eq)]
    pub struct TargetEntry {
        /// Name of the target.
        pub name: HostName,
        /// Its pool.
        pub pool: PoolName,
        /// Where it listens.
        pub address: SocketAddr,
        /// Zone of the target.
        pub zone: Box<str>,
        /// Calls that it runs at once.
        pub slots: u32,
        /// Whether it is about to leave.
        pub leaving: bool,
        /// Start of the target; another start holds nothing of before.
        pub incarnation: u64,
    }
}

message_types! {
    /// State of a target for views.
    pub struct TargetStatus {
        /// Name of the target.
        pub name: HostName,
        /// Calls of this router in flight.
        pub own: u32,
        /// Calls of other routers in flight, as far as heard.
        pub others: u32,
        /// Share of calls of all routers that failed lately, 0 to 1.
        pub failure_rate: f64,
        /// Prompt parts that it is known to hold.
        pub parts: usize,
        /// State in its life cycle.
        pub phase: TargetPhase,
    }
}

/// One target.
#[derive(Debug)]
pub(crate) struct TargetRecord {
    pub(crate) entry: TargetEntry,
    pub(crate) hash: u64,
    pub(crate) life: TargetLife,
    pub(crate) own: u32,
    /// Prompt tokens that this router's calls still have to read there.
    pub(crate) unread: u64,
    pub(crate) outcomes: OutcomeRate,
    /// Outcomes that the other routers were not told yet.
    pub(crate) untold: OutcomeCount,
    /// Point until which the target is taken to accept no connections.
    unreachable_until: TimePoint,
    /// Point from which it may be checked again.
    check_from: TimePoint,
    listed: bool,
    missing_until: TimePoint,
    /// Point until which a target that leaves still answers others.
    gone_at: TimePoint,
}

/// Arena of targets.
#[derive(Debug)]
pub(crate) struct TargetArena {
    records: BTreeMap<TargetKey, TargetRecord>,
    names: BTreeMap<HostName, TargetKey>,
    next: u32,
    /// Until then a missing entry may still come back.
    lenient_until: TimePoint,
}

impl TargetRecord {
    fn new(entry: TargetEntry) -> Self {
        let identity = format!("{}/{}", entry.name, entry.incarnation);
        Self {
            hash: affinity_hash(identity.as_bytes()),
            entry,
            life: TargetLife::serving(),
            own: 0,
            unread: 0,
            outcomes: OutcomeRate::default(),
            untold: OutcomeCount { failed: 0, ended: 0 },
            unreachable_until: TimePoint(0),
            check_from: TimePoint(0),
            listed: true,
            missing_until: TimePoint::NEVER,
            gone_at: TimePoint::NEVER,
        }
    }

    /// The target was said to leave, or is gone from the list.
    fn leave(&mut self, now: TimePoint) {
        self.gone_at = self.gone_at.min(now.after(LEAVING_LIFE));
    }

    /// Whether the platform lets it have new calls.
    pub(crate) fn stays(&self, now: TimePoint) -> bool {
        let leaving =
            matches!(self.life.phase(now), TargetPhase::Leaving(_) | TargetPhase::Drained);
        self.listed && !self.entry.leaving && !leaving && !self.missing_until.passed(now)
    }

    /// Whether it did not fail lately.
    pub(crate) fn is_held(&self, now: TimePoint) -> bool {
        matches!(self.life.phase(now), TargetPhase::Held(_))
    }

    /// Counts the outcome of a send.
    pub(crate) fn count(&mut self, now: TimePoint, failed: bool) {
        let call = OutcomeCount::one(failed);
        self.outcomes.count(now, call);
        self.untold = self.untold.plus(call);
    }

    /// The target took no connection.
    pub(crate) fn on_unreachable(&mut self, now: TimePoint) {
        self.unreachable_until = now.after(UNREACHABLE_LIFE);
    }

    /// Whether a check is due; the next one is due some time later.
    pub(crate) fn take_check(&mut self, now: TimePoint) -> bool {
        let due = self.check_from.passed(now) && !self.is_held(now);
        if due {
            self.check_from = now.after(CHECK_EVERY);
        }
        due
    }

    /// Whether the target took no connection lately.
    pub(crate) fn is_unreachable(&self, now: TimePoint) -> bool {
        !self.unreachable_until.passed(now)
    }
}

impl Default for TargetArena {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            names: BTreeMap::new(),
            next: 0,
            lenient_until: TimePoint(0),
        }
    }
}

impl TargetArena {
    /// Takes over the whole list at once.
    pub(crate) fn list(&mut self, now: TimePoint, entries: Vec<TargetEntry>) {
        let names: BTreeSet<HostName> = entries.iter().map(|entry| entry.name.clone()).collect();
        for entry in entries {
            self.put(now, entry);
        }
        let gone: Vec<HostName> =
            self.names.keys().filter(|name| !names.contains(name)).cloned().collect();
        for name in gone {
            self.remove(now, &name);
        }
    }

    /// Takes over one entry.
    pub(crate) fn put(&mut self, now: TimePoint, entry: TargetEntry) {
        if let Some(key) = self.names.get(&entry.name).copied()
            && let Some(record) = self.records.get_mut(&key)
        {
            let same = record.entry.incarnation == entry.incarnation
                && record.entry.address == entry.address
                && record.entry.pool == entry.pool;
            if same {
                record.listed = true;
                record.missing_until = TimePoint::NEVER;
                if !entry.leaving {
                    record.gone_at = TimePoint::NEVER;
                    record.life.on_live(now);
                }
                if entry.leaving && !record.entry.leaving {
                    record.life.on_leaving_listed(now);
                    record.leave(now);
                }
                record.entry = entry;
                return;
            }
            record.listed = false;
            record.leave(now);
        }
        let key = TargetKey(self.next);
        self.next += 1;
        self.names.insert(entry.name.clone(), key);
        self.records.insert(key, TargetRecord::new(entry));
    }

    /// An entry is gone; it may come back when the platform was away just before.
    pub(crate) fn remove(&mut self, now: TimePoint, name: &HostName) {
        let Some(key) = self.names.get(name).copied() else { return };
        let Some(record) = self.records.get_mut(&key) else { return };
        let until = now.max(self.lenient_until);
        if record.missing_until > until {
            record.missing_until = until;
            record.leave(until);
        }
    }

    /// The platform answers again after it was away.
    pub(crate) fn platform_returned(&mut self, now: TimePoint) {
        self.lenient_until = now.after(RETURN_TIME);
    }

    /// Forgets targets that are gone and have no call in flight; returns their identity hashes.
    pub(crate) fn sweep(&mut self, now: TimePoint) -> Vec<u64> {
        for record in self.records.values_mut() {
            if record.missing_until.passed(now) {
                record.listed = false;
            }
        }
        let names = &mut self.names;
        let mut dropped = Vec::new();
        self.records.retain(|key, record| {
            let keep = record.listed || record.own > 0 || !record.gone_at.passed(now);
            if !keep && names.get(&record.entry.name) == Some(key) {
                names.remove(&record.entry.name);
            }
            if !keep {
                dropped.push(record.hash);
            }
            keep
        });
        dropped
    }

    pub(crate) fn get(&self, key: TargetKey) -> Option<&TargetRecord> {
        self.records.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetRecord> {
        self.records.get_mut(&key)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut TargetRecord> {
        self.records.values_mut()
    }

    /// Counts calls of another router to the target of an identity.
    pub(crate) fn count_heard(&mut self, now: TimePoint, hash: u64, calls: OutcomeCount) {
        let heard = self.records.values_mut().find(|record| record.hash == hash);
        if let Some(record) = heard {
            record.outcomes.count(now, calls);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetRecord)> {
        self.records.iter().map(|(key, record)| (*key, record))
    }

    /// Targets of a pool that still answer: the open ones, and those that left just now.
    pub(crate) fn serving<'arena>(
        &'arena self,
        now: TimePoint,
        pool: &'arena PoolName,
    ) -> impl Iterator<Item = (TargetKey, &'arena TargetRecord)> {
        self.iter().filter(move |(_, record)| {
            record.entry.pool == *pool && (record.stays(now) || !record.gone_at.passed(now))
        })
    }
}
