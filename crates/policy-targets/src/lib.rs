//! Lifecycle of a target as one router sees it, the failure rate of its calls, and the limit on their
//! rate that it names.
//!
//! Decides whether a target gets new work and what fraction of it. Load and target choice are
//! handled elsewhere.

mod life;
mod outcomes;
mod rates;

pub use crate::{
    life::{TargetLifecycle, TargetPhase},
    outcomes::{FailureRate, OutcomeCount},
    rates::{CallRate, NamedLimit, RateAllowance},
};
