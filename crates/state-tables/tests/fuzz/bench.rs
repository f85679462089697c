//! Editors and routers round the platform, driven step by step.

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
    EditFate, EditKey, EditRequest, EditTarget, EditVerdict, PortError, RowChange, RowContent,
    RowKey, RowRecord, TableKind, TableRevision, TableSet, find_edit, finish_pending, submit_edit,
};

use crate::{
    oracle::{Oracle, Word},
    sim::{Breakage, CallFate, LogEntry, SimPlatform},
};

const ROUTERS: usize = 3;
const FINISH_CALLS_MAX: usize = 20_000;

/// One step of a case.
#[derive(Debug, Clone)]
pub(crate) enum SimStep {
    Submit { row: u8, after: RowAfter, stale: bool },
    Decide { call: u8, fate: CallFate },
    Late { call: u8 },
    Crash { task: u8 },
    Find { edit: u8 },
    Sweep,
    Hear { router: u8, change: u8 },
    List { router: u8 },
    Restart { router: u8 },
    WritePast { row: u8, after: PastWrite },
}

/// What an edit puts in place.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RowAfter {
    Pool { slots: u8 },
    Route { path: u8, pool: u8 },
    Deleted,
}

/// What is written past the administration API.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PastWrite {
    Garbage,
    Removed,
}

impl SimStep {
    pub(crate) fn strategy() -> BoxedStrategy<Self> {
        let fate = prop_oneof![
            12 => Just(CallFate::Answered),
            1 => Just(CallFate::AnswerLost),
            1 => Just(CallFate::CallLost),
            1 => Just(CallFate::Late),
            1 => Just(CallFate::Refused),
        ];
        let after = prop_oneof![
            4 => (1..4u8).prop_map(|slots| RowAfter::Pool { slots }),
            4 => (0..3u8, 0..2u8).prop_map(|(path, pool)| RowAfter::Route { path, pool }),
            1 => Just(RowAfter::Deleted),
        ];
        let past = prop_oneof![Just(PastWrite::Garbage), Just(PastWrite::Removed)];
        let pick = any::<u8>;
        prop_oneof![
            5 => (0..4u8, after, prop::bool::weighted(0.1))
                .prop_map(|(row, after, stale)| Self::Submit { row, after, stale }),
            80 => (pick(), fate).prop_map(|(call, fate)| Self::Decide { call, fate }),
            3 => pick().prop_map(|call| Self::Late { call }),
            1 => pick().prop_map(|task| Self::Crash { task }),
            2 => pick().prop_map(|edit| Self::Find { edit }),
            1 => Just(Self::Sweep),
            12 => (pick(), pick()).prop_map(|(router, change)| Self::Hear { router, change }),
            2 => pick().prop_map(|router| Self::List { router }),
            1 => pick().prop_map(|router| Self::Restart { router }),
            1 => (0..4u8, past).prop_map(|(row, after)| Self::WritePast { row, after }),
        ]
        .boxed()
    }
}

enum TaskEnd {
    Edit(EditVerdict),
    Find(EditKey, Result<EditFate, PortError>),
    Sweep,
}

struct Task {
    nonce: u64,
    run: Pin<Box<dyn Future<Output = TaskEnd> + Send>>,
}

/// A platform, its editors, and routers that hear of changes.
pub(crate) struct Bench {
    breakage: Breakage,
    platform: SimPlatform,
    tasks: Vec<Task>,
    next_nonce: u64,
    unknown: Vec<EditKey>,
    oracle: Oracle,
    routers: Vec<TableSet>,
    floors: Vec<BTreeMap<RowKey, RowVersion>>,
    gone: Vec<BTreeMap<RowKey, RowVersion>>,
}

impl Bench {
    pub(crate) fn new(breakage: Breakage) -> Self {
        Self {
            breakage,
            platform: SimPlatform::new(breakage),
            tasks: Vec::new(),
            next_nonce: 0,
            unknown: Vec::new(),
            oracle: Oracle::default(),
            routers: vec![TableSet::default(); ROUTERS],
            floors: vec![BTreeMap::new(); ROUTERS],
            gone: vec![BTreeMap::new(); ROUTERS],
        }
    }

    pub(crate) fn take(&mut self, step: SimStep) {
        match step {
            SimStep::Submit { row, after, stale } => self.submit(row, after, stale),
            SimStep::Decide { call, fate } => {
                self.platform.decide(call.into(), fate);
            }
            SimStep::Late { call } => self.platform.run_late(call.into()),
            SimStep::Crash { task } => self.crash(task.into()),
            SimStep::Find { edit } => self.find(edit.into()),
            SimStep::Sweep => self.sweep(),
            SimStep::Hear { router, change } => self.hear(router.into(), change.into()),
            SimStep::List { router } => self.list(router.into()),
            SimStep::Restart { router } => self.restart(router.into()),
            SimStep::WritePast { row, after } => self.write_past(row, after),
        }
        self.run_tasks();
        self.note_in_force();
    }

    /// Checks what must hold after every step.
    pub(crate) fn check(&self) {
        self.oracle.check(&self.platform.state());
        for table in &self.routers {
            self.oracle.check_in_force(table);
        }
    }

    /// Lets everything come to its end without further faults, and checks what must hold then.
    pub(crate) fn finish(mut self) {
        self.settle();
        for edit in std::mem::take(&mut self.unknown) {
            self.start_find(edit);
            self.settle();
        }
        self.sweep();
        self.settle();
        self.platform.drain_late();
        self.run_tasks();
        self.check();
        assert!(self.unknown.is_empty(), "an edit is unknown without faults");
        self.oracle.check_settled(&self.platform.state());
        for router in 0..ROUTERS {
            self.list(router);
            self.note_in_force();
            self.oracle.check_complete(&self.platform.state(), &self.routers[router]);
        }
        self.check();
    }

    fn settle(&mut self) {
        self.run_tasks();
        for index in 0..FINISH_CALLS_MAX {
            if index % 3 == 0 {
                self.platform.run_late(index);
            }
            if !self.platform.decide(index, CallFate::Answered) {
                break;
            }
            self.run_tasks();
        }
        assert!(self.tasks.is_empty(), "an editor did not end");
    }

    fn submit(&mut self, row: u8, after: RowAfter, stale: bool) {
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
            target: self.target(&key, stale),
            after: row_after(&key, after),
            row: key,
            dry_run: false,
            nonce,
        };
        let platform = self.platform.clone();
        let run = async move { TaskEnd::Edit(submit_edit(&platform, &request).await) };
        self.tasks.push(Task { nonce, run: Box::pin(run) });
    }

    fn target(&self, key: &RowKey, stale: bool) -> EditTarget {
        let state = self.platform.state();
        let object = state.objects.get(&key.object());
        let deleted = object.is_none_or(|object| {
            let record: Option<RowRecord> = serde_json::from_value(object.value.clone()).ok();
            record.is_some_and(|record| record.row.is_none())
        });
        match object {
            Some(object) if !deleted => {
                EditTarget::Version(RowVersion(object.version.0 - u64::from(stale)))
            }
            _ => EditTarget::Absent,
        }
    }

    fn crash(&mut self, task: usize) {
        if !self.tasks.is_empty() {
            self.tasks.swap_remove(task % self.tasks.len());
        }
    }

    fn find(&mut self, pick: usize) {
        if self.unknown.is_empty() {
            return;
        }
        let edit = self.unknown.swap_remove(pick % self.unknown.len());
        self.start_find(edit);
    }

    fn start_find(&mut self, edit: EditKey) {
        let platform = self.platform.clone();
        let run = async move { TaskEnd::Find(edit, find_edit(&platform, edit).await) };
        self.tasks.push(Task { nonce: edit.nonce, run: Box::pin(run) });
    }

    fn sweep(&mut self) {
        let platform = self.platform.clone();
        let run = async move {
            let _ = finish_pending(&platform).await;
            TaskEnd::Sweep
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
                std::task::Poll::Ready(end) => {
                    let task = self.tasks.swap_remove(index);
                    self.end_task(task.nonce, end);
                }
            }
        }
    }

    fn end_task(&mut self, nonce: u64, end: TaskEnd) {
        match end {
            TaskEnd::Edit(EditVerdict::Unknown { edit }) => self.unknown.push(edit),
            TaskEnd::Edit(EditVerdict::Accepted { edit, version, .. }) => {
                assert_eq!(edit.nonce, nonce, "an edit was answered by another");
                self.oracle.hear(nonce, Word::Accepted(version));
            }
            TaskEnd::Edit(_) => self.oracle.hear(nonce, Word::NotAccepted),
            TaskEnd::Find(_, Ok(fate)) => self.oracle.hear(nonce, Word::of(&fate)),
            TaskEnd::Find(edit, Err(_)) => self.unknown.push(edit),
            TaskEnd::Sweep => {}
        }
    }

    /// A router hears any change of the past, perhaps again.
    fn hear(&mut self, router: usize, pick: usize) {
        let change = {
            let state = self.platform.state();
            let rows: Vec<RowChange> = state.log.iter().filter_map(row_change).collect();
            if rows.is_empty() {
                return;
            }
            rows[rows.len() - 1 - pick % rows.len().min(24)].clone()
        };
        let table = &mut self.routers[router % ROUTERS];
        if self.breakage == Breakage::RowsTakenBackwards {
            let kept = table.rows_in_force().filter(|held| held.key != change.key).cloned();
            let mut rows: Vec<RowChange> = kept.collect();
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
        let mut reads = Vec::new();
        for table in TableKind::ALL {
            let listed = state.list(table.prefix());
            rows.extend(listed.objects.into_iter().filter_map(|object| {
                let key = RowKey::from_object(&object.key)?;
                Some(RowChange::from_object(key, object.version, Some(object.value)))
            }));
            reads.push(TableRevision { table, revision: listed.revision });
        }
        let removed = state.log.iter().filter(|entry| !state.objects.contains_key(&entry.key));
        let removed = removed.filter_map(|entry| RowKey::from_object(&entry.key));
        let removed: BTreeSet<RowKey> = removed.collect();
        let revision = state.revision();
        drop(state);
        let router = router % ROUTERS;
        let table = &mut self.routers[router];
        if self.breakage == Breakage::FloorsForgotten {
            table.adopt_all(rows);
        } else {
            table.adopt_lists(&reads, rows);
        }
        // A pool removed past the protocol stays in force for as long as a route needs it.
        let gone = removed.into_iter().filter(|key| !is_in_force(table, key));
        self.gone[router] = gone.map(|key| (key, revision)).collect();
    }

    /// A router that starts anew reads the platform before it hears of anything.
    fn restart(&mut self, router: usize) {
        let router = router % ROUTERS;
        self.routers[router] = TableSet::default();
        self.list(router);
        self.floors[router].clear();
    }

    fn write_past(&mut self, row: u8, after: PastWrite) {
        let key = plain_key(row);
        // A removal of what does not exist is no change.
        if !self.platform.state().objects.contains_key(&key.object()) {
            return;
        }
        self.oracle.write_past(key.clone());
        let value = match after {
            PastWrite::Garbage => Some(json!({ "garbage": row })),
            PastWrite::Removed => None,
        };
        self.platform.write_past(&key.object(), value);
    }

    /// The version in force of a row never falls on a router that keeps running, and a row that a
    /// read of the platform lacked comes back only at a later version.
    fn note_in_force(&mut self) {
        for (table, gone) in self.routers.iter().zip(&self.gone) {
            for (key, revision) in gone {
                let later = table.in_force(key).is_some_and(|change| change.version > *revision);
                assert!(later || !is_in_force(table, key), "{key} came back");
            }
        }
        for (table, floors) in self.routers.iter().zip(&mut self.floors) {
            for change in table.rows_in_force() {
                let floor = floors.entry(change.key.clone()).or_insert(change.version);
                assert!(change.version >= *floor, "{} went backwards", change.key);
                *floor = change.version;
            }
            for key in floors.keys() {
                assert!(table.in_force(key).is_some(), "{key} was forgotten");
            }
        }
    }
}

fn is_in_force(table: &TableSet, key: &RowKey) -> bool {
    table.in_force(key).is_some_and(|change| change.content != RowContent::Tombstone)
}

fn row_change(entry: &LogEntry) -> Option<RowChange> {
    let key = RowKey::from_object(&entry.key)?;
    Some(RowChange::from_object(key, entry.version, entry.value.clone()))
}

fn plain_key(row: u8) -> RowKey {
    let table = if row < 2 { TableKind::Pools } else { TableKind::Routes };
    table.row(&format!("row-{}", row % 2))
}

/// A pool is edited in the pools table and a route in the routes table, whatever was picked.
fn row_key(row: u8, after: RowAfter) -> RowKey {
    match after {
        RowAfter::Pool { .. } => plain_key(row % 2),
        RowAfter::Route { .. } => plain_key(2 + row % 2),
        RowAfter::Deleted => plain_key(row),
    }
}

fn row_after(key: &RowKey, after: RowAfter) -> Option<Value> {
    match after {
        RowAfter::Pool { slots } => Some(json!({
            "name": key.name(), "team": "team", "group": "group", "kind": "engine",
            "repeatable": true, "target_slots": slots,
        })),
        RowAfter::Route { path, pool } => Some(json!({
            "name": key.name(), "team": "team", "path": format!("/{path}"),
            "pool": format!("row-{pool}"),
        })),
        RowAfter::Deleted => None,
    }
}
