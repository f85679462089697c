//! HTTP clients that send requests to targets and check that each answer is complete and belongs to
//! its request.

use std::{ops::RangeInclusive, time::Duration};

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

use crate::answer::{REQUEST_ID, format_request_id};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const STORED_ANSWER_BYTES_MAX: usize = 256 * 1024;
/// Statuses of final responses to requests without `Upgrade` (RFC 9110, section 15); the client returns 101 and
/// any other three digits, too.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const RESUMED_AFTER: HeaderName = HeaderName::from_static("x-resumed-after");

type TargetClient = Client<HttpConnector, Full<Bytes>>;

/// The parts of a caller's request that are forwarded to targets.
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
    /// Digest of the method, path and body, which must be equal in a retry of the same operation.
    pub(crate) fn digest(&self) -> ContentDigest {
        let method = self.method.as_str().as_bytes();
        ContentDigest::of_parts(&[method, self.path.as_bytes(), &self.body])
    }
}

/// Outcome of an attempt, up to the start of the answer.
pub(crate) enum AttemptStart {
    /// No byte of the request was sent.
    Unsent,
    /// The target failed, or answered for another request, before the answer started.
    Failed(UnknownCode),
    /// The answer has started.
    Answered(StartedAnswer),
}

/// An answer whose head and first body chunk were received.
pub(crate) struct StartedAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) first_chunk: Option<Bytes>,
    pub(crate) body: Incoming,
}

/// HTTP clients for targets: `pooled` reuses idle connections, `unpooled` opens a connection for
/// each request.
#[derive(Clone)]
pub(crate) struct TargetClients {
    pooled: TargetClient,
    unpooled: TargetClient,
}

impl TargetClients {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let build = |idle_max| {
            Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .pool_max_idle_per_host(idle_max)
                .build(connector.clone())
        };
        Self { pooled: build(64), unpooled: build(0) }
    }

    /// Sends a request and waits until its answer has started.
    pub(crate) async fn send(&self, call: &CallerRequest, address: &str) -> AttemptStart {
        let Some(request) = build_request(call, address) else { return AttemptStart::Unsent };
        match request_final(&self.pooled, request).await {
            Ok(response) => read_answer_start(call, response).await,
            Err(RequestError::Unsent) => AttemptStart::Unsent,
            Err(RequestError::Lost) => AttemptStart::Failed(UnknownCode::TargetLost),
        }
    }

    /// Asks a target to resume an event stream after an event; `None` unless the target confirms
    /// that.
    pub(crate) async fn resume(
        &self,
        call: &CallerRequest,
        address: &str,
        last_event_id: &str,
    ) -> Option<StartedAnswer> {
        let mut request = build_request(call, address)?;
        let last_event_id = HeaderValue::from_str(last_event_id).ok()?;
        request.headers_mut().insert(LAST_EVENT_ID, last_event_id.clone());
        let response = request_final(&self.unpooled, request).await.ok()?;
        let confirmed = response.headers().get(RESUMED_AFTER) == Some(&last_event_id);
        if !confirmed || !response.status().is_success() {
            return None;
        }
        match read_answer_start(call, response).await {
            AttemptStart::Answered(answer) => Some(answer),
            AttemptStart::Unsent | AttemptStart::Failed(_) => None,
        }
    }

    /// Sends a call that must not be retried and reads its complete answer.
    ///
    /// Uses a new connection, because only then does a connect error prove that no byte was sent.
    pub(crate) async fn send_at_most_once(
        &self,
        call: &CallerRequest,
        address: &str,
    ) -> AtMostOnceResult {
        let Some(request) = build_request(call, address) else { return AtMostOnceResult::Unsent };
        let response = match request_final(&self.unpooled, request).await {
            Ok(response) => response,
            Err(RequestError::Unsent) => return AtMostOnceResult::Unsent,
            Err(RequestError::Lost) => return AtMostOnceResult::Failed(UnknownCode::TargetLost),
        };
        if answers_other_request(call, response.headers()) {
            return AtMostOnceResult::Failed(UnknownCode::AnswerForeign);
        }
        let (parts, body) = response.into_parts();
        match Limited::new(body, STORED_ANSWER_BYTES_MAX).collect().await {
            Ok(body) => AtMostOnceResult::Answered(StoredAnswer {
                status: parts.status.as_u16(),
                content_type: content_type(&parts.headers).into(),
                body: body.to_bytes(),
            }),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                AtMostOnceResult::Failed(UnknownCode::AnswerTooLarge)
            }
            Err(_) => AtMostOnceResult::Failed(UnknownCode::AnswerCut),
        }
    }
}

/// Reason why a request has no response.
enum RequestError {
    /// No byte of the request was sent.
    Unsent,
    /// The connection broke, or brought something other than a final response.
    Lost,
}

/// Outcome of a call that must not be retried.
pub(crate) enum AtMostOnceResult {
    /// No byte of the request was sent.
    Unsent,
    /// The call may or may not have run, or its answer is unusable.
    Failed(UnknownCode),
    /// The call ran and its answer is complete.
    Answered(StoredAnswer),
}

impl StartedAnswer {
    /// Whether the body is a stream of server-sent events.
    pub(crate) fn is_event_stream(&self) -> bool {
        content_type(&self.headers).starts_with("text/event-stream")
    }
}

fn build_request(call: &CallerRequest, address: &str) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", call.path))
        .header(REQUEST_ID, format_request_id(call.request));
    if let Some(value) = &call.content_type {
        builder = builder.header(header::CONTENT_TYPE, value);
    }
    if let Some(value) = &call.operation {
        builder = builder.header("idempotency-key", value);
    }
    builder.body(Full::new(call.body.clone())).ok()
}

/// Sends a request and returns the head of its final response.
async fn request_final(
    client: &TargetClient,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, RequestError> {
    match client.request(request).await {
        Ok(response) if FINAL_STATUSES.contains(&response.status().as_u16()) => Ok(response),
        Ok(_) => Err(RequestError::Lost),
        Err(error) if error.is_connect() => Err(RequestError::Unsent),
        Err(_) => Err(RequestError::Lost),
    }
}

async fn read_answer_start(call: &CallerRequest, response: Response<Incoming>) -> AttemptStart {
    if answers_other_request(call, response.headers()) {
        return AttemptStart::Failed(UnknownCode::AnswerForeign);
    }
    let (parts, mut body) = response.into_parts();
    let first_chunk = loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let Ok(chunk) = frame.into_data() else { continue };
                break Some(chunk);
            }
            Some(Err(_)) => return AttemptStart::Failed(UnknownCode::TargetLost),
            None => break None,
        }
    };
    AttemptStart::Answered(StartedAnswer {
        status: parts.status,
        headers: parts.headers,
        first_chunk,
        body,
    })
}

/// Whether the answer carries the id of another request.
fn answers_other_request(call: &CallerRequest, headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(REQUEST_ID) else { return false };
    value.as_bytes() != format_request_id(call.request).as_bytes()
}

fn content_type(headers: &HeaderMap) -> &str {
    headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
}
