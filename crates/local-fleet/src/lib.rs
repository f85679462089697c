//! Fleet of real processes on loopback, for demonstrations, measurements and process tests.
//!
//! Starts the shipped binary and the stand-ins, sends signals to the processes, and calls them as
//! callers and operators do. The crate is never shipped and contains no logic of the routers.

mod caller;
mod chat;
mod fleet;
mod operators;
mod ports;
mod process;

pub use crate::{
    caller::{CallAnswer, CallError, HttpClient},
    chat::{ChatAnswer, ChatError, ChatPrompt},
    fleet::{FleetError, FleetPlan, LocalFleet, RouterProcess, TargetProcess},
    operators::{OPERATOR_TOKEN, PAYMENTS_TOKEN, READER_TOKEN, RENEWALS_TOKEN},
    ports::PortSource,
    process::ChildProcess,
};
