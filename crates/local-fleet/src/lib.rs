//! A fleet of real processes on loopback, for demonstrations, measurements and process tests.
//!
//! It starts the shipped binary and the stand-ins, sends signals to them, and calls them as
//! callers and operators do. It is never shipped and decides nothing.

mod caller;
mod chat;
mod fleet;
mod operators;
mod ports;
mod process;

pub use crate::{
    caller::{CallAnswer, CallError, HttpCaller},
    chat::{ChatAnswer, ChatFault, ChatPrompt},
    fleet::{FleetError, FleetPlan, LocalFleet, RouterProcess, TargetProcess},
    operators::{OPERATOR_TOKEN, PAYMENTS_TOKEN, READER_TOKEN, RENEWALS_TOKEN},
    ports::PortSource,
    process::ChildProcess,
};
