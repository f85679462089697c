//! Turns of routers at cold targets.

use std::time::Duration;

use base_types::{TimePoint, test_cases};
use policy_targets::{ColdLimit, ColdTurns, UsedTurn};

const ROUTERS: u32 = 3;

/// Guards against a call to a cold target that takes none.
fn check_no_turn(rate: u32, phase: f64) {
    let turns = ColdTurns::new(ColdLimit { rate, peak: 0 }, ROUTERS, phase);
    let used = UsedTurn::default();
    for second in 0..10_000 {
        let now = TimePoint(0).after(Duration::from_secs(second));
        assert!(!turns.is_open(now, used), "a turn at {second} s");
        assert_eq!(turns.next_at(now, used), TimePoint::NEVER);
    }
}

test_cases! {
    check_no_turn:
    a_peak_of_zero_leaves_no_turn(0, 0.0);
    a_peak_of_zero_leaves_no_turn_at_any_rate(20_000, 0.5);
}
