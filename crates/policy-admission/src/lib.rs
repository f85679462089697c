//! Order in which waiting requests go to targets, and limits of client accounts.
//!
//! It knows nothing of targets; its caller says when one has room.

mod limits;
mod queue;

pub use crate::{
    limits::{AccountLimits, LimitKey},
    queue::{FairQueue, QueuedRequest},
};
