//! Tests of the retry budget over a sliding window.

use std::time::Duration;

use base_types::TimePoint;
use policy_retries::{WindowBounds, WindowBudget};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

fn bounds(slack: u32) -> WindowBounds {
    WindowBounds { ratio: 0.2, slack, window: WINDOW }
}

#[test]
fn an_idle_router_may_use_its_share_of_the_slack() {
    let mut budget = WindowBudget::default();
    let spent = (0..100).filter(|_| budget.try_spend(TimePoint(0), &bounds(70), 7)).count();
    assert_eq!(spent, 8);
    let later = TimePoint(0).after(WINDOW * 2);
    assert!(budget.try_spend(later, &bounds(70), 7));
}

proptest! {
    /// In any window, the routers of a fleet together stay within the ratio plus the slack.
    #[test]
    fn the_fleet_stays_within_the_retry_bound(
        steps in prop::collection::vec((0u64..400, 0usize..4, any::<bool>()), 0..600),
        slack in 0u32..80,
    ) {
        let mut budgets: Vec<WindowBudget> = (0..4).map(|_| WindowBudget::default()).collect();
        let bounds = bounds(slack);
        let mut now = TimePoint(0);
        let mut events = Vec::new();
        for (wait, router, is_retry) in steps {
            now = now.after(Duration::from_millis(wait));
            if !is_retry {
                budgets[router].on_call(now, &bounds);
                events.push((now, false));
            } else if budgets[router].try_spend(now, &bounds, 4) {
                events.push((now, true));
            }
        }
        for (end, _) in &events {
            let within = |point: &TimePoint, span: Duration| *point <= *end && end.since(*point) <= span;
            let retries = events.iter().filter(|(at, is_retry)| *is_retry && within(at, WINDOW)).count();
            // Calls of the preceding window also count, as the bound allows.
            let calls = events.iter().filter(|(at, is_retry)| !*is_retry && within(at, WINDOW * 2)).count();
            prop_assert!(retries as f64 <= 0.2 * calls as f64 + f64::from(slack));
        }
    }
}
