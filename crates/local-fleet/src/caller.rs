//! An HTTP client with timeouts.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;

use crate::operators::OPERATOR_TOKEN;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason that a call has no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be opened, so no byte was sent.
    Unreachable,
    /// The connection failed before the answer or in the middle of it.
    ConnectionLost,
    /// No complete answer arrived within the timeout.
    TimedOut,
    /// The request could not be built, or the answer could not be parsed.
    Malformed,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "cannot connect",
            Self::ConnectionLost => "the connection failed",
            Self::TimedOut => "no complete answer within the timeout",
            Self::Malformed => "the request or the answer is malformed",
        })
    }
}

impl std::error::Error for CallError {}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl CallAnswer {
    /// Value of a header; empty when the header is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Number of the result code in `x-result-code`; zero when the header is absent.
    pub fn code(&self) -> u16 {
        self.header("x-result-code").parse().unwrap_or_default()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the body is not JSON of type `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Report<CallError>> {
        serde_json::from_slice(&self.body).change_context(CallError::Malformed)
    }
}

/// An HTTP client that never retries; clones share its connection pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { client }
    }
}

impl HttpClient {
    /// Sends a request and waits for the complete answer.
    ///
    /// The request carries the fleet's operator token unless `headers` contain `authorization`.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer arrives; [`CallError::Unreachable`] means no byte was sent.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<CallAnswer, Report<CallError>> {
        let mut builder = Request::builder().method(method).uri(format!("http://{address}{path}"));
        if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("authorization")) {
            builder = builder.header("authorization", format!("Bearer {OPERATOR_TOKEN}"));
        }
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(body.into())).change_context(CallError::Malformed)?;
        tokio::time::timeout(CALL_TIMEOUT, self.exchange(request))
            .await
            .change_context(CallError::TimedOut)?
    }

    /// Sends a GET request and parses the answer as JSON.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::call`] does, or when the answer is not JSON of type `T`.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, Report<CallError>> {
        self.call(Method::GET, address, path, &[], Bytes::new()).await?.json()
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<CallAnswer, Report<CallError>> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) => {
                let context = if error.is_connect() {
                    CallError::Unreachable
                } else {
                    CallError::ConnectionLost
                };
                return Err(Report::new(error).change_context(context));
            }
        };
        let (parts, body) = response.into_parts();
        let body = body.collect().await.change_context(CallError::ConnectionLost)?.to_bytes();
        Ok(CallAnswer { status: parts.status, headers: parts.headers, body })
    }
}
