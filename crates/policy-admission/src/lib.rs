//! Queueing of requests and calls that wait for a target, and rate limits of client accounts.
//!
//! Targets are not known here; the caller decides when a target has room.

mod limits;
mod queue;
mod waiting;

pub use crate::{
    limits::{AccountLimit, AccountLimits},
    queue::{FairQueue, QueuedRequest},
    waiting::{
        PoolRoom, STARTS_PER_AGED, ShedReason, WAITING_MAX, WaitEstimate, WaitingCall, WaitingQueue,
    },
};
