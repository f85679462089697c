//! Sending requests to targets and checking that their answers are whole.

use std::time::Duration;

use base_types::{ContentDigest, RequestKey, UnknownCode};
use bytes::Bytes;
use core_router::StoredAnswer;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::answer::{REQUEST_ID, request_text};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const STORED_ANSWER_BYTES_MAX: usize = 256 * 1024;
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const RESUMED_AFTER: HeaderName = HeaderName::from_static("x-resumed-after");

type TargetClient = Client<HttpConnector, Full<Bytes>>;

/// The parts of a caller's request that targets see.
#[derive(Clone)]
pub(crate) struct CallerRequest {
    pub(crate) request: RequestKey,
    pub(crate) method: Method,
    pub(crate) path: Box<str>,
    pub(crate) content_type: Option<http::HeaderValue>,
    pub(crate) operation: Option<http::HeaderValue>,
    pub(crate) body: Bytes,
}

impl CallerRequest {
    /// Digest of all that a repeat must have in common.
    pub(crate) fn digest(&self) -> ContentDigest {
        let method = self.method.as_str().as_bytes();
        ContentDigest::of_parts(&[method, self.path.as_bytes(), &self.body])
    }
}

/// How sending ended.
pub(crate) enum SendEnd {
    /// No byte left this router.
    Unsent,
    /// The target failed before its answer began.
    Lost(UnknownCode),
    /// The answer has begun.
    Answered(BegunAnswer),
}

/// An answer whose head and first piece have arrived.
pub(crate) struct BegunAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) first: Option<Bytes>,
    pub(crate) body: Incoming,
}

/// Clients towards targets.
#[derive(Clone)]
pub(crate) struct TargetClients {
    kept: TargetClient,
    fresh: TargetClient,
}

impl TargetClients {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let build = |idle| {
            Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .pool_max_idle_per_host(idle)
                .build(connector.clone())
        };
        Self { kept: build(64), fresh: build(0) }
    }

    /// Sends a request and waits until its answer has begun.
    pub(crate) async fn send(&self, call: &CallerRequest, address: &str) -> SendEnd {
        let Some(request) = build_request(call, address) else { return SendEnd::Unsent };
        match self.kept.request(request).await {
            Ok(response) => begin_answer(call, response).await,
            Err(error) if error.is_connect() => SendEnd::Unsent,
            Err(_) => SendEnd::Lost(UnknownCode::TargetLost),
        }
    }

    /// Asks a target to go on with an answer after an event; `None` when it does not.
    pub(crate) async fn resume(
        &self,
        call: &CallerRequest,
        address: &str,
        last: &str,
    ) -> Option<BegunAnswer> {
        let mut request = build_request(call, address)?;
        let last = HeaderValue::from_str(last).ok()?;
        request.headers_mut().insert(LAST_EVENT, last.clone());
        let response = self.fresh.request(request).await.ok()?;
        let confirmed = response.headers().get(RESUMED_AFTER) == Some(&last);
        if !confirmed || !response.status().is_success() {
            return None;
        }
        match begin_answer(call, response).await {
            SendEnd::Answered(answer) => Some(answer),
            SendEnd::Unsent | SendEnd::Lost(_) => None,
        }
    }

    /// Sends a call that may not be repeated, on a connection of its own, and reads its answer.
    ///
    /// A fresh connection makes a refused connection proof that no byte was sent.
    pub(crate) async fn send_once(&self, call: &CallerRequest, address: &str) -> OnceEnd {
        let Some(request) = build_request(call, address) else { return OnceEnd::Unsent };
        let response = match self.fresh.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return OnceEnd::Unsent,
            Err(_) => return OnceEnd::Lost(UnknownCode::TargetLost),
        };
        if is_foreign(call, response.headers()) {
            return OnceEnd::Lost(UnknownCode::AnswerForeign);
        }
        let (parts, body) = response.into_parts();
        match Limited::new(body, STORED_ANSWER_BYTES_MAX).collect().await {
            Ok(body) => OnceEnd::Answered(StoredAnswer {
                status: parts.status.as_u16(),
                content_type: content_type(&parts.headers).into(),
                body: body.to_bytes(),
            }),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                OnceEnd::Lost(UnknownCode::AnswerTooLarge)
            }
            Err(_) => OnceEnd::Lost(UnknownCode::AnswerCut),
        }
    }
}

/// How a call that may not be repeated ended.
pub(crate) enum OnceEnd {
    /// No byte left this router.
    Unsent,
    /// Nobody can say whether the call ran.
    Lost(UnknownCode),
    /// The call ran and its answer is whole.
    Answered(StoredAnswer),
}

impl BegunAnswer {
    /// Whether the answer is a stream of events.
    pub(crate) fn is_event_stream(&self) -> bool {
        content_type(&self.headers).starts_with("text/event-stream")
    }
}

fn build_request(call: &CallerRequest, address: &str) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", call.path))
        .header(REQUEST_ID, request_text(call.request));
    if let Some(value) = &call.content_type {
        builder = builder.header(header::CONTENT_TYPE, value);
    }
    if let Some(value) = &call.operation {
        builder = builder.header("idempotency-key", value);
    }
    builder.body(Full::new(call.body.clone())).ok()
}

async fn begin_answer(call: &CallerRequest, response: Response<Incoming>) -> SendEnd {
    if is_foreign(call, response.headers()) {
        return SendEnd::Lost(UnknownCode::AnswerForeign);
    }
    let (parts, mut body) = response.into_parts();
    let first = loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let Ok(piece) = frame.into_data() else { continue };
                break Some(piece);
            }
            Some(Err(_)) => return SendEnd::Lost(UnknownCode::TargetLost),
            None => break None,
        }
    };
    SendEnd::Answered(BegunAnswer { status: parts.status, headers: parts.headers, first, body })
}

/// Whether the target names another request in its answer.
fn is_foreign(call: &CallerRequest, headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(REQUEST_ID) else { return false };
    value.as_bytes() != request_text(call.request).as_bytes()
}

fn content_type(headers: &HeaderMap) -> &str {
    headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
}
