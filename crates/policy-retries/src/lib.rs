//! Decides whether a request may be retried: retry budgets and suspect content.
//!
//! Target load and the choice of a retry's target are handled elsewhere.

mod budget;
mod suspects;
mod window;

pub use crate::{
    budget::{BudgetKey, RetryBudgets},
    suspects::{SuspectKey, SuspectTracker, SuspectTrial, SuspectVerdict},
    window::{WindowBounds, WindowBudget},
};
