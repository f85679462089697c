//! The targets known to a router, with their lifecycle and estimated load.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{
    FailureDomainName, HostName, TargetKey, TargetLoad, TimePoint, key_types, message_types,
};
use policy_routing::{PeerLoads, TargetView, stable_hash};
use policy_targets::TargetLifecycle;

use crate::{HostEntry, HostRole, HostState};

/// Time during which a target's report is used instead of the peers' load shares, where there are
/// any.
const REPORT_TTL: Duration = Duration::from_millis(200);

/// Requests that a report may count beyond twice the sum of the peers' load shares.
const REPORT_SLACK: u32 = 4;

key_types! {
    /// Load that a target reported with an answer.
    pub struct LoadReport {
        /// Requests of all routers that run or wait on the target.
        pub in_flight: u32,
        /// When this router received the report.
        pub received_at: TimePoint,
    }
}

message_types! {
    /// A router's view of one target.
    pub struct TargetRecord {
        /// Name of the target's host.
        pub name: HostName,
        /// Group that pools select by.
        pub group: Box<str>,
        /// IP address and port.
        pub address: Box<str>,
        /// Failure domain of the host.
        pub failure_domain: FailureDomainName,
        /// Lifecycle of the target: listing, drain, ejection and slow start.
        pub lifecycle: TargetLifecycle,
        /// Requests of this router in flight on the target.
        pub own_in_flight: u32,
        /// Requests of this router in flight on the target when the router last published its load.
        pub published_in_flight: u32,
        /// Requests of other routers in flight on the target, by the sum of their load shares.
        pub peer_share_in_flight: u32,
        /// Time until which the target's last report is used instead of the peers' load shares.
        pub report_expires_at: TimePoint,
        /// Requests of other routers in flight on the target, from load shares or the last report.
        pub peer_in_flight: u32,
        /// Hash of the target's name, which identifies the target in load shares and placements.
        pub hash: u64,
    }
}

/// A target that a pool row lists as drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TargetDrain<'row> {
    /// Group of the pool whose row lists the target.
    pub(crate) group: &'row str,
    /// Name of the target's host.
    pub(crate) host: &'row HostName,
}

/// Arena of targets; a key is an index and is never reused, as targets are never removed.
#[derive(Debug, Default)]
pub(crate) struct TargetArena {
    records: Vec<TargetRecord>,
    keys: BTreeMap<HostName, TargetKey>,
}

impl TargetArena {
    pub(crate) fn record(&self, target: TargetKey) -> Option<&TargetRecord> {
        self.records.get(target.0 as usize)
    }

    pub(crate) fn record_mut(&mut self, target: TargetKey) -> Option<&mut TargetRecord> {
        self.records.get_mut(target.0 as usize)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.iter()
    }

    /// Applies a new host list; targets missing from it become unlisted.
    pub(crate) fn apply_host_list(&mut self, now: TimePoint, hosts: &[HostEntry]) {
        let listed: BTreeSet<&HostName> = hosts.iter().map(|host| &host.name).collect();
        for record in &mut self.records {
            if !listed.contains(&record.name) {
                record.lifecycle.on_unlisted(now);
            }
        }
        let is_first_list = self.records.is_empty();
        for host in hosts.iter().filter(|host| host.role == HostRole::Target) {
            self.apply_host(now, host, is_first_list);
        }
    }

    /// Sets or clears the drain of every target by the tables in force.
    pub(crate) fn apply_drains(&mut self, drains: &BTreeSet<TargetDrain<'_>>) {
        for record in &mut self.records {
            let drain = TargetDrain { group: &record.group, host: &record.name };
            record.lifecycle.on_drain(drains.contains(&drain));
        }
    }

    /// Updates the peers' load from their load shares, unless a recent report overrides them.
    pub(crate) fn apply_peer_loads(&mut self, now: TimePoint, loads: &PeerLoads) {
        for record in &mut self.records {
            record.peer_share_in_flight = loads.load(record.hash);
            if record.report_expires_at.passed(now) {
                record.peer_in_flight = record.peer_share_in_flight;
            }
        }
    }

    /// Collects this router's load for publication and remembers what was published.
    pub(crate) fn collect_own_loads(&mut self) -> Vec<TargetLoad> {
        for record in &mut self.records {
            record.published_in_flight = record.own_in_flight;
        }
        let busy = self.records.iter().filter(|record| record.own_in_flight > 0);
        let load = |record: &TargetRecord| TargetLoad {
            target_hash: record.hash,
            in_flight: record.own_in_flight,
        };
        busy.map(load).collect()
    }

    pub(crate) fn views(&self, group: &str, slots: u32, now: TimePoint) -> Vec<TargetView> {
        let members = self.records.iter().enumerate().filter(|(_, record)| &*record.group == group);
        members.map(|(index, record)| record.view(TargetKey(index as u32), slots, now)).collect()
    }

    fn apply_host(&mut self, now: TimePoint, host: &HostEntry, is_first_list: bool) {
        let key = self.find_or_insert(now, host, is_first_list);
        let Some(record) = self.record_mut(key) else { return };
        match host.state {
            HostState::Live => record.lifecycle.on_live(now),
            HostState::Leaving => record.lifecycle.on_leaving_listed(now),
        }
        record.address = host.address.clone();
        record.group = host.group.clone();
    }

    /// Finds the key of a host or adds it. Targets of the first list are not new to the fleet;
    /// later ones begin with slow start.
    fn find_or_insert(
        &mut self,
        now: TimePoint,
        host: &HostEntry,
        is_first_list: bool,
    ) -> TargetKey {
        if let Some(key) = self.keys.get(&host.name) {
            return *key;
        }
        let lifecycle =
            if is_first_list { TargetLifecycle::serving() } else { TargetLifecycle::joining(now) };
        let key = TargetKey(self.records.len() as u32);
        self.keys.insert(host.name.clone(), key);
        self.records.push(TargetRecord::new(host, lifecycle));
        key
    }
}

impl TargetRecord {
    fn new(host: &HostEntry, lifecycle: TargetLifecycle) -> Self {
        Self {
            name: host.name.clone(),
            group: host.group.clone(),
            address: host.address.clone(),
            failure_domain: host.failure_domain.clone(),
            lifecycle,
            own_in_flight: 0,
            published_in_flight: 0,
            peer_share_in_flight: 0,
            report_expires_at: TimePoint(0),
            peer_in_flight: 0,
            hash: stable_hash(host.name.as_str().as_bytes()),
        }
    }

    /// Applies a load report of the target.
    ///
    /// If any peer's load share is known, the shares bound the reported load, so that a target
    /// whose reports are wrong or late neither attracts all requests nor loses all. Without shares
    /// the report is used without bounds, whatever its age.
    pub(crate) fn apply_report(
        &mut self,
        now: TimePoint,
        report: LoadReport,
        has_peer_shares: bool,
    ) {
        let peer_in_flight = report.in_flight.saturating_sub(self.own_in_flight);
        if !has_peer_shares {
            self.peer_in_flight = peer_in_flight;
            return;
        }
        if !report.received_at.after(REPORT_TTL).passed(now) {
            let peer_in_flight_max =
                self.peer_share_in_flight.saturating_mul(2).saturating_add(REPORT_SLACK);
            self.peer_in_flight =
                peer_in_flight.clamp(self.peer_share_in_flight / 2, peer_in_flight_max);
            self.report_expires_at = report.received_at.after(REPORT_TTL);
        }
    }

    fn view(&self, target: TargetKey, slots: u32, now: TimePoint) -> TargetView {
        TargetView {
            target,
            target_hash: self.hash,
            slots,
            own_in_flight: self.own_in_flight,
            reported_in_flight: self.published_in_flight,
            peer_in_flight: self.peer_in_flight,
            weight_percent: self.lifecycle.work_percent(now),
            is_healthy: self.lifecycle.is_stable(now),
        }
    }
}
