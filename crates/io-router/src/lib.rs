//! Runtime of a router process: sockets, timers and HTTP around the sans-I/O core.
//!
//! A single-threaded event loop owns the core and executes its effects; every other task posts
//! events to the loop. All decisions are made in the core.

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
