//! The other routers of the fleet and the heartbeats between them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base_types::{HostName, LoadShare, TimePoint, key_types, value_types};
use policy_routing::{LoadClass, PeerClass};
use policy_targets::OutcomeCount;
use state_config::ConfigVersion;

use crate::{
    ContentReport, DecodedHeartbeat, HeartbeatExtension, LimitNotice, MessageAuthenticity,
    OriginNotice, PeerFormat, RecordTag, RouterCapacity, SoftwareNotice, TargetNotice,
    replays::ReplayGuard,
};

/// Time for which a router counts as alive after its last heartbeat.
const HEARTBEAT_TTL: Duration = Duration::from_millis(1_500);

/// Time for which the start of a router's shutdown is kept; longer than any takes.
const STOP_TTL: Duration = Duration::from_secs(60);

/// Time for which no calls are sent through a router that did not accept a connection or a call.
const DETOUR_REFUSED_TTL: Duration = Duration::from_secs(1);

/// Time for which a router's capacity counts after the last heartbeat that stated it. Routers that state
/// one do so in each heartbeat.
const CAPACITY_TTL: Duration = Duration::from_secs(30);

value_types! {
    /// Entry of a router in the platform's store.
    #[derive(Eq)]
    pub struct RouterEntry {
        /// Name of the router's host; identifies the router.
        pub name: HostName,
        /// Address that callers connect to.
        #[serde(rename = "callers")]
        pub caller_address: SocketAddr,
        /// Address that other routers send heartbeats to and read snapshots from.
        #[serde(rename = "peers")]
        pub peer_address: SocketAddr,
        /// Failure domain of the router.
        #[serde(rename = "zone")]
        pub failure_domain: Box<str>,
        /// Identifies one start of the router; differs after a restart.
        pub incarnation: u64,
        /// Secret that routers show to send calls of their callers through this one; empty if it takes
        /// none.
        #[serde(default)]
        pub detour_key: Box<str>,
    }

    /// Heartbeat that a router sends to all others several times a second.
    #[derive(Eq)]
    pub struct PeerHeartbeat {
        /// Entry of the sending router.
        pub entry: RouterEntry,
        /// Whether the router is shutting down.
        pub shutting_down: bool,
        /// Whether the router is ready to serve callers.
        pub ready: bool,
        /// Calls of the router in flight, by target.
        pub load_share: LoadShare,
        /// Pairs of a prompt segment and the hash of a target that caches or prefills it, new since
        /// the previous heartbeat.
        pub segment_holders: Vec<(u64, u64)>,
        /// Outcomes of the router's calls since the previous heartbeat, by target.
        pub outcomes: Vec<TargetOutcomes>,
        /// Crashes of targets and the content that they ran.
        pub content: ContentReport,
        /// Limits that targets name, and the calls that count against them.
        pub limits: Vec<LimitNotice>,
        /// Hashes of targets that announced to the router that they leave.
        pub leaving_targets: Vec<u64>,
        /// Origins of streams that began through the router.
        pub stream_origins: Vec<OriginNotice>,
        /// Changes of targets' entries that the router read from the platform before others told it.
        pub target_changes: Vec<TargetNotice>,
        /// Software that the router saw first, as far as it knows.
        pub software: Vec<SoftwareNotice>,
        /// Hashes of the pools none of whose targets accepts connections of the router.
        pub unreachable_pools: Vec<u64>,
        /// Whether these are all pools with targets.
        pub cut_off: bool,
        /// Facts that the layout above, which is frozen, does not have.
        #[serde(skip)]
        pub extension: HeartbeatExtension,
    }
}

key_types! {
    /// Outcomes of calls to one target.
    pub struct TargetOutcomes {
        /// Hash of the target's name and incarnation.
        pub target_hash: u64,
        /// Number of calls that finished and of those that failed.
        pub counts: OutcomeCount,
    }
}

/// What a heartbeat says of its sender beside its fields.
#[derive(Debug)]
pub(crate) struct HeartbeatEnvelope {
    sender: HostName,
    format: PeerFormat,
    /// Incarnation and sequence, if the MAC verified.
    verified: Option<(u64, u64)>,
}

impl HeartbeatEnvelope {
    pub(crate) fn new(decoded: &DecodedHeartbeat) -> Self {
        let PeerHeartbeat { entry, load_share, .. } = &decoded.message;
        let is_verified = decoded.authenticity == MessageAuthenticity::Verified;
        Self {
            sender: entry.name.clone(),
            format: decoded.format,
            verified: is_verified.then_some((entry.incarnation, load_share.sequence)),
        }
    }
}

#[derive(Debug)]
pub(crate) struct PeerRecord {
    pub(crate) entry: RouterEntry,
    alive_until: TimePoint,
    serving: bool,
    listed: bool,
    /// Calls of the router in flight, by its last heartbeat.
    calls_in_flight: u32,
    /// Calls that this router has sent through it and that are in flight.
    detours: u32,
    /// Time until which no calls are sent through it, as it did not accept a connection or a call.
    refusing_until: TimePoint,
    unreachable_pools: Vec<u64>,
    cut_off: bool,
    record_refused: bool,
    capacity: Option<PeerCapacity>,
    /// Version of the configuration that it stated; `None` before it stated one, as a router of an earlier build never
    /// does.
    config_version: Option<ConfigVersion>,
    /// Latest format of the heartbeats of its current start; that of the frozen layout until one was
    /// received.
    format: PeerFormat,
}

/// Capacity of a router, from its heartbeats.
#[derive(Debug, Clone, Copy)]
struct PeerCapacity {
    weight: u32,
    class: PeerClass,
    until: TimePoint,
}

impl PeerRecord {
    fn new(entry: RouterEntry, listed: bool) -> Self {
        Self {
            entry,
            alive_until: TimePoint(0),
            serving: false,
            listed,
            calls_in_flight: 0,
            detours: 0,
            refusing_until: TimePoint(0),
            unreachable_pools: Vec::new(),
            cut_off: false,
            record_refused: false,
            capacity: None,
            config_version: None,
            format: PeerFormat::default(),
        }
    }

    /// Whether the router stated a version of the configuration or a later one; versions do not go down while it runs.
    fn has_config(&self, version: ConfigVersion) -> bool {
        self.config_version.is_some_and(|stated| version <= stated)
    }

    /// Calls of the router, and those sent through it that its last heartbeat may not contain.
    pub(crate) fn calls(&self) -> u32 {
        self.calls_in_flight.saturating_add(self.detours)
    }

    /// Takes over the capacity in a heartbeat; the absence of one says nothing.
    fn record_capacity(&mut self, now: TimePoint, stated: Option<RouterCapacity>) {
        let Some(RouterCapacity { weight, load_percent }) = stated else { return };
        let known = self.capacity.filter(|known| !known.until.passed(now));
        let mut class =
            known.map_or_else(|| PeerClass::first(now, load_percent), |known| known.class);
        class.update(now, load_percent);
        self.capacity = Some(PeerCapacity { weight, class, until: now.after(CAPACITY_TTL) });
    }

    fn is_serving(&self, now: TimePoint) -> bool {
        self.serving && !self.alive_until.passed(now)
    }
}

/// The other routers, from the platform's store and from their heartbeats.
#[derive(Debug, Default)]
pub(crate) struct PeerRegistry {
    records: BTreeMap<HostName, PeerRecord>,
    replay_guard: ReplayGuard,
    /// Time at which routers that have not served since began to shut down, by name. Their entries are removed before
    /// they end.
    stops: BTreeMap<HostName, TimePoint>,
}

impl PeerRegistry {
    /// Replaces the list of routers, which must not contain this one. Routers that are not listed
    /// are removed, also those that sent heartbeats.
    pub(crate) fn replace_all(&mut self, entries: Vec<RouterEntry>) {
        for record in self.records.values_mut() {
            record.listed = false;
        }
        for entry in entries {
            self.upsert(entry);
        }
        self.records.retain(|_, record| record.listed);
    }

    /// Adds or updates an entry of the store. A changed entry counts as not alive until its next
    /// heartbeat.
    pub(crate) fn upsert(&mut self, entry: RouterEntry) {
        match self.records.get_mut(&entry.name) {
            Some(record) => {
                record.listed = true;
                if record.entry != entry {
                    record.entry = entry;
                    record.alive_until = TimePoint(0);
                    record.config_version = None;
                    record.format = PeerFormat::default();
                }
            }
            None => {
                let name = entry.name.clone();
                self.records.insert(name, PeerRecord::new(entry, true));
            }
        }
    }

    /// Removes the router whose entry was removed from the store.
    pub(crate) fn remove(&mut self, name: &HostName) {
        self.records.remove(name);
    }

    /// Records a heartbeat; returns whether the router restarted since the previous one.
    pub(crate) fn record_heartbeat(&mut self, now: TimePoint, heartbeat: &PeerHeartbeat) -> bool {
        let record = self
            .records
            .entry(heartbeat.entry.name.clone())
            .or_insert_with(|| PeerRecord::new(heartbeat.entry.clone(), false));
        let is_restarted = record.entry.incarnation != heartbeat.entry.incarnation;
        if is_restarted {
            record.entry = heartbeat.entry.clone();
            record.capacity = None;
            record.config_version = None;
            record.format = PeerFormat::default();
        }
        if let Some(version) = heartbeat.extension.config_version {
            record.config_version = Some(ConfigVersion(version));
        }
        record.alive_until = now.after(HEARTBEAT_TTL);
        record.serving = heartbeat.ready && !heartbeat.shutting_down;
        if heartbeat.shutting_down {
            self.stops.entry(heartbeat.entry.name.clone()).or_insert(now);
        } else if record.serving {
            self.stops.remove(&heartbeat.entry.name);
        }
        let loads = heartbeat.load_share.loads.iter();
        record.calls_in_flight = loads.fold(0, |sum: u32, load| sum.saturating_add(load.in_flight));
        record.unreachable_pools.clone_from(&heartbeat.unreachable_pools);
        record.cut_off = heartbeat.cut_off;
        record.record_refused = heartbeat.extension.record_refused;
        record.record_capacity(now, heartbeat.extension.capacity);
        is_restarted
    }

    /// Whether an authenticated heartbeat repeats an earlier one.
    pub(crate) fn is_replay(&self, decoded: &DecodedHeartbeat) -> bool {
        let PeerHeartbeat { entry, load_share, .. } = &decoded.message;
        let (incarnation, sequence) = (entry.incarnation, load_share.sequence);
        decoded.authenticity == MessageAuthenticity::Verified
            && self.replay_guard.is_replay(&entry.name, incarnation, sequence)
    }

    /// Records what the envelope of a heartbeat says, after the heartbeat itself.
    pub(crate) fn record_envelope(&mut self, now: TimePoint, envelope: HeartbeatEnvelope) {
        let Some(record) = self.records.get_mut(&envelope.sender) else { return };
        // A start of a router is of one build: a heartbeat whose extension was dropped does not say that
        // the router reads less.
        record.format = record.format.max(envelope.format);
        if let Some((incarnation, sequence)) = envelope.verified {
            self.replay_guard.record(now, envelope.sender, incarnation, sequence);
        }
    }

    /// Forgets what is too old to matter.
    pub(crate) fn sweep(&mut self, now: TimePoint) {
        self.replay_guard.sweep(now);
        self.stops.retain(|_, stopped_at| !stopped_at.after(STOP_TTL).passed(now));
    }

    /// Returns the times at which routers that have not served since began to shut down.
    pub(crate) fn stops(&self) -> impl Iterator<Item = TimePoint> {
        self.stops.values().copied()
    }

    /// Whether all live routers read records of a tag.
    pub(crate) fn all_read(&self, now: TimePoint, tag: RecordTag) -> bool {
        self.live(now).all(|record| record.format.reads(tag))
    }

    /// Returns the routers that are alive.
    pub(crate) fn alive(&self, now: TimePoint) -> impl Iterator<Item = &RouterEntry> {
        self.live(now).map(|record| &record.entry)
    }

    /// Returns the routers that are alive, serve callers and read records of a tag.
    pub(crate) fn serving_readers(
        &self,
        now: TimePoint,
        tag: RecordTag,
    ) -> impl Iterator<Item = &RouterEntry> {
        let serving = self.records.values().filter(move |record| record.is_serving(now));
        serving.filter(move |record| record.format.reads(tag)).map(|record| &record.entry)
    }

    /// The entry of a router.
    pub(crate) fn find(&self, name: &HostName) -> Option<&RouterEntry> {
        self.records.get(name).map(|record| &record.entry)
    }

    /// Returns the number of live routers by their format.
    pub(crate) fn by_format(&self, now: TimePoint) -> BTreeMap<PeerFormat, usize> {
        let mut counts = BTreeMap::new();
        for record in self.live(now) {
            *counts.entry(record.format).or_default() += 1;
        }
        counts
    }

    fn live(&self, now: TimePoint) -> impl Iterator<Item = &PeerRecord> {
        self.records.values().filter(move |record| !record.alive_until.passed(now))
    }

    /// Returns the routers that are alive and serve callers.
    pub(crate) fn serving(&self, now: TimePoint) -> impl Iterator<Item = &RouterEntry> {
        let serving = self.records.values().filter(move |record| record.is_serving(now));
        serving.map(|record| &record.entry)
    }

    /// Returns the serving routers whose last heartbeat is at most `silence` old, and whether the platform
    /// refuses what they record.
    pub(crate) fn recorder_candidates(
        &self,
        now: TimePoint,
        silence: Duration,
    ) -> impl Iterator<Item = (&RouterEntry, bool)> {
        let since =
            move |record: &PeerRecord| HEARTBEAT_TTL.saturating_sub(record.alive_until.since(now));
        let serving = self.records.values().filter(move |record| record.is_serving(now));
        let recent = serving.filter(move |record| since(record) <= silence);
        recent.map(|record| (&record.entry, record.record_refused))
    }

    /// Whether heartbeats of at least half of the other routers are at most `silence` old.
    pub(crate) fn receives_from_half(&self, now: TimePoint, silence: Duration) -> bool {
        let age = |record: &PeerRecord| HEARTBEAT_TTL.saturating_sub(record.alive_until.since(now));
        let recent = self.live(now).filter(|record| age(record) <= silence).count();
        self.records.len() <= 2 * recent
    }

    /// Returns the serving routers that reach targets.
    pub(crate) fn serving_with_links(&self, now: TimePoint) -> impl Iterator<Item = &RouterEntry> {
        let serving = self.records.values().filter(move |record| record.is_serving(now));
        serving.filter(|record| !record.cut_off).map(|record| &record.entry)
    }

    /// Returns the stated weight of a router and the class of its load; no weight and the lowest class
    /// where these are unknown.
    pub(crate) fn capacity(&self, now: TimePoint, name: &HostName) -> (Option<u32>, LoadClass) {
        let capacity = self.records.get(name).and_then(|record| record.capacity);
        match capacity.filter(|capacity| !capacity.until.passed(now)) {
            Some(capacity) => (Some(capacity.weight), capacity.class.class()),
            None => (None, LoadClass::Normal),
        }
    }

    /// Returns the serving routers that take calls of other routers, reach a pool and have a version of the
    /// configuration.
    pub(crate) fn reaching(
        &self,
        now: TimePoint,
        pool_hash: u64,
        version: ConfigVersion,
    ) -> impl Iterator<Item = &PeerRecord> {
        self.records.values().filter(move |record| {
            record.is_serving(now)
                && record.refusing_until.passed(now)
                && !record.entry.detour_key.is_empty()
                && !record.unreachable_pools.contains(&pool_hash)
                && record.has_config(version)
        })
    }

    /// Counts a call that is sent through a router.
    pub(crate) fn add_detour(&mut self, name: &HostName) {
        if let Some(record) = self.records.get_mut(name) {
            record.detours += 1;
        }
    }

    /// Records that a router did not accept a connection or a call.
    pub(crate) fn on_detour_refused(&mut self, now: TimePoint, name: &HostName) {
        if let Some(record) = self.records.get_mut(name) {
            record.refusing_until = now.after(DETOUR_REFUSED_TTL);
        }
    }

    /// Counts the end of such a call.
    pub(crate) fn remove_detour(&mut self, name: &HostName) {
        if let Some(record) = self.records.get_mut(name) {
            record.detours = record.detours.saturating_sub(1);
        }
    }

    /// Returns all routers that heartbeats are sent to.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &RouterEntry> {
        self.records.values().map(|record| &record.entry)
    }
}
