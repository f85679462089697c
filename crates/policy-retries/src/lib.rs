//! Decides whether a request may be sent or retried: retry budgets, and content that is suspected of
//! crashing targets.
//!
//! Target load and the choice of a retry's target are handled elsewhere.

mod budget;
mod crashes;
mod suspects;
mod window;

pub use crate::{
    budget::{BudgetKey, RetryBudgets},
    crashes::{
        ContentBlock, ContentChange, ContentVerdict, CrashRecord, CrashTracker, SuspectContent,
    },
    suspects::{SuspectKey, SuspectTracker, SuspectTrial, SuspectVerdict},
    window::{WindowBounds, WindowBudget},
};
