//! Stateful fuzzing of edits and of the rows in force, in virtual time.
//!
//! Editor tasks run step by step; the generated case decides whether each of their platform calls
//! is answered, lost, delayed or refused. Routers receive old and new changes in any order and any
//! number of times. The oracle replays the audit trail. Each injected fault must be detected.

#[path = "fuzz/oracle.rs"]
mod oracle;
#[path = "fuzz/sim.rs"]
mod platform;
#[path = "fuzz/bench.rs"]
mod simulation;

use std::marker::PhantomData;

use platform::InjectedFault;
use proptest::{
    prelude::*,
    test_runner::{Config, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use simulation::{SimStep, Simulation};

const CASES: u32 = 300;
const STEPS: std::ops::Range<usize> = 80..400;

/// Generates steps independently of the state; a step that is not possible has no effect.
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

/// The fault that a test injects.
trait Variant {
    const FAULT: InjectedFault;
}

struct TablesTest<V>(PhantomData<V>);

impl<V: Variant> StateMachineTest for TablesTest<V> {
    type SystemUnderTest = Simulation;
    type Reference = StepMachine;

    fn init_test((): &()) -> Simulation {
        Simulation::new(V::FAULT)
    }

    fn apply(mut simulation: Simulation, (): &(), step: SimStep) -> Simulation {
        simulation.apply(step);
        simulation
    }

    fn check_invariants(simulation: &Simulation, (): &()) {
        simulation.check();
    }

    fn teardown(simulation: Simulation) {
        simulation.finish();
    }
}

macro_rules! variants {
    ($($name:ident;)*) => {
        $(
            struct $name;
            impl Variant for $name {
                const FAULT: InjectedFault = InjectedFault::$name;
            }
        )*
    };
}

variants! {
    NoFault;
    LostAnswersCountAsFailed;
    GuardUnconditional;
    RowsUnconditional;
    RowsAdoptedBackwards;
    FloorsLost;
    AuditDropped;
}

prop_state_machine! {
    #![proptest_config(Config { cases: CASES, ..Config::default() })]

    #[test]
    fn edits_and_rows_in_force_agree_with_the_oracle(sequential STEPS => TablesTest<NoFault>);
}

/// Checks that a variant fails with the expected reason.
fn check_detected<V: Variant>(reason: &str) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new(config.clone());
    let strategy = StepMachine::sequential_strategy(STEPS);
    let result = runner.run(&strategy, |(state, steps, counter)| {
        TablesTest::<V>::test_sequential(config.clone(), state, steps, counter);
        Ok(())
    });
    let error = result.expect_err("the injected fault was not detected").to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn a_lost_answer_counted_as_failed_is_detected() {
    check_detected::<LostAnswersCountAsFailed>("was refused");
}

#[test]
fn unordered_edits_are_detected() {
    check_detected::<GuardUnconditional>("the outcome belongs to another edit");
}

#[test]
fn unconditional_row_writes_are_detected() {
    check_detected::<RowsUnconditional>("differs from the content of its last edit");
}

#[test]
fn rows_adopted_backwards_are_detected() {
    check_detected::<RowsAdoptedBackwards>("decreased");
}

#[test]
fn deleted_rows_that_reappear_are_detected() {
    check_detected::<FloorsLost>("reappeared");
}

#[test]
fn accepted_edits_without_an_audit_entry_are_detected() {
    check_detected::<AuditDropped>("an audit entry is missing");
}
