//! Orders that tell model engines which model to serve.
//!
//! One router gives all orders, under one lease: all pools share the weight store from which
//! engines load, and its rate is limited, so loads must be spread over time across all pools. An
//! order is first written into the lease's object as an intent, and is then sent with the version
//! that the write returned as its fencing number. The crate does no I/O.

mod book;
mod plan;
mod record;

pub use crate::{
    book::{OrderScheduler, OrderStep, OrderTimes},
    plan::{EngineView, PoolView},
    record::{EngineOrder, EngineReport, OrderRecord},
};
