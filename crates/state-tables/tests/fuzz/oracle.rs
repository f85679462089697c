//! What must hold: the audit trail replayed one edit after the other is the truth.

use std::collections::{BTreeMap, BTreeSet};

use base_types::{PoolIdentity, PoolName, RouteName, RowVersion};
use serde_json::Value;
use state_tables::{
    EditFate, EditOutcome, EditRecord, GUARD_OBJECT, GuardRecord, PoolRow, RouteRow, RowContent,
    RowKey, RowRecord, TableSet, audit_object_key, check_rows,
};

use crate::sim::SimState;

/// What an operator was told of an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Word {
    Accepted(RowVersion),
    NotAccepted,
}

impl Word {
    pub(crate) fn of(fate: &EditFate) -> Self {
        match fate {
            EditFate::Ended(entry) => match entry.end {
                Some(EditOutcome::Accepted { version }) => Self::Accepted(version),
                _ => Self::NotAccepted,
            },
            EditFate::NeverBegan => Self::NotAccepted,
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Oracle {
    told: BTreeMap<u64, Word>,
    past: BTreeSet<RowKey>,
}

/// The tables after some edits.
#[derive(Debug, Default)]
struct Replay {
    routes: BTreeMap<RouteName, RouteRow>,
    pools: BTreeMap<PoolName, PoolRow>,
    identities: BTreeSet<PoolIdentity>,
    rows: BTreeMap<RowKey, Option<Value>>,
}

impl Oracle {
    pub(crate) fn hear(&mut self, nonce: u64, word: Word) {
        let before = self.told.insert(nonce, word);
        assert!(before.is_none_or(|before| before == word), "edit {nonce}: {before:?}, {word:?}");
    }

    pub(crate) fn write_past(&mut self, key: RowKey) {
        self.past.insert(key);
    }

    pub(crate) fn check(&self, state: &SimState) {
        let trail = audit_trail(state);
        self.check_words(&trail);
        let mut replay = Replay::default();
        for entry in &trail {
            self.replay(&mut replay, entry);
        }
    }

    /// The rows in force on a router are valid together.
    pub(crate) fn check_in_force(&self, table: &TableSet) {
        let routes = table.routes().map(|row| (row.name.clone(), row.clone())).collect();
        let pools = table.pools().map(|row| (row.name.clone(), row.clone())).collect();
        assert_eq!(check_rows(&routes, &pools), []);
    }

    /// With nothing under way the platform holds what the replay ends with.
    pub(crate) fn check_settled(&self, state: &SimState) {
        let guard = guard(state);
        assert_eq!(guard.pending, None);
        let trail = audit_trail(state);
        assert_eq!(trail.len() as u64, guard.sequence, "an audit entry is missing");
        let mut replay = Replay::default();
        for entry in &trail {
            self.replay(&mut replay, entry);
        }
        for (key, row) in replay.rows.iter().filter(|(key, _)| !self.past.contains(key)) {
            let object = state.objects.get(&key.object()).expect("the row's object exists");
            let record: RowRecord = serde_json::from_value(object.value.clone()).unwrap();
            assert_eq!(record.row, *row, "{key} is not as its last edit left it");
        }
    }

    /// A router that has read the platform has every accepted row in force, but for routes whose
    /// pool was written past the protocol.
    pub(crate) fn check_complete(&self, state: &SimState, table: &TableSet) {
        for object in state.objects.values() {
            let Some(key) = RowKey::from_object(&object.key) else { continue };
            let Ok(record) = serde_json::from_value::<RowRecord>(object.value.clone()) else {
                continue;
            };
            let row: Option<RouteRow> = record.row.and_then(|row| serde_json::from_value(row).ok());
            let lost_pool = row.is_some_and(|row| self.past.contains(&RowKey::Pool(row.pool)));
            let version = table.in_force(&key).map(|change| change.version);
            assert!(lost_pool || version == Some(object.version), "{key}: {version:?}");
        }
    }

    fn check_words(&self, trail: &[EditRecord]) {
        let accepted: BTreeMap<u64, RowVersion> = trail
            .iter()
            .filter_map(|entry| match entry.end {
                Some(EditOutcome::Accepted { version }) => Some((entry.edit.nonce, version)),
                _ => None,
            })
            .collect();
        for (nonce, word) in &self.told {
            let entry = accepted.get(nonce).copied();
            match word {
                Word::Accepted(version) => assert_eq!(entry, Some(*version), "edit {nonce}"),
                Word::NotAccepted => assert_eq!(entry, None, "edit {nonce} was refused"),
            }
        }
    }

    fn replay(&self, replay: &mut Replay, entry: &EditRecord) {
        let Some(EditOutcome::Accepted { .. }) = entry.end else { return };
        let key = RowKey::from_object(&entry.row).unwrap();
        let past = self.past.contains(&key);
        let before = replay.rows.get(&key).cloned().flatten();
        assert!(past || before == entry.before, "{key}: {before:?}, {:?}", entry.before);
        replay.apply(&key, entry, past);
        // A row removed past the protocol is missed by rows that are otherwise valid.
        if self.past.is_empty() {
            assert_eq!(check_rows(&replay.routes, &replay.pools), [], "after {}", entry.edit);
        }
    }
}

impl Replay {
    fn apply(&mut self, key: &RowKey, entry: &EditRecord, past: bool) {
        self.rows.insert(key.clone(), entry.after.clone());
        let content = entry.after.clone().map(|row| RowContent::read(key, row).unwrap());
        match (key, content) {
            (RowKey::Route(name), Some(RowContent::Route(row))) => {
                self.routes.insert(name.clone(), row);
            }
            (RowKey::Pool(name), Some(RowContent::Pool(row))) => {
                let identity = row.identity.expect("a pool in force has an identity");
                let kept = self.pools.get(name).and_then(|row| row.identity) == Some(identity);
                let new = self.identities.insert(identity);
                assert!(kept || new || past, "pool {name} inherits an identity");
                assert!(kept == entry.before.is_some() || past, "pool {name} lost its identity");
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

fn guard(state: &SimState) -> GuardRecord {
    let object = state.objects.get(GUARD_OBJECT);
    let none = GuardRecord { sequence: 0, pending: None };
    object.map_or(none, |object| serde_json::from_value(object.value.clone()).unwrap())
}

/// The audit entries in the order of edits; there is one for each but the pending one.
fn audit_trail(state: &SimState) -> Vec<EditRecord> {
    let guard = guard(state);
    let entry = |sequence: u64| -> Option<EditRecord> {
        let object = state.objects.get(&audit_object_key(sequence))?;
        let entry: EditRecord = serde_json::from_value(object.value.clone()).unwrap();
        assert_eq!(entry.edit.sequence, sequence, "an audit entry is at another place");
        Some(entry)
    };
    let trail: Vec<EditRecord> = (1..=guard.sequence).filter_map(entry).collect();
    let ended = guard.sequence - u64::from(guard.pending.is_some());
    assert!(trail.len() as u64 >= ended, "an audit entry is missing");
    trail
}
