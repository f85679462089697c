//! Rates of failures: what counts, how soon it is forgotten, and its bounds.

use std::time::Duration;

use base_types::{TimePoint, test_cases};
use policy_targets::{OutcomeCount, OutcomeRate};
use proptest::prelude::*;

fn rate_of(counts: &[(u64, u32, u32)], seconds: u64) -> f64 {
    let at = |seconds: u64| TimePoint(0).after(Duration::from_secs(seconds));
    let mut rate = OutcomeRate::default();
    for (seconds, failed, ended) in counts {
        rate.count(at(*seconds), OutcomeCount { failed: *failed, ended: *ended });
    }
    rate.rate(at(seconds))
}

/// Counts of failed and ended calls at seconds, and where the rate lies at the last second.
fn check(counts: &[(u64, u32, u32)], seconds: u64, least: f64, most: f64) {
    let rate = rate_of(counts, seconds);
    assert!(least <= rate && rate <= most, "{rate}");
}

test_cases! {
    check:
    nothing_is_no_failure(&[], 0, 0.0, 0.0);
    one_failure_says_little(&[(0, 1, 1)], 0, 0.1, 0.3);
    many_failures_say_much(&[(0, 30, 60)], 0, 0.4, 0.5);
    whole_calls_dilute(&[(0, 5, 5), (0, 0, 50)], 0, 0.0, 0.1);
    a_fault_is_forgotten(&[(0, 50, 50)], 20, 0.0, 0.02);
    a_fault_is_remembered_for_a_while(&[(0, 50, 50)], 2, 0.8, 1.0);
    calls_after_a_fault_weigh_more(&[(0, 20, 20), (6, 0, 40)], 6, 0.0, 0.06);
    more_failures_than_calls_are_not_counted(&[(0, 9, 3)], 0, 0.0, 0.5);
}

proptest! {
    #[test]
    fn a_rate_is_a_share(
        counts in prop::collection::vec((0u64..100, any::<u32>(), any::<u32>()), 0..40),
        seconds in 0u64..200,
    ) {
        let rate = rate_of(&counts, seconds);
        prop_assert!((0.0..=1.0).contains(&rate), "{}", rate);
    }
}
