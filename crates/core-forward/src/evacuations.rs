//! Failure domains that the operator has evacuated: their targets get no calls until they are taken back.

use std::{collections::BTreeSet, time::Duration};

use base_types::{TimePoint, message_types};

use crate::EvacuationNotice;

/// Time for which an older list may still arrive. After that any list is accepted, as the platform may have been
/// restored from a copy, with lower revisions.
const LATE_TIME: Duration = Duration::from_secs(10);

/// Time after a restore of the platform in which the operator writes again what was lost. Failure domains that
/// were evacuated before stay so until then.
const RESTORE_TIME: Duration = Duration::from_secs(3);

/// Time for which a list without failure domains is reported to the other routers after a change.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// Time after a change in which heartbeats are sent early.
const NEWS_TIME: Duration = Duration::from_secs(1);

/// Largest number of failure domains that are kept; a platform has far fewer.
const DOMAINS_MAX: usize = 256;

message_types! {
    /// Change of the list of evacuated failure domains.
    pub struct EvacuationChange {
        /// Failure domains that were evacuated.
        pub evacuated: Vec<Box<str>>,
        /// Failure domains that were taken back.
        pub restored: Vec<Box<str>>,
        /// [`ChangeOrder`](crate::ChangeOrder) of the list.
        pub revision: u64,
        /// Whether targets that were taken back are assumed to be cold until they are listed again.
        pub wants_targets: bool,
    }
}

/// The list of evacuated failure domains as this router knows it.
#[derive(Debug)]
pub(crate) struct EvacuationTable {
    /// Whether the settings ask for evacuations: without a list, nothing is sent then.
    is_required: bool,
    known: Option<KnownDomains>,
    held: Option<HeldDomains>,
}

/// Failure domains that were evacuated as the platform was restored.
#[derive(Debug)]
struct HeldDomains {
    domains: BTreeSet<Box<str>>,
    until: TimePoint,
}

#[derive(Debug)]
struct KnownDomains {
    /// Failure domains of the latest list.
    listed: BTreeSet<Box<str>>,
    /// These and the held ones.
    domains: BTreeSet<Box<str>>,
    revision: u64,
    accepted_at: TimePoint,
    changed_at: TimePoint,
}

impl EvacuationTable {
    pub(crate) fn new(is_required: bool) -> Self {
        Self { is_required, known: None, held: None }
    }

    /// Whether it is known which failure domains are evacuated, where that matters.
    pub(crate) fn is_known(&self) -> bool {
        !self.is_required || self.known.is_some()
    }

    /// Whether targets of a failure domain get no calls. While the list is unknown, no target gets any.
    pub(crate) fn excludes(&self, domain: &str) -> bool {
        let is_evacuated = |known: &KnownDomains| known.domains.contains(domain);
        self.is_required && self.known.as_ref().is_none_or(is_evacuated)
    }

    /// Takes over the list that this router read from the platform, unless a later one is known; returns the change,
    /// if any.
    pub(crate) fn on_listed(
        &mut self,
        now: TimePoint,
        notice: &EvacuationNotice,
    ) -> Option<EvacuationChange> {
        let is_late = |known: &KnownDomains| {
            notice.revision < known.revision && !known.accepted_at.after(LATE_TIME).passed(now)
        };
        if self.known.as_ref().is_some_and(is_late) {
            return None;
        }
        self.replace(now, notice)
    }

    /// Takes over the list of another router if it is later than the one known here. A router without contact to the
    /// platform keeps reporting an older one.
    pub(crate) fn on_reported(
        &mut self,
        now: TimePoint,
        notice: &EvacuationNotice,
    ) -> Option<EvacuationChange> {
        if self.known.as_ref().is_some_and(|known| notice.revision <= known.revision) {
            return None;
        }
        self.replace(now, notice)
    }

    /// Records that the platform was restored from a copy, which may lack the latest evacuations.
    pub(crate) fn on_platform_restored(&mut self, now: TimePoint) {
        let domains = self.known.as_ref().map(|known| known.domains.clone()).unwrap_or_default();
        self.held = Some(HeldDomains { domains, until: now.after(RESTORE_TIME) });
    }

    /// Ends the time after a restore; returns the failure domains that were not listed again.
    pub(crate) fn sweep(&mut self, now: TimePoint) -> Option<EvacuationChange> {
        self.held.take_if(|held| held.until.passed(now))?;
        let known = self.known.as_ref()?;
        let listed = known.listed.iter().cloned().collect();
        self.replace(now, &EvacuationNotice { revision: known.revision, domains: listed })
    }

    fn replace(&mut self, now: TimePoint, notice: &EvacuationNotice) -> Option<EvacuationChange> {
        if !self.is_required {
            return None;
        }
        let EvacuationNotice { revision, domains } = notice;
        let listed: BTreeSet<Box<str>> = domains.iter().take(DOMAINS_MAX).cloned().collect();
        let held = self.held.iter().filter(|held| !held.until.passed(now));
        let domains: BTreeSet<Box<str>> =
            held.flat_map(|held| held.domains.iter()).chain(&listed).cloned().collect();
        let before = self.known.as_ref().map(|known| known.domains.clone()).unwrap_or_default();
        let is_changed = self.known.is_none() || domains != before;
        let changed_at = self.known.as_ref().filter(|_| !is_changed).map(|known| known.changed_at);
        let change = EvacuationChange {
            evacuated: domains.difference(&before).cloned().collect(),
            restored: before.difference(&domains).cloned().collect(),
            revision: *revision,
            wants_targets: false,
        };
        self.known = Some(KnownDomains {
            listed,
            domains,
            revision: *revision,
            accepted_at: now,
            changed_at: changed_at.unwrap_or(now),
        });
        is_changed.then_some(change)
    }

    /// Whether the list has changed so recently that other routers may not know it.
    pub(crate) fn has_changed_lately(&self, now: TimePoint) -> bool {
        self.known.as_ref().is_some_and(|known| !known.changed_at.after(NEWS_TIME).passed(now))
    }

    /// The list for other routers; `None` where it is not known or none needs it.
    pub(crate) fn report(&self, now: TimePoint) -> Option<EvacuationNotice> {
        let is_due = |known: &&KnownDomains| {
            !known.listed.is_empty() || !known.changed_at.after(REPORT_TIME).passed(now)
        };
        self.known.as_ref().filter(is_due).map(KnownDomains::notice)
    }

    /// The list for a starting router; `None` where it is not known.
    pub(crate) fn full_report(&self) -> Option<EvacuationNotice> {
        self.known.as_ref().map(KnownDomains::notice)
    }

    /// Names of the evacuated failure domains.
    pub(crate) fn domains(&self) -> impl Iterator<Item = &str> {
        self.known.iter().flat_map(|known| known.domains.iter().map(AsRef::as_ref))
    }
}

impl KnownDomains {
    fn notice(&self) -> EvacuationNotice {
        EvacuationNotice { revision: self.revision, domains: self.listed.iter().cloned().collect() }
    }
}
