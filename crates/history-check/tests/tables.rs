//! Each broken promise on the tables is found, and a sound history has none.

use base_types::{RowVersion, TimePoint, test_cases};
use history_check::{
    AuditedEdit, EditCall, EditEnd, FaultSpan, TableHistory, TableSighting, TableViolation,
};

const ROW: &str = "pools/assistant";

fn second(count: u64) -> TimePoint {
    TimePoint(count * 1_000_000)
}

fn edit(name: &str, answered: u64, end: EditEnd) -> EditCall {
    EditCall { name: name.into(), row: ROW.into(), answered: second(answered), end }
}

fn audited(name: &str, version: u64) -> AuditedEdit {
    AuditedEdit { name: name.into(), row: ROW.into(), version: RowVersion(version) }
}

fn sighting(at: u64, version: u64) -> TableSighting {
    let rows = [(ROW.into(), RowVersion(version))].into();
    TableSighting { router: 0, asked: second(at), heard: second(at), rows }
}

/// Two edits that one router has in force a second after each, seen until second 30.
fn sound() -> TableHistory {
    TableHistory {
        routers: 1,
        edits: vec![
            edit("first", 1, EditEnd::Accepted(RowVersion(3))),
            edit("raced", 5, EditEnd::NotAccepted),
            edit("second", 10, EditEnd::Accepted(RowVersion(6))),
        ],
        audit: vec![audited("first", 3), audited("second", 6)],
        sightings: vec![sighting(2, 3), sighting(9, 3), sighting(11, 6), sighting(30, 6)],
        faults: Vec::new(),
    }
}

fn check(change: impl FnOnce(&mut TableHistory), expected: &[TableViolation]) {
    let mut history = sound();
    change(&mut history);
    assert_eq!(history.violations(), expected);
}

test_cases! {
    check:
    a_sound_history_breaks_nothing(|_| {}, &[]);
    an_accepted_edit_without_its_entry(
        |history| history.audit[1].version = RowVersion(7),
        &[
            TableViolation::NotAudited("second".into()),
            TableViolation::ForeignVersion(0, ROW.into(), RowVersion(6)),
        ],
    );
    a_refused_edit_that_took_effect(
        |history| history.audit.push(audited("raced", 4)),
        &[TableViolation::NotAcceptedButTook("raced".into())],
    );
    an_edit_that_was_reverted(
        |history| history.sightings.push(sighting(31, 3)),
        &[TableViolation::WentBackwards(0, ROW.into())],
    );
    a_row_that_vanished(
        |history| history.sightings[3].rows.clear(),
        &[
            TableViolation::WentBackwards(0, ROW.into()),
            TableViolation::Late(0, "second".into()),
        ],
    );
    a_version_that_no_edit_gave(
        |history| history.sightings[3] = sighting(30, 8),
        &[TableViolation::ForeignVersion(0, ROW.into(), RowVersion(8))],
    );
    an_edit_that_came_too_late(
        |history| history.sightings[2] = sighting(18, 3),
        &[TableViolation::Late(0, "second".into())],
    );
    an_edit_that_came_in_time_after_a_fault(
        |history| {
            history.sightings[2] = sighting(18, 3);
            history.faults.push(FaultSpan { from: second(9), until: second(12) });
        },
        &[],
    );
    a_router_that_was_not_watched_to_the_end(
        |history| history.sightings.truncate(3),
        &[TableViolation::NotSeen(0, "second".into())],
    );
}

#[test]
fn delays_are_those_without_a_fault() {
    let mut history = sound();
    history.faults.push(FaultSpan { from: second(9), until: second(12) });
    assert_eq!(history.delays(), [second(2).since(second(1))]);
}
