//! Simulation of editors and routers that use the platform, driven step by step.

use std::{
    collections::{BTreeMap, BTreeSet},
    future::Future,
    pin::Pin,
    task::Context,
};

use base_types::{HostName, OperatorName, RowVersion, TeamName};
use futures_util::task::noop_waker;
use proptest::prelude::*;
use serde_json::{Value, json};
use state_tables::{
    EditCondition, EditKey, EditRequest, EditResolution, EditVerdict, PortError, RowChange,
    RowContent, RowKey, RowRecord, TableKind, TableRevision, TableSet, finish_pending,
    resolve_edit, submit_edit,
};

use crate::{
    oracle::{Oracle, ReportedOutcome},
    platform::{CallOutcome, InjectedFault, LogEntry, SimPlatform},
};

const ROUTERS: usize = 3;
const FINISH_CALLS_MAX: usize = 20_000;

/// One step of a generated case.
#[derive(Debug, Clone)]
pub(crate) enum SimStep {
    Submit {
        row: u8,
        after: NewContent,
        stale: bool,
    },
    CompleteCall {
        call: u8,
        outcome: CallOutcome,
    },
    /// From now on all calls have this outcome; `None` ends the outage.
    Outage {
        outcome: Option<CallOutcome>,
    },
    RunDelayed {
        call: u8,
    },
    Crash {
        task: u8,
    },
    ResolveEdit {
        edit: u8,
    },
    FinishPending,
    Receive {
        router: u8,
        change: u8,
    },
    List {
        router: u8,
    },
    Restart {
        router: u8,
    },
    WriteDirectly {
        row: u8,
        after: DirectWrite,
    },
}

/// New content of an edited row.
#[derive(Debug, Clone, Copy)]
pub(crate) enum NewContent {
    Pool { slots: u8 },
    Route { path: u8, pool: u8 },
    Deleted,
}

/// A write that bypasses the administration API.
#[derive(Debug, Clone, Copy)]
pub(crate) enum DirectWrite {
    Garbage,
    Removed,
}

impl SimStep {
    pub(crate) fn strategy() -> BoxedStrategy<Self> {
        let outcome = prop_oneof![
            12 => Just(CallOutcome::Answered),
            1 => Just(CallOutcome::AnswerLost),
            1 => Just(CallOutcome::CallLost),
            1 => Just(CallOutcome::Delayed),
            1 => Just(CallOutcome::Refused),
        ];
        let outage = prop_oneof![
            4 => Just(None),
            1 => Just(Some(CallOutcome::AnswerLost)),
            1 => Just(Some(CallOutcome::Delayed)),
            1 => Just(Some(CallOutcome::Refused)),
        ];
        let after = prop_oneof![
            4 => (1..4u8).prop_map(|slots| NewContent::Pool { slots }),
            4 => (0..3u8, 0..2u8).prop_map(|(path, pool)| NewContent::Route { path, pool }),
            1 => Just(NewContent::Deleted),
        ];
        let direct_write = prop_oneof![Just(DirectWrite::Garbage), Just(DirectWrite::Removed)];
        let pick = any::<u8>;
        prop_oneof![
            5 => (0..4u8, after, prop::bool::weighted(0.1))
                .prop_map(|(row, after, stale)| Self::Submit { row, after, stale }),
            80 => (pick(), outcome)
                .prop_map(|(call, outcome)| Self::CompleteCall { call, outcome }),
            4 => outage.prop_map(|outcome| Self::Outage { outcome }),
            3 => pick().prop_map(|call| Self::RunDelayed { call }),
            1 => pick().prop_map(|task| Self::Crash { task }),
            2 => pick().prop_map(|edit| Self::ResolveEdit { edit }),
            1 => Just(Self::FinishPending),
            12 => (pick(), pick()).prop_map(|(router, change)| Self::Receive { router, change }),
            2 => pick().prop_map(|router| Self::List { router }),
            1 => pick().prop_map(|router| Self::Restart { router }),
            1 => (0..4u8, direct_write).prop_map(|(row, after)| Self::WriteDirectly { row, after }),
        ]
        .boxed()
    }
}

enum TaskOutcome {
    Edit(EditVerdict),
    ResolveEdit(EditKey, Result<EditResolution, PortError>),
    FinishPending,
}

struct Task {
    nonce: u64,
    run: Pin<Box<dyn Future<Output = TaskOutcome> + Send>>,
}

/// The platform, the running editor tasks, and the routers that receive changes.
pub(crate) struct Simulation {
    fault: InjectedFault,
    platform: SimPlatform,
    tasks: Vec<Task>,
    next_nonce: u64,
    unresolved: Vec<EditKey>,
    oracle: Oracle,
    routers: Vec<TableSet>,
    min_versions: Vec<BTreeMap<RowKey, RowVersion>>,
    deleted: Vec<BTreeMap<RowKey, RowVersion>>,
    outage: Option<CallOutcome>,
}

impl Simulation {
    pub(crate) fn new(fault: InjectedFault) -> Self {
        Self {
            fault,
            platform: SimPlatform::new(fault),
            tasks: Vec::new(),
            next_nonce: 0,
            unresolved: Vec::new(),
            oracle: Oracle::default(),
            routers: vec![TableSet::default(); ROUTERS],
            min_versions: vec![BTreeMap::new(); ROUTERS],
            deleted: vec![BTreeMap::new(); ROUTERS],
            outage: None,
        }
    }

    pub(crate) fn apply(&mut self, step: SimStep) {
        match step {
            SimStep::Submit { row, after, stale } => self.submit(row, after, stale),
            SimStep::CompleteCall { call, outcome } => {
                self.platform.complete_call(call.into(), self.outage.unwrap_or(outcome));
            }
            SimStep::Outage { outcome } => self.outage = outcome,
            SimStep::RunDelayed { call } => self.platform.run_delayed(call.into()),
            SimStep::Crash { task } => self.crash(task.into()),
            SimStep::ResolveEdit { edit } => self.resolve_unresolved_edit(edit.into()),
            SimStep::FinishPending => self.finish_pending_edit(),
            SimStep::Receive { router, change } => self.receive(router.into(), change.into()),
            SimStep::List { router } => self.list(router.into()),
            SimStep::Restart { router } => self.restart(router.into()),
            SimStep::WriteDirectly { row, after } => self.write_directly(row, after),
        }
        self.run_tasks();
        self.check_versions_in_force();
    }

    /// Checks the invariants that hold after every step.
    pub(crate) fn check(&self) {
        self.oracle.check(&self.platform.state());
        for table in &self.routers {
            self.oracle.check_in_force(table);
        }
    }

    /// Runs all tasks to completion without further faults, and checks the final state.
    pub(crate) fn finish(mut self) {
        self.run_to_completion();
        for edit in std::mem::take(&mut self.unresolved) {
            self.start_resolve_edit(edit);
            self.run_to_completion();
        }
        self.finish_pending_edit();
        self.run_to_completion();
        self.platform.run_all_delayed();
        self.run_tasks();
        self.check();
        assert!(self.unresolved.is_empty(), "an edit is unresolved without further faults");
        self.oracle.check_final_state(&self.platform.state());
        for router in 0..ROUTERS {
            self.list(router);
            self.check_versions_in_force();
            self.oracle.check_complete(&self.platform.state(), &self.routers[router]);
        }
        self.check();
    }

    fn run_to_completion(&mut self) {
        self.run_tasks();
        for index in 0..FINISH_CALLS_MAX {
            if index % 3 == 0 {
                self.platform.run_delayed(index);
            }
            if !self.platform.complete_call(index, CallOutcome::Answered) {
                break;
            }
            self.run_tasks();
        }
        assert!(self.tasks.is_empty(), "an editor task did not finish");
    }

    fn submit(&mut self, row: u8, after: NewContent, stale: bool) {
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let key = row_key(row, after);
        let request = EditRequest {
            operator: OperatorName::new("operator"),
            team: TeamName::new("team"),
            any_team: true,
            router: HostName::new("router"),
            at_ms: 0,
            reason: "fuzz".into(),
            condition: self.condition(&key, stale),
            after: new_row(&key, after),
            row: key,
            dry_run: false,
            nonce,
        };
        let platform = self.platform.clone();
        let run = async move { TaskOutcome::Edit(submit_edit(&platform, &request).await) };
        self.tasks.push(Task { nonce, run: Box::pin(run) });
    }

    fn condition(&self, key: &RowKey, stale: bool) -> EditCondition {
        let state = self.platform.state();
        let object = state.objects.get(&key.object_key());
        let deleted = object.is_none_or(|object| {
            let record: Option<RowRecord> = serde_json::from_value(object.value.clone()).ok();
            record.is_some_and(|record| record.row.is_none())
        });
        match object {
            Some(object) if !deleted => {
                EditCondition::Version(RowVersion(object.version.0 - u64::from(stale)))
            }
            _ => EditCondition::Absent,
        }
    }

    fn crash(&mut self, task: usize) {
        if !self.tasks.is_empty() {
            self.tasks.swap_remove(task % self.tasks.len());
        }
    }

    fn resolve_unresolved_edit(&mut self, pick: usize) {
        if self.unresolved.is_empty() {
            return;
        }
        let edit = self.unresolved.swap_remove(pick % self.unresolved.len());
        self.start_resolve_edit(edit);
    }

    fn start_resolve_edit(&mut self, edit: EditKey) {
        let platform = self.platform.clone();
        let run =
            async move { TaskOutcome::ResolveEdit(edit, resolve_edit(&platform, edit).await) };
        self.tasks.push(Task { nonce: edit.nonce, run: Box::pin(run) });
    }

    fn finish_pending_edit(&mut self) {
        let platform = self.platform.clone();
        let run = async move {
            let _ = finish_pending(&platform).await;
            TaskOutcome::FinishPending
        };
        self.tasks.push(Task { nonce: 0, run: Box::pin(run) });
    }

    fn run_tasks(&mut self) {
        let waker = noop_waker();
        let mut context = Context::from_waker(&waker);
        let mut index = 0;
        while index < self.tasks.len() {
            match self.tasks[index].run.as_mut().poll(&mut context) {
                std::task::Poll::Pending => index += 1,
                std::task::Poll::Ready(outcome) => {
                    let task = self.tasks.swap_remove(index);
                    self.finish_task(task.nonce, outcome);
                }
            }
        }
    }

    fn finish_task(&mut self, nonce: u64, outcome: TaskOutcome) {
        match outcome {
            TaskOutcome::Edit(EditVerdict::Unknown { edit }) => self.unresolved.push(edit),
            TaskOutcome::Edit(EditVerdict::Accepted { edit, version, .. }) => {
                assert_eq!(edit.nonce, nonce, "the outcome belongs to another edit");
                self.oracle.record_outcome(nonce, ReportedOutcome::Accepted(version));
            }
            TaskOutcome::Edit(_) => self.oracle.record_outcome(nonce, ReportedOutcome::NotAccepted),
            TaskOutcome::ResolveEdit(_, Ok(resolution)) => {
                self.oracle.record_outcome(nonce, ReportedOutcome::of(&resolution))
            }
            TaskOutcome::ResolveEdit(edit, Err(_)) => self.unresolved.push(edit),
            TaskOutcome::FinishPending => {}
        }
    }

    /// Delivers one of the most recent changes to a router, possibly once more.
    fn receive(&mut self, router: usize, pick: usize) {
        let change = {
            let state = self.platform.state();
            let rows: Vec<RowChange> = state.log.iter().filter_map(row_change).collect();
            if rows.is_empty() {
                return;
            }
            rows[rows.len() - 1 - pick % rows.len().min(24)].clone()
        };
        let table = &mut self.routers[router % ROUTERS];
        if self.fault == InjectedFault::RowsAdoptedBackwards {
            let other_rows = table.rows_in_force().filter(|row| row.key != change.key).cloned();
            let mut rows: Vec<RowChange> = other_rows.collect();
            rows.push(change);
            *table = TableSet::default();
            table.adopt_all(rows);
            return;
        }
        table.adopt(change);
    }

    fn list(&mut self, router: usize) {
        let state = self.platform.state();
        let mut rows = Vec::new();
        let mut revisions = Vec::new();
        for table in TableKind::ALL {
            let listed = state.list(table.prefix());
            rows.extend(listed.objects.into_iter().filter_map(|object| {
                let key = RowKey::from_object_key(&object.key)?;
                Some(RowChange::from_object(key, object.version, Some(object.value)))
            }));
            revisions.push(TableRevision { table, revision: listed.revision });
        }
        let removed = state.log.iter().filter(|entry| !state.objects.contains_key(&entry.key));
        let removed = removed.filter_map(|entry| RowKey::from_object_key(&entry.key));
        let removed: BTreeSet<RowKey> = removed.collect();
        let revision = state.revision();
        drop(state);
        let router = router % ROUTERS;
        let table = &mut self.routers[router];
        if self.fault == InjectedFault::FloorsLost {
            table.adopt_all(rows);
        } else {
            table.adopt_lists(&revisions, rows);
        }
        // A pool whose removal bypassed the protocol stays in force while a route needs it.
        let deleted = removed.into_iter().filter(|key| !is_in_force(table, key));
        self.deleted[router] = deleted.map(|key| (key, revision)).collect();
    }

    /// Restarts a router, which reads the platform before it receives changes.
    fn restart(&mut self, router: usize) {
        let router = router % ROUTERS;
        self.routers[router] = TableSet::default();
        self.list(router);
        self.min_versions[router].clear();
    }

    fn write_directly(&mut self, row: u8, after: DirectWrite) {
        let key = picked_key(row);
        // Removing an object that does not exist is no change.
        if !self.platform.state().objects.contains_key(&key.object_key()) {
            return;
        }
        self.oracle.record_direct_write(key.clone());
        let value = match after {
            DirectWrite::Garbage => Some(json!({ "garbage": row })),
            DirectWrite::Removed => None,
        };
        self.platform.write_directly(&key.object_key(), value);
    }

    /// Checks that the version in force of a row never decreases on a router that keeps running,
    /// and that a row missing from a read of the platform only reappears at a later version.
    fn check_versions_in_force(&mut self) {
        for (table, deleted) in self.routers.iter().zip(&self.deleted) {
            for (key, revision) in deleted {
                let later = table.in_force(key).is_some_and(|change| change.version > *revision);
                assert!(later || !is_in_force(table, key), "deleted row {key} reappeared");
            }
        }
        for (table, min_versions) in self.routers.iter().zip(&mut self.min_versions) {
            for change in table.rows_in_force() {
                let min_version = min_versions.entry(change.key.clone()).or_insert(change.version);
                assert!(
                    change.version >= *min_version,
                    "the version in force of {} decreased",
                    change.key
                );
                *min_version = change.version;
            }
            for key in min_versions.keys() {
                assert!(table.in_force(key).is_some(), "{key} was lost");
            }
        }
    }
}

fn is_in_force(table: &TableSet, key: &RowKey) -> bool {
    table.in_force(key).is_some_and(|change| change.content != RowContent::Tombstone)
}

fn row_change(entry: &LogEntry) -> Option<RowChange> {
    let key = RowKey::from_object_key(&entry.key)?;
    Some(RowChange::from_object(key, entry.version, entry.value.clone()))
}

fn picked_key(row: u8) -> RowKey {
    let table = if row < 2 { TableKind::Pools } else { TableKind::Routes };
    table.row(&format!("row-{}", row % 2))
}

/// Maps a picked row to the table of the edit: pools and routes are only edited in their own table.
fn row_key(row: u8, after: NewContent) -> RowKey {
    match after {
        NewContent::Pool { .. } => picked_key(row % 2),
        NewContent::Route { .. } => picked_key(2 + row % 2),
        NewContent::Deleted => picked_key(row),
    }
}

fn new_row(key: &RowKey, after: NewContent) -> Option<Value> {
    match after {
        NewContent::Pool { slots } => Some(json!({
            "name": key.name(), "team": "team", "group": "group", "kind": "engine",
            "repeatable": true, "target_slots": slots,
        })),
        NewContent::Route { path, pool } => Some(json!({
            "name": key.name(), "team": "team", "path": format!("/{path}"),
            "pool": format!("row-{pool}"),
        })),
        NewContent::Deleted => None,
    }
}
