//! The targets that a router knows, with its estimate of their load.

use std::collections::BTreeMap;

use base_types::{
    DomainName, HostName, TargetKey, TargetLoad, TimePoint, key_types, message_types,
};
use policy_routing::{PeerLoads, TargetView, affinity_hash};

use crate::{HostEntry, HostRole, HostState};

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
        /// Whether the target stays in the platform's list and takes new work.
        pub open: bool,
        /// Requests of this router in flight on the target.
        pub own_in_flight: u32,
        /// Requests of this router in flight when it last told the others.
        pub told_in_flight: u32,
        /// Requests of others in flight on the target, from their shares or its last report.
        pub others_in_flight: u32,
        /// Point until which the target gets no work after a refused connection.
        pub held_until: TimePoint,
        hash: u64,
    }
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

    /// Takes over a read of the host list; targets it no longer names are closed.
    pub(crate) fn adopt_hosts(&mut self, hosts: &[HostEntry]) {
        for record in &mut self.records {
            record.open = false;
        }
        for host in hosts.iter().filter(|host| host.role == HostRole::Target) {
            self.adopt_host(host);
        }
    }

    /// Takes over what other routers say they have in flight.
    pub(crate) fn adopt_peer_loads(&mut self, loads: &PeerLoads) {
        for record in &mut self.records {
            record.others_in_flight = loads.load(record.hash);
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

    fn adopt_host(&mut self, host: &HostEntry) {
        let open = host.state == HostState::Live;
        if let Some(key) = self.keys.get(&host.name) {
            let record = &mut self.records[key.0 as usize];
            record.open = open;
            record.address = host.address.clone();
            record.group = host.group.clone();
            return;
        }
        let key = TargetKey(self.records.len() as u32);
        self.keys.insert(host.name.clone(), key);
        self.records.push(TargetRecord::new(host, open));
    }
}

impl TargetRecord {
    fn new(host: &HostEntry, open: bool) -> Self {
        Self {
            name: host.name.clone(),
            group: host.group.clone(),
            address: host.address.clone(),
            failure_domain: host.failure_domain.clone(),
            open,
            own_in_flight: 0,
            told_in_flight: 0,
            others_in_flight: 0,
            held_until: TimePoint(0),
            hash: affinity_hash(host.name.as_str().as_bytes()),
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
            open: self.open && self.held_until.passed(now),
        }
    }
}
