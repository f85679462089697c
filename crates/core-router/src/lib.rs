//! The router's decisions as one state machine without I/O.
//!
//! [`RouterCore::on_event`] takes an event and a point in time and returns effects. Sockets,
//! files and timers belong to the crates that run the effects and post the events.

mod core;
mod decision;
mod event;
mod request;
mod targets;

pub use crate::{
    core::{CoreStatus, RouterCore, SharePace},
    decision::DecisionRecord,
    event::{AttemptEnd, Effect, Event, RequestStep},
    targets::{LoadReport, TargetRecord},
};
pub use base_types::{HostEntry, HostRole, HostState};
pub use state_ledger::{ClaimOutcome, OperationClaim, StoredAnswer};
