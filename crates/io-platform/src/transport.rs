//! HTTP calls to the platform: connections, timeouts and the classification of failures.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt};
use http::{Method, Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
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

/// Time in which the body of an answer must be complete. A large answer takes seconds on a slow link.
const ANSWER_TIME_MAX: Duration = Duration::from_secs(10);

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
        let response =
            tokio::time::timeout(timeout, self.call_on_slow_link(request, body, timeout))
                .await
                .change_context(PlatformError::Unanswered)??;
        Ok((response.status(), response.into_body()))
    }

    /// Sends a request and reads the complete answer with its headers, however slowly it arrives, within limits: an
    /// answer that is still arriving does not show that the platform is silent.
    ///
    /// # Errors
    ///
    /// Fails when neither the head of the answer nor a further part of its body arrives for `timeout`, or when the
    /// body takes more than 10 s or 64 MiB; otherwise as for [`Self::call`].
    pub async fn call_on_slow_link(
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
        let response = tokio::time::timeout(timeout, self.exchange(request))
            .await
            .change_context(PlatformError::Unanswered)??;
        let (head, body) = response.into_parts();
        let body = tokio::time::timeout(ANSWER_TIME_MAX, collect_body(body, timeout))
            .await
            .change_context(PlatformError::Unanswered)??;
        Ok(Response::from_parts(head, body))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> PlatformResult<Response<Incoming>> {
        self.client.request(request).await.map_err(|error| {
            let kind = if error.is_connect() {
                PlatformError::Unreachable
            } else {
                PlatformError::Unanswered
            };
            Report::new(error).change_context(kind)
        })
    }
}

/// Reads a body whose parts follow each other within `pause_max`.
async fn collect_body(body: Incoming, pause_max: Duration) -> PlatformResult<Bytes> {
    let mut body = Limited::new(body, ANSWER_BYTES_MAX);
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(pause_max, body.frame())
            .await
            .change_context(PlatformError::Unanswered)?;
        match frame {
            None => return Ok(bytes.freeze()),
            Some(Ok(frame)) => {
                if let Ok(part) = frame.into_data() {
                    bytes.extend_from_slice(&part);
                }
            }
            Some(Err(error)) => {
                return Err(Report::new(PlatformError::Unanswered).attach(error.to_string()));
            }
        }
    }
}
