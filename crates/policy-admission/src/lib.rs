//! Fair queueing of requests that wait for a target, and rate limits of client accounts.
//!
//! Targets are not known here; the caller decides when a target has room.

mod limits;
mod queue;

pub use crate::{
    limits::{AccountLimit, AccountLimits},
    queue::{FairQueue, QueuedRequest},
};
