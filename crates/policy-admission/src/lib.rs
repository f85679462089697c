//! Queueing of requests and calls that wait for a target, rate limits of client accounts, and the memory that
//! a router may hold for calls.
//!
//! Targets are not known here; the caller decides when a target has room.

mod limits;
mod longest;
mod memory;
mod queue;
mod waiting;

pub use crate::{
    limits::{AccountLimit, AccountLimits},
    longest::LongestTime,
    memory::{MemoryBudget, MemoryShortage, MemoryUse},
    queue::{FairQueue, QueuedRequest},
    waiting::{
        PoolRoom, STARTS_PER_AGED, ShedReason, WAITING_MAX, WaitEstimate, WaitingCall, WaitingQueue,
    },
};
