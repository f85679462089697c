//! A randomized soak test of real gateway processes on loopback with externally injected faults.
//!
//! Proxies delay, reset and silence connections, or block their answers; signals stop, freeze
//! and kill processes, or request a reload, which must have no effect. The records of callers and
//! runners are checked against the guarantees.
//! The soak is not a benchmark, knows no internals of the processes, and is never shipped. The
//! gateways store nothing on disk and do not read the wall clock, so no fault concerns clocks or
//! storage.

mod callers;
mod faults;
mod foreign;
mod gateway;
mod judge;
mod plan;
mod proxy;
mod record;
mod run;
mod streams;

pub use crate::{
    judge::Violation,
    plan::SoakPlan,
    run::{SoakReport, run_soak},
};
