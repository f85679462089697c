//! The targets that a router knows, with its estimate of their load.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{
    DomainName, HostName, TargetKey, TargetLoad, TimePoint, key_types, message_types,
};
use policy_routing::{PeerLoads, TargetView, affinity_hash};
use policy_targets::TargetLife;

use crate::{HostEntry, HostRole, HostState};

/// How long a report counts instead of shares.
const REPORT_LIFE: Duration = Duration::from_millis(200);

/// Requests that a report may name beyond twice what shares name.
const REPORT_SLACK: u32 = 4;

key_types! {
    /// Load that a target reported.
    pub struct LoadReport {
        /// Requests that run or wait on the target.
        pub in_flight: u32,
        /// When the report was heard.
        pub heard: TimePoint,
    }
}

message_types! {
    /// What a router knows of a target.
    pub struct TargetRecord {
        /// Name of the target's host.
        pub name: HostName,
        /// Group that pools select by.
        pub group: Box<str>,
        /// IP address and port.
        pub address: Box<str>,
        /// Failure domain of the host.
        pub failure_domain: DomainName,
        /// Life of the target.
        pub life: TargetLife,
        /// Requests of this router in flight on the target.
        pub own_in_flight: u32,
        /// Requests of this router in flight when it last told the others.
        pub told_in_flight: u32,
        /// Requests of others in flight by their shares.
        pub shared_in_flight: u32,
        /// Point until which the target's last report counts instead of shares.
        pub report_until: TimePoint,
        /// Requests of others in flight on the target, from their shares or its last report.
        pub others_in_flight: u32,
        /// Hash of the name.
        pub hash: u64,
    }
}

/// An operator's drain of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TargetDrain<'row> {
    /// Group of the pool whose row names the target.
    pub(crate) group: &'row str,
    /// Name of the target's host.
    pub(crate) host: &'row HostName,
}

/// Arena of targets; keys are never reused.
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

    /// Takes over a read of the host list; targets that it no longer names are closed.
    pub(crate) fn adopt_hosts(&mut self, now: TimePoint, hosts: &[HostEntry]) {
        let listed: BTreeSet<&HostName> = hosts.iter().map(|host| &host.name).collect();
        for record in &mut self.records {
            if !listed.contains(&record.name) {
                record.life.on_unlisted(now);
            }
        }
        let first = self.records.is_empty();
        for host in hosts.iter().filter(|host| host.role == HostRole::Target) {
            self.adopt_host(now, host, first);
        }
    }

    /// Takes over all drains of the tables in force.
    pub(crate) fn adopt_drains(&mut self, drains: &BTreeSet<TargetDrain<'_>>) {
        for record in &mut self.records {
            let drain = TargetDrain { group: &record.group, host: &record.name };
            record.life.on_drain(drains.contains(&drain));
        }
    }

    /// Takes over what other routers say they have in flight.
    pub(crate) fn adopt_peer_loads(&mut self, now: TimePoint, loads: &PeerLoads) {
        for record in &mut self.records {
            record.shared_in_flight = loads.load(record.hash);
            if record.report_until.passed(now) {
                record.others_in_flight = record.shared_in_flight;
            }
        }
    }

    /// What this router has in flight, target by target, to be told to the others now.
    pub(crate) fn tell_loads(&mut self) -> Vec<TargetLoad> {
        for record in &mut self.records {
            record.told_in_flight = record.own_in_flight;
        }
        let busy = self.records.iter().filter(|record| record.own_in_flight > 0);
        let load = |record: &TargetRecord| TargetLoad {
            target: record.hash,
            in_flight: record.own_in_flight,
        };
        busy.map(load).collect()
    }

    pub(crate) fn views(&self, group: &str, slots: u32, now: TimePoint) -> Vec<TargetView> {
        let members = self.records.iter().enumerate().filter(|(_, record)| &*record.group == group);
        members.map(|(index, record)| record.view(TargetKey(index as u32), slots, now)).collect()
    }

    fn adopt_host(&mut self, now: TimePoint, host: &HostEntry, first: bool) {
        let key = self.key_of(now, host, first);
        let Some(record) = self.record_mut(key) else { return };
        match host.state {
            HostState::Live => record.life.on_live(now),
            HostState::Leaving => record.life.on_leaving_listed(now),
        }
        record.address = host.address.clone();
        record.group = host.group.clone();
    }

    /// Targets of the first list are not new to the fleet; later ones join it.
    fn key_of(&mut self, now: TimePoint, host: &HostEntry, first: bool) -> TargetKey {
        if let Some(key) = self.keys.get(&host.name) {
            return *key;
        }
        let life = if first { TargetLife::serving() } else { TargetLife::joining(now) };
        let key = TargetKey(self.records.len() as u32);
        self.keys.insert(host.name.clone(), key);
        self.records.push(TargetRecord::new(host, life));
        key
    }
}

impl TargetRecord {
    fn new(host: &HostEntry, life: TargetLife) -> Self {
        Self {
            name: host.name.clone(),
            group: host.group.clone(),
            address: host.address.clone(),
            failure_domain: host.failure_domain.clone(),
            life,
            own_in_flight: 0,
            told_in_flight: 0,
            shared_in_flight: 0,
            report_until: TimePoint(0),
            others_in_flight: 0,
            hash: affinity_hash(host.name.as_str().as_bytes()),
        }
    }

    /// Takes over a report of the target's load.
    ///
    /// Shares bound what a report can say, so that a target whose reports lie or come late neither
    /// draws all requests nor loses all.
    pub(crate) fn adopt_report(&mut self, now: TimePoint, report: LoadReport, shares_count: bool) {
        let others = report.in_flight.saturating_sub(self.own_in_flight);
        if !shares_count {
            self.others_in_flight = others;
            return;
        }
        if !report.heard.after(REPORT_LIFE).passed(now) {
            let most = self.shared_in_flight.saturating_mul(2).saturating_add(REPORT_SLACK);
            self.others_in_flight = others.clamp(self.shared_in_flight / 2, most);
            self.report_until = report.heard.after(REPORT_LIFE);
        }
    }

    fn view(&self, target: TargetKey, slots: u32, now: TimePoint) -> TargetView {
        TargetView {
            target,
            hash: self.hash,
            slots,
            own: self.own_in_flight,
            told: self.told_in_flight,
            others: self.others_in_flight,
            percent: self.life.percent(now),
            calm: self.life.is_calm(now),
        }
    }
}
