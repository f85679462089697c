//! The check of edits of the tables against what each router had in force over time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{RowVersion, TimePoint, message_types};

/// Time in which an accepted row must be in force everywhere, or repaired after a fault.
pub const REPAIR_TIME: Duration = Duration::from_secs(7);

message_types! {
    /// What an operator was told of an edit.
    pub enum EditEnd {
        /// The edit was accepted and gave the row a version.
        Accepted(RowVersion),
        /// The edit was not accepted.
        NotAccepted,
        /// The operator was told that it is not known, or was told nothing.
        Unknown,
    }

    /// An edit as its operator saw it.
    pub struct EditCall {
        /// Name of the edit, which its audit entry carries as the reason.
        pub name: Box<str>,
        /// Key of the row's object.
        pub row: Box<str>,
        /// When the answer came.
        pub answered: TimePoint,
        /// What the answer said.
        pub end: EditEnd,
    }

    /// An audit entry of an accepted edit.
    pub struct AuditedEdit {
        /// Name of the edit.
        pub name: Box<str>,
        /// Key of the row's object.
        pub row: Box<str>,
        /// Version that the edit gave the row.
        pub version: RowVersion,
    }

    /// What a router that has whole tables had in force.
    pub struct TableSighting {
        /// Number of the router.
        pub router: usize,
        /// When the router was asked.
        pub asked: TimePoint,
        /// When its answer came.
        pub heard: TimePoint,
        /// Version in force of each row and tombstone.
        pub rows: BTreeMap<Box<str>, RowVersion>,
    }

    /// The time for which a fault was shown.
    pub struct FaultSpan {
        /// Begin of the fault.
        pub from: TimePoint,
        /// End of the fault.
        pub until: TimePoint,
    }

    /// Edits, audit entries, sightings and faults of one run.
    pub struct TableHistory {
        /// Number of routers.
        pub routers: usize,
        /// The edits.
        pub edits: Vec<EditCall>,
        /// Audit entries of accepted edits, read at the end.
        pub audit: Vec<AuditedEdit>,
        /// The sightings, those of each router in their order.
        pub sightings: Vec<TableSighting>,
        /// The faults shown.
        pub faults: Vec<FaultSpan>,
    }

    /// A promise on the tables that a history breaks.
    #[derive(Eq)]
    pub enum TableViolation {
        /// An edit was accepted and its audit entry is missing or names another version.
        NotAudited(Box<str>),
        /// An operator was told "not accepted" of an edit that took effect.
        NotAcceptedButTook(Box<str>),
        /// A router had an earlier version of a row in force than before.
        WentBackwards(usize, Box<str>),
        /// A router had a version in force that no accepted edit gave the row.
        ForeignVersion(usize, Box<str>, RowVersion),
        /// A router did not have an accepted edit in force in time.
        Late(usize, Box<str>),
        /// A router was not seen after the time at which an edit had to be in force.
        NotSeen(usize, Box<str>),
    }
}

impl TableHistory {
    /// All violations, each at most once for a router and an edit or row.
    pub fn violations(&self) -> Vec<TableViolation> {
        let mut violations = self.check_edits();
        for router in 0..self.routers {
            violations.extend(self.check_versions(router));
            violations.extend(self.check_in_force(router));
        }
        violations
    }

    /// Time from each accepted answer until each router had the edit in force, sorted. Edits that
    /// a fault may have delayed are left out.
    pub fn delays(&self) -> Vec<Duration> {
        let undisturbed = self.accepted().filter(|(edit, _)| {
            let until = edit.answered.after(REPAIR_TIME);
            !self.faults.iter().any(|fault| fault.disturbs(edit.answered, until))
        });
        let mut delays: Vec<Duration> = undisturbed
            .flat_map(|(edit, version)| {
                let seen = move |router| {
                    let mut sightings = self.seen_by(router);
                    sightings.find(|sighting| sighting.has(&edit.row, version))
                };
                let seen = (0..self.routers).filter_map(seen);
                seen.map(move |sighting| sighting.heard.since(edit.answered))
            })
            .collect();
        delays.sort();
        delays
    }

    /// Number of edits whose operators were told that they were accepted.
    pub fn accepted_count(&self) -> usize {
        self.accepted().count()
    }

    fn accepted(&self) -> impl Iterator<Item = (&EditCall, RowVersion)> {
        self.edits.iter().filter_map(|edit| match edit.end {
            EditEnd::Accepted(version) => Some((edit, version)),
            EditEnd::NotAccepted | EditEnd::Unknown => None,
        })
    }

    fn seen_by(&self, router: usize) -> impl Iterator<Item = &TableSighting> {
        self.sightings.iter().filter(move |sighting| sighting.router == router)
    }

    fn check_edits(&self) -> Vec<TableViolation> {
        let audited: BTreeMap<&str, &AuditedEdit> =
            self.audit.iter().map(|entry| (&*entry.name, entry)).collect();
        let check = |edit: &EditCall| {
            let entry = audited.get(&*edit.name);
            match edit.end {
                EditEnd::Accepted(version) => {
                    let own =
                        |entry: &&&AuditedEdit| entry.row == edit.row && entry.version == version;
                    let missing = entry.filter(own).is_none();
                    missing.then(|| TableViolation::NotAudited(edit.name.clone()))
                }
                EditEnd::NotAccepted => {
                    entry.map(|_| TableViolation::NotAcceptedButTook(edit.name.clone()))
                }
                EditEnd::Unknown => None,
            }
        };
        self.edits.iter().filter_map(check).collect()
    }

    fn check_versions(&self, router: usize) -> Vec<TableViolation> {
        let given: BTreeSet<(&str, RowVersion)> =
            self.audit.iter().map(|entry| (&*entry.row, entry.version)).collect();
        let mut latest = BTreeMap::<&str, RowVersion>::new();
        let mut backwards = BTreeSet::new();
        let mut foreign = BTreeSet::new();
        for sighting in self.seen_by(router) {
            let lower = latest.iter().filter(|(row, version)| !sighting.has(row, **version));
            backwards.extend(lower.map(|(row, _)| *row));
            for (row, version) in &sighting.rows {
                latest.insert(row, *version);
                if !given.contains(&(row, *version)) {
                    foreign.insert((&**row, *version));
                }
            }
        }
        let backwards =
            backwards.into_iter().map(|row| TableViolation::WentBackwards(router, row.into()));
        let foreign = foreign
            .into_iter()
            .map(|(row, version)| TableViolation::ForeignVersion(router, row.into(), version));
        backwards.chain(foreign).collect()
    }

    fn check_in_force(&self, router: usize) -> Vec<TableViolation> {
        let check = |(edit, version): (&EditCall, RowVersion)| {
            let due = self.due(edit.answered);
            let mut sightings = self.seen_by(router).filter(|sighting| sighting.asked >= due);
            let Some(sighting) = sightings.next() else {
                return Some(TableViolation::NotSeen(router, edit.name.clone()));
            };
            let in_force = sighting.has(&edit.row, version);
            (!in_force).then(|| TableViolation::Late(router, edit.name.clone()))
        };
        self.accepted().filter_map(check).collect()
    }

    /// When an edit must be in force: in time after its answer, and after each fault until then.
    fn due(&self, answered: TimePoint) -> TimePoint {
        let mut due = answered.after(REPAIR_TIME);
        loop {
            let disturbing = self.faults.iter().filter(|fault| fault.disturbs(answered, due));
            let last = disturbing.map(|fault| fault.until.after(REPAIR_TIME)).max();
            let Some(later) = last.filter(|later| *later > due) else { return due };
            due = later;
        }
    }
}

impl FaultSpan {
    fn disturbs(&self, from: TimePoint, until: TimePoint) -> bool {
        self.from <= until && self.until >= from
    }
}

impl TableSighting {
    /// Whether a version of a row, or a later one, was in force.
    fn has(&self, row: &str, version: RowVersion) -> bool {
        self.rows.get(row).is_some_and(|seen| *seen >= version)
    }
}
