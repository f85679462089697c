//! The model engine stand-in: generates concurrently, streams tokens, caches prompt prefixes.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use error_stack::Report;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    http::{HeaderValue, StatusCode, header},
    writing::Json,
};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use xxhash_rust::xxh3;

use crate::{
    cache::PrefixCache,
    faults::FaultState,
    orders::order_routes,
    serve::{StandInError, read_body, serve},
};

const MAX_CACHE_BLOCKS: usize = 4096;
const STREAM_BUFFER_CHUNKS: usize = 4;
const PREFILL_TIME_PER_KIB: Duration = Duration::from_micros(500);
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Runs a model engine stand-in that generates one token of a call per `token_time`.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn run_engine(
    listen: SocketAddr,
    token_time: Duration,
) -> Result<(), Report<StandInError>> {
    let faults = FaultState::default();
    let state = Arc::new(EngineState {
        cache: Mutex::new(PrefixCache::new(MAX_CACHE_BLOCKS)),
        counts: EngineCounts::default(),
        token_time,
        faults: faults.clone(),
    });
    let router = Router::new()
        .push(Router::with_path("v1/chat/completions").post(ChatHandler(state.clone())))
        .push(Router::with_path("load").get(LoadHandler(state)))
        .push(order_routes(faults.clone()));
    serve(listen, router, faults).await
}

struct EngineState {
    cache: Mutex<PrefixCache>,
    counts: EngineCounts,
    token_time: Duration,
    faults: FaultState,
}

#[derive(Debug, Default)]
struct EngineCounts {
    in_flight: AtomicU64,
    started: AtomicU64,
    finished: AtomicU64,
    cancelled: AtomicU64,
    prompt_bytes: AtomicU64,
    cached_bytes: AtomicU64,
}

struct ChatHandler(Arc<EngineState>);

struct LoadHandler(Arc<EngineState>);

#[derive(Deserialize)]
struct ChatBody {
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u32>,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: Box<str>,
}

#[async_trait]
impl Handler for ChatHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let state = self.0.clone();
        let body = read_body(req).await;
        state.faults.abort_on_crash_text(&body);
        state.faults.delay().await;
        let faults = state.faults.active();
        let chat = serde_json::from_slice::<ChatBody>(&body);
        let (false, Ok(chat)) = (faults.refuse, chat) else {
            let status = if faults.refuse {
                StatusCode::SERVICE_UNAVAILABLE
            } else {
                StatusCode::BAD_REQUEST
            };
            res.status_code(status);
            return;
        };
        if let Some(value) = req.headers().get("x-request-id") {
            res.headers_mut().insert("x-request-id", value.clone());
        }
        let resumed_after = req.header::<u32>("last-event-id");
        let generation = Generation::start(state, &chat, resumed_after.map_or(0, |last| last + 1));
        if let Some(last) = resumed_after {
            res.headers_mut().insert("x-resumed-after", HeaderValue::from(last));
        }
        let in_flight = generation.state.counts.in_flight.load(Ordering::Relaxed);
        res.headers_mut().insert("x-engine-in-flight", HeaderValue::from(in_flight));
        let event_stream = HeaderValue::from_static("text/event-stream");
        res.headers_mut().insert(header::CONTENT_TYPE, event_stream);
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        tokio::spawn(generation.generate(sender));
        res.stream(ReceiverStream::new(receiver));
    }
}

#[async_trait]
impl Handler for LoadHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let counts = &self.0.counts;
        let count = |value: &AtomicU64| value.load(Ordering::Relaxed);
        res.render(Json(json!({
            "in_flight": count(&counts.in_flight),
            "started": count(&counts.started),
            "finished": count(&counts.finished),
            "cancelled": count(&counts.cancelled),
            "prompt_bytes": count(&counts.prompt_bytes),
            "cached_bytes": count(&counts.cached_bytes),
        })));
    }
}

type StreamChunk = Result<Bytes, std::io::Error>;

/// One generation in flight; dropping the value counts it as finished or cancelled.
struct Generation {
    state: Arc<EngineState>,
    prompt_digest: u64,
    /// Index of the first token to stream; greater than zero for a resumed stream.
    first_token: u32,
    token_count: u32,
    prefill_time: Duration,
    cached_bytes: usize,
    finished: bool,
}

impl Generation {
    fn start(state: Arc<EngineState>, chat: &ChatBody, first_token: u32) -> Self {
        let prompt: String = chat.messages.iter().map(|message| &*message.content).collect();
        let cached_bytes = {
            let mut cache = state.cache.lock().unwrap_or_else(PoisonError::into_inner);
            cache.lookup_and_insert(prompt.as_bytes())
        };
        let counts = &state.counts;
        counts.in_flight.fetch_add(1, Ordering::Relaxed);
        counts.started.fetch_add(1, Ordering::Relaxed);
        counts.prompt_bytes.fetch_add(prompt.len() as u64, Ordering::Relaxed);
        counts.cached_bytes.fetch_add(cached_bytes as u64, Ordering::Relaxed);
        let uncached = prompt.len() - cached_bytes;
        let prefill_time =
            PREFILL_TIME_PER_KIB * u32::try_from(uncached / 1024).unwrap_or(u32::MAX);
        Self {
            prompt_digest: xxh3::xxh3_64(prompt.as_bytes()),
            first_token,
            token_count: chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            prefill_time,
            cached_bytes,
            finished: false,
            state,
        }
    }

    /// Streams the tokens; each contains the digest of the prompt, so that a caller can check that
    /// the answer belongs to its prompt.
    async fn generate(mut self, sender: mpsc::Sender<StreamChunk>) {
        tokio::time::sleep(self.prefill_time).await;
        for index in self.first_token..self.token_count {
            tokio::time::sleep(self.state.token_time).await;
            let text =
                json!({ "index": index, "token": format!("{:016x}-{index}", self.prompt_digest) });
            if sender.send(Ok(format!("data: {text}\nid: {index}\n\n").into())).await.is_err() {
                return;
            }
            if self.state.faults.consume_cut_answer() {
                let _ = sender.send(Err(std::io::ErrorKind::ConnectionReset.into())).await;
                return;
            }
        }
        let usage = json!({ "tokens": self.token_count, "cached_bytes": self.cached_bytes });
        let end = format!("data: {{\"usage\":{usage}}}\n\ndata: [DONE]\n\n");
        self.finished = sender.send(Ok(end.into())).await.is_ok();
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let counts = &self.state.counts;
        counts.in_flight.fetch_sub(1, Ordering::Relaxed);
        let counter = if self.finished { &counts.finished } else { &counts.cancelled };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
