//! The other routers of the fleet and the heartbeats between them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base_types::{HostName, LoadShare, TimePoint, key_types, value_types};
use policy_targets::OutcomeCount;

use crate::{ContentReport, LimitNotice, OriginNotice};

/// Time for which a router counts as alive after its last heartbeat.
const HEARTBEAT_TTL: Duration = Duration::from_millis(1_500);

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

#[derive(Debug)]
struct PeerRecord {
    entry: RouterEntry,
    alive_until: TimePoint,
    serving: bool,
    listed: bool,
}

/// The other routers, from the platform's store and from their heartbeats.
#[derive(Debug, Default)]
pub(crate) struct PeerRegistry {
    records: BTreeMap<HostName, PeerRecord>,
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
                }
            }
            None => {
                let name = entry.name.clone();
                let record =
                    PeerRecord { entry, alive_until: TimePoint(0), serving: false, listed: true };
                self.records.insert(name, record);
            }
        }
    }

    /// Removes the router whose entry was removed from the store.
    pub(crate) fn remove(&mut self, name: &HostName) {
        self.records.remove(name);
    }

    /// Records a heartbeat; returns whether the router restarted since the previous one.
    pub(crate) fn record_heartbeat(&mut self, now: TimePoint, heartbeat: &PeerHeartbeat) -> bool {
        let record =
            self.records.entry(heartbeat.entry.name.clone()).or_insert_with(|| PeerRecord {
                entry: heartbeat.entry.clone(),
                alive_until: TimePoint(0),
                serving: false,
                listed: false,
            });
        let is_restarted = record.entry.incarnation != heartbeat.entry.incarnation;
        if is_restarted {
            record.entry = heartbeat.entry.clone();
        }
        record.alive_until = now.after(HEARTBEAT_TTL);
        record.serving = heartbeat.ready && !heartbeat.shutting_down;
        is_restarted
    }

    /// Returns the routers that are alive and serve callers.
    pub(crate) fn serving(&self, now: TimePoint) -> impl Iterator<Item = &RouterEntry> {
        let is_alive =
            move |record: &&PeerRecord| record.serving && !record.alive_until.passed(now);
        self.records.values().filter(is_alive).map(|record| &record.entry)
    }

    /// Returns all routers that heartbeats are sent to.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &RouterEntry> {
        self.records.values().map(|record| &record.entry)
    }
}
