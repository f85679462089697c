//! Hosts and rows that reach the router.

use base_types::TimePoint;
use state_tables::RowChange;

use crate::{HostEntry, HostRole, HostState, core::RouterCore};

impl RouterCore {
    pub(super) fn on_hosts(&mut self, now: TimePoint, hosts: Vec<HostEntry>) {
        self.targets.adopt_hosts(now, &hosts);
        let live = |host: &HostEntry| host.role == HostRole::Entry && host.state == HostState::Live;
        self.entries = hosts.into_iter().filter(live).collect();
    }

    pub(super) fn on_row(&mut self, change: RowChange) {
        self.table.adopt(change);
    }
}
