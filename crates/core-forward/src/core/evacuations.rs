//! Evacuated failure domains, from the platform and from other routers.

use base_types::TimePoint;

use crate::{EvacuationChange, EvacuationNotice, ForwardCore};

impl ForwardCore {
    /// Handles the complete list of evacuated failure domains at a place among the platform's changes; returns whether it
    /// differs from what was known.
    pub fn on_evacuations_listed(
        &mut self,
        now: TimePoint,
        revision: u64,
        domains: Vec<Box<str>>,
    ) -> bool {
        self.observe_order(now, revision);
        let notice = EvacuationNotice { revision, domains };
        let change = self.targets.evacuations.on_listed(now, &notice);
        self.on_evacuation_change(now, change)
    }

    /// Handles the list that another router reported.
    pub(super) fn on_evacuation_notice(&mut self, now: TimePoint, notice: &EvacuationNotice) {
        self.observe_order(now, notice.revision);
        let change = self.targets.evacuations.on_reported(now, notice);
        self.on_evacuation_change(now, change);
    }

    /// Has failure domains get calls again that were not listed again after a restore of the platform.
    pub(super) fn sweep_evacuations(&mut self, now: TimePoint) {
        let change = self.targets.evacuations.sweep(now);
        self.on_evacuation_change(now, change);
    }

    /// Returns the changes of the list since the last call, for logs.
    pub fn take_evacuation_changes(&mut self) -> Vec<EvacuationChange> {
        std::mem::take(&mut self.evacuation_changes)
    }

    fn on_evacuation_change(&mut self, now: TimePoint, change: Option<EvacuationChange>) -> bool {
        let Some(mut change) = change else { return false };
        self.targets.apply_evacuations();
        change.wants_targets = self.assume_cold_domains(now, change.revision, &change.restored);
        self.evacuation_changes.push(change);
        true
    }
}
