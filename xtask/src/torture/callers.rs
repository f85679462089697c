//! Simulated callers that send operations, retry them through other routers, and check chats.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use history_check::{CallOutcome, CallRecord};
use http::Method;
use local_fleet::{ChatPrompt, HttpClient, LocalFleet};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const PAYMENT_CALLERS: usize = 12;
const CHAT_CALLERS: usize = 4;
const ATTEMPTS_MAX: usize = 3;
const DEADLINE_MS: &str = "8000";

/// Numbers of chats by outcome.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ChatCounts {
    pub(crate) complete: usize,
    pub(crate) failed: usize,
    /// Answers that were reported as complete but were truncated or belonged to another prompt.
    pub(crate) wrong: usize,
}

/// All simulated callers and the outcomes of their calls.
pub(crate) struct CallerSimulation {
    client: HttpClient,
    routers: Vec<SocketAddr>,
    start: Instant,
    stopped: Cell<bool>,
    records: RefCell<Vec<CallRecord>>,
    chat_counts: Cell<ChatCounts>,
}

impl CallerSimulation {
    pub(crate) fn start(fleet: &LocalFleet, seed: u64) -> Rc<Self> {
        let callers = Rc::new(Self {
            client: fleet.client().clone(),
            routers: fleet.routers.iter().map(|router| router.caller_address).collect(),
            start: Instant::now(),
            stopped: Cell::new(false),
            records: RefCell::default(),
            chat_counts: Cell::default(),
        });
        for caller_index in 0..PAYMENT_CALLERS {
            let rng = SmallRng::seed_from_u64(seed.wrapping_add(1 + caller_index as u64));
            tokio::task::spawn_local(callers.clone().pay(caller_index, rng));
        }
        for caller_index in 0..CHAT_CALLERS {
            let rng = SmallRng::seed_from_u64(seed.wrapping_add(1000 + caller_index as u64));
            tokio::task::spawn_local(callers.clone().chat(caller_index, rng));
        }
        callers
    }

    pub(crate) fn stop(&self) {
        self.stopped.set(true);
    }

    pub(crate) fn take_records(&self) -> Vec<CallRecord> {
        self.records.take()
    }

    pub(crate) fn chat_counts(&self) -> ChatCounts {
        self.chat_counts.get()
    }

    async fn pay(self: Rc<Self>, caller_index: usize, mut rng: SmallRng) {
        for turn in 0.. {
            if self.stopped.get() {
                return;
            }
            let operation = format!("payment-{caller_index}-{turn}");
            let mut attempts = tokio::task::JoinSet::new();
            for attempt in 0..rng.random_range(1..=ATTEMPTS_MAX) {
                let router = self.routers[rng.random_range(0..self.routers.len())];
                let content = if rng.random_bool(0.02) { "other" } else { "amount" };
                let content = format!("{content} of {operation}");
                let disconnect_after_ms = rng.random_bool(0.1).then(|| rng.random_range(1..100));
                let is_concurrent = attempt > 0 && rng.random_bool(0.3);
                if !is_concurrent {
                    while attempts.join_next().await.is_some() {}
                }
                let call = self.clone().send_attempt(
                    operation.clone(),
                    content,
                    router,
                    disconnect_after_ms,
                );
                attempts.spawn_local(call);
            }
            while attempts.join_next().await.is_some() {}
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..60))).await;
        }
    }

    async fn send_attempt(
        self: Rc<Self>,
        operation: String,
        content: String,
        router: SocketAddr,
        disconnect_after_ms: Option<u64>,
    ) {
        let started_at = self.elapsed_us();
        let headers = [("idempotency-key", &*operation), ("x-deadline-ms", DEADLINE_MS)];
        let call = self.client.call(Method::POST, router, "/pay", &headers, content.clone());
        let timeout = disconnect_after_ms.map_or(Duration::MAX, Duration::from_millis);
        let answer = tokio::time::timeout(timeout, call).await.ok().and_then(Result::ok);
        let (request, outcome) = match &answer {
            Some(answer) => {
                let body = String::from_utf8_lossy(&answer.body);
                let request = answer.header("x-request-id").into();
                (Some(request), CallOutcome::new(answer.code(), &body))
            }
            None => (None, CallOutcome::NoResponse),
        };
        let finished_at = self.elapsed_us();
        let (operation, content) = (operation.into(), content.into());
        let record = CallRecord { operation, request, content, started_at, finished_at, outcome };
        self.records.borrow_mut().push(record);
    }

    async fn chat(self: Rc<Self>, caller_index: usize, mut rng: SmallRng) {
        for turn in 0.. {
            if self.stopped.get() {
                return;
            }
            let text =
                format!("Chat {caller_index} of turn {turn}. ").repeat(rng.random_range(1..50));
            let prompt = ChatPrompt { text: text.into(), tokens: rng.random_range(1..40) };
            let router = self.routers[rng.random_range(0..self.routers.len())];
            let headers = [("x-deadline-ms", DEADLINE_MS)];
            let path = "/v1/chat/completions";
            let answer =
                self.client.call(Method::POST, router, path, &headers, prompt.body()).await;
            let mut counts = self.chat_counts.get();
            match answer {
                Ok(answer) if answer.code() / 1000 == 2 => match prompt.check(&answer) {
                    Ok(_) => counts.complete += 1,
                    Err(_) => counts.wrong += 1,
                },
                _ => counts.failed += 1,
            }
            self.chat_counts.set(counts);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn elapsed_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}
