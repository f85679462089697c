//! Lifecycle of a target as one router sees it, the failure rate of its calls, the limit on their
//! rate that it names, and what it takes while it is cold.
//!
//! Decides whether a target gets new work and what fraction of it. Load and target choice are
//! handled elsewhere.

mod cold;
mod life;
mod outcomes;
mod rates;

pub use crate::{
    cold::{ColdLimit, ColdTurns, UsedTurn},
    life::{TargetLifecycle, TargetPhase},
    outcomes::{FailureRate, OutcomeCount},
    rates::{CallRate, NamedLimit, RateAllowance},
};
