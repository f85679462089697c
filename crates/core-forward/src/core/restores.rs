//! Restores of the platform from a copy that lacks its latest changes.

use base_types::TimePoint;

use crate::{ChangeOrder, ForwardCore};

impl ForwardCore {
    /// Handles the era in which the platform answered. If it is later than the one known, the platform was restored, and
    /// what this router recorded there may be gone.
    pub fn on_platform_era(&mut self, now: TimePoint, era: u16) {
        if self.platform_era.is_some_and(|known| known < era) {
            self.targets.on_platform_restored(now);
            self.origins.record.stop();
        }
        self.platform_era = self.platform_era.max(Some(era));
    }

    /// Handles the place of a change, which may come from another router that learned of a restore first.
    pub(super) fn observe_order(&mut self, now: TimePoint, number: u64) {
        self.on_platform_era(now, ChangeOrder::from_number(number).era());
    }
}
