//! The platform's host list, as the routers agree on it.
//!
//! The platform's list lags and has no versions, and two watchers may read lists of different age.
//! A watcher therefore gossips only the rows that changed between two of its own reads, with a
//! sequence above the stored one. The first read after this router starts or stops watching
//! gossips every difference from the stored rows.

use std::collections::{BTreeMap, BTreeSet};

use base_types::{HostEntry, HostName, TimePoint};

use crate::{GossipEntry, HostChange, LinkKey, PeerEffect, core::PeerCore};

impl PeerCore {
    pub(super) fn on_hosts(&mut self, now: TimePoint, hosts: Vec<HostEntry>) {
        self.extend_trust(now);
        let listed: BTreeMap<HostName, HostEntry> =
            hosts.into_iter().map(|host| (host.name.clone(), host)).collect();
        let previous = self.polled_hosts.replace(listed.clone());
        let mut names: BTreeSet<HostName> = listed.keys().cloned().collect();
        match &previous {
            Some(previous) => names.extend(previous.keys().cloned()),
            None => names.extend(self.host_changes().map(|change| change.name.clone())),
        }
        for name in names {
            let row = listed.get(&name);
            if previous.as_ref().is_some_and(|previous| previous.get(&name) == row) {
                continue;
            }
            self.change_host(name, row.cloned());
        }
    }

    pub(super) fn adopt_host(&mut self, change: HostChange, from: Option<LinkKey>) -> bool {
        let row = change.row.clone();
        if !self.store_entry(GossipEntry::Host(change), from) {
            return false;
        }
        if let Some(host) = row {
            self.add_listed_member(&host);
        }
        self.hosts_changed = true;
        true
    }

    /// Row of a host in the agreed host list; `None` when the list does not name the host.
    pub(super) fn listed_host(&self, name: &HostName) -> Option<&HostEntry> {
        match self.store.get(GossipEntry::host_key(name))? {
            GossipEntry::Host(change) => change.row.as_ref(),
            _ => None,
        }
    }

    pub(super) fn is_listed(&self, name: &HostName) -> bool {
        self.listed_host(name).is_some()
    }

    /// Reports the agreed host list to the caller, if it changed since the last tick.
    pub(super) fn emit_hosts(&mut self) {
        if !std::mem::take(&mut self.hosts_changed) {
            return;
        }
        let hosts = self.host_changes().filter_map(|change| change.row.clone()).collect();
        self.effects.push(PeerEffect::HostsChanged(hosts));
    }

    /// Stores and gossips a host's row as this watcher read it, if it differs from the stored one.
    fn change_host(&mut self, name: HostName, row: Option<HostEntry>) {
        let stored = match self.store.get(GossipEntry::host_key(&name)) {
            Some(GossipEntry::Host(change)) => Some(change),
            _ => None,
        };
        if stored.map(|change| &change.row) == Some(&row) {
            return;
        }
        let sequence = stored.map_or(0, |change| change.sequence) + 1;
        self.adopt_host(HostChange { name, sequence, row }, None);
    }

    fn host_changes(&self) -> impl Iterator<Item = &HostChange> {
        self.store.iter().filter_map(|entry| match entry {
            GossipEntry::Host(change) => Some(change),
            _ => None,
        })
    }
}
