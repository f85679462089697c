//! What routers tell each other, and which of them callers use.

use std::net::SocketAddr;

use base_types::{HostName, LoadShare, TargetLoad, TimePoint};

use policy_targets::OutcomeCount;

use crate::{ForwardCore, PeerBeat, RouterEntry, TargetOutcomes};

/// Prompt parts in one beat, so that a beat fits into a datagram.
const HELD_MAX: usize = 200;

/// Targets in one beat whose outcomes are told; the others follow in the next one.
const OUTCOMES_MAX: usize = 64;

/// Calls without a failure after which others are told of them; a failure is told at once.
const WHOLE_CALLS_TOLD: u32 = 6;

impl ForwardCore {
    /// The store's whole list of routers.
    pub fn list_routers(&mut self, entries: Vec<RouterEntry>) {
        let own = self.entry.name.clone();
        self.peers.list(entries.into_iter().filter(|entry| entry.name != own).collect());
    }

    /// One entry of the store's list of routers.
    pub fn put_router(&mut self, entry: RouterEntry) {
        if entry.name != self.entry.name {
            self.peers.put(entry);
        }
    }

    /// A router took its entry out of the store.
    pub fn remove_router(&mut self, name: &HostName) {
        self.peers.remove(name);
    }

    /// The next beat, for all other routers.
    pub fn next_beat(&mut self) -> PeerBeat {
        self.beat_sequence += 1;
        let loads = self.targets.iter().filter(|(_, record)| record.own > 0);
        let loads =
            loads.map(|(_, record)| TargetLoad { target: record.hash, in_flight: record.own });
        let share = LoadShare {
            router: self.entry.name.clone(),
            sequence: self.beat_sequence,
            loads: loads.collect(),
        };
        let count = self.told_parts.len().min(HELD_MAX);
        let held = self.told_parts.drain(..count).collect();
        PeerBeat {
            entry: self.entry.clone(),
            leaving: self.leaving,
            ready: self.ready(),
            share,
            held,
            outcomes: self.untold_outcomes(),
        }
    }

    fn untold_outcomes(&mut self) -> Vec<TargetOutcomes> {
        let due = |calls: OutcomeCount| calls.failed > 0 || calls.ended >= WHOLE_CALLS_TOLD;
        let records = self.targets.iter_mut().filter(|record| due(record.untold));
        let told = records.take(OUTCOMES_MAX).map(|record| TargetOutcomes {
            target: record.hash,
            calls: std::mem::take(&mut record.untold),
        });
        told.collect()
    }

    /// Hears another router's beat.
    pub fn beat_heard(&mut self, now: TimePoint, beat: PeerBeat) {
        if beat.entry.name == self.entry.name {
            return;
        }
        if self.peers.hear(now, &beat) {
            // Its shares are numbered anew.
            self.peer_loads.remove_router(&beat.entry.name);
        }
        for outcomes in &beat.outcomes {
            self.targets.count_heard(now, outcomes.target, outcomes.calls);
        }
        for (part, target) in &beat.held {
            self.holders.record_pending(now, *part, *target);
        }
        self.peer_loads.hear(now, beat.share);
    }

    /// Where beats go.
    pub fn beat_addresses(&self) -> Vec<SocketAddr> {
        self.peers.entries().map(|entry| entry.peers).collect()
    }

    /// Routers that a starting one may ask, those of its own zone first.
    pub fn snapshot_sources(&self) -> Vec<SocketAddr> {
        let mut peers: Vec<&RouterEntry> = self.peers.entries().collect();
        peers.sort_by_key(|peer| (peer.zone != self.entry.zone, peer.incarnation));
        peers.iter().map(|peer| peer.peers).collect()
    }

    /// Addresses that callers may use; this router's own while it serves.
    pub fn caller_addresses(&self, now: TimePoint) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> =
            self.peers.serving(now).map(|entry| entry.callers).collect();
        if self.ready() || (addresses.is_empty() && !self.leaving) {
            addresses.push(self.entry.callers);
        }
        addresses
    }
}
