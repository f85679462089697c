//! What a router that starts takes over from another one.

use std::{net::SocketAddr, time::Duration};

use base_types::{HostName, TimePoint, key_types, value_types};
use policy_routing::{affinity_hash, rendezvous_score};
use state_config::FleetConfig;

use crate::{ForwardCore, PromptPart, TargetEntry};

/// Prompt parts of a snapshot, the ones used last.
const PARTS_MAX: usize = 2_048;

/// Prompt parts of one engine that are taken over when it tells what it holds.
const ENGINE_PARTS_MAX: usize = 192;

/// Time after which a router has heard of most of what targets hold.
const SETTLE_TIME: Duration = Duration::from_secs(3);

key_types! {
    /// An engine that is asked what it holds.
    pub struct EngineAddress {
        /// Hash of its identity.
        pub hash: u64,
        /// Where it listens.
        pub address: SocketAddr,
    }
}

value_types! {
    /// A prompt part and the targets that hold it.
    #[derive(Eq)]
    pub struct HeldPart {
        /// Identity of the part.
        pub part: u64,
        /// Identity hashes of the targets.
        pub targets: Vec<u64>,
    }

    /// What one router knows that a starting one can use.
    #[derive(Eq)]
    pub struct PeerSnapshot {
        /// Whether the router has served for long enough to know what targets hold.
        pub settled: bool,
        /// The configuration in force.
        pub config: Option<FleetConfig>,
        /// The targets that the platform lists.
        pub targets: Vec<TargetEntry>,
        /// Holders of prompt parts, the part used last first.
        pub held: Vec<HeldPart>,
    }
}

impl ForwardCore {
    /// What this router knows.
    pub fn snapshot(&self, now: TimePoint) -> PeerSnapshot {
        let targets = self.targets.iter().filter(|(_, record)| record.stays(now));
        let settled = self.version().is_some() && SETTLE_TIME <= now.since(self.began);
        // What a router that starts itself knows of engines' contents comes with its beats.
        let held = self.holders.most_recent(if settled { PARTS_MAX } else { 0 });
        PeerSnapshot {
            settled,
            config: self.config.clone(),
            targets: targets.map(|(_, record)| record.entry.clone()).collect(),
            held: held.map(|(part, targets)| HeldPart { part, targets }).collect(),
        }
    }

    /// Takes over what another router knows; what this one has from the platform stays.
    pub fn restore(&mut self, now: TimePoint, snapshot: PeerSnapshot) {
        if let Some(config) = snapshot.config {
            self.adopt_config(now, config);
        }
        if !self.targets_listed && !snapshot.targets.is_empty() {
            self.list_targets(now, snapshot.targets);
        }
        for held in snapshot.held.into_iter().rev() {
            for target in held.targets {
                self.holders.record_cached(now, held.part, target);
            }
        }
    }

    /// Engines whose contents this router is to ask for when no router knows them.
    ///
    /// Each engine falls to one router of the store's list, so that it is asked once.
    pub fn engines_to_ask(&self, now: TimePoint) -> Vec<EngineAddress> {
        let Some(config) = &self.config else { return Vec::new() };
        let engines = self.targets.iter().filter(|(_, record)| {
            let pool = config.pools.get(&record.entry.pool);
            record.stays(now) && pool.is_some_and(|pool| pool.engine.is_some())
        });
        let own = engines.filter(|(_, record)| self.falls_to_this(record.hash));
        own.map(|(_, record)| EngineAddress { hash: record.hash, address: record.entry.address })
            .collect()
    }

    /// An engine told which prompt parts it holds.
    ///
    /// Only the longest are kept, as most of the others are not shared by another call.
    pub fn contents_heard(&mut self, now: TimePoint, engine: u64, mut parts: Vec<PromptPart>) {
        parts.sort_by_key(|part| std::cmp::Reverse(part.tokens));
        for part in parts.iter().take(ENGINE_PARTS_MAX) {
            self.holders.record_cached(now, part.part, engine);
            self.told_parts.push((part.part, engine));
        }
    }

    fn falls_to_this(&self, target: u64) -> bool {
        let score =
            |name: &HostName| rendezvous_score(target, affinity_hash(name.as_str().as_bytes()), 1);
        let own = score(&self.entry.name);
        self.peers.entries().all(|peer| score(&peer.name) < own)
    }
}
