//! Life cycle of a target as one router sees it.
//!
//! It says whether a target takes new work and how much. It knows nothing of load or of choice.

mod life;

pub use crate::life::{TargetLife, TargetPhase};
