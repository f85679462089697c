//! Snapshots that a starting router reads from a running one.

use std::{net::SocketAddr, time::Duration};

use base_types::{HostName, TimePoint, key_types, value_types};
use policy_routing::{rendezvous_score, stable_hash};
use state_config::FleetConfig;

use super::cold::add_cold_rules;
use crate::{
    ContentReport, ForwardCore, OriginNotice, PromptSegment, SnapshotExtension, SoftwareNotice,
    TargetEntry,
};

/// Largest number of prompt segments in a snapshot; the most recently used are included.
const SNAPSHOT_SEGMENTS_MAX: usize = 2_048;

/// Largest number of stream origins in a snapshot.
const SNAPSHOT_ORIGINS_MAX: usize = 16_384;

/// Largest number of prompt segments taken from the list of one engine.
const ENGINE_SEGMENTS_MAX: usize = 192;

/// Time from a router's first configuration until it knows most of what targets have cached.
const SETTLE_TIME: Duration = Duration::from_secs(3);

key_types! {
    /// An engine whose list of cached segments is queried.
    pub struct EngineAddress {
        /// Hash of the engine's name and incarnation.
        pub engine_hash: u64,
        /// Address that the engine listens on.
        pub address: SocketAddr,
    }
}

value_types! {
    /// A prompt segment and the targets that cache it.
    #[derive(Eq)]
    pub struct SegmentHolders {
        /// Identity of the segment.
        pub segment: u64,
        /// Hashes of the targets' names and incarnations.
        pub target_hashes: Vec<u64>,
    }

    /// State of a running router that a starting one restores.
    #[derive(Eq)]
    pub struct PeerSnapshot {
        /// Whether the router has run for long enough to know what targets have cached.
        pub settled: bool,
        /// Configuration in force; `None` when the router has none.
        pub config: Option<FleetConfig>,
        /// Targets that accept calls.
        pub targets: Vec<TargetEntry>,
        /// Hashes of targets that announced that they leave; the platform may still list them.
        pub leaving_targets: Vec<u64>,
        /// Origins of streams that callers may resume.
        pub stream_origins: Vec<OriginNotice>,
        /// Crashes of targets, and content that is blocked because of them.
        pub content: ContentReport,
        /// Software that targets ran in the time in which a stream may last.
        pub software: Vec<SoftwareNotice>,
        /// Whether this is all such software.
        pub software_complete: bool,
        /// Holders of prompt segments, the most recently used segment first; empty until the router
        /// is settled.
        pub segment_holders: Vec<SegmentHolders>,
        /// Facts that the layout above, which is frozen, does not have.
        #[serde(skip)]
        pub extension: SnapshotExtension,
    }
}

impl ForwardCore {
    /// Returns a snapshot of this router's state for a starting router.
    pub fn snapshot(&self, now: TimePoint) -> PeerSnapshot {
        let targets = self.targets.iter().filter(|(_, record)| record.accepts_calls(now));
        let settled = self.version().is_some() && SETTLE_TIME <= now.since(self.first_config_at);
        // While this router is not settled, the starting one learns segment holders from its
        // heartbeats.
        let segments = self.segments.most_recent(if settled { SNAPSHOT_SEGMENTS_MAX } else { 0 });
        PeerSnapshot {
            settled,
            config: self.config.clone(),
            targets: targets.map(|(_, record)| record.entry.clone()).collect(),
            leaving_targets: self.targets.leaving_hashes().collect(),
            stream_origins: self.origins.notices(now).take(SNAPSHOT_ORIGINS_MAX).collect(),
            content: self.crashes.full_report(now),
            software: self.targets.software.notices(now).collect(),
            software_complete: self.targets.software.is_complete(now),
            segment_holders: segments
                .map(|(segment, target_hashes)| SegmentHolders { segment, target_hashes })
                .collect(),
            extension: SnapshotExtension {
                cold_targets: self.cold_notices(now),
                cold_rates: self.cold_rates(),
                evacuations: self.targets.evacuations.full_report(),
                speeds: self.speed_records(now),
                fragile_pools: self.fragile_notices(now),
            },
        }
    }

    /// Restores the state of another router; an already known list of targets and a configuration
    /// of the same or a later version are kept.
    pub fn restore(&mut self, now: TimePoint, snapshot: PeerSnapshot) {
        if let Some(mut config) = snapshot.config {
            add_cold_rules(&mut config, &snapshot.extension.cold_rates);
            self.is_config_partial |= self.adopt_config(now, config);
        }
        if let Some(notice) = &snapshot.extension.evacuations {
            self.on_evacuation_notice(now, notice);
        }
        for target_hash in snapshot.leaving_targets {
            self.targets.on_leaving_announced(now, target_hash);
        }
        for notice in snapshot.stream_origins {
            self.origins.on_notice(now, notice);
        }
        self.crashes.on_report(now, &snapshot.content);
        for notice in &snapshot.software {
            self.targets.software.on_notice(now, notice);
        }
        if snapshot.software_complete {
            self.targets.software.on_past_read(now, true);
        }
        if !self.targets_listed && !snapshot.targets.is_empty() {
            self.list_targets(now, snapshot.targets);
            self.on_cold_notices(now, &snapshot.extension.cold_targets);
        }
        self.on_fragile_notices(now, &snapshot.extension.fragile_pools);
        self.restore_speeds(now, &snapshot.extension.speeds);
        for holders in snapshot.segment_holders.into_iter().rev() {
            for target_hash in holders.target_hashes {
                self.segments.record_cached(now, holders.segment, target_hash);
            }
        }
    }

    /// Returns the engines whose cached segments this router queries when no other router knows
    /// them.
    ///
    /// Rendezvous hashing assigns each engine to one router of the store's list, so that it is
    /// queried once.
    pub fn engines_to_query(&self, now: TimePoint) -> Vec<EngineAddress> {
        let Some(config) = &self.config else { return Vec::new() };
        let engines = self.targets.iter().filter(|(_, record)| {
            let pool = config.pools.get(&record.entry.pool);
            record.accepts_calls(now) && pool.is_some_and(|pool| pool.engine.is_some())
        });
        let assigned = engines.filter(|(_, record)| self.is_assigned_here(record.target_hash));
        assigned
            .map(|(_, record)| EngineAddress {
                engine_hash: record.target_hash,
                address: record.entry.address,
            })
            .collect()
    }

    /// Records the segments that an engine says it has cached.
    ///
    /// Only the longest are kept, as most of the others are not shared with another call.
    pub fn on_cached_segments(
        &mut self,
        now: TimePoint,
        engine_hash: u64,
        mut segments: Vec<PromptSegment>,
    ) {
        segments.sort_by_key(|segment| std::cmp::Reverse(segment.tokens));
        for segment in segments.iter().take(ENGINE_SEGMENTS_MAX) {
            self.segments.record_cached(now, segment.id, engine_hash);
            self.unreported_holders.push((segment.id, engine_hash));
        }
    }

    /// Whether rendezvous hashing assigns a hash to this router among those of the store's list.
    pub(super) fn is_assigned_here(&self, hash: u64) -> bool {
        let score =
            |name: &HostName| rendezvous_score(hash, stable_hash(name.as_str().as_bytes()), 1);
        let own_score = score(&self.entry.name);
        self.peers.entries().all(|peer| score(&peer.name) < own_score)
    }
}
