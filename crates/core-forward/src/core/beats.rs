//! Heartbeats between routers.

use std::{net::SocketAddr, time::Duration};

use base_types::{HostName, LoadShare, TargetLoad, TimePoint};

use policy_routing::stable_hash;
use policy_targets::OutcomeCount;

use crate::{
    DecodedHeartbeat, ForwardCore, HeartbeatExtension, LimitNotice, PeerHeartbeat, RecordTag,
    RouterEntry, TargetOutcomes, core::places::identity, detours::pool_hash,
    peers::HeartbeatEnvelope,
};

/// Largest number of segment holders in one heartbeat, so that it fits into a datagram.
const SEGMENT_HOLDERS_MAX: usize = 100;

/// Largest number of targets whose outcomes are reported in one heartbeat; the others follow in the
/// next one.
const REPORTED_TARGETS_MAX: usize = 64;

/// Largest number of targets whose limits are reported in one heartbeat.
const LIMIT_NOTICES_MAX: usize = 32;

/// Largest number of leaving targets in one heartbeat; the others follow in the next one.
const LEAVING_TARGETS_MAX: usize = 32;

/// Largest number of stream origins in one heartbeat; the others follow in the next one.
const STREAM_ORIGINS_MAX: usize = 64;

/// Largest number of changes of targets in one heartbeat; the others follow in the next one.
const TARGET_CHANGES_MAX: usize = 8;

/// Largest number of notices on software in one heartbeat; the others follow in the next one.
const SOFTWARE_NOTICES_MAX: usize = 8;

/// Largest number of unreachable pools in one heartbeat.
const UNREACHABLE_POOLS_MAX: usize = 16;

/// Number of finished calls without a failure after which they are reported; a failure is reported
/// in the next heartbeat.
const SUCCESSES_PER_REPORT: u32 = 6;

/// Heartbeat interval in a small fleet. What peers know of this router's load is at most this old,
/// plus transit.
const HEARTBEAT_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Heartbeat interval per router: from 10 to 50 routers a router sends 100 datagrams per second; above
/// that the interval is capped at [`HEARTBEAT_INTERVAL_MAX`].
const HEARTBEAT_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(10);

/// Longest heartbeat interval; a router counts as failed after three such intervals of silence.
const HEARTBEAT_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// Returns the interval between two heartbeats of a router, by the number of routers.
pub fn heartbeat_interval(routers: u32) -> Duration {
    (HEARTBEAT_INTERVAL_PER_ROUTER * routers).clamp(HEARTBEAT_INTERVAL_MIN, HEARTBEAT_INTERVAL_MAX)
}

/// Largest fleet in which a call to an engine alone sends a heartbeat early. In a larger one a router has
/// few of the calls, and each heartbeat is sent to more routers.
pub(super) const LOAD_NEWS_ROUTERS_MAX: u32 = 100;

impl ForwardCore {
    /// Whether the next heartbeat is to be sent early, as it has news that the others need soon.
    pub fn has_urgent_news(&self, now: TimePoint) -> bool {
        let has_mixed_pool = || {
            let pools = self.targets.software.by_pool(now);
            pools.values().any(|versions| versions.len() > 1)
        };
        self.router_count() <= LOAD_NEWS_ROUTERS_MAX
            || self.has_plain_call
            || self.targets.news.has_report()
            || !self.unreported_cold.is_empty()
            || self.targets.evacuations.has_changed_lately(now)
            || !self.unreported_leaving.is_empty()
            || self.crashes.has_report()
            || (self.origins.has_report() && has_mixed_pool())
    }

    /// Replaces the list of routers; the entry of this router is ignored.
    pub fn list_routers(&mut self, entries: Vec<RouterEntry>) {
        let own_name = self.entry.name.clone();
        self.routers_listed = true;
        self.peers
            .replace_all(entries.into_iter().filter(|entry| entry.name != own_name).collect());
    }

    /// Adds or updates one entry of the list of routers; the entry of this router is ignored.
    pub fn put_router(&mut self, entry: RouterEntry) {
        if entry.name != self.entry.name {
            self.peers.upsert(entry);
        }
    }

    /// Removes the router whose entry was removed from the store.
    pub fn remove_router(&mut self, name: &HostName) {
        self.peers.remove(name);
    }

    /// Returns the next heartbeat to send to all other routers. It takes the changes that it
    /// reports: they are not reported again when the heartbeat is lost.
    pub fn next_heartbeat(&mut self, now: TimePoint) -> PeerHeartbeat {
        self.heartbeat_sequence += 1;
        self.has_plain_call = false;
        self.targets.iter_mut().for_each(|(_, record)| record.place_use.freed = 0);
        let loads = self.targets.iter().filter(|(_, record)| record.own_in_flight > 0);
        let loads = loads.map(|(_, record)| TargetLoad {
            target_hash: record.target_hash,
            in_flight: record.own_in_flight,
        });
        let load_share = LoadShare {
            router: self.entry.name.clone(),
            sequence: self.heartbeat_sequence,
            loads: loads.collect(),
        };
        let count = self.unreported_holders.len().min(SEGMENT_HOLDERS_MAX);
        let segment_holders = self.unreported_holders.drain(..count).collect();
        let unreachable_pools = self.unreachable_pools.iter().map(pool_hash);
        let unreachable_pools = unreachable_pools.take(UNREACHABLE_POOLS_MAX).collect();
        let outcomes = self.take_unreported_outcomes();
        self.observe_overdue(now);
        let extension = HeartbeatExtension {
            cold_targets: self.take_cold_notices(now),
            evacuations: self.targets.evacuations.report(now),
            capacity: self.own_capacity(),
            speeds: self.take_speed_notices(now),
            fragile_pools: self.own_fragile_notices(now),
            record_refused: self.origins.record.is_refused(),
            config_version: self.version().map(|version| version.0),
            ..HeartbeatExtension::default()
        };
        let running = self.calls.values().filter(|call| call.current_attempt.is_some());
        let in_flight = running.flat_map(|call| call.content_keys.iter());
        PeerHeartbeat {
            entry: self.entry.clone(),
            shutting_down: self.shutting_down,
            ready: self.ready(),
            load_share,
            segment_holders,
            outcomes,
            content: self.crashes.next_report(now, in_flight),
            limits: self.take_limit_notices(now),
            leaving_targets: self.unreported_leaving.next_report(LEAVING_TARGETS_MAX),
            stream_origins: self.origins.next_report(now, STREAM_ORIGINS_MAX),
            target_changes: self.targets.news.next_report(now, TARGET_CHANGES_MAX),
            software: self.targets.software.next_report(now, SOFTWARE_NOTICES_MAX),
            unreachable_pools,
            cut_off: self.is_cut_off(now),
            extension,
        }
    }

    fn take_unreported_outcomes(&mut self) -> Vec<TargetOutcomes> {
        let is_due =
            |counts: OutcomeCount| counts.failed > 0 || counts.finished >= SUCCESSES_PER_REPORT;
        let records = self.targets.iter_mut().map(|(_, record)| record);
        let records = records.filter(|record| is_due(record.unreported_outcomes));
        let reported = records.take(REPORTED_TARGETS_MAX).map(|record| TargetOutcomes {
            target_hash: record.target_hash,
            counts: std::mem::take(&mut record.unreported_outcomes),
        });
        reported.collect()
    }

    fn take_limit_notices(&mut self, now: TimePoint) -> Vec<LimitNotice> {
        let records = self.targets.iter_mut().map(|(_, record)| record);
        let due = records.filter(|record| record.limit_report.is_due());
        let notices = due.take(LIMIT_NOTICES_MAX).map(|record| {
            record.limit_report.next_notice(now, record.target_hash, record.allowance.limit())
        });
        notices.collect()
    }

    fn on_limit_notices(&mut self, now: TimePoint, heartbeat: &PeerHeartbeat) {
        let incarnation =
            stable_hash(heartbeat.entry.name.as_str().as_bytes()) ^ heartbeat.entry.incarnation;
        for notice in &heartbeat.limits {
            if let Some(record) = self.targets.find_by_hash_mut(notice.target_hash) {
                record.allowance.on_named(now, notice.statement(now));
                let calls = record.limit_report.on_peer_notice(incarnation, notice);
                record.allowance.spend(now, calls);
            }
        }
    }

    /// Handles a received heartbeat, and records which format its sender reads. Returns false if it was
    /// dropped, as its MAC verified but it repeats an earlier heartbeat or is older than one.
    pub fn on_decoded_heartbeat(&mut self, now: TimePoint, decoded: DecodedHeartbeat) -> bool {
        if self.peers.is_replay(&decoded) {
            return false;
        }
        let envelope = HeartbeatEnvelope::new(&decoded);
        self.on_heartbeat(now, decoded.message);
        self.peers.record_envelope(now, envelope);
        true
    }

    /// Whether every other router that is alive reads the records of a tag, by its own heartbeats. Where this
    /// is false, a decision that needs all routers to know the record's fact must take the safe side.
    ///
    /// Routers without a recent heartbeat do not count: they may have ended. Without live routers it is true.
    pub fn every_peer_reads(&self, now: TimePoint, tag: RecordTag) -> bool {
        self.peers.all_read(now, tag)
    }

    /// Handles a heartbeat of another router; a heartbeat of this one is ignored. Its sender counts as one
    /// that has the frozen layout only, unless [`Self::on_decoded_heartbeat`] recorded another format.
    pub fn on_heartbeat(&mut self, now: TimePoint, heartbeat: PeerHeartbeat) {
        if heartbeat.entry.name == self.entry.name {
            return;
        }
        let known_start = self.peers.find(&heartbeat.entry.name).map(identity);
        if self.peers.record_heartbeat(now, &heartbeat) {
            self.end_leases_of(now, known_start);
            // A restarted router numbers its load shares from the start again.
            self.peer_loads.remove_router(&heartbeat.entry.name);
        }
        for outcomes in &heartbeat.outcomes {
            self.targets.record_peer_outcomes(now, outcomes.target_hash, outcomes.counts);
        }
        for (segment, target_hash) in &heartbeat.segment_holders {
            self.segments.record_pending(now, *segment, *target_hash);
        }
        self.crashes.on_report(now, &heartbeat.content);
        self.on_limit_notices(now, &heartbeat);
        for target_hash in &heartbeat.leaving_targets {
            if self.targets.on_leaving_announced(now, *target_hash).is_some() {
                let record = self.targets.find_by_hash_mut(*target_hash);
                self.leaving_heard.extend(record.map(|record| record.entry.name.clone()));
            }
        }
        self.on_target_notices(now, &heartbeat.target_changes);
        self.on_cold_notices(now, &heartbeat.extension.cold_targets);
        if let Some(notice) = &heartbeat.extension.evacuations {
            self.on_evacuation_notice(now, notice);
        }
        for notice in &heartbeat.software {
            self.targets.software.on_notice(now, notice);
        }
        for notice in &heartbeat.stream_origins {
            self.origins.on_notice(now, *notice);
        }
        self.on_speed_notices(now, &heartbeat);
        self.on_fragile_notices(now, &heartbeat.extension.fragile_pools);
        self.compare_leases(now, identity(&heartbeat.entry), &heartbeat.load_share);
        self.peer_loads.record_share(now, heartbeat.load_share);
    }

    /// Returns the known targets that announced to other routers that they leave, since the last call,
    /// for logs.
    pub fn take_leaving_heard(&mut self) -> Vec<HostName> {
        std::mem::take(&mut self.leaving_heard)
    }

    /// Number of routers, including those without a recent heartbeat.
    pub fn fleet_size(&self) -> u32 {
        self.router_count()
    }

    /// Returns the addresses that heartbeats are sent to.
    pub fn heartbeat_addresses(&self) -> Vec<SocketAddr> {
        self.peers.entries().map(|entry| entry.peer_address).collect()
    }

    /// Returns the addresses of the routers to read a snapshot from, those of this router's failure
    /// domain first.
    pub fn snapshot_sources(&self) -> Vec<SocketAddr> {
        let mut peers: Vec<&RouterEntry> = self.peers.entries().collect();
        peers.sort_by_key(|peer| {
            (peer.failure_domain != self.entry.failure_domain, peer.incarnation)
        });
        peers.iter().map(|peer| peer.peer_address).collect()
    }
}
