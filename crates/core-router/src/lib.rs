//! Routing decisions as one state machine without I/O.
//!
//! [`RouterCore::on_event`] takes an event and a point in time and returns effects. The crates that
//! post events and run effects own the sockets, files and timers.

mod core;
mod decision;
mod event;
mod request;
mod targets;

pub use crate::{
    core::{CoreStatus, RouterCore, ShareOptions},
    decision::DecisionRecord,
    event::{AttemptOutcome, Effect, Event, RequestStep},
    targets::{LoadReport, TargetRecord},
};
pub use base_types::{HostEntry, HostRole, HostState};
pub use state_ledger::{ClaimOutcome, OperationClaim, StoredAnswer};
