//! A randomized soak: real gateway processes on loopback under faults that come from outside them.
//!
//! Proxies delay, reset, silence and cut connections one way; signals stop, freeze, kill and
//! reload processes. What callers and runners see is judged against the promises. It is not a
//! benchmark, knows nothing of the processes' insides, and is never shipped. The gateways keep
//! nothing on disk and read no time of day, so that clocks and storage are not among the faults.

mod callers;
mod faults;
mod gateway;
mod judge;
mod plan;
mod proxy;
mod record;
mod run;

pub use crate::{
    judge::Broken,
    plan::SoakPlan,
    run::{SoakReport, run_soak},
};
