//! Property test of retry budgets against a reference model that counts every first attempt.

use base_types::{AccountName, PoolName};
use policy_retries::{BudgetKey, RetryBudgets};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

#[derive(Debug, Clone, Copy)]
enum Step {
    FirstAttempt(usize),
    Retry(usize),
}

#[derive(Debug, Clone, Default)]
struct Oracle {
    first_attempts: [u32; 3],
}

fn key(account: usize) -> BudgetKey {
    BudgetKey {
        pool: PoolName::new("pool"),
        account: AccountName::new(&format!("account-{account}")),
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            3 => (0..3usize).prop_map(Step::FirstAttempt),
            1 => (0..3usize).prop_map(Step::Retry),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        if let Step::FirstAttempt(account) = step {
            state.first_attempts[*account] += 1;
        }
        state
    }
}

struct BudgetsTest {
    budgets: RetryBudgets,
    retries: [u32; 3],
}

impl StateMachineTest for BudgetsTest {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self { budgets: RetryBudgets::default(), retries: [0; 3] }
    }

    fn apply(mut sut: Self, _: &Oracle, step: Step) -> Self {
        match step {
            Step::FirstAttempt(account) => sut.budgets.on_first_attempt(&key(account)),
            Step::Retry(account) => {
                sut.retries[account] += u32::from(sut.budgets.try_spend(&key(account)));
            }
        }
        sut
    }

    fn check_invariants(sut: &Self, state: &Oracle) {
        for account in 0..3 {
            let (first_attempts, retries) = (state.first_attempts[account], sut.retries[account]);
            assert!(
                retries <= 1 + first_attempts / 10,
                "{retries} retries for {first_attempts} first attempts"
            );
            assert!(first_attempts > 0 || retries == 0);
        }
    }
}

prop_state_machine! {
    #[test]
    fn retries_stay_within_a_tenth_of_first_attempts_plus_one(sequential 1..200 => BudgetsTest);
}
