//! Typed calls of the platform's object API.

use std::{net::SocketAddr, time::Duration};

use base_types::RowVersion;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, StatusCode, header, request};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    HostList, ObjectKey, ObjectList, ObjectRecord, PlatformError, PlatformResult,
    PlatformTransport, WatchAnswer, WriteAnswer, WriteCondition, escape_invalid_bytes,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of the platform's object API, shared by the tasks of a process.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    transport: PlatformTransport,
}

impl PlatformClient {
    /// A client for the platform at an address; connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { transport: PlatformTransport::new(address) }
    }

    /// Number of calls started since the client was made; a watch that waits counts as one.
    pub fn calls(&self) -> u64 {
        self.transport.calls()
    }

    /// Reads an object; `None` when the object does not exist.
    pub async fn read(&self, key: &ObjectKey) -> PlatformResult<Option<ObjectRecord>> {
        let request = self.transport.request(Method::GET, &format!("/objects/{key}"));
        let (status, body) = self.transport.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        parse_answer(status, &body).map(Some)
    }

    /// Writes an object if `condition` holds.
    pub async fn write(
        &self,
        key: &ObjectKey,
        condition: WriteCondition,
        value: &impl Serialize,
    ) -> PlatformResult<WriteAnswer> {
        let body = serde_json::to_vec(value).change_context(PlatformError::Malformed)?;
        let request = with_precondition(
            self.transport.request(Method::PUT, &format!("/objects/{key}")),
            condition,
        );
        let (status, body) = self.transport.call(request, body.into(), CALL_TIMEOUT).await?;
        parse_answer(status, &body)
    }

    /// Deletes an object if it still has the given version.
    pub async fn delete(
        &self,
        key: &ObjectKey,
        version: RowVersion,
    ) -> PlatformResult<WriteAnswer> {
        let request = self.transport.request(Method::DELETE, &format!("/objects/{key}"));
        let request = with_precondition(request, WriteCondition::Version(version));
        let (status, body) = self.transport.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        parse_answer(status, &body)
    }

    /// Lists all objects whose keys start with a prefix.
    pub async fn list(&self, prefix: &str) -> PlatformResult<ObjectList> {
        let request = self.transport.request(Method::GET, &format!("/objects?prefix={prefix}"));
        let (status, body) = self.transport.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        parse_answer(status, &body)
    }

    /// Waits until objects below a prefix have changed since a revision, for at most `wait`; the
    /// answer is empty if nothing changed.
    pub async fn watch(
        &self,
        prefix: &str,
        since: RowVersion,
        wait: Duration,
    ) -> PlatformResult<WatchAnswer> {
        let path = format!("/watch?prefix={prefix}&since={}&wait_ms={}", since.0, wait.as_millis());
        let request = self.transport.request(Method::GET, &path);
        let (status, body) =
            self.transport.call(request, Bytes::new(), wait + CALL_TIMEOUT).await?;
        parse_answer(status, &body)
    }

    /// Reads the list of all hosts of the fleet.
    pub async fn hosts(&self) -> PlatformResult<HostList> {
        let request = self.transport.request(Method::GET, "/hosts");
        let (status, body) = self.transport.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        parse_answer(status, &body)
    }
}

fn with_precondition(request: request::Builder, condition: WriteCondition) -> request::Builder {
    match condition {
        WriteCondition::Absent => request.header(header::IF_NONE_MATCH, "*"),
        WriteCondition::Version(version) => {
            request.header(header::IF_MATCH, format!("\"{}\"", version.0))
        }
    }
}

fn parse_answer<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> PlatformResult<T> {
    if status == StatusCode::PRECONDITION_FAILED {
        return Err(Report::new(PlatformError::Conflict));
    }
    if status.is_server_error() {
        return Err(Report::new(PlatformError::Unanswered));
    }
    if !status.is_success() {
        return Err(Report::new(PlatformError::Refused));
    }
    serde_json::from_str(&escape_invalid_bytes(body)).change_context(PlatformError::Malformed)
}
