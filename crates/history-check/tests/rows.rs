//! The check of rows in force finds each kind of broken promise, and only those.

use std::{collections::BTreeMap, time::Duration};

use base_types::{HostName, RowVersion, TimePoint, test_cases};
use history_check::{AcceptedEdit, RowEdition, RowHistory, RowView, RowViolation};

const LIMIT: Duration = Duration::from_secs(7);

fn edition(version: u64) -> RowEdition {
    RowEdition { row: "pools/assistant".into(), version: RowVersion(version) }
}

fn point(second: u64) -> TimePoint {
    TimePoint(0).after(Duration::from_secs(second))
}

/// A view at a second that shows a version of the row, or none for version zero.
fn view((second, version): &(u64, u64)) -> RowView {
    let shown = (*version > 0).then(|| ("pools/assistant".into(), RowVersion(*version)));
    RowView {
        router: HostName::new("router-0"),
        asked: point(*second),
        answered: point(*second),
        versions: BTreeMap::from_iter(shown),
    }
}

/// Edits 1 and 2 were accepted at seconds 0 and 1; the trail has `trail`.
fn check_views(trail: &[u64], views: &[(u64, u64)], expected: &[RowViolation]) {
    let accepted = [(1, 0), (2, 1)]
        .map(|(version, second)| AcceptedEdit {
            edition: edition(version),
            accepted: point(second),
        })
        .to_vec();
    let history = RowHistory {
        accepted,
        trail: trail.iter().map(|version| edition(*version)).collect(),
        views: views.iter().map(view).collect(),
    };
    assert_eq!(history.violations(LIMIT), expected);
}

fn router() -> HostName {
    HostName::new("router-0")
}

test_cases! {
    check_views:
    a_sound_run(&[1, 2], &[(0, 0), (1, 1), (2, 2), (9, 2)], &[]);
    an_edit_may_be_skipped_for_a_later_one(&[1, 2], &[(0, 0), (9, 2)], &[]);
    an_edit_is_lost(&[1], &[], &[RowViolation::EditLost(edition(2))]);
    a_version_was_never_accepted(
        &[1, 2],
        &[(9, 3)],
        &[RowViolation::NeverAccepted(router(), edition(3))],
    );
    a_router_goes_backwards(
        &[1, 2],
        &[(1, 2), (2, 1)],
        &[RowViolation::WentBackwards(router(), edition(1))],
    );
    a_router_stays_behind(
        &[1, 2],
        &[(1, 1), (9, 1)],
        &[RowViolation::TooLate(router(), edition(2))],
    );
    a_router_never_hears(
        &[1, 2],
        &[(9, 0)],
        &[RowViolation::TooLate(router(), edition(1)), RowViolation::TooLate(router(), edition(2))],
    );
}
