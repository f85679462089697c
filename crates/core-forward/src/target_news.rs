//! Changes of the list of targets, in the order in which the platform made them.
//!
//! A change reaches a router from the platform or from another router that read it first. A late
//! response of the platform may be older than what another router said, so that each change has its
//! place among the platform's changes, and one that is older than the latest known for its target is ignored.

use std::{collections::BTreeMap, time::Duration};

use base_types::{HostName, TimePoint, value_types};

use crate::{TargetEntry, reports::ReportQueue};

/// Time for which an older change of a target may still arrive. After that any is accepted, as the platform
/// may have been restored from a copy, with lower revisions.
const LATE_TIME: Duration = Duration::from_secs(10);

/// Targets whose latest change is remembered; changes of further ones are accepted in any order.
const CHANGES_MAX: usize = 10_000;

value_types! {
    /// Change of a target's entry in the platform's list.
    #[derive(Eq)]
    pub struct TargetNotice {
        /// Name of the target.
        pub name: HostName,
        /// [`ChangeOrder`](crate::ChangeOrder) at which the entry was as it says.
        pub revision: u64,
        /// The entry; `None` if the list has none.
        pub entry: Option<TargetEntry>,
    }
}

#[derive(Debug, Clone, Copy)]
struct LatestChange {
    revision: u64,
    forget_at: TimePoint,
}

/// The latest changes of targets, and those that the other routers may not know yet.
#[derive(Debug, Default)]
pub(crate) struct TargetNews {
    latest: BTreeMap<HostName, LatestChange>,
    unreported: ReportQueue<TargetNotice>,
}

impl TargetNews {
    /// Whether a change is not older than the latest known one of its target.
    pub(crate) fn is_current(&self, now: TimePoint, name: &HostName, revision: u64) -> bool {
        let latest = self.latest.get(name).filter(|latest| !latest.forget_at.passed(now));
        latest.is_none_or(|latest| latest.revision <= revision)
    }

    /// Records a change that was applied.
    pub(crate) fn on_applied(&mut self, now: TimePoint, name: &HostName, revision: u64) {
        if self.latest.len() < CHANGES_MAX || self.latest.contains_key(name) {
            let change = LatestChange { revision, forget_at: now.after(LATE_TIME) };
            self.latest.insert(name.clone(), change);
        }
    }

    /// Has a change that this router read first reported to the others.
    pub(crate) fn report(&mut self, notice: TargetNotice) {
        self.unreported.push(notice);
    }

    /// Whether a change is due in the next heartbeat.
    pub(crate) fn has_report(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Returns the changes of the next heartbeat, at most `count_max`, without those that are out of date.
    pub(crate) fn next_report(&mut self, now: TimePoint, count_max: usize) -> Vec<TargetNotice> {
        let mut due = self.unreported.next_report(count_max);
        due.retain(|notice| self.is_current(now, &notice.name, notice.revision));
        due
    }

    /// Forgets changes after which no older one can arrive.
    pub(crate) fn sweep(&mut self, now: TimePoint) {
        self.latest.retain(|_, latest| !latest.forget_at.passed(now));
    }
}
