//! Client of the operators' API of a router.
//!
//! Each call uses a connection of its own and a bounded wait. The client decides nothing: it
//! never repeats an edit, and says so when the outcome of one is unknown.

mod client;
mod connect;
mod error;

pub use crate::{
    client::{EditCondition, ListedRow, OperatorClient, RowTable, VersionedRow},
    error::OperatorError,
};
