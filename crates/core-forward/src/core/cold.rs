//! Cold targets: which they are, and when this router may send them a call.

use std::time::Duration;

use base_types::{HostName, TimePoint};
use policy_routing::{stable_hash, unit_hash};
use policy_targets::{ColdLimit, ColdTurns};
use state_config::{ColdRule, FleetConfig};

use crate::{ColdNotice, ForwardCore, detours::pool_hash, targets::TargetRecord};

/// Smallest change of the time for which a target stays cold that the other routers are told.
const COLD_NEWS: Duration = Duration::from_millis(1_000);

/// Longest time for which a target stays cold by what another router says, where the configuration states none.
const COLD_TIME_MAX: Duration = Duration::from_secs(600);

/// Time for which a target that starts counts as cold where a snapshot names only the rate that it takes.
const COLD_TIME_ASSUMED: Duration = Duration::from_secs(5);

/// Largest number of cold targets in one heartbeat; the others follow in the next one.
const COLD_NOTICES_MAX: usize = 32;

impl ForwardCore {
    /// Handles what the platform says of how long targets stay cold; returns whether the other routers need to know.
    /// After a restore, what a copy says does not shorten what is known, which may have been written since. Nor does a
    /// list from before the change because of which a target is assumed to be cold.
    ///
    /// `order` is the number of the list's [`ChangeOrder`](crate::ChangeOrder).
    pub fn on_cold_listed(
        &mut self,
        now: TimePoint,
        order: u64,
        targets: &[(HostName, TimePoint)],
    ) -> bool {
        let mut has_news = false;
        let is_copy = self.targets.is_restored_lately(now);
        for (name, until) in targets {
            let Some(record) = self.targets.find_by_name_mut(name) else { continue };
            let is_outdated = order < record.cold_assumed_order;
            let is_kept = is_outdated || (is_copy && !record.is_cold_assumed);
            if is_kept && *until < record.cold_until {
                continue;
            }
            let is_later = record.cold_until.after(COLD_NEWS) < *until;
            if record.is_cold_assumed || (is_later && !until.passed(now)) {
                self.unreported_cold.push(record.target_hash);
                has_news = true;
            }
            record.cold_until = *until;
            record.is_cold_assumed = false;
        }
        has_news
    }

    /// Takes a target that started while the fleet serves to be cold until the platform says otherwise.
    pub(super) fn assume_cold(&mut self, now: TimePoint, name: &HostName) {
        let Some(pool) = self.targets.listed_entry(name).map(|entry| entry.pool.clone()) else {
            return;
        };
        let rule = self.config.as_ref().and_then(|config| config.pools.get(&pool)?.cold);
        if let (Some(rule), Some(record)) = (rule, self.targets.find_by_name_mut(name)) {
            record.cold_until = now.after(rule.time);
            record.is_cold_assumed = true;
        }
    }

    /// Takes the targets of failure domains that are taken back to be cold until a list from after that says otherwise:
    /// they may have become cold shortly before. Returns whether there are any.
    pub(super) fn assume_cold_domains(
        &mut self,
        now: TimePoint,
        order: u64,
        domains: &[Box<str>],
    ) -> bool {
        let Some(config) = &self.config else { return false };
        let mut has_cold = false;
        for (_, record) in self.targets.iter_mut() {
            let rule = config.pools.get(&record.entry.pool).and_then(|pool| pool.cold);
            let Some(rule) = rule.filter(|_| domains.contains(&record.entry.failure_domain)) else {
                continue;
            };
            record.cold_until = record.cold_until.max(now.after(rule.time));
            record.is_cold_assumed = true;
            record.cold_assumed_order = order;
            has_cold = true;
        }
        has_cold
    }

    /// Turns of this router at a target; `None` while the target is not cold.
    pub(super) fn cold_turns(&self, now: TimePoint, record: &TargetRecord) -> Option<ColdTurns> {
        if record.cold_until.passed(now) {
            return None;
        }
        let rule = self.cold_rule(record)?;
        let calls_per_s = f64::from(rule.rate) / 1_000.0;
        let peak = calls_per_s * self.bounds.cold_ratio + f64::from(self.bounds.cold_slack);
        let limit = ColdLimit { rate: rule.rate, peak: peak as u32 };
        let own_hash = stable_hash(self.entry.name.as_str().as_bytes());
        let phase = unit_hash(own_hash ^ record.target_hash);
        Some(ColdTurns::new(limit, self.router_count(), phase))
    }

    /// Whether a target is not cold, or this router may send it a call all the same. Without the list of routers, its
    /// share is unknown.
    pub(super) fn has_cold_turn(&self, now: TimePoint, record: &TargetRecord) -> bool {
        let turns = self.cold_turns(now, record);
        turns.is_none_or(|turns| self.routers_listed && turns.is_open(now, record.cold_turn))
    }

    fn cold_rule(&self, record: &TargetRecord) -> Option<ColdRule> {
        self.config.as_ref()?.pools.get(&record.entry.pool)?.cold
    }

    /// What cold targets of each pool take, for a starting router: calls per thousand seconds by the hash of the pool's
    /// name.
    pub(super) fn cold_rates(&self) -> Vec<(u64, u32)> {
        let pools = self.config.iter().flat_map(|config| config.pools.values());
        pools.filter_map(|pool| Some((pool_hash(&pool.name), pool.cold?.rate))).collect()
    }

    /// Notices on cold targets for the next heartbeat.
    pub(super) fn take_cold_notices(&mut self, now: TimePoint) -> Vec<ColdNotice> {
        let due = self.unreported_cold.next_report(COLD_NOTICES_MAX);
        due.into_iter().filter_map(|hash| self.cold_notice(now, hash)).collect()
    }

    /// Notices on all cold targets, for a starting router.
    pub(super) fn cold_notices(&self, now: TimePoint) -> Vec<ColdNotice> {
        let cold = self.targets.iter().filter(|(_, record)| !record.cold_until.passed(now));
        cold.filter_map(|(_, record)| self.cold_notice(now, record.target_hash)).collect()
    }

    fn cold_notice(&self, now: TimePoint, target_hash: u64) -> Option<ColdNotice> {
        let record = self.targets.find_by_hash(target_hash)?;
        let left = record.cold_until.since(now).min(COLD_TIME_MAX);
        Some(ColdNotice { target_hash, left_ms: left.as_millis() as u32 })
    }

    /// Handles what another router says of how long targets stay cold. It can shorten only what is assumed here.
    pub(super) fn on_cold_notices(&mut self, now: TimePoint, notices: &[ColdNotice]) {
        for notice in notices {
            let Some(record) = self.targets.find_by_hash(notice.target_hash) else { continue };
            // The configuration of a snapshot does not have the time.
            let rule = self.cold_rule(record).filter(|_| !self.is_config_partial);
            let longest = rule.map_or(COLD_TIME_MAX, |rule| rule.time);
            let Some(record) = self.targets.find_by_hash_mut(notice.target_hash) else { continue };
            let left = Duration::from_millis(u64::from(notice.left_ms)).min(longest);
            let until = now.after(left);
            if record.is_cold_assumed || record.cold_until < until {
                record.cold_until = until;
                record.is_cold_assumed = false;
            }
        }
    }
}

/// Adds what cold targets take, which the layout of a snapshot's configuration does not have.
pub(super) fn add_cold_rules(config: &mut FleetConfig, rates: &[(u64, u32)]) {
    for pool in config.pools.values_mut() {
        let rate = rates.iter().find(|(hash, _)| *hash == pool_hash(&pool.name));
        pool.cold = rate.map(|(_, rate)| ColdRule { rate: *rate, time: COLD_TIME_ASSUMED });
    }
}
