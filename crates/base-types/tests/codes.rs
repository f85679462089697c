//! Result codes are unique, ordered by number, and equal to the documented table.

use base_types::{OutcomeKind, code_table, test_cases};

fn check_number_range(kind: OutcomeKind, first: u16, last: u16) {
    for row in code_table().iter().filter(|row| row.kind == kind) {
        assert!((first..=last).contains(&row.number), "{row:?}");
    }
}

test_cases! {
    check_number_range:
    not_run_codes_are_in_the_thousands(OutcomeKind::NotRun, 1000, 1999);
    completed_codes_are_in_the_two_thousands(OutcomeKind::Completed, 2000, 2999);
    unknown_codes_are_in_the_three_thousands(OutcomeKind::Unknown, 3000, 3999);
}

#[test]
fn numbers_are_unique_and_ordered() {
    let table = code_table();
    assert!(table.windows(2).all(|pair| pair[0].number < pair[1].number));
}

#[test]
fn documentation_has_the_same_table() {
    let page = include_str!("../../../docs/RESULT-CODES.md");
    let documented: Vec<&str> = page
        .lines()
        .filter(|line| {
            line.starts_with("| 1") || line.starts_with("| 2") || line.starts_with("| 3")
        })
        .collect();
    let expected: Vec<String> = code_table()
        .iter()
        .map(|row| {
            format!(
                "| {} | {} | {} | {} |",
                row.number,
                row.kind.as_str(),
                row.status,
                row.sentence
            )
        })
        .collect();
    assert_eq!(documented, expected);
}
