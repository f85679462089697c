//! The platform as the edit protocol sees it.

use std::{fmt, future::Future};

use base_types::{RowVersion, key_types, value_types};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{EditRecord, audit_object};

key_types! {
    /// Why a call to the platform failed.
    pub enum PortError {
        /// The condition of a write did not hold; it had no effect.
        Conflict,
        /// The call certainly had no effect.
        Unsent,
        /// The call was not answered; a write may have taken effect or may still take effect.
        Unanswered,
    }
}

impl fmt::Display for PortError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Conflict => "the object has another version",
            Self::Unsent => "the call had no effect",
            Self::Unanswered => "the call was not answered",
        })
    }
}

impl std::error::Error for PortError {}

value_types! {
    /// An object at one version.
    pub struct StoredObject {
        /// Key of the object.
        pub key: Box<str>,
        /// Version of the value.
        pub version: RowVersion,
        /// The value.
        pub value: Value,
    }

    /// All objects below a prefix, read at one revision.
    pub struct StoredTable {
        /// Revision of the read.
        pub revision: RowVersion,
        /// The objects in the order of their keys.
        pub objects: Vec<StoredObject>,
    }
}

/// Calls to the platform that the edit protocol needs.
pub trait ObjectPort: Sync {
    /// Reads an object; `None` when it does not exist.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredObject>, PortError>> + Send;

    /// Lists all objects below a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<StoredTable, PortError>> + Send;

    /// Writes an object that has a version, or that does not exist.
    fn write(
        &self,
        key: &str,
        expected: Option<RowVersion>,
        value: Value,
    ) -> impl Future<Output = Result<RowVersion, PortError>> + Send;

    /// Waits before a call is tried again.
    fn pause(&self) -> impl Future<Output = ()> + Send;
}

/// Reads the audit entry of a place in the order of all edits.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn read_audit(
    port: &impl ObjectPort,
    sequence: u64,
) -> Result<Option<EditRecord>, PortError> {
    let object = read_again(port, &audit_object(sequence)).await?;
    Ok(object.and_then(|object| parse_value(object.value)))
}

const CALL_TRIES: u32 = 4;

/// Reads an object, trying again a few times.
pub(crate) async fn read_again(
    port: &impl ObjectPort,
    key: &str,
) -> Result<Option<StoredObject>, PortError> {
    for _ in 1..CALL_TRIES {
        if let Ok(object) = port.read(key).await {
            return Ok(object);
        }
        port.pause().await;
    }
    port.read(key).await
}

/// How a conditional write that was tried a few times ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteEnd {
    /// It took effect and gave the object this version.
    Written(RowVersion),
    /// The object has another version, perhaps by a try of this write whose answer was lost.
    Conflict,
    /// No try had an effect.
    Unsent,
    /// A try may have taken effect or may still take effect.
    Doubtful,
}

/// Writes an object under a condition, trying again a few times.
///
/// A try that takes effect makes the condition false, so that at most one of them does.
pub(crate) async fn write_again(
    port: &impl ObjectPort,
    key: &str,
    expected: Option<RowVersion>,
    value: &Value,
) -> WriteEnd {
    let mut end = WriteEnd::Unsent;
    for _ in 0..CALL_TRIES {
        match port.write(key, expected, value.clone()).await {
            Ok(version) => return WriteEnd::Written(version),
            Err(PortError::Conflict) => return WriteEnd::Conflict,
            Err(PortError::Unsent) => {}
            Err(PortError::Unanswered) => end = WriteEnd::Doubtful,
        }
        port.pause().await;
    }
    end
}

pub(crate) fn parse_value<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}
