//! Updates of the host list and of the tables.

use base_types::{TargetKey, TimePoint};
use state_tables::{RowChange, TableRevision};

use crate::{HostEntry, HostRole, HostState, core::RouterCore, targets::TargetDrain};

impl RouterCore {
    pub(super) fn on_host_list(&mut self, now: TimePoint, hosts: Vec<HostEntry>) {
        self.targets.apply_host_list(now, &hosts);
        let live =
            |host: &HostEntry| host.role == HostRole::Router && host.state == HostState::Live;
        self.entry_hosts = hosts.into_iter().filter(live).collect();
        self.refresh_drains();
    }

    pub(super) fn on_row_change(&mut self, change: RowChange) {
        self.tables.adopt(change);
        self.refresh_drains();
    }

    pub(super) fn on_table_lists(&mut self, revisions: &[TableRevision], rows: Vec<RowChange>) {
        self.tables.adopt_lists(revisions, rows);
        self.refresh_drains();
    }

    pub(super) fn on_target_leaving(&mut self, now: TimePoint, target: TargetKey) {
        let Some(record) = self.targets.record_mut(target) else { return };
        record.lifecycle.on_leaving_reported(now);
    }

    /// Applies the drains of all pool rows. A drain also covers a target that joins the group of
    /// the pool later.
    fn refresh_drains(&mut self) {
        let drains = self.tables.pools().flat_map(|pool| {
            pool.drained.iter().map(move |host| TargetDrain { group: &pool.group, host })
        });
        self.targets.apply_drains(&drains.collect());
    }
}
