//! Orders to model engines.
//!
//! One router gives all orders, under one lease: the weight store from which engines load is
//! shared by all pools and limited in rate, so that loads must be spread in time whichever pool
//! wants them. What an engine is told is first written into the lease's object as an intent, and
//! is sent under the version of that write as the fencing number. It does no I/O.

mod book;
mod plan;
mod record;

pub use crate::{
    book::{OrderBook, OrderStep, OrderTimes},
    plan::{EngineView, PoolView},
    record::{EngineOrder, EngineReport, OrderRecord},
};
