//! Leases on objects that are written under conditions.
//!
//! The object's version is the only authority: who writes it under the condition of its version
//! holds the lease, and the version is the fencing number of whatever the holder does. Clocks
//! only tell a holder when to stop and others when they may try. No two hosts compare clocks: a
//! holder counts from before its write was sent, another host from after it read that write.

mod lease;

pub use crate::lease::{LeaseOwner, LeaseState, LeaseTimes};
