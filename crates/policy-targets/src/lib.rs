//! Life cycle of a target as one router sees it, and how often its calls fail.
//!
//! It says whether a target takes new work and how much. It knows nothing of load or of choice.

mod life;
mod outcomes;

pub use crate::{
    life::{TargetLife, TargetPhase},
    outcomes::{OutcomeCount, OutcomeRate},
};
