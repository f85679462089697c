//! The list of targets, from the platform and from other routers.

use std::collections::BTreeSet;

use base_types::{HostName, TimePoint};

use crate::{ForwardCore, TargetEntry, TargetNotice};

impl ForwardCore {
    /// Replaces the list of targets.
    pub fn list_targets(&mut self, now: TimePoint, entries: Vec<TargetEntry>) {
        self.targets.replace_all(now, entries);
        self.targets_listed = true;
    }

    /// Handles the complete list at a place among the platform's changes; each entry has that of its last
    /// change.
    pub fn on_targets_listed(
        &mut self,
        now: TimePoint,
        revision: u64,
        entries: Vec<(u64, TargetEntry)>,
    ) {
        if !self.targets_listed {
            return self.list_targets(now, entries.into_iter().map(|(_, entry)| entry).collect());
        }
        let listed: BTreeSet<HostName> =
            entries.iter().map(|(_, entry)| entry.name.clone()).collect();
        let known = self.targets.listed_names();
        let missing = known.into_iter().filter(|name| !listed.contains(name));
        let removals = missing.map(|name| TargetNotice { name, revision, entry: None });
        let notices = removals.chain(entries.into_iter().map(listed_notice)).collect();
        self.on_targets_changed(now, notices);
    }

    /// Handles a list that could not be read to its end: targets that it lacks stay as they are.
    pub fn on_targets_listed_partly(&mut self, now: TimePoint, entries: Vec<(u64, TargetEntry)>) {
        if !self.targets_listed {
            return self.list_targets(now, entries.into_iter().map(|(_, entry)| entry).collect());
        }
        self.on_targets_changed(now, entries.into_iter().map(listed_notice).collect());
    }

    /// Handles changes that the platform reported to this router; returns the names of the targets whose
    /// entries differ from what was known, which are reported to the other routers.
    pub fn on_targets_changed(
        &mut self,
        now: TimePoint,
        notices: Vec<TargetNotice>,
    ) -> Vec<HostName> {
        let mut changed = Vec::new();
        for notice in notices {
            if self.apply_target_notice(now, &notice) {
                changed.push(notice.name.clone());
                self.targets.news.report(notice);
            }
        }
        changed
    }

    /// Handles the changes that another router reported.
    pub(super) fn on_target_notices(&mut self, now: TimePoint, notices: &[TargetNotice]) {
        // A router without a list cannot tell what is missing from it.
        if !self.targets_listed {
            return;
        }
        for notice in notices {
            if self.apply_target_notice(now, notice) {
                self.reported_changes.push(notice.name.clone());
            }
        }
    }

    /// Returns the targets whose changes other routers reported first, since the last call, for logs.
    pub fn take_reported_changes(&mut self) -> Vec<HostName> {
        std::mem::take(&mut self.reported_changes)
    }

    /// Applies a change unless a later one is known; returns whether the entry differs from what was known.
    fn apply_target_notice(&mut self, now: TimePoint, notice: &TargetNotice) -> bool {
        let TargetNotice { name, revision, entry } = notice;
        self.observe_order(now, *revision);
        let is_outdated = |entry| self.targets.is_outdated_copy(now, entry);
        if !self.targets.news.is_current(now, name, *revision)
            || entry.as_ref().is_some_and(is_outdated)
        {
            return false;
        }
        let before = self.targets.listed_entry(name);
        let is_changed = before != entry.as_ref();
        let start = |entry: &TargetEntry| (entry.incarnation, entry.address);
        let is_new_start = before.map(start) != entry.as_ref().map(start);
        match entry {
            Some(entry) => self.targets.upsert(now, entry.clone()),
            None => self.targets.mark_missing(now, name),
        }
        if is_new_start {
            self.assume_cold(now, name);
        }
        if is_changed {
            self.targets.news.on_applied(now, name, *revision);
        }
        is_changed
    }
}

fn listed_notice((revision, entry): (u64, TargetEntry)) -> TargetNotice {
    TargetNotice { name: entry.name.clone(), revision, entry: Some(entry) }
}
