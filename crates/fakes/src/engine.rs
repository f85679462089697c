//! The model engine stand-in: batches, streams tokens, caches prompt prefixes.

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
    serve::{FakeError, read_body, serve},
};

const CACHE_BLOCKS: usize = 4096;
const PIECES_AHEAD: usize = 4;
const PREFILL_PER_KILOBYTE: Duration = Duration::from_micros(500);
const TOKENS_DEFAULT: u32 = 16;

/// Runs a model engine stand-in that takes `step` for each token.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn run_engine(listen: SocketAddr, step: Duration) -> Result<(), Report<FakeError>> {
    let faults = FaultState::default();
    let state = Arc::new(EngineState {
        cache: Mutex::new(PrefixCache::new(CACHE_BLOCKS)),
        counts: EngineCounts::default(),
        step,
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
    step: Duration,
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
        state.faults.crash_on(&body);
        state.faults.delay().await;
        let order = state.faults.order();
        let chat = serde_json::from_slice::<ChatBody>(&body);
        let (false, Ok(chat)) = (order.refuse, chat) else {
            let status = if order.refuse {
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
        let resumed = req.header::<u32>("last-event-id");
        let run = GenerationRun::begin(state, &chat, resumed.map_or(0, |last| last + 1));
        if let Some(last) = resumed {
            res.headers_mut().insert("x-resumed-after", HeaderValue::from(last));
        }
        let in_flight = run.state.counts.in_flight.load(Ordering::Relaxed);
        res.headers_mut().insert("x-engine-in-flight", HeaderValue::from(in_flight));
        let event_stream = HeaderValue::from_static("text/event-stream");
        res.headers_mut().insert(header::CONTENT_TYPE, event_stream);
        let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
        tokio::spawn(run.generate(sender));
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

type Piece = Result<Bytes, std::io::Error>;

/// One generation; its end is counted however it comes.
struct GenerationRun {
    state: Arc<EngineState>,
    digest: u64,
    /// Index of the first token to stream; a resumed stream starts later than at zero.
    first: u32,
    tokens: u32,
    prefill: Duration,
    cached: usize,
    finished: bool,
}

impl GenerationRun {
    fn begin(state: Arc<EngineState>, chat: &ChatBody, first: u32) -> Self {
        let prompt: String = chat.messages.iter().map(|message| &*message.content).collect();
        let cached = {
            let mut cache = state.cache.lock().unwrap_or_else(PoisonError::into_inner);
            cache.run(prompt.as_bytes())
        };
        let counts = &state.counts;
        counts.in_flight.fetch_add(1, Ordering::Relaxed);
        counts.started.fetch_add(1, Ordering::Relaxed);
        counts.prompt_bytes.fetch_add(prompt.len() as u64, Ordering::Relaxed);
        counts.cached_bytes.fetch_add(cached as u64, Ordering::Relaxed);
        let uncached = prompt.len() - cached;
        let prefill = PREFILL_PER_KILOBYTE * u32::try_from(uncached / 1024).unwrap_or(u32::MAX);
        Self {
            digest: xxh3::xxh3_64(prompt.as_bytes()),
            first,
            tokens: chat.max_tokens.unwrap_or(TOKENS_DEFAULT),
            prefill,
            cached,
            finished: false,
            state,
        }
    }

    /// Streams the tokens; each names the prompt's digest, so that a caller knows its own answer.
    async fn generate(mut self, sender: mpsc::Sender<Piece>) {
        tokio::time::sleep(self.prefill).await;
        for index in self.first..self.tokens {
            tokio::time::sleep(self.state.step).await;
            let text = json!({ "index": index, "token": format!("{:016x}-{index}", self.digest) });
            if sender.send(Ok(format!("data: {text}\nid: {index}\n\n").into())).await.is_err() {
                return;
            }
            if self.state.faults.take_cut_answer() {
                let _ = sender.send(Err(std::io::ErrorKind::ConnectionReset.into())).await;
                return;
            }
        }
        let usage = json!({ "tokens": self.tokens, "cached_bytes": self.cached });
        let end = format!("data: {{\"usage\":{usage}}}\n\ndata: [DONE]\n\n");
        self.finished = sender.send(Ok(end.into())).await.is_ok();
    }
}

impl Drop for GenerationRun {
    fn drop(&mut self) {
        let counts = &self.state.counts;
        counts.in_flight.fetch_sub(1, Ordering::Relaxed);
        let end = if self.finished { &counts.finished } else { &counts.cancelled };
        end.fetch_add(1, Ordering::Relaxed);
    }
}
