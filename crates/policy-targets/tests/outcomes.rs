//! Failure rates: weight of outcomes, decay over time, and bounds.

use std::time::Duration;

use base_types::{TimePoint, test_cases};
use policy_targets::{FailureRate, OutcomeCount};
use proptest::prelude::*;

fn rate_of(counts: &[(u64, u32, u32)], seconds: u64) -> f64 {
    let at = |seconds: u64| TimePoint(0).after(Duration::from_secs(seconds));
    let mut rate = FailureRate::default();
    for (seconds, failed, finished) in counts {
        rate.record(at(*seconds), OutcomeCount { failed: *failed, finished: *finished });
    }
    rate.rate(at(seconds))
}

/// Records `(second, failed, finished)` counts and checks the bounds of the rate at a later second.
fn check_rate(counts: &[(u64, u32, u32)], seconds: u64, rate_min: f64, rate_max: f64) {
    let rate = rate_of(counts, seconds);
    assert!(rate_min <= rate && rate <= rate_max, "{rate}");
}

test_cases! {
    check_rate:
    no_calls_give_a_rate_of_zero(&[], 0, 0.0, 0.0);
    one_failure_gives_a_low_rate(&[(0, 1, 1)], 0, 0.1, 0.3);
    many_failures_give_a_high_rate(&[(0, 30, 60)], 0, 0.4, 0.5);
    successful_calls_lower_the_rate(&[(0, 5, 5), (0, 0, 50)], 0, 0.0, 0.1);
    old_failures_decay(&[(0, 50, 50)], 20, 0.0, 0.02);
    failures_still_count_after_two_seconds(&[(0, 50, 50)], 2, 0.8, 1.0);
    calls_after_a_fault_weigh_more(&[(0, 20, 20), (6, 0, 40)], 6, 0.0, 0.06);
    more_failures_than_calls_are_not_counted(&[(0, 9, 3)], 0, 0.0, 0.5);
}

proptest! {
    #[test]
    fn a_rate_lies_between_zero_and_one(
        counts in prop::collection::vec((0u64..100, any::<u32>(), any::<u32>()), 0..40),
        seconds in 0u64..200,
    ) {
        let rate = rate_of(&counts, seconds);
        prop_assert!((0.0..=1.0).contains(&rate), "{}", rate);
    }
}
