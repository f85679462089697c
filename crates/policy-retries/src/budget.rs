//! Retry budgets: a share of first tries, for each pool and client account.

use std::collections::BTreeMap;

use base_types::{AccountName, PoolName, value_types};

/// Hundredths of a retry that a first try earns.
const EARNED: u32 = 10;

/// Hundredths of a retry that a retry costs.
const COST: u32 = 100;

/// Hundredths of a retry that an account begins with.
const BEGIN: u32 = 100;

/// Hundredths of a retry that can be saved up.
const SAVED_MAX: u32 = 1000;

const BUDGETS_MAX: usize = 16_384;

value_types! {
    /// Whose retries a budget counts.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct BudgetKey {
        /// The pool.
        pub pool: PoolName,
        /// The client account.
        pub account: AccountName,
    }
}

/// Budgets of one router. Retries stay within a tenth of first tries and one more an account.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    budgets: BTreeMap<BudgetKey, u32>,
}

impl RetryBudgets {
    /// Counts a first try.
    ///
    /// With too many accounts, the first by name is forgotten and begins anew.
    pub fn on_first_try(&mut self, key: &BudgetKey) {
        if let Some(saved) = self.budgets.get_mut(key) {
            *saved = (*saved + EARNED).min(SAVED_MAX);
            return;
        }
        if self.budgets.len() >= BUDGETS_MAX {
            self.budgets.pop_first();
        }
        self.budgets.insert(key.clone(), BEGIN + EARNED);
    }

    /// Spends a retry, if the budget holds one.
    pub fn spend(&mut self, key: &BudgetKey) -> bool {
        let Some(saved) = self.budgets.get_mut(key) else { return false };
        let Some(rest) = saved.checked_sub(COST) else { return false };
        *saved = rest;
        true
    }
}
