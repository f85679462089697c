//! Target choice: which target of a pool a request goes to.
//!
//! Pure decisions over a view of the pool's targets. It holds no load, no health and no queues:
//! callers keep those and pass a view.

mod choice;
mod rendezvous;

pub use crate::{
    choice::{ChoiceQuery, ChoiceReason, TargetChoice, TargetView, choose_target},
    rendezvous::{affinity_hash, rendezvous_score},
};
