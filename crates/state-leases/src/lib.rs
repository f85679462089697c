//! Leases based on conditional writes of an object.
//!
//! The object's version is the only authority: a process that writes the object conditional on its
//! version holds the lease, and the new version is the fencing number of the holder's actions.
//! Clocks only tell a holder when to stop and other processes when they may try to acquire the
//! lease. Clocks of different hosts are never compared: a holder counts from before its write was
//! sent, another process from after it read that write. The lease therefore ends for its holder
//! before another process may acquire it.

mod lease;

pub use crate::lease::{LeaseOwner, LeaseState, LeaseTimes};
