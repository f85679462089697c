//! Client of the administration API of a router.
//!
//! Each call opens a new connection and has a timeout. The client never retries an edit;
//! [`OperatorError::Unanswered`] and [`OperatorError::Malformed`] tell that the outcome of an edit
//! is unknown.

mod client;
mod connect;
mod error;

pub use crate::{
    client::{EditCondition, ListedRow, OperatorClient, RowTable, VersionedRow},
    error::OperatorError,
};
