//! Oracle: the expected state is that of the audit trail, replayed one edit after the other.

use std::collections::{BTreeMap, BTreeSet};

use base_types::{PoolIdentity, PoolName, RouteName, RowVersion};
use serde_json::Value;
use state_tables::{
    EditOutcome, EditRecord, EditResolution, GUARD_OBJECT, GuardRecord, PoolRow, RouteRow,
    RowContent, RowKey, RowRecord, TableSet, audit_object_key, check_rows,
};

use crate::platform::PlatformState;

/// Outcome of an edit as reported to its operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportedOutcome {
    Accepted(RowVersion),
    NotAccepted,
}

impl ReportedOutcome {
    pub(crate) fn of(resolution: &EditResolution) -> Self {
        match resolution {
            EditResolution::Finished(entry) => match entry.end {
                Some(EditOutcome::Accepted { version }) => Self::Accepted(version),
                _ => Self::NotAccepted,
            },
            EditResolution::NeverStarted => Self::NotAccepted,
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Oracle {
    reported: BTreeMap<u64, ReportedOutcome>,
    directly_written: BTreeSet<RowKey>,
}

/// State of the tables after the replayed edits.
#[derive(Debug, Default)]
struct Replay {
    routes: BTreeMap<RouteName, RouteRow>,
    pools: BTreeMap<PoolName, PoolRow>,
    identities: BTreeSet<PoolIdentity>,
    rows: BTreeMap<RowKey, Option<Value>>,
}

impl Oracle {
    pub(crate) fn record_outcome(&mut self, nonce: u64, outcome: ReportedOutcome) {
        let previous = self.reported.insert(nonce, outcome);
        assert!(
            previous.is_none_or(|previous| previous == outcome),
            "edit {nonce}: {previous:?}, {outcome:?}"
        );
    }

    pub(crate) fn record_direct_write(&mut self, key: RowKey) {
        self.directly_written.insert(key);
    }

    pub(crate) fn check(&self, state: &PlatformState) {
        let trail = audit_trail(state);
        self.check_reported_outcomes(&trail);
        let mut replay = Replay::default();
        for entry in &trail {
            self.replay(&mut replay, entry);
        }
    }

    /// Checks that the rows in force on a router are valid together.
    pub(crate) fn check_in_force(&self, table: &TableSet) {
        let routes = table.routes().map(|row| (row.name.clone(), row.clone())).collect();
        let pools = table.pools().map(|row| (row.name.clone(), row.clone())).collect();
        assert_eq!(check_rows(&routes, &pools), []);
    }

    /// Checks that the platform, with nothing in flight, stores the final state of the replay.
    pub(crate) fn check_final_state(&self, state: &PlatformState) {
        let guard = guard(state);
        assert_eq!(guard.pending, None);
        let trail = audit_trail(state);
        assert_eq!(trail.len() as u64, guard.sequence, "an audit entry is missing");
        let mut replay = Replay::default();
        for entry in &trail {
            self.replay(&mut replay, entry);
        }
        for (key, row) in replay.rows.iter().filter(|(key, _)| !self.directly_written.contains(key))
        {
            let object = state.objects.get(&key.object_key()).expect("the row's object exists");
            let record: RowRecord = serde_json::from_value(object.value.clone()).unwrap();
            assert_eq!(record.row, *row, "{key} differs from the content of its last edit");
        }
    }

    /// Checks that a router that has read the platform has every accepted row in force, except
    /// routes whose pool was written by bypassing the protocol.
    pub(crate) fn check_complete(&self, state: &PlatformState, table: &TableSet) {
        for object in state.objects.values() {
            let Some(key) = RowKey::from_object_key(&object.key) else { continue };
            let Ok(record) = serde_json::from_value::<RowRecord>(object.value.clone()) else {
                continue;
            };
            let row: Option<RouteRow> = record.row.and_then(|row| serde_json::from_value(row).ok());
            let pool_written_directly =
                row.is_some_and(|row| self.directly_written.contains(&RowKey::Pool(row.pool)));
            let version = table.in_force(&key).map(|change| change.version);
            assert!(pool_written_directly || version == Some(object.version), "{key}: {version:?}");
        }
    }

    fn check_reported_outcomes(&self, trail: &[EditRecord]) {
        let accepted: BTreeMap<u64, RowVersion> = trail
            .iter()
            .filter_map(|entry| match entry.end {
                Some(EditOutcome::Accepted { version }) => Some((entry.edit.nonce, version)),
                _ => None,
            })
            .collect();
        for (nonce, outcome) in &self.reported {
            let entry = accepted.get(nonce).copied();
            match outcome {
                ReportedOutcome::Accepted(version) => {
                    assert_eq!(entry, Some(*version), "edit {nonce}")
                }
                ReportedOutcome::NotAccepted => assert_eq!(entry, None, "edit {nonce} was refused"),
            }
        }
    }

    fn replay(&self, replay: &mut Replay, entry: &EditRecord) {
        let Some(EditOutcome::Accepted { .. }) = entry.end else { return };
        let key = RowKey::from_object_key(&entry.row).unwrap();
        let directly_written = self.directly_written.contains(&key);
        let replayed = replay.rows.get(&key).cloned().flatten();
        assert!(
            directly_written || replayed == entry.before,
            "{key}: {replayed:?}, {:?}",
            entry.before
        );
        replay.apply(&key, entry, directly_written);
        // Other rows may depend on a row whose removal bypassed the protocol.
        if self.directly_written.is_empty() {
            assert_eq!(check_rows(&replay.routes, &replay.pools), [], "after {}", entry.edit);
        }
    }
}

impl Replay {
    fn apply(&mut self, key: &RowKey, entry: &EditRecord, directly_written: bool) {
        self.rows.insert(key.clone(), entry.after.clone());
        let content = entry.after.clone().map(|row| RowContent::read(key, row).unwrap());
        match (key, content) {
            (RowKey::Route(name), Some(RowContent::Route(row))) => {
                self.routes.insert(name.clone(), row);
            }
            (RowKey::Pool(name), Some(RowContent::Pool(row))) => {
                let identity = row.identity.expect("a pool in force has an identity");
                let is_unchanged =
                    self.pools.get(name).and_then(|row| row.identity) == Some(identity);
                let is_new = self.identities.insert(identity);
                assert!(
                    is_unchanged || is_new || directly_written,
                    "pool {name} inherits an identity"
                );
                assert!(
                    is_unchanged == entry.before.is_some() || directly_written,
                    "pool {name} lost its identity"
                );
                self.pools.insert(name.clone(), row);
            }
            (RowKey::Route(name), _) => {
                self.routes.remove(name);
            }
            (RowKey::Pool(name), _) => {
                self.pools.remove(name);
            }
        }
    }
}

fn guard(state: &PlatformState) -> GuardRecord {
    let object = state.objects.get(GUARD_OBJECT);
    let initial = GuardRecord { sequence: 0, pending: None };
    object.map_or(initial, |object| serde_json::from_value(object.value.clone()).unwrap())
}

/// The audit entries in the order of edits. Every edit has one, except the pending edit.
fn audit_trail(state: &PlatformState) -> Vec<EditRecord> {
    let guard = guard(state);
    let entry = |sequence: u64| -> Option<EditRecord> {
        let object = state.objects.get(&audit_object_key(sequence))?;
        let entry: EditRecord = serde_json::from_value(object.value.clone()).unwrap();
        assert_eq!(entry.edit.sequence, sequence, "an audit entry has the wrong sequence number");
        Some(entry)
    };
    let trail: Vec<EditRecord> = (1..=guard.sequence).filter_map(entry).collect();
    let finished = guard.sequence - u64::from(guard.pending.is_some());
    assert!(trail.len() as u64 >= finished, "an audit entry is missing");
    trail
}
