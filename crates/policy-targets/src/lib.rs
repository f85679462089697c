//! Lifecycle of a target as one router sees it, and the failure rate of its calls.
//!
//! Decides whether a target gets new work and what fraction of it. Load and target choice are
//! handled elsewhere.

mod life;
mod outcomes;

pub use crate::{
    life::{TargetLifecycle, TargetPhase},
    outcomes::{FailureRate, OutcomeCount},
};
