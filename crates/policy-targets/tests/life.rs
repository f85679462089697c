//! Property test of the target lifecycle against a simple reference model, and its time limits.

use base_types::TimePoint;
use policy_targets::{TargetLifecycle, TargetPhase};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const SECOND: u64 = 1_000_000;

#[derive(Debug, Clone, Copy)]
enum Step {
    Wait(u64),
    Live,
    LeavingListed,
    LeavingReported,
    Unlisted,
    Drain(bool),
    Failure,
}

/// Reference model: what the events so far imply for the target.
#[derive(Debug, Clone)]
struct Oracle {
    now: u64,
    listed: Listed,
    reported_until: u64,
    drained: bool,
    failed_at: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Listed {
    Live,
    Leaving,
    Unlisted,
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            now: 0,
            listed: Listed::Live,
            reported_until: 0,
            drained: false,
            failed_at: None,
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (1..40 * SECOND).prop_map(Step::Wait),
            2 => Just(Step::Live),
            1 => Just(Step::LeavingListed),
            1 => Just(Step::LeavingReported),
            1 => Just(Step::Unlisted),
            1 => any::<bool>().prop_map(Step::Drain),
            3 => Just(Step::Failure),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Wait(span) => state.now += span,
            Step::Live => state.listed = Listed::Live,
            Step::LeavingListed => state.listed = Listed::Leaving,
            Step::LeavingReported if state.listed == Listed::Unlisted => {}
            Step::LeavingReported => state.reported_until = state.now + 60 * SECOND,
            Step::Unlisted => {
                state.listed = Listed::Unlisted;
                state.reported_until = 0;
            }
            Step::Drain(drained) => state.drained = *drained,
            Step::Failure => {
                let ejected = state.failed_at.is_some_and(|at| state.now < at + 16 * SECOND);
                state.failed_at = state.failed_at.filter(|_| ejected).or(Some(state.now));
            }
        }
        state
    }
}

struct LifecycleTest;

impl StateMachineTest for LifecycleTest {
    type SystemUnderTest = TargetLifecycle;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> TargetLifecycle {
        TargetLifecycle::serving()
    }

    fn apply(mut lifecycle: TargetLifecycle, state: &Oracle, step: Step) -> TargetLifecycle {
        let now = TimePoint(state.now);
        match step {
            Step::Wait(_) => {}
            Step::Live => lifecycle.on_live(now),
            Step::LeavingListed => lifecycle.on_leaving_listed(now),
            Step::LeavingReported => lifecycle.on_leaving_reported(now),
            Step::Unlisted => lifecycle.on_unlisted(now),
            Step::Drain(drained) => lifecycle.on_drain(drained),
            Step::Failure => lifecycle.on_failure(now),
        }
        lifecycle
    }

    fn check_invariants(lifecycle: &TargetLifecycle, state: &Oracle) {
        let now = TimePoint(state.now);
        let work_percent = lifecycle.work_percent(now);
        assert!(work_percent <= 100);
        let out_of_service =
            state.drained || state.listed != Listed::Live || state.now < state.reported_until;
        let just_failed = state.failed_at.is_some_and(|at| state.now < at + SECOND);
        assert!(
            !(out_of_service || just_failed) || work_percent == 0,
            "a target out of service gets work"
        );
        if let TargetPhase::Held(until) = lifecycle.phase(now) {
            assert!(until.0 <= state.now + 16 * SECOND, "the ejection lasts longer than its limit");
        }
    }
}

prop_state_machine! {
    #[test]
    fn targets_out_of_service_get_no_work(sequential 1..40 => LifecycleTest);
}

#[test]
fn a_reported_leave_outlasts_a_stale_list() {
    let mut lifecycle = TargetLifecycle::serving();
    lifecycle.on_leaving_reported(TimePoint(0));
    lifecycle.on_live(TimePoint(SECOND));
    assert_eq!(lifecycle.work_percent(TimePoint(SECOND)), 0);
    lifecycle.on_live(TimePoint(61 * SECOND));
    assert_eq!(lifecycle.work_percent(TimePoint(61 * SECOND)), 10);
}

#[test]
fn each_failure_doubles_the_ejection_until_stable() {
    let mut lifecycle = TargetLifecycle::serving();
    let mut now = 0;
    for expected in [1, 2, 4, 8, 16, 16] {
        lifecycle.on_failure(TimePoint(now));
        lifecycle.on_failure(TimePoint(now));
        assert_eq!(
            lifecycle.phase(TimePoint(now)),
            TargetPhase::Held(TimePoint(now + expected * SECOND))
        );
        now += expected * SECOND;
        assert_eq!(lifecycle.work_percent(TimePoint(now)), 10);
    }
    now += 121 * SECOND;
    lifecycle.on_failure(TimePoint(now));
    assert_eq!(lifecycle.phase(TimePoint(now)), TargetPhase::Held(TimePoint(now + SECOND)));
}

#[test]
fn a_joining_target_begins_with_slow_start() {
    let lifecycle = TargetLifecycle::joining(TimePoint(0));
    let percents = [0, 5, 10].map(|second| lifecycle.work_percent(TimePoint(second * SECOND)));
    assert_eq!(percents, [10, 55, 100]);
}
