//! Whether targets accept connections of this router, and the pools of which none does.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{PoolName, TargetKey, TimePoint};

use crate::{ForwardCore, LinkChange, LinkProbe, links::PoolLinks, targets::TargetRecord};

/// Shortest time between two probes of targets of an unreachable pool, one target each.
const UNREACHABLE_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two probes of a target that has not answered since another one failed.
const DOUBTFUL_PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl ForwardCore {
    /// Returns the targets that are to be probed now, so that a router that lost its links to all
    /// targets of a pool notices it, and notices when they are back.
    pub fn take_link_probes(&mut self, now: TimePoint) -> Vec<LinkProbe> {
        let pools = self.failed_pool_links(now);
        self.note_unreachable_pools(&pools);
        let mut probed_pools = BTreeSet::new();
        let mut probes = Vec::new();
        for (target, record) in self.targets.iter_mut() {
            let Some(links) = pools.get(&record.entry.pool) else { continue };
            let interval = if links.is_unreachable() && !probed_pools.contains(&record.entry.pool) {
                UNREACHABLE_PROBE_INTERVAL * links.targets as u32
            } else if links.is_doubtful() && record.link.is_up() {
                DOUBTFUL_PROBE_INTERVAL
            } else {
                continue;
            };
            if record.link.next_probe_at.passed(now) && record.accepts_calls(now) {
                record.link.next_probe_at = now.after(interval);
                probed_pools.insert(&record.entry.pool);
                let name = record.entry.name.as_str().into();
                probes.push(LinkProbe { target, name, address: record.entry.address });
            }
        }
        probes
    }

    /// Returns the changes of whether pools are reachable since the last call, for logs.
    pub fn take_link_changes(&mut self) -> Vec<LinkChange> {
        std::mem::take(&mut self.link_changes)
    }

    /// Whether no target of any pool accepts connections of this router.
    pub(super) fn is_cut_off(&self, now: TimePoint) -> bool {
        let mut accepting = self.targets.iter().filter(|(_, record)| record.accepts_calls(now));
        !self.unreachable_pools.is_empty()
            && accepting.all(|(_, record)| self.unreachable_pools.contains(&record.entry.pool))
    }

    /// Records that a connection to a target failed.
    pub(super) fn on_link_failed(&mut self, now: TimePoint, target: TargetKey) {
        let Some(record) = self.targets.get_mut(target) else { return };
        if record.link.on_failed(now) {
            self.note_unreachable_pools(&self.failed_pool_links(now));
        }
    }

    /// Records that a target answered or accepted a connection. If no target of its pool did so
    /// before, the others are taken to be reachable again, too.
    pub(super) fn on_link_answered(&mut self, now: TimePoint, target: TargetKey) {
        let Some(record) = self.targets.get_mut(target) else { return };
        if !record.link.on_answered(now) {
            return;
        }
        let pool = record.entry.pool.clone();
        if self.unreachable_pools.contains(&pool) {
            let records = self.targets.iter_mut().map(|(_, record)| record);
            records
                .filter(|record| record.entry.pool == pool)
                .for_each(TargetRecord::assume_reachable);
        }
        self.note_unreachable_pools(&self.failed_pool_links(now));
    }

    fn note_unreachable_pools(&mut self, pools: &BTreeMap<PoolName, PoolLinks>) {
        let is_unreachable =
            |pool: &PoolName| pools.get(pool).is_some_and(PoolLinks::is_unreachable);
        let unreachable: BTreeSet<PoolName> =
            pools.keys().filter(|pool| is_unreachable(pool)).cloned().collect();
        for pool in unreachable.symmetric_difference(&self.unreachable_pools) {
            let reachable = !unreachable.contains(pool);
            let targets = pools.get(pool).filter(|_| !reachable).map_or(0, |links| links.targets);
            self.link_changes.push(LinkChange { pool: pool.clone(), targets, reachable });
        }
        self.unreachable_pools = unreachable;
    }

    /// Links to the pools of which a target did not accept a connection.
    fn failed_pool_links(&self, now: TimePoint) -> BTreeMap<PoolName, PoolLinks> {
        let mut pools: BTreeMap<&PoolName, PoolLinks> = BTreeMap::new();
        for (_, record) in self.targets.iter().filter(|(_, record)| record.accepts_calls(now)) {
            pools.entry(&record.entry.pool).or_default().add(&record.link);
        }
        let failed = pools.into_iter().filter(|(_, links)| links.down > 0);
        failed.map(|(pool, links)| (pool.clone(), links)).collect()
    }
}
