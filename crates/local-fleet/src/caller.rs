//! An HTTP caller with bounded waits.

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

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No byte was sent.
    Unreachable,
    /// The connection broke before or within the answer.
    Broken,
    /// No whole answer came in time.
    TimedOut,
    /// The call could not be built or its answer not read.
    Malformed,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "no connection",
            Self::Broken => "the connection broke",
            Self::TimedOut => "no whole answer in time",
            Self::Malformed => "the call or its answer is malformed",
        })
    }
}

impl std::error::Error for CallError {}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl CallAnswer {
    /// A header's text, empty when absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Number of the result code, zero when absent.
    pub fn code(&self) -> u16 {
        self.header("x-result-code").parse().unwrap_or_default()
    }

    /// The body read as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the body is not of that shape.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Report<CallError>> {
        serde_json::from_slice(&self.body).change_context(CallError::Malformed)
    }
}

/// An HTTP caller; cheap to clone.
#[derive(Debug, Clone)]
pub struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpCaller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { client }
    }
}

impl HttpCaller {
    /// Makes a call and waits for its whole answer.
    ///
    /// It carries the fleet's operator token unless `headers` name another.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes; the error says whether a byte was sent.
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

    /// Reads a path and its answer as JSON.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::call`], or when the answer is not of that shape.
    pub async fn read<T: DeserializeOwned>(
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
                let context =
                    if error.is_connect() { CallError::Unreachable } else { CallError::Broken };
                return Err(Report::new(error).change_context(context));
            }
        };
        let (parts, body) = response.into_parts();
        let body = body.collect().await.change_context(CallError::Broken)?.to_bytes();
        Ok(CallAnswer { status: parts.status, headers: parts.headers, body })
    }
}
