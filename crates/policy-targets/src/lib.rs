//! Lifecycle of a target as one router sees it, the failure rate of its calls, the limit on their rate
//! that it names, what it takes while it is cold, and the speed at which it works.
//!
//! Decides whether a target gets new work and what fraction of it. Load and target choice are
//! handled elsewhere.

mod cold;
mod life;
mod outcomes;
mod pace;
mod places;
mod rates;
mod rejections;
mod speed;

pub use crate::{
    cold::{ColdLimit, ColdTurns, UsedTurn},
    life::{TargetLifecycle, TargetPhase},
    outcomes::{FailureRate, OutcomeCount},
    pace::{PoolPace, WorkKind, WorkSample},
    places::PlaceLimit,
    rates::{CallRate, NamedLimit, RateAllowance},
    rejections::{RejectionLimit, RejectionStatement},
    speed::{LoadReport, PeerSpeed, SpeedEstimate, TargetSpeed},
};
