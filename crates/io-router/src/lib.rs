//! Sockets, timers and HTTP round the router's core.
//!
//! One loop on one thread owns the core; every other task posts events to it and runs its
//! effects. No decision is made here.

mod admin;
mod answer;
mod entry;
mod forward;
mod front;
mod handle;
mod ledger;
mod listen;
mod observe;
mod orders;
mod peers;
mod platform;
mod prompt;
mod relay;
mod retention;
mod run;
mod serve;
mod shutdown;

pub use crate::run::{RunError, run_router};
