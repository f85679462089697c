//! In-memory object store that stands in for the platform.

use std::collections::BTreeMap;

use base_types::RowVersion;
use state_ledger::{LedgerCall, LedgerCallOutcome, OperationRecord, RecordCondition};

#[derive(Debug, Default)]
pub(crate) struct ObjectStore {
    revision: u64,
    objects: BTreeMap<Box<str>, (RowVersion, OperationRecord)>,
    ignores_conditions: bool,
}

impl ObjectStore {
    pub(crate) fn new(ignores_conditions: bool) -> Self {
        Self { ignores_conditions, ..Self::default() }
    }

    pub(crate) fn apply(&mut self, path: &str, call: LedgerCall) -> LedgerCallOutcome {
        match call {
            LedgerCall::Read => {
                self.objects.get(path).map_or(LedgerCallOutcome::Missing, |object| {
                    LedgerCallOutcome::Found(object.0, object.1.clone())
                })
            }
            LedgerCall::Write(condition, record) => self.write(path, condition, record),
        }
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &OperationRecord> {
        self.objects.values().map(|(_, record)| record)
    }

    fn write(
        &mut self,
        path: &str,
        condition: RecordCondition,
        record: OperationRecord,
    ) -> LedgerCallOutcome {
        let current = self.objects.get(path).map(|object| object.0);
        let condition_met = match condition {
            RecordCondition::Absent => current.is_none(),
            RecordCondition::Version(version) => current == Some(version),
        };
        if !condition_met && !self.ignores_conditions {
            return LedgerCallOutcome::Conflict;
        }
        self.revision += 1;
        let version = RowVersion(self.revision);
        self.objects.insert(path.into(), (version, record));
        LedgerCallOutcome::Written(version)
    }
}
