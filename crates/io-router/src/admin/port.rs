//! Adapter of the platform client to the object port of the edit protocol.

use std::time::Duration;

use base_types::RowVersion;
use error_stack::Report;
use io_platform::{ObjectKey, ObjectRecord, PlatformClient, PlatformError, WriteCondition};
use serde_json::Value;
use state_tables::{ObjectPort, PortError, StoredObject, StoredTable};

const EDIT_RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Object port of the edit protocol on the platform.
pub(super) struct PlatformPort<'a>(pub(super) &'a PlatformClient);

impl ObjectPort for PlatformPort<'_> {
    async fn read(&self, key: &str) -> Result<Option<StoredObject>, PortError> {
        let object = self.0.read(&ObjectKey::new(key)).await.map_err(port_error)?;
        Ok(object.and_then(stored_object))
    }

    async fn list(&self, prefix: &str) -> Result<StoredTable, PortError> {
        let list = self.0.list(prefix).await.map_err(port_error)?;
        let objects = list.objects.into_iter().filter_map(stored_object).collect();
        Ok(StoredTable { revision: list.revision, objects })
    }

    async fn write(
        &self,
        key: &str,
        expected: Option<RowVersion>,
        value: Value,
    ) -> Result<RowVersion, PortError> {
        let condition = expected.map_or(WriteCondition::Absent, WriteCondition::Version);
        let answer = self.0.write(&ObjectKey::new(key), condition, &value).await;
        answer.map(|answer| answer.version).map_err(port_error)
    }

    async fn back_off(&self) {
        tokio::time::sleep(EDIT_RETRY_BACKOFF).await;
    }
}

fn stored_object(object: ObjectRecord) -> Option<StoredObject> {
    let key = object.key.as_str().into();
    Some(StoredObject { key, version: object.version, value: object.value? })
}

/// Maps a malformed answer to `Unanswered`, because the write may have taken effect.
fn port_error(report: Report<PlatformError>) -> PortError {
    match report.current_context() {
        PlatformError::Conflict => PortError::Conflict,
        PlatformError::Unreachable | PlatformError::Refused => PortError::NoEffect,
        PlatformError::Unanswered | PlatformError::Malformed => PortError::Unanswered,
    }
}
