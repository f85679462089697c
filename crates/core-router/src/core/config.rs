//! Hosts and rows that reach the router.

use base_types::{TargetKey, TimePoint};
use state_tables::{RowChange, TableRevision};

use crate::{HostEntry, HostRole, HostState, core::RouterCore, targets::TargetDrain};

impl RouterCore {
    pub(super) fn on_hosts(&mut self, now: TimePoint, hosts: Vec<HostEntry>) {
        self.targets.adopt_hosts(now, &hosts);
        let live = |host: &HostEntry| host.role == HostRole::Entry && host.state == HostState::Live;
        self.entries = hosts.into_iter().filter(live).collect();
        self.refresh_drains();
    }

    pub(super) fn on_row(&mut self, change: RowChange) {
        self.table.adopt(change);
        self.refresh_drains();
    }

    pub(super) fn on_tables(&mut self, reads: &[TableRevision], rows: Vec<RowChange>) {
        self.table.adopt_lists(reads, rows);
        self.refresh_drains();
    }

    pub(super) fn on_leaving_heard(&mut self, now: TimePoint, target: TargetKey) {
        let Some(record) = self.targets.record_mut(target) else { return };
        record.life.on_leaving_said(now);
    }

    /// A drain holds for the targets of the pool's group, also those that join later.
    fn refresh_drains(&mut self) {
        let drains = self.table.pools().flat_map(|pool| {
            pool.drained.iter().map(move |host| TargetDrain { group: &pool.group, host })
        });
        self.targets.adopt_drains(&drains.collect());
    }
}
