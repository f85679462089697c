//! The platform's host list, as the routers agree on it.
//!
//! The list lags and has no versions, and two watchers may read it at different ages. A watcher
//! therefore tells only what changed between two of its own reads, with a stamp above the one
//! that all hold.

use std::collections::{BTreeMap, BTreeSet};

use base_types::{HostEntry, HostName, TimePoint};

use crate::{HostChange, LinkKey, PeerEffect, SpreadEntry, core::PeerCore};

impl PeerCore {
    pub(super) fn on_hosts(&mut self, now: TimePoint, hosts: Vec<HostEntry>) {
        self.trust(now);
        let listed: BTreeMap<HostName, HostEntry> =
            hosts.into_iter().map(|host| (host.name.clone(), host)).collect();
        let before = self.polled.replace(listed.clone());
        let mut names: BTreeSet<HostName> = listed.keys().cloned().collect();
        match &before {
            Some(before) => names.extend(before.keys().cloned()),
            None => names.extend(self.host_changes().map(|change| change.name.clone())),
        }
        for name in names {
            let row = listed.get(&name);
            if before.as_ref().is_some_and(|before| before.get(&name) == row) {
                continue;
            }
            self.tell_host(name, row.cloned());
        }
    }

    pub(super) fn adopt_host(&mut self, change: HostChange, from: Option<LinkKey>) -> bool {
        let row = change.row.clone();
        if !self.store_entry(SpreadEntry::Host(change), from) {
            return false;
        }
        if let Some(host) = row {
            self.list_member(&host);
        }
        self.hosts_changed = true;
        true
    }

    /// The host's row in the platform's list.
    pub(super) fn listed_host(&self, name: &HostName) -> Option<&HostEntry> {
        match self.store.get(SpreadEntry::host_key(name))? {
            SpreadEntry::Host(change) => change.row.as_ref(),
            _ => None,
        }
    }

    pub(super) fn is_listed(&self, name: &HostName) -> bool {
        self.listed_host(name).is_some()
    }

    pub(super) fn tell_hosts(&mut self) {
        if !std::mem::take(&mut self.hosts_changed) {
            return;
        }
        let hosts = self.host_changes().filter_map(|change| change.row.clone()).collect();
        self.effects.push(PeerEffect::HostsChanged(hosts));
    }

    fn tell_host(&mut self, name: HostName, row: Option<HostEntry>) {
        let held = match self.store.get(SpreadEntry::host_key(&name)) {
            Some(SpreadEntry::Host(change)) => Some(change),
            _ => None,
        };
        if held.map(|change| &change.row) == Some(&row) {
            return;
        }
        let stamp = held.map_or(0, |change| change.stamp) + 1;
        self.adopt_host(HostChange { name, stamp, row }, None);
    }

    fn host_changes(&self) -> impl Iterator<Item = &HostChange> {
        self.store.iter().filter_map(|entry| match entry {
            SpreadEntry::Host(change) => Some(change),
            _ => None,
        })
    }
}
