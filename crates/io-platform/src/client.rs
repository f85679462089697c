//! The client itself.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base_types::RowVersion;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    HostList, ObjectKey, ObjectList, ObjectRecord, PlatformError, WatchAnswer, WriteAnswer,
    WriteGuard,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

type PlatformResult<T> = Result<T, Report<PlatformError>>;

/// Client of the platform's object API, shared by the tasks of a process.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    calls: Arc<AtomicU64>,
}

impl PlatformClient {
    /// A client of the platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, client, calls: Arc::default() }
    }

    /// Calls made so far; a waiting watch counts as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads an object; `None` when it does not exist.
    pub async fn read(&self, key: &ObjectKey) -> PlatformResult<Option<ObjectRecord>> {
        let request = self.request(Method::GET, &format!("/objects/{key}"));
        let (status, body) = self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        parse(status, &body).map(Some)
    }

    /// Writes an object under a condition.
    pub async fn write(
        &self,
        key: &ObjectKey,
        guard: WriteGuard,
        value: &impl Serialize,
    ) -> PlatformResult<WriteAnswer> {
        let body = serde_json::to_vec(value).change_context(PlatformError::Malformed)?;
        let request = guarded(self.request(Method::PUT, &format!("/objects/{key}")), guard);
        let (status, body) = self.call(request, body.into(), CALL_TIMEOUT).await?;
        parse(status, &body)
    }

    /// Deletes an object that has a version.
    pub async fn delete(
        &self,
        key: &ObjectKey,
        version: RowVersion,
    ) -> PlatformResult<WriteAnswer> {
        let request = self.request(Method::DELETE, &format!("/objects/{key}"));
        let request = guarded(request, WriteGuard::Version(version));
        let (status, body) = self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        parse(status, &body)
    }

    /// Lists all objects below a prefix.
    pub async fn list(&self, prefix: &str) -> PlatformResult<ObjectList> {
        let request = self.request(Method::GET, &format!("/objects?prefix={prefix}"));
        let (status, body) = self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        parse(status, &body)
    }

    /// Waits for changes below a prefix since a revision, at most as long as `wait`.
    pub async fn watch(
        &self,
        prefix: &str,
        since: RowVersion,
        wait: Duration,
    ) -> PlatformResult<WatchAnswer> {
        let path = format!("/watch?prefix={prefix}&since={}&wait_ms={}", since.0, wait.as_millis());
        let request = self.request(Method::GET, &path);
        let (status, body) = self.call(request, Bytes::new(), wait + CALL_TIMEOUT).await?;
        parse(status, &body)
    }

    /// Reads the list of hosts.
    pub async fn hosts(&self) -> PlatformResult<HostList> {
        let request = self.request(Method::GET, "/hosts");
        let (status, body) = self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        parse(status, &body)
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        let uri = format!("http://{}{path}", self.address);
        Request::builder().method(method).uri(uri)
    }

    async fn call(
        &self,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> PlatformResult<(StatusCode, Bytes)> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let request = request
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .change_context(PlatformError::Malformed)?;
        tokio::time::timeout(timeout, self.exchange(request))
            .await
            .change_context(PlatformError::Unanswered)?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> PlatformResult<(StatusCode, Bytes)> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) => {
                let context = if error.is_connect() {
                    PlatformError::Unreachable
                } else {
                    PlatformError::Unanswered
                };
                return Err(Report::new(error).change_context(context));
            }
        };
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.change_context(PlatformError::Unanswered)?;
        Ok((status, body.to_bytes()))
    }
}

fn guarded(request: http::request::Builder, guard: WriteGuard) -> http::request::Builder {
    match guard {
        WriteGuard::Absent => request.header(header::IF_NONE_MATCH, "*"),
        WriteGuard::Version(version) => {
            request.header(header::IF_MATCH, format!("\"{}\"", version.0))
        }
    }
}

fn parse<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> PlatformResult<T> {
    if status == StatusCode::PRECONDITION_FAILED {
        return Err(Report::new(PlatformError::Conflict));
    }
    if status.is_server_error() {
        return Err(Report::new(PlatformError::Unanswered));
    }
    if !status.is_success() {
        return Err(Report::new(PlatformError::Refused));
    }
    serde_json::from_slice(body).change_context(PlatformError::Malformed)
}
