//! Stateful fuzzing of edits and of the rows in force, in virtual time.
//!
//! Editors run step by step; each of their platform calls is answered, lost, delayed or refused as
//! the generated case says. Routers hear old and new changes in any order and any number of times.
//! The oracle replays the audit trail. Each broken variant must be caught.

#[path = "fuzz/bench.rs"]
mod bench;
#[path = "fuzz/oracle.rs"]
mod oracle;
#[path = "fuzz/sim.rs"]
mod sim;

use std::marker::PhantomData;

use bench::{Bench, SimStep};
use proptest::{
    prelude::*,
    test_runner::{Config, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sim::Breakage;

const CASES: u32 = 300;
const STEPS: std::ops::Range<usize> = 80..400;

/// Generates steps; which of them are possible is decided when they are taken.
struct StepMachine;

impl ReferenceStateMachine for StepMachine {
    type State = ();
    type Transition = SimStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<SimStep> {
        SimStep::strategy()
    }

    fn apply((): (), _: &SimStep) {}
}

/// Which variant a test runs.
trait Variant {
    const BREAKAGE: Breakage;
}

struct TablesTest<V>(PhantomData<V>);

impl<V: Variant> StateMachineTest for TablesTest<V> {
    type SystemUnderTest = Bench;
    type Reference = StepMachine;

    fn init_test((): &()) -> Bench {
        Bench::new(V::BREAKAGE)
    }

    fn apply(mut bench: Bench, (): &(), step: SimStep) -> Bench {
        bench.take(step);
        bench
    }

    fn check_invariants(bench: &Bench, (): &()) {
        bench.check();
    }

    fn teardown(bench: Bench) {
        bench.finish();
    }
}

macro_rules! variants {
    ($($name:ident;)*) => {
        $(
            struct $name;
            impl Variant for $name {
                const BREAKAGE: Breakage = Breakage::$name;
            }
        )*
    };
}

variants! {
    Sound;
    LostAnswersTrusted;
    GuardUnconditional;
    RowsUnconditional;
    RowsTakenBackwards;
    FloorsForgotten;
    AuditDropped;
}

prop_state_machine! {
    #![proptest_config(Config { cases: CASES, ..Config::default() })]

    #[test]
    fn edits_and_rows_in_force_agree_with_the_oracle(sequential STEPS => TablesTest<Sound>);
}

/// Checks that a variant fails, and for the reason expected of it.
fn check_caught<V: Variant>(reason: &str) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new(config.clone());
    let strategy = StepMachine::sequential_strategy(STEPS);
    let ended = runner.run(&strategy, |(state, steps, counter)| {
        TablesTest::<V>::test_sequential(config.clone(), state, steps, counter);
        Ok(())
    });
    let error = ended.expect_err("the broken variant was not caught").to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn a_lost_answer_taken_for_a_failure_is_caught() {
    check_caught::<LostAnswersTrusted>("was refused");
}

#[test]
fn edits_without_an_order_are_caught() {
    check_caught::<GuardUnconditional>("an edit was answered by another");
}

#[test]
fn rows_written_without_a_condition_are_caught() {
    check_caught::<RowsUnconditional>("is not as its last edit left it");
}

#[test]
fn rows_taken_backwards_are_caught() {
    check_caught::<RowsTakenBackwards>("went backwards");
}

#[test]
fn deleted_rows_that_return_are_caught() {
    check_caught::<FloorsForgotten>("came back");
}

#[test]
fn accepted_edits_without_an_audit_entry_are_caught() {
    check_caught::<AuditDropped>("an audit entry is missing");
}
