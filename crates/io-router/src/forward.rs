//! Sending requests to targets and checking that their answers are whole.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use base_types::{AttemptKey, RequestKey, UnknownCode};
use bytes::Bytes;
use core_router::{AttemptEnd, Event, StoredAnswer};
use futures_util::Stream;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::{
    answer::{REQUEST_ID, request_text},
    handle::{CallerGuard, LoopHandle},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const STORED_ANSWER_BYTES_MAX: usize = 256 * 1024;
const STREAM_END: &[u8] = b"[DONE]";
const TAIL_BYTES: usize = 64;

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
    first: Option<Bytes>,
    body: Incoming,
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
    /// The answer's body as a stream that tells the core how it ended.
    pub(crate) fn into_stream(
        self,
        handle: LoopHandle,
        request: RequestKey,
        attempt: AttemptKey,
        guard: CallerGuard,
    ) -> AnswerStream {
        let framed = content_type(&self.headers).starts_with("text/event-stream");
        AnswerStream {
            first: self.first,
            body: self.body,
            tail: Vec::new(),
            framed,
            state: StreamState::Running,
            handle,
            request,
            attempt,
            guard,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum StreamState {
    Running,
    Failed,
    Ended,
}

/// Body of an answer on its way to the caller.
///
/// An event stream that ends without its end mark is given an explicit error event and then
/// broken off, so that a short answer never looks whole.
pub(crate) struct AnswerStream {
    first: Option<Bytes>,
    body: Incoming,
    tail: Vec<u8>,
    framed: bool,
    state: StreamState,
    handle: LoopHandle,
    request: RequestKey,
    attempt: AttemptKey,
    guard: CallerGuard,
}

impl AnswerStream {
    fn on_piece(&mut self, piece: Bytes) -> Bytes {
        if self.framed {
            self.tail.extend_from_slice(&piece[piece.len().saturating_sub(TAIL_BYTES)..]);
            let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
            self.tail.drain(..surplus);
        }
        piece
    }

    fn is_whole(&self) -> bool {
        let end = self.tail.windows(STREAM_END.len()).any(|window| window == STREAM_END);
        !self.framed || end
    }

    fn finish(&mut self, end: AttemptEnd) {
        self.guard.finish();
        self.handle.post(Event::AttemptEnded(self.request, self.attempt, end));
    }

    fn on_failure(&mut self) -> Poll<Option<Result<Bytes, AnswerCutError>>> {
        self.finish(AttemptEnd::LostLate);
        if !self.framed {
            self.state = StreamState::Ended;
            return Poll::Ready(Some(Err(AnswerCutError)));
        }
        self.state = StreamState::Failed;
        let row = UnknownCode::AnswerCut.row();
        let event = format!(
            "\n\nevent: error\ndata: {{\"code\":{},\"kind\":\"{}\",\"message\":\"{}\",\"request_id\":\"{}\"}}\n\n",
            row.number,
            row.kind.as_str(),
            row.sentence,
            request_text(self.request),
        );
        Poll::Ready(Some(Ok(event.into())))
    }
}

impl Stream for AnswerStream {
    type Item = Result<Bytes, AnswerCutError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.state {
            StreamState::Running => {}
            StreamState::Failed => {
                self.state = StreamState::Ended;
                return Poll::Ready(Some(Err(AnswerCutError)));
            }
            StreamState::Ended => return Poll::Ready(None),
        }
        if let Some(first) = self.first.take() {
            let piece = self.on_piece(first);
            return Poll::Ready(Some(Ok(piece)));
        }
        loop {
            let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(context));
            match frame {
                Some(Ok(frame)) => {
                    let Ok(piece) = frame.into_data() else { continue };
                    let piece = self.on_piece(piece);
                    return Poll::Ready(Some(Ok(piece)));
                }
                Some(Err(_)) => return self.on_failure(),
                None if self.is_whole() => {
                    self.state = StreamState::Ended;
                    self.finish(AttemptEnd::Whole(None));
                    return Poll::Ready(None);
                }
                None => return self.on_failure(),
            }
        }
    }
}

/// The answer broke off; the caller's connection is closed without an end mark.
#[derive(Debug)]
pub(crate) struct AnswerCutError;

impl std::fmt::Display for AnswerCutError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(UnknownCode::AnswerCut.sentence())
    }
}

impl std::error::Error for AnswerCutError {}

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
