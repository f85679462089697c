//! Fair queueing of requests that wait for a target, rate limits of client accounts, and the memory that
//! a router may hold for calls.
//!
//! Targets are not known here; the caller decides when a target has room.

mod limits;
mod memory;
mod queue;

pub use crate::{
    limits::{AccountLimit, AccountLimits},
    memory::{MemoryBudget, MemoryShortage, MemoryUse},
    queue::{FairQueue, QueuedRequest},
};
