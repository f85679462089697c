//! HTTP calls to the platform: connections, timeouts and the classification of failures.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::PlatformError;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time after which TCP keep-alive probes start, and the time between probes. Without probes
/// a watch that waits would not notice a dead connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES_MAX: u32 = 2;

/// Limit on the bytes of an answer.
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Result of a call to the platform; the error states what is known about the call's effect.
pub type PlatformResult<T> = Result<T, Report<PlatformError>>;

/// HTTP client for the platform at one address; clones share connections and the call counter.
#[derive(Debug, Clone)]
pub struct PlatformTransport {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    calls: Arc<AtomicU64>,
}

impl PlatformTransport {
    /// A transport for the platform at an address; connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES_MAX));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, client, calls: Arc::default() }
    }

    /// Number of calls started since the transport was made; a watch that waits counts as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Builds a request; `path` holds the path and the query.
    pub fn request(&self, method: Method, path: &str) -> request::Builder {
        let uri = format!("http://{}{path}", self.address);
        Request::builder().method(method).uri(uri)
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no complete answer within `timeout`, or one of more than 64 MiB. A write
    /// may have taken effect unless the error is [`PlatformError::Unreachable`], or
    /// [`PlatformError::Malformed`], which is returned before anything is sent.
    pub async fn call(
        &self,
        request: request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> PlatformResult<(StatusCode, Bytes)> {
        let response = self.call_with_headers(request, body, timeout).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Sends a request and reads the complete answer with its headers.
    ///
    /// # Errors
    ///
    /// As for [`Self::call`].
    pub async fn call_with_headers(
        &self,
        request: request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> PlatformResult<Response<Bytes>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let request = request
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .change_context(PlatformError::Malformed)?;
        tokio::time::timeout(timeout, self.exchange(request))
            .await
            .change_context(PlatformError::Unanswered)?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> PlatformResult<Response<Bytes>> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) => {
                let kind = if error.is_connect() {
                    PlatformError::Unreachable
                } else {
                    PlatformError::Unanswered
                };
                return Err(Report::new(error).change_context(kind));
            }
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_BYTES_MAX).collect().await;
        let body =
            body.map_err(|error| Report::new(PlatformError::Unanswered).attach(error.to_string()))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}
