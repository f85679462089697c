//! The platform operations that the edit protocol depends on.

use std::{fmt, future::Future};

use base_types::{RowVersion, key_types, value_types};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{EditRecord, audit_object_key};

key_types! {
    /// Why a call to the platform failed.
    pub enum PortError {
        /// The precondition of a write did not hold, so the write had no effect.
        Conflict,
        /// The call failed and certainly had no effect, or a stored object cannot be parsed.
        NoEffect,
        /// No answer arrived; a write may have taken effect or may still take effect.
        Unanswered,
    }
}

impl fmt::Display for PortError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Conflict => "the object has another version",
            Self::NoEffect => "the call had no effect",
            Self::Unanswered => "the call was not answered",
        })
    }
}

impl std::error::Error for PortError {}

value_types! {
    /// An object of the platform at one version, at which it exists.
    pub struct StoredObject {
        /// Key of the object.
        pub key: Box<str>,
        /// Version at which the object has this value.
        pub version: RowVersion,
        /// JSON value of the object.
        pub value: Value,
    }

    /// All objects whose keys have a prefix, read at one revision.
    pub struct StoredTable {
        /// Revision of the platform at which the objects were read.
        pub revision: RowVersion,
        /// The objects, ordered by key.
        pub objects: Vec<StoredObject>,
    }
}

/// Platform calls that the edit protocol needs.
pub trait ObjectPort: Sync {
    /// Reads an object; `None` when it does not exist.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredObject>, PortError>> + Send;

    /// Lists all objects whose keys have a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<StoredTable, PortError>> + Send;

    /// Writes an object if it has the expected version, or if it does not exist when `expected` is
    /// `None`; returns its new version.
    fn write(
        &self,
        key: &str,
        expected: Option<RowVersion>,
        value: Value,
    ) -> impl Future<Output = Result<RowVersion, PortError>> + Send;

    /// Waits for the backoff before a retry.
    fn back_off(&self) -> impl Future<Output = ()> + Send;
}

/// Reads the audit entry of the edit with a sequence number; `None` while it has none.
///
/// # Errors
///
/// Fails when the platform is unavailable.
pub async fn read_audit(
    port: &impl ObjectPort,
    sequence: u64,
) -> Result<Option<EditRecord>, PortError> {
    let object = read_with_retry(port, &audit_object_key(sequence)).await?;
    Ok(object.and_then(|object| parse_value(object.value)))
}

const CALL_ATTEMPTS_MAX: u32 = 4;

/// Reads an object, with a few retries.
pub(crate) async fn read_with_retry(
    port: &impl ObjectPort,
    key: &str,
) -> Result<Option<StoredObject>, PortError> {
    for _ in 1..CALL_ATTEMPTS_MAX {
        if let Ok(object) = port.read(key).await {
            return Ok(object);
        }
        port.back_off().await;
    }
    port.read(key).await
}

/// Outcome of a conditional write with retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The write took effect and gave the object this version.
    Written(RowVersion),
    /// The object has another version, possibly written by an attempt whose answer was lost.
    Conflict,
    /// No attempt had an effect.
    NoEffect,
    /// An attempt may have taken effect or may still take effect.
    InDoubt,
}

/// Writes an object under a precondition, with a few retries.
///
/// An attempt that takes effect invalidates the precondition, so at most one of them does.
pub(crate) async fn write_with_retry(
    port: &impl ObjectPort,
    key: &str,
    expected: Option<RowVersion>,
    value: &Value,
) -> WriteOutcome {
    let mut outcome = WriteOutcome::NoEffect;
    for _ in 0..CALL_ATTEMPTS_MAX {
        match port.write(key, expected, value.clone()).await {
            Ok(version) => return WriteOutcome::Written(version),
            Err(PortError::Conflict) => return WriteOutcome::Conflict,
            Err(PortError::NoEffect) => {}
            Err(PortError::Unanswered) => outcome = WriteOutcome::InDoubt,
        }
        port.back_off().await;
    }
    outcome
}

pub(crate) fn parse_value<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}
