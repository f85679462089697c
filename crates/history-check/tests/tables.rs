//! Each kind of table violation is found, and a consistent history has none.

use base_types::{RowVersion, TimePoint, test_cases};
use history_check::{
    AuditedEdit, EditCall, EditOutcome, FaultSpan, TableHistory, TableObservation, TableViolation,
};

const ROW: &str = "pools/assistant";

fn at_second(count: u64) -> TimePoint {
    TimePoint(count * 1_000_000)
}

fn edit(name: &str, answered_at: u64, outcome: EditOutcome) -> EditCall {
    EditCall { name: name.into(), row: ROW.into(), answered_at: at_second(answered_at), outcome }
}

fn audited(name: &str, version: u64) -> AuditedEdit {
    AuditedEdit { name: name.into(), row: ROW.into(), version: RowVersion(version) }
}

fn observation(at: u64, version: u64) -> TableObservation {
    let rows = [(ROW.into(), RowVersion(version))].into();
    TableObservation { router: 0, requested_at: at_second(at), received_at: at_second(at), rows }
}

/// Returns a history of two accepted edits, each in force on the only router one second after its
/// answer. The router is observed until second 30.
fn consistent_history() -> TableHistory {
    TableHistory {
        routers: 1,
        edits: vec![
            edit("first", 1, EditOutcome::Accepted(RowVersion(3))),
            edit("raced", 5, EditOutcome::NotAccepted),
            edit("second", 10, EditOutcome::Accepted(RowVersion(6))),
        ],
        audit: vec![audited("first", 3), audited("second", 6)],
        observations: vec![
            observation(2, 3),
            observation(9, 3),
            observation(11, 6),
            observation(30, 6),
        ],
        faults: Vec::new(),
    }
}

fn check(change: impl FnOnce(&mut TableHistory), expected: &[TableViolation]) {
    let mut history = consistent_history();
    change(&mut history);
    assert_eq!(history.violations(), expected);
}

test_cases! {
    check:
    a_consistent_history_has_no_violations(|_| {}, &[]);
    an_accepted_edit_without_its_audit_entry(
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
        |history| history.observations.push(observation(31, 3)),
        &[TableViolation::WentBackwards(0, ROW.into())],
    );
    a_row_that_vanished(
        |history| history.observations[3].rows.clear(),
        &[
            TableViolation::WentBackwards(0, ROW.into()),
            TableViolation::Late(0, "second".into()),
        ],
    );
    a_version_that_no_edit_assigned(
        |history| history.observations[3] = observation(30, 8),
        &[TableViolation::ForeignVersion(0, ROW.into(), RowVersion(8))],
    );
    an_edit_in_force_too_late(
        |history| history.observations[2] = observation(18, 3),
        &[TableViolation::Late(0, "second".into())],
    );
    an_edit_in_force_in_time_after_a_fault(
        |history| {
            history.observations[2] = observation(18, 3);
            history.faults.push(FaultSpan { started_at: at_second(9), finished_at: at_second(12) });
        },
        &[],
    );
    a_router_not_observed_after_the_deadline(
        |history| history.observations.truncate(3),
        &[TableViolation::NotSeen(0, "second".into())],
    );
}

#[test]
fn delays_leave_out_edits_during_faults() {
    let mut history = consistent_history();
    history.faults.push(FaultSpan { started_at: at_second(9), finished_at: at_second(12) });
    assert_eq!(history.propagation_delays(), [at_second(2).since(at_second(1))]);
}
