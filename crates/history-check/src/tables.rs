//! Checks table edits against the row versions that each router had in force over time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{RowVersion, TimePoint, message_types};

/// Time limit for an accepted row to be in force on every router, counted from the answer to the
/// edit or from the end of a fault.
pub const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(7);

message_types! {
    /// The outcome of an edit as reported to its operator.
    pub enum EditOutcome {
        /// The edit was accepted; holds the new version of the row.
        Accepted(RowVersion),
        /// The edit was refused and must not take effect.
        NotAccepted,
        /// The outcome was reported as unknown, or no answer arrived.
        Unknown,
    }

    /// An edit as recorded by the operator that sent it.
    pub struct EditCall {
        /// Unique name of the edit, sent as its reason and so found in its audit entry.
        pub name: Box<str>,
        /// Key of the row's object.
        pub row: Box<str>,
        /// Time at which the answer arrived.
        pub answered_at: TimePoint,
        /// The reported outcome.
        pub outcome: EditOutcome,
    }

    /// The audit entry of an accepted edit.
    pub struct AuditedEdit {
        /// Unique name of the edit, read from the entry's reason.
        pub name: Box<str>,
        /// Key of the row's object.
        pub row: Box<str>,
        /// Version that the edit assigned to the row.
        pub version: RowVersion,
    }

    /// The row versions in force on a router whose tables are complete, at one point in time.
    pub struct TableObservation {
        /// Index of the router.
        pub router: usize,
        /// Time at which the router was queried.
        pub requested_at: TimePoint,
        /// Time at which the router's answer arrived.
        pub received_at: TimePoint,
        /// Version in force of each row and tombstone, by object key.
        pub rows: BTreeMap<Box<str>, RowVersion>,
    }

    /// The time span during which a fault was injected.
    pub struct FaultSpan {
        /// Start of the fault.
        pub started_at: TimePoint,
        /// End of the fault.
        pub finished_at: TimePoint,
    }

    /// Edits, audit entries, router observations and faults of one test run.
    pub struct TableHistory {
        /// Number of routers.
        pub routers: usize,
        /// Edits of all operators, in any order.
        pub edits: Vec<EditCall>,
        /// Audit entries of accepted edits, read at the end of the run.
        pub audit: Vec<AuditedEdit>,
        /// Observations of all routers; those of one router are in chronological order.
        pub observations: Vec<TableObservation>,
        /// Injected faults, in any order.
        pub faults: Vec<FaultSpan>,
    }

    /// A guarantee on table edits that a history violates.
    #[derive(Eq)]
    pub enum TableViolation {
        /// An edit was accepted, but its audit entry is missing or names another row or version.
        NotAudited(Box<str>),
        /// An edit was reported as "not accepted" but took effect.
        NotAcceptedButTook(Box<str>),
        /// A router went back to an earlier version of a row, or lost the row.
        WentBackwards(usize, Box<str>),
        /// A router had a row version in force that no audited edit assigned.
        ForeignVersion(usize, Box<str>, RowVersion),
        /// A router did not have an accepted edit in force by its deadline.
        Late(usize, Box<str>),
        /// A router was not observed after the deadline of an accepted edit.
        NotSeen(usize, Box<str>),
    }
}

impl TableHistory {
    /// Returns all violations, each at most once per router and edit or row.
    pub fn violations(&self) -> Vec<TableViolation> {
        let mut violations = self.check_edits();
        for router in 0..self.routers {
            violations.extend(self.check_versions(router));
            violations.extend(self.check_in_force(router));
        }
        violations
    }

    /// Returns, for each accepted edit and router, the time from the answer to the first
    /// observation with the edit in force; sorted.
    ///
    /// Edits that a fault may have delayed are left out.
    pub fn propagation_delays(&self) -> Vec<Duration> {
        let unaffected = self.accepted().filter(|(edit, _)| {
            let until = edit.answered_at.after(CONVERGENCE_TIMEOUT);
            !self.faults.iter().any(|fault| fault.overlaps(edit.answered_at, until))
        });
        let mut delays: Vec<Duration> = unaffected
            .flat_map(|(edit, version)| {
                let first_observation = move |router| {
                    let mut observations = self.observations_of(router);
                    observations.find(|observation| observation.has_in_force(&edit.row, version))
                };
                let first_observations = (0..self.routers).filter_map(first_observation);
                first_observations
                    .map(move |observation| observation.received_at.since(edit.answered_at))
            })
            .collect();
        delays.sort();
        delays
    }

    /// Returns the number of edits that were reported as accepted.
    pub fn accepted_count(&self) -> usize {
        self.accepted().count()
    }

    fn accepted(&self) -> impl Iterator<Item = (&EditCall, RowVersion)> {
        self.edits.iter().filter_map(|edit| match edit.outcome {
            EditOutcome::Accepted(version) => Some((edit, version)),
            EditOutcome::NotAccepted | EditOutcome::Unknown => None,
        })
    }

    fn observations_of(&self, router: usize) -> impl Iterator<Item = &TableObservation> {
        self.observations.iter().filter(move |observation| observation.router == router)
    }

    fn check_edits(&self) -> Vec<TableViolation> {
        let audited: BTreeMap<&str, &AuditedEdit> =
            self.audit.iter().map(|entry| (&*entry.name, entry)).collect();
        let check = |edit: &EditCall| {
            let entry = audited.get(&*edit.name);
            match edit.outcome {
                EditOutcome::Accepted(version) => {
                    let matches_edit =
                        |entry: &&&AuditedEdit| entry.row == edit.row && entry.version == version;
                    let missing = entry.filter(matches_edit).is_none();
                    missing.then(|| TableViolation::NotAudited(edit.name.clone()))
                }
                EditOutcome::NotAccepted => {
                    entry.map(|_| TableViolation::NotAcceptedButTook(edit.name.clone()))
                }
                EditOutcome::Unknown => None,
            }
        };
        self.edits.iter().filter_map(check).collect()
    }

    fn check_versions(&self, router: usize) -> Vec<TableViolation> {
        let audited_versions: BTreeSet<(&str, RowVersion)> =
            self.audit.iter().map(|entry| (&*entry.row, entry.version)).collect();
        let mut latest_versions = BTreeMap::<&str, RowVersion>::new();
        let mut backwards = BTreeSet::new();
        let mut foreign = BTreeSet::new();
        for observation in self.observations_of(router) {
            let reverted = latest_versions
                .iter()
                .filter(|(row, version)| !observation.has_in_force(row, **version));
            backwards.extend(reverted.map(|(row, _)| *row));
            for (row, version) in &observation.rows {
                latest_versions.insert(row, *version);
                if !audited_versions.contains(&(row, *version)) {
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
            let deadline = self.deadline(edit.answered_at);
            let mut observations = self
                .observations_of(router)
                .filter(|observation| observation.requested_at >= deadline);
            let Some(observation) = observations.next() else {
                return Some(TableViolation::NotSeen(router, edit.name.clone()));
            };
            let in_force = observation.has_in_force(&edit.row, version);
            (!in_force).then(|| TableViolation::Late(router, edit.name.clone()))
        };
        self.accepted().filter_map(check).collect()
    }

    /// Returns the deadline for an edit to be in force: `CONVERGENCE_TIMEOUT` after its answer,
    /// extended to `CONVERGENCE_TIMEOUT` after the end of each fault that overlaps the wait.
    fn deadline(&self, answered_at: TimePoint) -> TimePoint {
        let mut deadline = answered_at.after(CONVERGENCE_TIMEOUT);
        loop {
            let overlapping =
                self.faults.iter().filter(|fault| fault.overlaps(answered_at, deadline));
            let last_end =
                overlapping.map(|fault| fault.finished_at.after(CONVERGENCE_TIMEOUT)).max();
            let Some(later) = last_end.filter(|later| *later > deadline) else { return deadline };
            deadline = later;
        }
    }
}

impl FaultSpan {
    fn overlaps(&self, from: TimePoint, until: TimePoint) -> bool {
        self.started_at <= until && self.finished_at >= from
    }
}

impl TableObservation {
    /// Returns whether this version of a row, or a later one, was in force.
    fn has_in_force(&self, row: &str, version: RowVersion) -> bool {
        self.rows.get(row).is_some_and(|in_force| *in_force >= version)
    }
}
