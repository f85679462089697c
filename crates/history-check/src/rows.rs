//! Checks what routers had in force against the edits that operators were told were accepted.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{HostName, RowVersion, TimePoint, key_types, message_types};

message_types! {
    /// One version of one row.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct RowEdition {
        /// Key of the row's object.
        pub row: Box<str>,
        /// Version of the row.
        pub version: RowVersion,
    }

    /// An edit whose operator was told that it was accepted.
    pub struct AcceptedEdit {
        /// What the edit wrote.
        pub edition: RowEdition,
        /// When the operator was told.
        pub accepted: TimePoint,
    }

    /// What one router had in force at one time.
    pub struct RowView {
        /// The router.
        pub router: HostName,
        /// When the router was asked; its answer is at least as new.
        pub asked: TimePoint,
        /// When the router had answered; its answer is at most as new.
        pub answered: TimePoint,
        /// Versions in force by the keys of their objects, tombstones too.
        pub versions: BTreeMap<Box<str>, RowVersion>,
    }

    /// All that was seen of a run.
    pub struct RowHistory {
        /// Edits that operators were told were accepted.
        pub accepted: Vec<AcceptedEdit>,
        /// Every edition that the audit trail says was accepted.
        pub trail: BTreeSet<RowEdition>,
        /// What the routers had in force, in the order of the answers.
        pub views: Vec<RowView>,
    }

    /// A promise that was broken.
    #[derive(Eq)]
    pub enum RowViolation {
        /// An edit was told to be accepted and the audit trail does not have it.
        EditLost(RowEdition),
        /// A router had in force what was never accepted.
        NeverAccepted(HostName, RowEdition),
        /// A router had an older version in force than before.
        WentBackwards(HostName, RowEdition),
        /// A router did not have an edit in force within the limit.
        TooLate(HostName, RowEdition),
    }
}

key_types! {
    /// How long accepted edits took until they were in force.
    pub struct DelaySummary {
        /// Pairs of an edit and a router.
        pub samples: usize,
        /// Median.
        pub p50: Duration,
        /// 99th percentile.
        pub p99: Duration,
        /// Longest.
        pub max: Duration,
    }
}

impl RowHistory {
    /// Every broken promise; `limit` is the time within which an edit must be in force everywhere.
    pub fn violations(&self, limit: Duration) -> Vec<RowViolation> {
        let mut violations = self.lost_edits();
        violations.extend(self.never_accepted());
        violations.extend(self.backwards());
        violations.extend(self.too_late(limit));
        violations
    }

    /// Time from the word to the operator until each router first showed the edit.
    pub fn delays(&self) -> DelaySummary {
        let mut delays: Vec<Duration> =
            self.accepted.iter().flat_map(|edit| self.delays_of(edit)).collect();
        delays.sort();
        let at = |share: f64| {
            let index = (delays.len() as f64 * share) as usize;
            delays.get(index.min(delays.len().saturating_sub(1))).copied().unwrap_or_default()
        };
        DelaySummary { samples: delays.len(), p50: at(0.5), p99: at(0.99), max: at(1.0) }
    }

    fn lost_edits(&self) -> Vec<RowViolation> {
        let editions = self.accepted.iter().map(|edit| &edit.edition);
        let lost = editions.filter(|edition| !self.trail.contains(edition));
        lost.cloned().map(RowViolation::EditLost).collect()
    }

    fn never_accepted(&self) -> Vec<RowViolation> {
        let mut seen = BTreeSet::new();
        for view in &self.views {
            for edition in view.editions().filter(|edition| !self.trail.contains(edition)) {
                seen.insert((view.router.clone(), edition));
            }
        }
        seen.into_iter().map(|(host, edition)| RowViolation::NeverAccepted(host, edition)).collect()
    }

    fn backwards(&self) -> Vec<RowViolation> {
        let mut latest: BTreeMap<(&HostName, &str), RowVersion> = BTreeMap::new();
        let mut violations = Vec::new();
        for view in &self.views {
            for (row, version) in &view.versions {
                let known = latest.entry((&view.router, row)).or_insert(*version);
                if version < known {
                    let edition = RowEdition { row: row.clone(), version: *version };
                    violations.push(RowViolation::WentBackwards(view.router.clone(), edition));
                }
                *known = (*known).max(*version);
            }
        }
        violations
    }

    fn too_late(&self, limit: Duration) -> Vec<RowViolation> {
        let mut late = BTreeSet::new();
        for edit in &self.accepted {
            let due = edit.accepted.after(limit);
            for view in self.views.iter().filter(|view| view.asked > due) {
                if !view.has(&edit.edition) {
                    late.insert((view.router.clone(), edit.edition.clone()));
                }
            }
        }
        late.into_iter().map(|(host, edition)| RowViolation::TooLate(host, edition)).collect()
    }

    fn delays_of(&self, edit: &AcceptedEdit) -> Vec<Duration> {
        let mut first: BTreeMap<&HostName, Duration> = BTreeMap::new();
        for view in self.views.iter().filter(|view| view.has(&edit.edition)) {
            first.entry(&view.router).or_insert_with(|| view.answered.since(edit.accepted));
        }
        first.into_values().collect()
    }
}

impl RowView {
    fn has(&self, edition: &RowEdition) -> bool {
        self.versions.get(&edition.row).is_some_and(|version| *version >= edition.version)
    }

    fn editions(&self) -> impl Iterator<Item = RowEdition> {
        let versions = self.versions.iter();
        versions.map(|(row, version)| RowEdition { row: row.clone(), version: *version })
    }
}
