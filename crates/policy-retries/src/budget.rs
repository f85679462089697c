//! Retry budgets per pool and client account, in proportion to first attempts. Unused retries are
//! saved up to a limit; there is no time window.

use std::collections::BTreeMap;

use base_types::{AccountName, PoolName, value_types};

/// Credit that a first attempt earns, in hundredths of a retry.
const EARNED_PER_CALL: u32 = 10;

/// Cost of a retry, in hundredths of a retry.
const RETRY_COST: u32 = 100;

/// Balance of a new budget before its first call, in hundredths of a retry.
const INITIAL_BALANCE: u32 = 100;

/// Largest balance that a budget accumulates, in hundredths of a retry.
const BALANCE_MAX: u32 = 1000;

/// Budgets kept per router.
const BUDGETS_MAX: usize = 16_384;

value_types! {
    /// Scope of a retry budget.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct BudgetKey {
        /// Pool that the calls go to.
        pub pool: PoolName,
        /// Client account that the calls belong to.
        pub account: AccountName,
    }
}

/// Budgets of one router. Retries stay within a tenth of the first attempts, plus one per budget.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    budgets: BTreeMap<BudgetKey, u32>,
}

impl RetryBudgets {
    /// Counts a first attempt.
    ///
    /// At `BUDGETS_MAX` the first budget in key order is evicted, and restarts with the initial
    /// balance when next used.
    pub fn on_first_attempt(&mut self, key: &BudgetKey) {
        if let Some(balance) = self.budgets.get_mut(key) {
            *balance = (*balance + EARNED_PER_CALL).min(BALANCE_MAX);
            return;
        }
        if self.budgets.len() >= BUDGETS_MAX {
            self.budgets.pop_first();
        }
        self.budgets.insert(key.clone(), INITIAL_BALANCE + EARNED_PER_CALL);
    }

    /// Spends a retry; returns false when the balance does not cover one or the budget does not
    /// exist, for example after its eviction.
    pub fn try_spend(&mut self, key: &BudgetKey) -> bool {
        let Some(balance) = self.budgets.get_mut(key) else { return false };
        let Some(remaining) = balance.checked_sub(RETRY_COST) else { return false };
        *balance = remaining;
        true
    }
}
