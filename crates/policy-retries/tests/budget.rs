//! Retry budgets against an oracle that counts every try.

use base_types::{AccountName, PoolName};
use policy_retries::{BudgetKey, RetryBudgets};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

#[derive(Debug, Clone, Copy)]
enum Step {
    First(usize),
    Retry(usize),
}

#[derive(Debug, Clone, Default)]
struct Oracle {
    firsts: [u32; 3],
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
            3 => (0..3usize).prop_map(Step::First),
            1 => (0..3usize).prop_map(Step::Retry),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        if let Step::First(account) = step {
            state.firsts[*account] += 1;
        }
        state
    }
}

struct Budgets {
    budgets: RetryBudgets,
    retries: [u32; 3],
}

impl StateMachineTest for Budgets {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self { budgets: RetryBudgets::default(), retries: [0; 3] }
    }

    fn apply(mut sut: Self, _: &Oracle, step: Step) -> Self {
        match step {
            Step::First(account) => sut.budgets.on_first_try(&key(account)),
            Step::Retry(account) => {
                sut.retries[account] += u32::from(sut.budgets.spend(&key(account)));
            }
        }
        sut
    }

    fn check_invariants(sut: &Self, state: &Oracle) {
        for account in 0..3 {
            let (firsts, retries) = (state.firsts[account], sut.retries[account]);
            assert!(retries <= 1 + firsts / 10, "{retries} retries of {firsts} first tries");
            assert!(firsts > 0 || retries == 0);
        }
    }
}

prop_state_machine! {
    #[test]
    fn retries_stay_within_a_tenth_and_one(sequential 1..200 => Budgets);
}
